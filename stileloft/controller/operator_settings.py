"""The operators' settings, stored in the state service and in force on all controllers."""

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

WATCH_TIMEOUT_S = 30.0
"""How long one watch of the settings waits for a change, in seconds."""
RETRY = RetryPolicy(
    (TemporarilyUnavailableError, UnavailableError, UnknownOutcomeError, CompactedError),
    WATCH_TIMEOUT_S / 10,
    WATCH_TIMEOUT_S / 10,
)


class OperatorSettingsStore:
    """Follows the operators' settings in the store, and changes them."""

    def __init__(self, state: StateClient, integrity: StoreIntegrity, clock: Clock) -> None:
        self._state = state
        self._integrity = integrity
        self._clock = clock
        self.current = OperatorSettings()
        """The newest settings that this controller has read or written."""

    async def run(self) -> None:
        """Follows changes of the settings for the lifetime of the process."""
        await repeat("operator settings watch", self._read_and_watch, RETRY, self._clock)

    async def _read_and_watch(self) -> None:
        settings, version = await self.read()
        if self._integrity.is_sound():
            self.current = settings
        await self._state.watch(records.SETTINGS, version or 1, WATCH_TIMEOUT_S)

    async def read(self) -> tuple[OperatorSettings, int]:
        """Returns the settings in the store, and their version (0: never set).

        Raises `TemporarilyUnavailableError` if the state service does not answer.
        """
        try:
            stored = await self._state.get(records.SETTINGS)
        except (UnavailableError, UnknownOutcomeError) as error:
            raise TemporarilyUnavailableError(f"state service: {error}") from None
        if stored is None:
            return OperatorSettings(), 0
        try:
            return parse_operator_settings(stored[0]), stored[1]
        except InvalidSettingsError as error:
            # Another version of the program wrote the settings: the defaults are safer than a guess at their meaning.
            log.error("stored operator settings invalid version=%d error=%s", stored[1], error)  # noqa: TRY400 - expected error, no traceback
            return OperatorSettings(), stored[1]

    async def change(self, settings: OperatorSettings, version: int) -> int:
        """Replaces the settings if `version` is the stored one; returns the new version.

        Raises `StaleVersionError` if another version is stored, and `TemporarilyUnavailableError` if the state service
        does not answer or lost records are being rebuilt.
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
        log.info("operator settings changed version=%d settings=%s", changed, settings)
        self.current = settings
        return changed
