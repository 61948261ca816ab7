"""The administration API on the peer address: status, and the operators' own settings."""

from collections.abc import Awaitable
from typing import Any, Protocol

from stileloft.transport.server import Answer, Handler


class Administered(Protocol):
    """What a node tells its operators."""

    def status(self) -> dict[str, Any]: ...


class AdminResources:
    def __init__(self, node: Administered) -> None:
        self._node = node

    def match(self, path: str) -> tuple[dict[str, Handler], dict[str, str]] | None:
        if path == "/status":
            return {"GET": self.status}, {}
        return None

    def status(self, body: Any, arguments: dict[str, str]) -> Answer | Awaitable[Answer]:
        return Answer(200, self._node.status())
