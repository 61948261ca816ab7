"""Why a request to the administration API can't be carried out."""

from http import HTTPStatus

from stileloft.protocol.errors import RequestError

RETRY_AFTER_S = 1.0


class InvalidSettingsError(RequestError):
    """Settings that cannot be taken; the reason names the field."""

    status = HTTPStatus.BAD_REQUEST


class StaleVersionError(RequestError):
    """The settings have been changed since the version that the change was made from."""

    status = HTTPStatus.CONFLICT


class TemporarilyUnavailableError(RequestError):
    """The store cannot be asked or written now."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self, reason: str = "", retry_after_s: float = RETRY_AFTER_S) -> None:
        super().__init__(reason, retry_after_s)
