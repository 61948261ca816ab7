"""Rules for a job's own record: when it is written, and what it has room for."""

import msgspec

from stileloft.model.chunks import ChunkStorage
from stileloft.model.job_records import job_record, max_inline_record_bytes
from stileloft.model.jobs import Job
from stileloft.model.records.forms import ActiveRecord, to_stored
from stileloft.model.records.ranges import to_ranges
from stileloft.model.records.sizes import json_bytes
from stileloft.store.job_write_set import JobWriteSet
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock

COUNTS_INTERVAL_S = 1.2
"""Changed counts are written after this interval, in seconds: users may see a state that is up to 3 s old."""
MAX_COUNTS_DELAY_S = 2.4
"""The interval while the write budget is short, in seconds."""
SHORT_BUDGET_FRACTION = 0.5
"""The write budget is short when it holds at most this fraction of a second's changes."""
AMPLE_BUDGET_FRACTION = 0.75
"""Deferrable changes are written while the budget holds more than this fraction of a second's changes."""
MAX_UNMEASURED_RANGES = 8
"""The size of a job's record is not checked while its finished chunks form at most this many ranges."""
MAX_INLINE_VALUE_FRACTION = 0.5
"""Fraction of the limit of a value that a record with a chunk may take: it still fits if the limit is lowered."""


class JobRecordPolicy:
    """Decides when jobs' own records are written, and whether they hold a chunk."""

    def __init__(self, store: LeaderStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def stores_chunk_inline(self, job: Job) -> bool:
        """Whether the job's only chunk has to be stored in the job's own record."""
        if not self._store.format.has_inline_chunks or job.end_phase or job.chunk_count() > 1:
            return False
        if any(chunk.storage is ChunkStorage.OWN_RECORDS for chunk in job.chunks.values()):
            return False  # stored before format 2; the chunk keeps its own records
        max_bytes = MAX_INLINE_VALUE_FRACTION * self._store.limits.max_value_bytes
        # The upper bound is tried first: encoding the record is slow, and this runs at each check of a job.
        if max_inline_record_bytes(job) <= max_bytes:
            return True
        return json_bytes(to_stored(self.record(job, with_chunk=True))) <= max_bytes

    def record(self, job: Job, with_chunk: bool) -> ActiveRecord:
        """Returns the job's record in the format in force."""
        return job_record(job, self._store.format.has_chunk_sizes, with_chunk)

    def has_room_for_finished(self, job: Job, chunks: set[int]) -> bool:
        """Whether the job's record has room to list these chunks as finished too."""
        ranges = to_ranges(job.finished_chunks | chunks)
        if len(ranges) <= MAX_UNMEASURED_RANGES:
            return True
        record = msgspec.structs.replace(job_record(job, True), finished_chunks=ranges)
        return json_bytes(to_stored(record)) <= self._store.limits.max_value_bytes

    def is_due(self, write_set: JobWriteSet) -> bool:
        """Whether the job's record has to be written now."""
        changes_chunks = write_set.newly_finished_chunks or (write_set.is_inline and write_set.written_chunks)
        if changes_chunks or detaches_inline_chunk(write_set) or self._counts_overdue(write_set):
            return True
        return self._store.format.has_chunk_sizes and not write_set.job.stores_chunk_size and self._budget_is_ample()

    def _counts_overdue(self, write_set: JobWriteSet) -> bool:
        """Whether the counts have to be written now, as users would otherwise see them too late."""
        counts, write = write_set.counts, write_set.job.write
        if counts == write.stored_counts:
            return False
        if (counts.running > 0) != (write.stored_counts.running > 0):
            return True
        budget = self._store.write_budget
        is_short = budget.level() <= SHORT_BUDGET_FRACTION * budget.rate_per_s
        interval_s = MAX_COUNTS_DELAY_S if is_short else COUNTS_INTERVAL_S
        now: float = self._clock.seconds()
        return now - write.counts_stored_at > interval_s

    def _budget_is_ample(self) -> bool:
        """Whether the write budget suffices for deferrable changes."""
        budget = self._store.write_budget
        return budget.level() > AMPLE_BUDGET_FRACTION * budget.rate_per_s


def detaches_inline_chunk(write_set: JobWriteSet) -> bool:
    """Whether the write set moves the chunk in the job's record into records of its own."""
    return write_set.job.has_inline_chunk and not write_set.is_inline
