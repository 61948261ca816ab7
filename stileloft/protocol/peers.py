"""What controllers ask each other, on the peer addresses."""

import contextlib
from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet import defer

from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError

SNAPSHOT_PATH = "/rebuild/snapshot/"
CHANGE_NOTICE_PATH = "/rebuild/notes"
# A piece of a replica may take longer to make and to send than a view does.
SNAPSHOT_TIMEOUTS = 5.0


class PeerView(Struct, omit_defaults=True):
    """What a controller sees of the world, for those that doubt their own view."""

    served_ago_s: float
    """How long ago the state service last executed a request of its."""
    machines: dict[str, tuple[int, int]]
    """Machines that it has referred to the leader lately, with session and number of their newest report."""
    member: str = ""
    reads: int = 0
    """The newest format of the store's records that it reads; the version before gangs does not say."""
    protects: bool = False
    """It protects the store's records against their loss."""
    deployment: str = ""
    """The identity that it knows of the store."""
    highest_token: int = 0
    """The highest token that it has seen."""


class PeerClient:
    def __init__(self, client: Client, addresses: list[str], timeout_s: float) -> None:
        self._client = client
        self.addresses = addresses
        self._timeout_s = timeout_s

    async def views(self) -> list[PeerView]:
        """What those of the others that answer see."""
        asked = [defer.ensureDeferred(self._view(address)) for address in self.addresses]
        return [view for view in [await one for one in asked] if view is not None]

    async def snapshot_piece(self, address: str, number: int) -> bytes | None:
        """A piece of a controller's replica of the store; None if there is no answer."""
        try:
            reply: Any = await self._client.request(
                "GET", address, f"{SNAPSHOT_PATH}{number}", None, SNAPSHOT_TIMEOUTS * self._timeout_s
            )
        except (ConnectionFailedError, NoResponseError):
            return None
        if reply.status != 200 or not isinstance(reply.body, dict) or not isinstance(reply.body.get("piece"), str):
            return None
        return bytes(reply.body["piece"], "utf-8")

    async def send_change_notice(self, address: str, notice: Any) -> None:
        """Tells a controller what users have just been told; whether it hears that is not asked."""
        with contextlib.suppress(ConnectionFailedError, NoResponseError):
            await self._client.request("POST", address, CHANGE_NOTICE_PATH, notice, self._timeout_s)

    async def _view(self, address: str) -> PeerView | None:
        try:
            reply: Any = await self._client.request("GET", address, "/view", None, self._timeout_s)
            return msgspec.convert(reply.body, PeerView) if reply.status == 200 else None
        except (ConnectionFailedError, NoResponseError, msgspec.ValidationError):
            return None
