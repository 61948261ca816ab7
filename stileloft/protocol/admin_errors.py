"""Errors of requests to the administration API."""

from http import HTTPStatus

from stileloft.protocol.errors import RequestError

RETRY_AFTER_S = 1.0


class InvalidSettingsError(RequestError):
    """The submitted settings are invalid; `reason` names the field."""

    status = HTTPStatus.BAD_REQUEST


class StaleVersionError(RequestError):
    """The settings were changed after the version that the request is based on."""

    status = HTTPStatus.CONFLICT


class TemporarilyUnavailableError(RequestError):
    """The store cannot be read or written at present."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self, reason: str = "", retry_after_s: float = RETRY_AFTER_S) -> None:
        super().__init__(reason, retry_after_s)
