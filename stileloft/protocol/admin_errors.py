"""Why a request to the administration API can't be carried out."""


class InvalidSettingsError(Exception):
    """Settings that cannot be taken; the text names the field."""


class StaleVersionError(Exception):
    """The settings have been changed since the version that the change was made from."""


class TemporarilyUnavailableError(Exception):
    """The store cannot be asked or written now."""
