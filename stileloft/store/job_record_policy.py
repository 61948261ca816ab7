"""When a job's own record is written, and what it has room for."""

import msgspec

from stileloft.model.chunks import ChunkStorage
from stileloft.model.job_records import job_record, max_inline_record_bytes
from stileloft.model.jobs import Job
from stileloft.model.records.forms import ActiveRecord, to_stored
from stileloft.model.records.ranges import to_ranges
from stileloft.model.records.sizes import json_bytes
from stileloft.store.job_transaction import JobTransaction
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock

COUNTS_INTERVAL_S = 1.2
"""Changed counts are written after so many seconds; users may see the state of 3 s ago."""
MAX_COUNTS_DELAY_S = 2.4
"""The same while the write budget is short."""
SHORT_BUDGET_PART = 0.5
"""The write budget is short when less than this part of a second's changes is left."""
AMPLE_BUDGET_PART = 0.75
"""What nothing waits for is written while at least this part of a second's changes is left."""
FEW_RANGES = 8
"""A job's record is not measured while its finished chunks make at most so many ranges."""
MAX_INLINE_VALUE_PART = 0.5
"""The most of a value that a record with a chunk takes: it can still be written if the limits become lower."""


class JobRecordPolicy:
    """Decides on jobs' own records."""

    def __init__(self, store: LeaderStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def stores_chunk_inline(self, job: Job) -> bool:
        """Whether the job's only chunk is to be stored in the job's own record."""
        if not self._store.format.has_inline_chunks or job.end_phase or job.chunk_count() > 1:
            return False
        if any(chunk.storage is ChunkStorage.OWN_RECORDS for chunk in job.chunks.values()):
            return False  # it was stored before format 2, and stays where it is
        max_bytes = MAX_INLINE_VALUE_PART * self._store.limits.max_value_bytes
        # The bound comes first: this is asked each time a job is checked, and encoding the record takes long.
        if max_inline_record_bytes(job) <= max_bytes:
            return True
        return json_bytes(to_stored(self.record(job, with_chunk=True))) <= max_bytes

    def record(self, job: Job, with_chunk: bool) -> ActiveRecord:
        """The job's record in the format in force."""
        return job_record(job, self._store.format.has_chunk_sizes, with_chunk)

    def has_room_for_finished(self, job: Job, chunks: set[int]) -> bool:
        """Whether the job's record has room to say that these chunks are finished too."""
        ranges = to_ranges(job.finished_chunks | chunks)
        if len(ranges) <= FEW_RANGES:
            return True
        record = msgspec.structs.replace(job_record(job, True), finished_chunks=ranges)
        return json_bytes(to_stored(record)) <= self._store.limits.max_value_bytes

    def is_due(self, part: JobTransaction) -> bool:
        """Whether the job's record is to be written now."""
        changes_chunks = part.newly_finished_chunks or (part.is_inline and part.written_chunks)
        if changes_chunks or detaches_inline_chunk(part) or self._counts_overdue(part):
            return True
        return self._store.format.has_chunk_sizes and not part.job.stores_chunk_size and self._budget_is_ample()

    def _counts_overdue(self, part: JobTransaction) -> bool:
        """Whether users would see the counts too late if they were not written now."""
        counts, write = part.counts, part.job.write
        if counts == write.stored_counts:
            return False
        if (counts.running > 0) != (write.stored_counts.running > 0):
            return True
        budget = self._store.write_budget
        is_short = budget.level() <= SHORT_BUDGET_PART * budget.rate_per_s
        interval_s = MAX_COUNTS_DELAY_S if is_short else COUNTS_INTERVAL_S
        now: float = self._clock.seconds()
        return now - write.counts_stored_at > interval_s

    def _budget_is_ample(self) -> bool:
        """Whether there are changes to spare for what nothing waits for."""
        budget = self._store.write_budget
        return budget.level() > AMPLE_BUDGET_PART * budget.rate_per_s


def detaches_inline_chunk(part: JobTransaction) -> bool:
    """Whether the chunk that the job's record holds gets records of its own."""
    return part.job.has_inline_chunk and not part.is_inline
