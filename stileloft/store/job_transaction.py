"""What is to be written about a job: its part of a transaction of the leader."""

from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState
from stileloft.scheduling import gangs
from stileloft.store.access import LeaderStore
from stileloft.transport.clock import Clock

# The state that users see may lag by 3 s.
COUNTS_INTERVAL_S = 1.2
MAX_COUNTS_DELAY_S = 2.4
# What nothing waits for is written while so much of the budget is left.
AMPLE_BUDGET_PART = 0.75
# Finished chunks are folded into the job's record without measuring it while it has at most so many ranges.
FEW_RANGES = 8
# A job's record with its chunk takes at most this part of a value: it is still stored, or moved to a record of the
# chunk's own in few changes, when the limits become lower.
MAX_INLINE_VALUE_PART = 0.5
# Changes left for a job's own record when its chunks are gathered into a transaction.
JOB_CHANGES = 2


@dataclass(slots=True)
class JobTransaction:
    """A job's part of a transaction."""

    job: Job
    guards: dict[str, int] = field(default_factory=dict)
    puts: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    new_placements: list[Placement] = field(default_factory=list)
    cleared_placements: list[Placement] = field(default_factory=list)
    written_chunks: list[int] = field(default_factory=list)
    folded_chunks: list[int] = field(default_factory=list)
    removed_chunks: list[int] = field(default_factory=list)
    overflow: dict[int, list[Any]] = field(default_factory=dict)
    """The further records of chunks that are written."""
    ends_job: bool = False
    writes_job_record: bool = False
    """The job's own record is written."""
    is_inline: bool = False
    """The job's own record holds its only chunk."""
    counts: tuple[int, int] = (0, 0)

    @property
    def changes(self) -> int:
        """Changes of the store that it takes."""
        return len(self.puts) + len(self.deletes)

    @property
    def chunks(self) -> list[int]:
        """All chunks that it is about."""
        return self.written_chunks + self.folded_chunks + self.removed_chunks


