"""What controllers ask each other, on the peer addresses."""

from typing import Any

from twisted.internet import defer

from stileloft.transport.client import Client, Refused, Unanswered


class PeerClient:
    def __init__(self, client: Client, addresses: list[str], timeout_s: float) -> None:
        self._client = client
        self._addresses = addresses
        self._timeout_s = timeout_s

    async def any_served(self) -> bool:
        """Whether the state service has served another controller lately."""
        asked = [defer.ensureDeferred(self._served(address)) for address in self._addresses]
        return any([await one for one in asked])

    async def _served(self, address: str) -> bool:
        try:
            reply: Any = await self._client.request("GET", address, "/status", None, self._timeout_s)
        except (Refused, Unanswered):
            return False
        return reply.status == 200 and bool(reply.body.get("served"))
