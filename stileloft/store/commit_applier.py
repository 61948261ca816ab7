"""Applies executed commits to the leader's state of the cluster."""

from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model.chunks import NO_RECORD, ChunkStorage
from stileloft.model.jobs import EndPhase
from stileloft.model.placements import PlacementState
from stileloft.model.records import VersionedValue
from stileloft.store.job_transaction import JobTransaction
from stileloft.transport.clock import Clock


class CommitApplier:
    """Brings jobs in line with what was committed of them. Called with the cluster's lock held."""

    def __init__(self, jobs: JobRegistry, lifecycle: TaskLifecycle, clock: Clock) -> None:
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._clock = clock

    def apply(self, part: JobTransaction, revision: int) -> None:
        """Applies a job's part of a transaction that was executed at this revision of the store."""
        job = part.job
        job.write.commit_in_flight = False
        self._settle_placements(part)
        self._settle_chunks(part, revision)
        if part.ends_job:
            job.done = job.spec.tasks
            self._lifecycle.end_job(job, EndPhase.DONE)
        elif part.writes_job_record:
            job.stores_chunk_size = part.has_chunk_size
            job.version = revision
            job.write.stored_counts = part.counts
            job.write.counts_stored_at = self._clock.seconds()
        if job.end_phase and not job.chunks:
            self._jobs.remove(job)

    def _settle_placements(self, part: JobTransaction) -> None:
        """Planned placements are bound now, and ended ones are no longer stored."""
        job = part.job
        for placement in part.new_placements:
            if placement.state == PlacementState.PLANNED:
                placement.state = PlacementState.BOUND
        for placement in part.cleared_placements:
            chunk = job.chunk_of(placement.index)
            if placement.done and not job.end_phase and placement.index not in chunk.done:
                chunk.done.add(placement.index)
                job.done += 1
            if chunk.placements.get(placement.index) is placement:
                job.remove_placement(placement)
            self._lifecycle.untrack(placement)

    @staticmethod
    def _settle_chunks(part: JobTransaction, revision: int) -> None:
        """Notes where the store holds each chunk, and in which version."""
        job = part.job
        for number in part.written_chunks:
            chunk = job.chunks[number]
            if part.is_inline:
                chunk.storage = ChunkStorage.INLINE
                continue
            chunk.storage = ChunkStorage.OWN_RECORDS
            chunk.version = revision
            before, chunk.overflow = chunk.overflow, {}
            for overflow, value in enumerate(part.overflow.get(number, ()), 1):
                stored = before.get(overflow, NO_RECORD)
                chunk.overflow[overflow] = stored if stored.value == value else VersionedValue(value, revision)
        for number in part.newly_finished_chunks:
            del job.chunks[number]
            job.finished_chunks.add(number)
        for number in part.removed_chunks:
            del job.chunks[number]