class JobTransactionBuilder:
    """Compares the leader's picture of a job with what the store holds of it."""

    def __init__(self, store: LeaderStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def build(self, job: Job, room: int) -> JobTransaction | None:
        """What is to be written about a job, in at most `room` puts and deletes if they suffice for one chunk."""
        part = JobTransaction(job, is_inline=self._is_inline(job))
        gang_completed = job.spec.is_gang and not job.end_phase and gangs.completed(job)
        done_after = job.done
        moves = self._moves_out_of_job_record(part) and not job.end_phase
        for number in [n for n, chunk in job.chunks.items() if chunk.dirty or moves]:
            if part.guards and part.changes >= max(1, room - JOB_CHANGES):
                break
            done_after += self._add_chunk(part, number)
        if job.end_phase:
            return part if part.puts or part.deletes or part.removed_chunks else None
        part.guards[records.active_key(job.id)] = job.version
        part.counts = (done_after, job.running())
        if gang_completed or done_after >= job.spec.tasks:
            self._finish(part, room)
        elif self._writes_job(part):
            self._put_job(part)
        elif not part.puts and not part.deletes:
            return None
        return part

    def _is_inline(self, job: Job) -> bool:
        """Whether the job's only chunk belongs into the job's own record."""
        if self._store.format.number < records.INLINE_FORMAT or job.end_phase or job.chunk_count() > 1:
            return False
        if any(chunk.stored for chunk in job.chunks.values()):
            return False  # it has a record of its own, from an earlier format, and keeps it
        most = MAX_INLINE_VALUE_PART * self._limit()
        # It is asked at each look at a job, most of which find nothing to write: encoding the record each time took a
        # good part of the ledger's time.
        return job.max_inline_record_bytes() <= most or records.json_bytes(self._job_record(job, inline=True)) <= most

    def _limit(self) -> int:
        return self._store.limits.value_bytes

    def _finish(self, part: JobTransaction, room: int) -> None:
        """The job is done, which is told in one step, whatever it is stored in.

        One task that completed means that all of a gang have. Chunks that have no room beside the end are
        dropped later, as are those of a cancelled job.
        """
        job = part.job
        part.ends_job = True
        part.puts = {records.final_key(job.id): records.final_record("done", job.spec.tasks)}
        part.deletes = [records.active_key(job.id)]
        for number in part.written_chunks + part.folded_chunks:
            keys = self._chunk_keys(job, number) if job.chunks[number].stored else []
            if part.changes + len(keys) <= room or not keys:
                part.deletes += keys
                part.removed_chunks.append(number)
        part.written_chunks, part.folded_chunks = [], []

    def _writes_job(self, part: JobTransaction) -> bool:
        """Whether the job's own record is to be written."""
        if part.folded_chunks or (part.is_inline and part.written_chunks) or self._moves_out_of_job_record(part):
            return True
        if self._counts_overdue(part):
            return True
        sized = self._store.format.number >= records.SIZED_FORMAT
        return sized and not part.job.stores_chunk_size and self._budget_is_ample()

    @staticmethod
    def _moves_out_of_job_record(part: JobTransaction) -> bool:
        """Whether the job's record has no room any more for the chunk that it holds."""
        return part.job.has_inline_chunk and not part.is_inline

    def _counts_overdue(self, part: JobTransaction) -> bool:
        """Whether users would see the counts too late if they were not written now."""
        job = part.job
        if part.counts == job.stored_counts:
            return False
        if (part.counts[1] > 0) != (job.stored_counts[1] > 0):
            return True
        # Each time the counts are told is a change more, so less often while the budget is short.
        write_budget = self._store.write_budget
        every_s = COUNTS_INTERVAL_S if write_budget.level() > write_budget.rate_per_s / 2 else MAX_COUNTS_DELAY_S
        now: float = self._clock.seconds()
        return now - job.counts_stored_at > every_s

    def _budget_is_ample(self) -> bool:
        """Whether there are changes to spare for what nothing waits for."""
        return self._store.write_budget.level() > AMPLE_BUDGET_PART * self._store.write_budget.rate_per_s

    def _put_job(self, part: JobTransaction) -> None:
        record = self._job_record(part.job, part.is_inline)
        record["f"] = records.to_ranges(part.job.finished_chunks | set(part.folded_chunks))
        record["c"] = list(part.counts)
        part.puts[records.active_key(part.job.id)] = record
        part.writes_job_record = True

    def _job_record(self, job: Job, inline: bool) -> dict[str, Any]:
        record = job.record(self._store.format.number >= records.SIZED_FORMAT)
        if inline and 0 in job.chunks:
            # Whoever writes the record writes this too, or placements would be lost.
            record[records.INLINE_CHUNK] = job.chunks[0].inline_record()
        return record

    def _add_chunk(self, part: JobTransaction, number: int) -> int:
        """Adds a chunk to a job's part of a transaction; returns how many tasks of it are newly done."""
        job = part.job
        chunk = job.chunks[number]
        ended = [p for p in chunk.placements.values() if p.state == PlacementState.ENDED]
        live = [p for p in chunk.placements.values() if p.state != PlacementState.ENDED]
        completed = {p.index for p in ended if p.done}
        if not part.is_inline:
            part.guards[records.chunk_key(job.id, number)] = chunk.version
        part.cleared_placements += ended
        if job.end_phase and not live:
            if chunk.stored:
                part.deletes += self._chunk_keys(job, number)
            part.removed_chunks.append(number)
            return 0
        # What is left of a cancelled job is recorded until it is gone.
        complete = not live and len(chunk.done | completed) == job.chunk_length(number)
        if not job.end_phase and complete and self._fits_job_record(job, {*part.folded_chunks, number}):
            if chunk.stored:
                part.deletes += self._chunk_keys(job, number)
            part.folded_chunks.append(number)
        else:
            part.written_chunks.append(number)
            part.new_placements += [p for p in live if p.state == PlacementState.PLANNED]
            if not part.is_inline:
                self._put_chunk(part, number)
        return len(completed - chunk.done)

    def _put_chunk(self, part: JobTransaction, number: int) -> None:
        """Writes a chunk as records of its own."""
        job, chunk = part.job, part.job.chunks[number]
        # A leader that has just begun may not have read the format yet. The length must be told all the same if the
        # job's record has it: what is left of a cancelled job is read by the length that its chunks tell.
        if self._store.format.number < records.SIZED_FORMAT and not job.stores_chunk_size:
            part.puts[records.chunk_key(job.id, number)] = chunk.record(job.spec)
            return
        values = chunk.records(job.spec, job.chunk_size, self._limit())
        part.puts[records.chunk_key(job.id, number)] = values[0]
        part.overflow[number] = values[1:]
        for overflow, value in enumerate(values[1:], 1):
            version, stored = chunk.overflow.get(overflow, (0, None))
            key = records.chunk_key(job.id, number, overflow)
            part.guards[key] = version
            if value != stored:
                part.puts[key] = value
        for overflow in chunk.overflow:
            if overflow >= len(values):
                part.deletes.append(records.chunk_key(job.id, number, overflow))

    @staticmethod
    def _chunk_keys(job: Job, number: int) -> list[str]:
        return [records.chunk_key(job.id, number, overflow) for overflow in (0, *job.chunks[number].overflow)]

    def _fits_job_record(self, job: Job, finished: set[int]) -> bool:
        """Whether the job's record has room for one more finished chunk; if not, the chunk's own record stays."""
        ranges = records.to_ranges(job.finished_chunks | finished)
        if len(ranges) <= FEW_RANGES:
            return True
        return records.json_bytes(job.record(True) | {"f": ranges}) <= self._limit()
