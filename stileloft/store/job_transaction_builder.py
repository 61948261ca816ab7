"""What has to be written about a job."""

from stileloft.model import gangs
from stileloft.model.jobs import Job
from stileloft.model.records.forms import FinalPhase, StoredCounts, to_stored
from stileloft.model.records.keys import active_key, final_key
from stileloft.model.records.outcomes import final_record
from stileloft.model.records.ranges import to_ranges
from stileloft.store.chunk_writer import ChunkWriter, stored_keys
from stileloft.store.job_record_policy import JobRecordPolicy, detaches_inline_chunk
from stileloft.store.job_transaction import JobTransaction
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock

JOB_CHANGES = 2
"""Changes left for a job's own record when its chunks are gathered into a transaction."""


class JobTransactionBuilder:
    """Compares the leader's state of a job with what the store holds of it."""

    def __init__(self, store: LeaderStore, clock: Clock) -> None:
        self._policy = JobRecordPolicy(store, clock)
        self._chunks = ChunkWriter(store, self._policy)

    def build(self, job: Job, room: int) -> JobTransaction | None:
        """What is to be written about a job, in at most `room` puts and deletes if they suffice for one chunk."""
        part = JobTransaction(job, is_inline=self._policy.stores_chunk_inline(job))
        gang_completed = job.spec.is_gang and not job.end_phase and gangs.is_completed(job)
        newly_done = self._add_chunks(part, room)
        if job.end_phase:
            return part if part.changes or part.removed_chunks else None
        part.guards[active_key(job.id)] = job.version
        part.counts = StoredCounts(job.done + newly_done, job.running())
        if gang_completed or part.counts.done >= job.spec.tasks:
            self._end_job(part, room)
        elif self._policy.is_due(part):
            self._put_job(part)
        return part if part.changes else None

    def _add_chunks(self, part: JobTransaction, room: int) -> int:
        """Adds the chunks that have changed, as far as there is room; returns how many tasks are newly done."""
        job = part.job
        all_chunks = detaches_inline_chunk(part) and not job.end_phase
        newly_done = 0
        for number in [n for n, chunk in job.chunks.items() if chunk.dirty or all_chunks]:
            if part.guards and part.changes >= max(1, room - JOB_CHANGES):
                break
            newly_done += self._chunks.add(part, number)
        return newly_done

    @staticmethod
    def _end_job(part: JobTransaction, room: int) -> None:
        """The job is done, which is told in one step, whatever it is stored in.

        One task that completed means that all of a gang have. Chunks that have no room beside the end are removed
        later, as are those of a cancelled job.
        """
        job = part.job
        part.ends_job = True
        part.puts = {final_key(job.id): final_record(FinalPhase.DONE, job.spec.tasks)}
        part.deletes = [active_key(job.id)]
        for number in part.written_chunks + part.newly_finished_chunks:
            keys = stored_keys(job, number)
            if not keys or part.changes + len(keys) <= room:
                part.deletes += keys
                part.removed_chunks.append(number)
        part.written_chunks, part.newly_finished_chunks = [], []

    def _put_job(self, part: JobTransaction) -> None:
        """Writes the job's own record."""
        job = part.job
        record = self._policy.record(job, part.is_inline)
        record.finished_chunks = to_ranges(job.finished_chunks | set(part.newly_finished_chunks))
        record.counts = part.counts
        part.puts[active_key(job.id)] = to_stored(record)
        part.writes_job_record = True
        part.has_chunk_size = isinstance(record.chunk_size, int)
