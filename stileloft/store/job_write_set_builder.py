"""Builds the write sets of jobs."""

from stileloft.model import gangs
from stileloft.model.jobs import Job
from stileloft.model.records.forms import FinalPhase, StoredCounts, to_stored
from stileloft.model.records.keys import active_key, final_key
from stileloft.model.records.outcomes import final_record
from stileloft.model.records.ranges import to_ranges
from stileloft.store.chunk_writer import ChunkWriter, stored_keys
from stileloft.store.job_record_policy import JobRecordPolicy, detaches_inline_chunk
from stileloft.store.job_write_set import JobWriteSet
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock

JOB_CHANGES = 2
"""Changes reserved for the job's own record while its chunks are added to a write set."""


class JobWriteSetBuilder:
    """Compares the leader's state of a job with what the store holds of it."""

    def __init__(self, store: LeaderStore, clock: Clock) -> None:
        self._policy = JobRecordPolicy(store, clock)
        self._chunks = ChunkWriter(store, self._policy)

    def build(self, job: Job, max_changes: int) -> JobWriteSet | None:
        """Returns the job's write set, or None if nothing has to be written.

        The write set has at most `max_changes` puts and deletes, unless a single chunk takes more.
        """
        write_set = JobWriteSet(job, is_inline=self._policy.stores_chunk_inline(job))
        gang_completed = job.spec.is_gang and not job.end_phase and gangs.is_completed(job)
        newly_done = self._add_chunks(write_set, max_changes)
        if job.end_phase:
            return write_set if write_set.changes or write_set.removed_chunks else None
        write_set.guards[active_key(job.id)] = job.version
        write_set.counts = StoredCounts(job.done + newly_done, job.running())
        if gang_completed or write_set.counts.done >= job.spec.tasks:
            self._end_job(write_set, max_changes)
        elif self._policy.is_due(write_set):
            self._put_job(write_set)
        return write_set if write_set.changes else None

    def _add_chunks(self, write_set: JobWriteSet, max_changes: int) -> int:
        """Adds changed chunks within `max_changes`; returns how many of their tasks are newly done."""
        job = write_set.job
        all_chunks = detaches_inline_chunk(write_set) and not job.end_phase
        newly_done = 0
        for number in [n for n, chunk in job.chunks.items() if chunk.dirty or all_chunks]:
            if write_set.guards and write_set.changes >= max(1, max_changes - JOB_CHANGES):
                break
            newly_done += self._chunks.add(write_set, number)
        return newly_done

    @staticmethod
    def _end_job(write_set: JobWriteSet, max_changes: int) -> None:
        """Writes the end of a job that is done, in one transaction however many chunks are stored.

        A gang is done once one of its tasks has completed. Chunks whose deletion exceeds `max_changes` are removed
        later, as those of a cancelled job are.
        """
        job = write_set.job
        write_set.ends_job = True
        write_set.puts = {final_key(job.id): final_record(FinalPhase.DONE, job.spec.tasks)}
        write_set.deletes = [active_key(job.id)]
        for number in write_set.written_chunks + write_set.newly_finished_chunks:
            keys = stored_keys(job, number)
            if not keys or write_set.changes + len(keys) <= max_changes:
                write_set.deletes += keys
                write_set.removed_chunks.append(number)
        write_set.written_chunks, write_set.newly_finished_chunks = [], []

    def _put_job(self, write_set: JobWriteSet) -> None:
        """Adds the job's own record."""
        job = write_set.job
        record = self._policy.record(job, write_set.is_inline)
        record.finished_chunks = to_ranges(job.finished_chunks | set(write_set.newly_finished_chunks))
        record.counts = write_set.counts
        write_set.puts[active_key(job.id)] = to_stored(record)
        write_set.writes_job_record = True
        write_set.has_chunk_size = isinstance(record.chunk_size, int)
