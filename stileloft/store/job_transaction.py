"""What is to be written about a job: its part of a transaction of the leader."""

from dataclasses import dataclass, field
from typing import Any

from stileloft.model import gangs, records
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState
from stileloft.store.access import LeaderStore
from stileloft.transport.clock import Clock

# The state that users see may lag by 3 s.
COUNTS_INTERVAL_S = 1.2
MAX_COUNTS_DELAY_S = 2.4
# What nothing waits for is written while so much of the budget is left.
LEISURE = 0.75
# Finished chunks are folded into the job's record without measuring it while it has at most so many ranges.
FEW_RANGES = 8
# A job's record with its chunk takes at most this part of a value: it is still stored, or moved to a record of the
# chunk's own in few changes, when the limits become lower.
INLINE_PART = 0.5
# Changes left for a job's own record when its chunks are gathered into a transaction.
JOB_CHANGES = 2


@dataclass(slots=True)
class JobTransaction:
    """A job's part of a transaction."""

    job: Job
    guards: dict[str, int] = field(default_factory=dict)
    puts: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    bound: list[Placement] = field(default_factory=list)
    ended: list[Placement] = field(default_factory=list)
    written: list[int] = field(default_factory=list)
    finished: list[int] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)
    parts: dict[int, list[Any]] = field(default_factory=dict)
    """The further records of chunks that are written."""
    final: bool = False
    active: bool = False
    """The job's own record is written."""
    inline: bool = False
    """The job's own record holds its only chunk."""
    counts: tuple[int, int] = (0, 0)
    size: int = 0

    @property
    def changes(self) -> int:
        """Changes of the store that it takes."""
        return len(self.puts) + len(self.deletes)

    @property
    def chunks(self) -> list[int]:
        """All chunks that it is about."""
        return self.written + self.finished + self.dropped


