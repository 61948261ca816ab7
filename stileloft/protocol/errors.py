"""The base classes of the errors of this package."""

from http import HTTPStatus


class ProtocolError(Exception):
    """What is exchanged is not as the protocol wants it, or an exchange failed; `reason` says how."""

    def __init__(self, reason: str = "") -> None:
        super().__init__(reason)
        self.reason = reason


class MalformedError(ProtocolError):
    """A body that breaks the protocol; the reason names the field."""


class RemoteError(ProtocolError):
    """A request to another program failed.

    `operation` is what was asked for (method and path), `target` the address that was asked, and `status` the HTTP
    status that it answered with; None if it did not answer, or if the request was never sent.
    """

    def __init__(self, reason: str = "", *, operation: str = "", target: str = "", status: int | None = None) -> None:
        super().__init__(reason)
        self.operation = operation
        self.target = target
        self.status = status


class RequestError(ProtocolError):
    """A request to this service that is not carried out: its sender gets the status and the reason."""

    status = HTTPStatus.INTERNAL_SERVER_ERROR
    """Subclasses say what is answered."""

    def __init__(self, reason: str = "", retry_after_s: float | None = None) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        """When the sender is to try again; None if that is of no use."""
