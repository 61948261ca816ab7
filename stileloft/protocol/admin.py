"""The administration API on the peer address: status and operator settings."""

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
    """Settings that operators can change at runtime; they apply to all controllers."""

    headroom: Factor = 1.0
    """Capacity kept free for a class that cannot wait for a machine to boot, in jobs of its usual size."""
    headroom_wait: Factor = 2.0
    """Capacity kept free for a class with an objective on its start time, in jobs of its usual size."""
    keep_idle_boots: Factor = 1.0
    """How long an idle spot machine is kept, as a multiple of its type's boot time."""
    rent_full_price: bool = True
    """Whether machines may be provisioned at full price, not only as spot machines."""
    max_machines: Annotated[int, Meta(ge=0, le=100_000)] = 100_000
    """The number of machines beyond which scale-out does not grow the cluster."""


FACTOR_FIELDS = ("headroom", "headroom_wait", "keep_idle_boots")


def parse_operator_settings(value: Any) -> OperatorSettings:
    """Returns validated settings from a decoded body; raises `InvalidSettingsError`."""
    try:
        settings = msgspec.convert(value, OperatorSettings)
    except msgspec.ValidationError as error:
        raise InvalidSettingsError(str(error).replace("$.", "")) from None
    for name in FACTOR_FIELDS:
        if not math.isfinite(getattr(settings, name)):
            raise InvalidSettingsError(f"{name} is not finite")
    return settings


class SettingsChange(NamedTuple):
    """New settings, and the version of the settings that they replace."""

    settings: OperatorSettings
    version: int


def parse_settings_change(body: Any) -> SettingsChange:
    """Returns a validated request to change the settings; raises `InvalidSettingsError`."""
    if not isinstance(body, dict) or type(body.get("version")) is not int or body["version"] < 0:
        raise InvalidSettingsError("version: a whole number, as `GET /settings` gave it, is required")
    try:
        settings = parse_operator_settings(body.get("settings"))
    except InvalidSettingsError as error:
        raise InvalidSettingsError(f"settings: {error.reason}") from None
    return SettingsChange(settings, body["version"])


class AdminBackend(RebuildBackend, Protocol):
    """The controller interface behind the administration API."""

    def status(self) -> dict[str, Any]:
        """Returns the controller's state, for operators and monitoring."""

    def view(self) -> PeerView:
        """Returns this controller's view of the cluster, for other controllers."""

    async def read_settings(self) -> tuple[OperatorSettings, int]:
        """Returns the current settings and their version; raises `TemporarilyUnavailableError`."""

    async def change_settings(self, settings: OperatorSettings, version: int) -> int:
        """Replaces the settings if their version is still `version`, and returns the new version.

        Raises `StaleVersionError` or `TemporarilyUnavailableError`.
        """


class AdminResources:
    """Routes of the peer address: the administration API and the requests of other controllers."""

    def __init__(self, controller: AdminBackend) -> None:
        self._controller = controller
        self._rebuild = RebuildResources(controller)

    def match(self, path: str) -> Route | None:
        """Returns the handlers of a path by method, and its arguments; None for an unknown path."""
        if path == STATUS_PATH:
            return {"GET": self.status}, {}
        if path == VIEW_PATH:
            return {"GET": self.view}, {}
        if path == SETTINGS_PATH:
            return {"GET": self.read_settings, "PUT": self.change_settings}, {}
        return self._rebuild.match(path)

    def status(self, _body: Any, _arguments: Arguments) -> Response | Awaitable[Response]:
        """Answers with the controller's state."""
        return Response(HTTPStatus.OK, self._controller.status())

    def view(self, _body: Any, _arguments: Arguments) -> Response | Awaitable[Response]:
        """Answers another controller with this controller's view of the cluster."""
        return Response(HTTPStatus.OK, msgspec.to_builtins(self._controller.view()))

    async def read_settings(self, _body: Any, _arguments: Arguments) -> Response:
        """Answers with the settings and their version."""
        try:
            settings, version = await self._controller.read_settings()
        except TemporarilyUnavailableError as error:
            return retry_later(error.status, error.reason, RETRY_AFTER_S)
        return _settings_response(settings, version)

    async def change_settings(self, body: Any, _arguments: Arguments) -> Response:
        """Replaces the settings if they have not changed since the version that the caller read."""
        try:
            change = parse_settings_change(body)
            version = await self._controller.change_settings(change.settings, change.version)
        except InvalidSettingsError as error:
            return Response(error.status, {"error": error.reason})
        except StaleVersionError as error:
            return Response(error.status, {"error": "the settings have been changed since; read them again"})
        except TemporarilyUnavailableError as error:
            return retry_later(error.status, error.reason, RETRY_AFTER_S)
        return _settings_response(change.settings, version)


def _settings_response(settings: OperatorSettings, version: int) -> Response:
    return Response(HTTPStatus.OK, {"version": version, "settings": msgspec.to_builtins(settings)})
