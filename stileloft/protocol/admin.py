"""The administration API on the peer address: status, and the operators' own settings."""

import math
from collections.abc import Awaitable
from http import HTTPStatus
from typing import Annotated, Any, NamedTuple, Protocol

import msgspec
from msgspec import Meta, Struct

from stileloft.protocol.admin_errors import (
    RETRY_AFTER_S,
    InvalidSettingsError,
    StaleVersionError,
    TemporarilyUnavailableError,
)
from stileloft.protocol.peers import VIEW_PATH, PeerView
from stileloft.protocol.rebuild_admin import RebuildBackend, RebuildResources
from stileloft.transport.server import Arguments, Response, Route, retry_later

STATUS_PATH = "/status"
SETTINGS_PATH = "/settings"

Factor = Annotated[float, Meta(ge=0, le=100)]


class OperatorSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """What operators may change while the service runs; in force on all controllers."""

    headroom: Factor = 1.0
    """Room kept free for a class that cannot wait for a machine to boot, in jobs of its usual size."""
    headroom_wait: Factor = 2.0
    """The same for a class with an objective on starting."""
    keep_idle_boots: Factor = 1.0
    """How long an idle spot machine is kept, in boot times of its type."""
    rent_full_price: bool = True
    """Whether machines other than spot ones may be provisioned."""
    max_machines: Annotated[int, Meta(ge=0, le=100_000)] = 100_000
    """No scale-out makes the cluster larger than this, in machines."""


FACTORS = ("headroom", "headroom_wait", "keep_idle_boots")


def parse_operator_settings(value: Any) -> OperatorSettings:
    """Checked settings from their decoded form; raises `InvalidSettingsError`."""
    try:
        settings = msgspec.convert(value, OperatorSettings)
    except msgspec.ValidationError as error:
        raise InvalidSettingsError(str(error).replace("$.", "")) from None
    for name in FACTORS:
        if not math.isfinite(getattr(settings, name)):
            raise InvalidSettingsError(f"{name} is not finite")
    return settings


class SettingsChange(NamedTuple):
    """New settings, and the version that they were made from."""

    settings: OperatorSettings
    version: int


def parse_settings_change(body: Any) -> SettingsChange:
    """A checked request for other settings; raises `InvalidSettingsError`."""
    if not isinstance(body, dict) or type(body.get("version")) is not int or body["version"] < 0:
        raise InvalidSettingsError("version: a whole number, as `GET /settings` gave it, is required")
    try:
        settings = parse_operator_settings(body.get("settings"))
    except InvalidSettingsError as error:
        raise InvalidSettingsError(f"settings: {error.reason}") from None
    return SettingsChange(settings, body["version"])


class AdminBackend(RebuildBackend, Protocol):
    """What a controller tells its operators, and takes from them."""

    def status(self) -> dict[str, Any]:
        """The controller's state, for people and monitoring."""

    def view(self) -> PeerView:
        """What the controller tells other controllers."""

    async def read_settings(self) -> tuple[OperatorSettings, int]:
        """The settings in force and their version; raises `TemporarilyUnavailableError`."""

    async def change_settings(self, settings: OperatorSettings, version: int) -> int:
        """Replaces the settings of a version, and returns the new version.

        Raises `StaleVersionError` or `TemporarilyUnavailableError`.
        """


class AdminResources:
    """Routes of the peer address: those of the administration API, and what other controllers ask."""

    def __init__(self, controller: AdminBackend) -> None:
        self._controller = controller
        self._rebuild = RebuildResources(controller)

    def match(self, path: str) -> Route | None:
        """The handlers of a path, by method, and its arguments."""
        if path == STATUS_PATH:
            return {"GET": self.status}, {}
        if path == VIEW_PATH:
            return {"GET": self.view}, {}
        if path == SETTINGS_PATH:
            return {"GET": self.read_settings, "PUT": self.change_settings}, {}
        return self._rebuild.match(path)

    def status(self, _body: Any, _arguments: Arguments) -> Response | Awaitable[Response]:
        """Tells the controller's state."""
        return Response(HTTPStatus.OK, self._controller.status())

    def view(self, _body: Any, _arguments: Arguments) -> Response | Awaitable[Response]:
        """Tells another controller what this one sees."""
        return Response(HTTPStatus.OK, msgspec.to_builtins(self._controller.view()))

    async def read_settings(self, _body: Any, _arguments: Arguments) -> Response:
        """Tells the settings and their version."""
        try:
            settings, version = await self._controller.read_settings()
        except TemporarilyUnavailableError as error:
            return retry_later(error.status, error.reason, RETRY_AFTER_S)
        return _settings_answer(settings, version)

    async def change_settings(self, body: Any, _arguments: Arguments) -> Response:
        """Replaces the settings if they are still those of the version that the caller read."""
        try:
            change = parse_settings_change(body)
            version = await self._controller.change_settings(change.settings, change.version)
        except InvalidSettingsError as error:
            return Response(error.status, {"error": error.reason})
        except StaleVersionError as error:
            return Response(error.status, {"error": "the settings have been changed since; read them again"})
        except TemporarilyUnavailableError as error:
            return retry_later(error.status, error.reason, RETRY_AFTER_S)
        return _settings_answer(change.settings, version)


def _settings_answer(settings: OperatorSettings, version: int) -> Response:
    return Response(HTTPStatus.OK, {"version": version, "settings": msgspec.to_builtins(settings)})
