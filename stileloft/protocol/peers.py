"""Requests between controllers, on their peer addresses."""

import contextlib
from http import HTTPStatus
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet import defer

from stileloft.transport.client import Client, TransportError

VIEW_PATH = "/view"
SNAPSHOT_PATH = "/rebuild/snapshot/"
CHANGE_NOTICE_PATH = "/rebuild/notes"
SNAPSHOT_TIMEOUT_FACTOR = 5.0
"""Time-out for a piece of a replica, as a multiple of that for a view; a piece takes longer to build and send."""


class PeerView(Struct, omit_defaults=True):
    """A controller's view of the cluster and the store, which other controllers compare with their own."""

    served_ago_s: float
    """Seconds since the state service last executed a request of the controller."""
    machines: dict[str, tuple[int, int]]
    """Machines whose heartbeats the controller recently referred to the leader: (epoch, sequence) of the newest one."""
    member: str = ""
    reads: int = 0
    """The newest record format that the controller reads; 0 if not sent, as by the version before gangs existed."""
    protects: bool = False
    """Whether the controller protects the store's records against loss."""
    deployment: str = ""
    """The store's identity as the controller knows it."""
    highest_token: int = 0
    """The highest fencing token that the controller has seen."""


class PeerClient:
    """Sends requests to the other controllers; those that do not answer are skipped."""

    def __init__(self, client: Client, addresses: list[str], timeout_s: float) -> None:
        self._client = client
        self.addresses = addresses
        self._timeout_s = timeout_s

    async def views(self) -> list[PeerView]:
        """Returns the views of all other controllers that answer."""
        pending = [defer.ensureDeferred(self._view(address)) for address in self.addresses]
        return [view for view in [await each for each in pending] if view is not None]

    async def snapshot_piece(self, address: str, number: int) -> bytes | None:
        """Returns a piece of a controller's replica of the store; None if no valid answer comes."""
        timeout_s = SNAPSHOT_TIMEOUT_FACTOR * self._timeout_s
        try:
            reply = await self._client.request("GET", address, f"{SNAPSHOT_PATH}{number}", None, timeout_s)
        except TransportError:
            return None
        if reply.status != HTTPStatus.OK or not isinstance(reply.body, dict):
            return None
        piece = reply.body.get("piece")
        return piece.encode() if isinstance(piece, str) else None

    async def send_change_notice(self, address: str, notice: Any) -> None:
        """Sends a notice of changes that were just confirmed to users; delivery is not checked."""
        with contextlib.suppress(TransportError):
            await self._client.request("POST", address, CHANGE_NOTICE_PATH, notice, self._timeout_s)

    async def _view(self, address: str) -> PeerView | None:
        try:
            reply = await self._client.request("GET", address, VIEW_PATH, None, self._timeout_s)
            return msgspec.convert(reply.body, PeerView) if reply.status == HTTPStatus.OK else None
        except (TransportError, msgspec.ValidationError):
            return None
