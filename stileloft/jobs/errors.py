"""Why a user's request is not carried out."""

from http import HTTPStatus

from stileloft.protocol.errors import RequestError


class RetryLaterError(RequestError):
    """The request can't be taken now; the user is to repeat it."""

    status = HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        """`retry_after_s`: seconds after which the user is to repeat it."""
        super().__init__(reason, retry_after_s)


class InfeasibleJobError(RequestError):
    """The job can never run; the text says why."""

    status = HTTPStatus.UNPROCESSABLE_ENTITY
