"""What controllers ask each other, on the peer addresses."""

from typing import Any

import msgspec
from msgspec import Struct
from twisted.internet import defer

from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError


class PeerView(Struct):
    """What a controller sees of the world, for those that doubt their own view."""

    served_ago_s: float
    """How long ago the state service last executed a request of its."""
    machines: dict[str, tuple[int, int]]
    """Machines that it has referred to the leader lately, with session and number of their newest report."""
    member: str = ""
    reads: int = 0
    """The newest format of the store's records that it reads; the version before gangs does not say."""


class PeerClient:
    def __init__(self, client: Client, addresses: list[str], timeout_s: float) -> None:
        self._client = client
        self._addresses = addresses
        self._timeout_s = timeout_s

    async def views(self) -> list[PeerView]:
        """What those of the others that answer see."""
        asked = [defer.ensureDeferred(self._view(address)) for address in self._addresses]
        return [view for view in [await one for one in asked] if view is not None]

    async def _view(self, address: str) -> PeerView | None:
        try:
            reply: Any = await self._client.request("GET", address, "/view", None, self._timeout_s)
            return msgspec.convert(reply.body, PeerView) if reply.status == 200 else None
        except (ConnectionFailedError, NoResponseError, msgspec.ValidationError):
            return None
