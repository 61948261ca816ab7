"""Base classes of the errors in this package."""

from http import HTTPStatus


class ProtocolError(Exception):
    """A message violates the protocol, or a request failed; `reason` gives the details."""

    def __init__(self, reason: str = "") -> None:
        super().__init__(reason)
        self.reason = reason


class MalformedError(ProtocolError):
    """A body violates the protocol; `reason` names the field."""


class RemoteError(ProtocolError):
    """A request to another program failed.

    `operation` is the request's method and path, `target` the address it was sent to, and `status` the HTTP status of
    the response; None if no response came or the request was never sent.
    """

    def __init__(self, reason: str = "", *, operation: str = "", target: str = "", status: int | None = None) -> None:
        super().__init__(reason)
        self.operation = operation
        self.target = target
        self.status = status


class RequestError(ProtocolError):
    """A request to this service was rejected; the sender receives `status` and `reason`."""

    status = HTTPStatus.INTERNAL_SERVER_ERROR
    """The HTTP status of the response; set by subclasses."""

    def __init__(self, reason: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        """Seconds after which the sender should retry; None if a retry cannot succeed."""
