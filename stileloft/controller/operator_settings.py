"""The operators' own settings, kept in the state service and in force on all controllers."""

import logging

import msgspec

from stileloft.model import records
from stileloft.protocol.admin import OperatorSettings, parse_operator_settings
from stileloft.protocol.admin_errors import InvalidSettingsError, StaleVersionError, TemporarilyUnavailableError
from stileloft.protocol.state import (
    CompactedError,
    ConflictError,
    StateClient,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat

log = logging.getLogger(__name__)

WATCH_S = 30.0
"""How long one watch of the settings waits, in seconds."""
RETRY = RetryPolicy(
    (TemporarilyUnavailableError, UnavailableError, UnknownOutcomeError, CompactedError), WATCH_S / 10, WATCH_S / 10
)


class OperatorSettingsStore:
    """Follows the settings in the store, and changes them."""

    def __init__(self, state: StateClient, integrity: StoreIntegrity, clock: Clock) -> None:
        self._state = state
        self._integrity = integrity
        self._clock = clock
        self.current = OperatorSettings()
        """The settings in force, as far as this controller knows."""

    async def run(self) -> None:
        """Follows the settings as they change, for as long as the process lives."""
        await repeat("operators' settings", self._read_and_watch, RETRY, self._clock)

    async def _read_and_watch(self) -> None:
        settings, version = await self.read()
        if self._integrity.is_sound():
            self.current = settings
        await self._state.watch(records.SETTINGS, version or 1, WATCH_S)

    async def read(self) -> tuple[OperatorSettings, int]:
        """The settings in the store, and their version (0: never set).

        Raises `TemporarilyUnavailableError` while the state service can't be asked.
        """
        try:
            found = await self._state.get(records.SETTINGS)
        except (UnavailableError, UnknownOutcomeError) as error:
            raise TemporarilyUnavailableError(f"state service: {error}") from None
        if found is None:
            return OperatorSettings(), 0
        try:
            return parse_operator_settings(found[0]), found[1]
        except InvalidSettingsError as error:
            # Written by another version of the program: its own defaults are safer than a guess.
            log.error("stored operators' settings unusable version=%d: %s", found[1], error)  # noqa: TRY400 - expected: the text says all
            return OperatorSettings(), found[1]

    async def change(self, settings: OperatorSettings, version: int) -> int:
        """Replaces the settings of a version; returns the new version.

        Raises `StaleVersionError` if they have changed since, and `TemporarilyUnavailableError` if they can't be
        changed now.
        """
        if not self._integrity.is_sound():
            raise TemporarilyUnavailableError("lost records are being rebuilt")
        guards = {records.SETTINGS: version, **self._integrity.guards()}
        puts = {records.SETTINGS: msgspec.to_builtins(settings)}
        try:
            changed = await self._state.commit(guards, puts, [])
            self._integrity.record_commit(puts, [], changed)
        except ConflictError:
            raise StaleVersionError from None
        except (UnavailableError, UnknownOutcomeError) as error:
            raise TemporarilyUnavailableError(f"state service: {error}") from None
        log.info("operators' settings changed version=%d settings=%s", changed, settings)
        self.current = settings
        return changed
