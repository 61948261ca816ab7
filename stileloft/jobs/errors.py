"""Errors by which a user's request is refused."""

from http import HTTPStatus

from stileloft.protocol.errors import RequestError


class RetryLaterError(RequestError):
    """The request cannot be executed now; the user should retry it."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        """`retry_after_s`: delay before the retry, in seconds."""
        super().__init__(reason, retry_after_s)


class InfeasibleJobError(RequestError):
    """The job can never run; the message says why."""

    status = HTTPStatus.UNPROCESSABLE_ENTITY
