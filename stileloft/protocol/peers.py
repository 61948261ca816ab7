"""What controllers ask each other, on the peer addresses."""

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
"""A piece of a replica takes longer to make and to send than a view."""


class PeerView(Struct, omit_defaults=True):
    """What a controller sees of the cluster, for those that doubt their own view."""

    served_ago_s: float
    """How long ago the state service last executed one of its requests."""
    machines: dict[str, tuple[int, int]]
    """Machines that it has lately referred to the leader, with epoch and number of their newest heartbeat."""
    member: str = ""
    reads: int = 0
    """The newest format of the store's records that it reads; the version before gangs does not say."""
    protects: bool = False
    """It protects the store's records against their loss."""
    deployment: str = ""
    """The identity that it knows of the store."""
    highest_token: int = 0
    """The highest fencing token that it has seen."""


class PeerClient:
    """Requests to the other controllers; one that does not answer is passed over."""

    def __init__(self, client: Client, addresses: list[str], timeout_s: float) -> None:
        self._client = client
        self.addresses = addresses
        self._timeout_s = timeout_s

    async def views(self) -> list[PeerView]:
        """What those of the others that answer see."""
        pending = [defer.ensureDeferred(self._view(address)) for address in self.addresses]
        return [view for view in [await each for each in pending] if view is not None]

    async def snapshot_piece(self, address: str, number: int) -> bytes | None:
        """A piece of a controller's replica of the store; None if there is no answer."""
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
        """Tells a controller what users have just been told; whether it hears that is not checked."""
        with contextlib.suppress(TransportError):
            await self._client.request("POST", address, CHANGE_NOTICE_PATH, notice, self._timeout_s)

    async def _view(self, address: str) -> PeerView | None:
        try:
            reply = await self._client.request("GET", address, VIEW_PATH, None, self._timeout_s)
            return msgspec.convert(reply.body, PeerView) if reply.status == HTTPStatus.OK else None
        except (TransportError, msgspec.ValidationError):
            return None