class JobTransactionBuilder:
    """Compares the leader's picture of a job with what the store holds of it."""

    def __init__(self, store: LeaderStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock

    def build(self, job: Job, room: int) -> JobTransaction | None:
        """What is to be written about a job, in at most `room` puts and deletes if they suffice for one chunk."""
        entry = JobTransaction(job, inline=self._is_inline(job))
        gang_completed = job.spec.is_gang and not job.end_phase and gangs.completed(job)
        done_after = job.done
        moves = self._leaves_job_record(entry) and not job.end_phase
        for number in [n for n, chunk in job.chunks.items() if chunk.dirty or moves]:
            if entry.guards and entry.changes >= max(1, room - JOB_CHANGES):
                break
            done_after += self._enter_chunk(entry, number)
        if job.end_phase:
            return entry if entry.puts or entry.deletes or entry.dropped else None
        entry.guards[records.active_key(job.id)] = job.version
        entry.counts = (done_after, job.running())
        if gang_completed or done_after >= job.spec.tasks:
            self._finish(entry, room)
        elif self._writes_job(entry):
            self._put_job(entry)
        elif not entry.puts and not entry.deletes:
            return None
        return entry

    def _is_inline(self, job: Job) -> bool:
        """Whether the job's only chunk belongs into the job's own record."""
        if self._store.format.number < records.INLINE_FORMAT or job.end_phase or job.chunk_count() > 1:
            return False
        if any(chunk.stored for chunk in job.chunks.values()):
            return False  # it has a record of its own, from an earlier format, and keeps it
        most = INLINE_PART * self._limit()
        # It is asked at each look at a job, most of which find nothing to write: encoding the record each time took a
        # good part of the ledger's time.
        return job.inline_record_bytes() <= most or records.size_of(self._job_record(job, inline=True)) <= most

    def _limit(self) -> int:
        return self._store.limits.value_bytes

    def _finish(self, entry: JobTransaction, room: int) -> None:
        """The job is done, which is told in one step, whatever it is stored in.

        One task that completed means that all of a gang have. Chunks that have no room beside the end are
        dropped later, as are those of a cancelled job.
        """
        job = entry.job
        entry.final = True
        entry.puts = {records.final_key(job.id): records.final_record("done", job.spec.tasks)}
        entry.deletes = [records.active_key(job.id)]
        for number in entry.written + entry.finished:
            keys = self._keys(job, number) if job.chunks[number].stored else []
            if entry.changes + len(keys) <= room or not keys:
                entry.deletes += keys
                entry.dropped.append(number)
        entry.written, entry.finished = [], []

    def _writes_job(self, entry: JobTransaction) -> bool:
        """Whether the job's own record is to be written."""
        if entry.finished or (entry.inline and entry.written) or self._leaves_job_record(entry):
            return True
        if self._counts_are_due(entry):
            return True
        sized = self._store.format.number >= records.SIZED_FORMAT
        return sized and not entry.job.chunk_size_stored and self._at_leisure()

    @staticmethod
    def _leaves_job_record(entry: JobTransaction) -> bool:
        """Whether the job's record has no room any more for the chunk that it holds."""
        return entry.job.has_inline_chunk and not entry.inline

    def _counts_are_due(self, entry: JobTransaction) -> bool:
        """Whether users would see the counts too late if they were not written now."""
        job = entry.job
        if entry.counts == job.stored_counts:
            return False
        if (entry.counts[1] > 0) != (job.stored_counts[1] > 0):
            return True
        # Each time the counts are told is a change more, so less often while the budget is short.
        write_budget = self._store.write_budget
        every_s = COUNTS_INTERVAL_S if write_budget.level() > write_budget.rate_per_s / 2 else MAX_COUNTS_DELAY_S
        now: float = self._clock.seconds()
        return now - job.counts_stored_at > every_s

    def _at_leisure(self) -> bool:
        """Whether there are changes to spare for what nothing waits for."""
        return self._store.write_budget.level() > LEISURE * self._store.write_budget.rate_per_s

    def _put_job(self, entry: JobTransaction) -> None:
        record = self._job_record(entry.job, entry.inline)
        record["f"] = records.to_ranges(entry.job.finished_chunks | set(entry.finished))
        record["c"] = list(entry.counts)
        entry.puts[records.active_key(entry.job.id)] = record
        entry.active = True

    def _job_record(self, job: Job, inline: bool) -> dict[str, Any]:
        record = job.record(self._store.format.number >= records.SIZED_FORMAT)
        if inline and 0 in job.chunks:
            # Whoever writes the record writes this too, or placements would be lost.
            record[records.INLINE_CHUNK] = job.chunks[0].inline_record()
        return record

    def _enter_chunk(self, entry: JobTransaction, number: int) -> int:
        """Adds a chunk to a job's part of a transaction; returns how many tasks of it are newly done."""
        job = entry.job
        chunk = job.chunks[number]
        ended = [p for p in chunk.placements.values() if p.state == PlacementState.ENDED]
        live = [p for p in chunk.placements.values() if p.state != PlacementState.ENDED]
        completed = {p.index for p in ended if p.done}
        if not entry.inline:
            entry.guards[records.chunk_key(job.id, number)] = chunk.version
        entry.ended += ended
        if job.end_phase and not live:
            if chunk.stored:
                entry.deletes += self._keys(job, number)
            entry.dropped.append(number)
            return 0
        # What is left of a cancelled job is recorded until it is gone.
        complete = not live and len(chunk.done | completed) == job.chunk_length(number)
        if not job.end_phase and complete and self._foldable(job, {*entry.finished, number}):
            if chunk.stored:
                entry.deletes += self._keys(job, number)
            entry.finished.append(number)
        else:
            entry.written.append(number)
            entry.bound += [p for p in live if p.state == PlacementState.PLANNED]
            if not entry.inline:
                self._put_chunk(entry, number)
        return len(completed - chunk.done)

    def _put_chunk(self, entry: JobTransaction, number: int) -> None:
        """Writes a chunk as records of its own."""
        job, chunk = entry.job, entry.job.chunks[number]
        # A leader that has just begun may not have read the format yet. The length must be told all the same if the
        # job's record has it: what is left of a cancelled job is read by the length that its chunks tell.
        if self._store.format.number < records.SIZED_FORMAT and not job.chunk_size_stored:
            entry.puts[records.chunk_key(job.id, number)] = chunk.record(job.spec)
            return
        values = chunk.records(job.spec, job.chunk_size, self._limit())
        entry.puts[records.chunk_key(job.id, number)] = values[0]
        entry.parts[number] = values[1:]
        for part, value in enumerate(values[1:], 1):
            version, stored = chunk.parts.get(part, (0, None))
            key = records.part_key(job.id, number, part)
            entry.guards[key] = version
            if value != stored:
                entry.puts[key] = value
        for part in chunk.parts:
            if part >= len(values):
                entry.deletes.append(records.part_key(job.id, number, part))

    @staticmethod
    def _keys(job: Job, number: int) -> list[str]:
        return [records.part_key(job.id, number, part) for part in (0, *job.chunks[number].parts)]

    def _foldable(self, job: Job, finished: set[int]) -> bool:
        """Whether the job's record has room for one more finished chunk; if not, the chunk's own record stays."""
        ranges = records.to_ranges(job.finished_chunks | finished)
        if len(ranges) <= FEW_RANGES:
            return True
        return records.size_of(job.record(True) | {"f": ranges}) <= self._limit()
