"""The administration API on the peer address: status, and the operators' own settings."""

import math
from collections.abc import Awaitable
from typing import Annotated, Any, Protocol

import msgspec
from msgspec import Meta, Struct

from stileloft.protocol.admin_errors import InvalidSettingsError, StaleVersionError, TemporarilyUnavailableError
from stileloft.protocol.peers import PeerView
from stileloft.protocol.rebuild_admin import RebuildAdministered, RebuildResources
from stileloft.transport.server import Answer, Handler, retry_later

Factor = Annotated[float, Meta(ge=0, le=100)]


class OperatorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """What operators may change while the service runs; in force on all nodes."""

    headroom: Factor = 1.0
    """Room kept free for a class that cannot wait for a rental, in jobs of its usual size."""
    headroom_wait: Factor = 2.0
    """The same for a class with an objective on starting."""
    keep_idle_boots: Factor = 1.0
    """How long an idle spot machine is kept, in boot times of its type."""
    rent_full_price: bool = True
    """Whether machines other than spot ones may be rented."""
    max_machines: Annotated[int, Meta(ge=0, le=100_000)] = 100_000
    """No rental makes the fleet larger than this."""


def parse_operator_settings(value: Any) -> OperatorSettings:
    try:
        settings = msgspec.convert(value, OperatorSettings)
    except msgspec.ValidationError as error:
        raise InvalidSettingsError(str(error).replace("$.", "")) from None
    for name in ("headroom", "headroom_wait", "keep_idle_boots"):
        if not math.isfinite(getattr(settings, name)):
            raise InvalidSettingsError(f"{name} is not finite")
    return settings


class Administered(RebuildAdministered, Protocol):
    """What a node tells its operators, and takes from them."""

    def status(self) -> dict[str, Any]: ...
    def view(self) -> PeerView: ...
    async def read_settings(self) -> tuple[OperatorSettings, int]: ...
    async def change_settings(self, settings: OperatorSettings, version: int) -> int: ...


class AdminResources:
    def __init__(self, node: Administered) -> None:
        self._node = node
        self._rebuild = RebuildResources(node)

    def match(self, path: str) -> tuple[dict[str, Handler], dict[str, str]] | None:
        if path == "/status":
            return {"GET": self.status}, {}
        if path == "/view":
            return {"GET": self.view}, {}
        if path == "/settings":
            return {"GET": self.show, "PUT": self.change}, {}
        return self._rebuild.match(path)

    def status(self, _body: Any, _arguments: dict[str, str]) -> Answer | Awaitable[Answer]:
        return Answer(200, self._node.status())

    def view(self, _body: Any, _arguments: dict[str, str]) -> Answer | Awaitable[Answer]:
        return Answer(200, msgspec.to_builtins(self._node.view()))

    async def show(self, _body: Any, _arguments: dict[str, str]) -> Answer:
        try:
            settings, version = await self._node.read_settings()
        except TemporarilyUnavailableError as error:
            return retry_later(503, str(error), 1)
        return Answer(200, {"version": version, "settings": msgspec.to_builtins(settings)})

    async def change(self, body: Any, _arguments: dict[str, str]) -> Answer:
        """Replaces the settings if they are still those of the version that the caller read."""
        if not isinstance(body, dict) or type(body.get("version")) is not int or body["version"] < 0:
            return Answer(400, {"error": "version: a whole number, as `GET /settings` gave it, is required"})
        try:
            settings = parse_operator_settings(body.get("settings"))
            version = await self._node.change_settings(settings, body["version"])
        except InvalidSettingsError as error:
            return Answer(400, {"error": f"settings: {error}"})
        except StaleVersionError:
            return Answer(409, {"error": "the settings have been changed since; read them again"})
        except TemporarilyUnavailableError as error:
            return retry_later(503, str(error), 1)
        return Answer(200, {"version": version, "settings": msgspec.to_builtins(settings)})
