"""The format of the store's records that this controller may write."""

import logging
from collections.abc import Callable

from stileloft.model import records
from stileloft.protocol.state import CompactedError, StateClient, UnavailableError, UnknownOutcomeError
from stileloft.settings import State
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat

log = logging.getLogger(__name__)

WATCH_S = 30.0
"""Duration of one watch of the format record, in seconds."""
RETRY = RetryPolicy((UnavailableError, UnknownOutcomeError, CompactedError), WATCH_S / 10, WATCH_S / 10)


class RecordFormat:
    """The newest format that this controller has seen in force; formats only advance."""

    def __init__(self, limits: State) -> None:
        self.number = 0
        self.record_version = 0
        """The version of the format record; 0 if there is none."""
        self.legacy_chunk_size = records.chunk_size(limits.value_kb)
        """Tasks per chunk of jobs whose records do not state it."""
        self.chunk_size = records.recorded_chunk_size(limits.strictest().value_bytes)
        """Tasks per chunk of new jobs, once their records may state it."""
        self.on_advance: Callable[[], None] = lambda: None
        """Called after the format has advanced."""

    @property
    def has_chunk_sizes(self) -> bool:
        """Whether records state the number of tasks per chunk."""
        return self.number >= records.CHUNK_SIZE_FORMAT

    @property
    def has_inline_chunks(self) -> bool:
        """Whether the only chunk of a small job may be stored in the job's own record."""
        return self.number >= records.INLINE_FORMAT

    def observe(self, number: int, version: int) -> None:
        """Records the stored format and the version of the format record."""
        self.record_version = max(self.record_version, version)
        if number > self.number:
            log.info("record format advanced format=%d previous=%d", number, self.number)
            self.number = number
            self.on_advance()

    def reset_record_version(self) -> None:
        """Resets the version of the format record after a rebuild of the store, which changes all versions."""
        self.record_version = 0

    async def follow(self, state: StateClient, clock: Clock) -> None:
        """Watches the stored format until it is the newest that this controller can read."""

        async def read_and_watch() -> None:
            found = await state.get(records.FORMAT)
            if found is not None:
                self.observe(records.read_format(found[0]).format, found[1])
            if self.number < records.NEWEST_FORMAT:
                since = state.revision if found is None else found[1]
                await state.watch(records.FORMAT, since, WATCH_S)

        await repeat("record format watch", read_and_watch, RETRY, clock, lambda: self.number < records.NEWEST_FORMAT)
