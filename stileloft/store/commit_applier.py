"""Applies executed transactions to the leader's state of the cluster."""

from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model.chunks import NO_RECORD, ChunkStorage
from stileloft.model.jobs import EndPhase
from stileloft.model.placements import PlacementState
from stileloft.model.records import VersionedValue
from stileloft.store.job_write_set import JobWriteSet
from stileloft.transport.clock import Clock


class CommitApplier:
    """Updates jobs after a commit. Called with the cluster's lock held."""

    def __init__(self, jobs: JobRegistry, lifecycle: TaskLifecycle, clock: Clock) -> None:
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._clock = clock

    def apply(self, write_set: JobWriteSet, revision: int) -> None:
        """Updates the leader's state of a job with its write set, which was committed at this revision of the store."""
        job = write_set.job
        job.write.commit_in_flight = False
        self._apply_placements(write_set)
        self._apply_chunks(write_set, revision)
        if write_set.ends_job:
            job.done = job.spec.tasks
            self._lifecycle.end_job(job, EndPhase.DONE)
        elif write_set.writes_job_record:
            job.stores_chunk_size = write_set.has_chunk_size
            job.version = revision
            job.write.stored_counts = write_set.counts
            job.write.counts_stored_at = self._clock.seconds()
        if job.end_phase and not job.chunks:
            self._jobs.remove(job)

    def _apply_placements(self, write_set: JobWriteSet) -> None:
        """Marks the new placements as bound, and removes those that the store no longer holds."""
        job = write_set.job
        for placement in write_set.new_placements:
            if placement.state == PlacementState.PLANNED:
                placement.state = PlacementState.BOUND
        for placement in write_set.cleared_placements:
            chunk = job.chunk_of(placement.index)
            if placement.done and not job.end_phase and placement.index not in chunk.done:
                chunk.done.add(placement.index)
                job.done += 1
            if chunk.placements.get(placement.index) is placement:
                job.remove_placement(placement)
            self._lifecycle.untrack(placement)

    @staticmethod
    def _apply_chunks(write_set: JobWriteSet, revision: int) -> None:
        """Records where the store holds each chunk, and at which version."""
        job = write_set.job
        for number in write_set.written_chunks:
            chunk = job.chunks[number]
            if write_set.is_inline:
                chunk.storage = ChunkStorage.INLINE
                continue
            chunk.storage = ChunkStorage.OWN_RECORDS
            chunk.version = revision
            before, chunk.overflow = chunk.overflow, {}
            for overflow, value in enumerate(write_set.overflow.get(number, ()), 1):
                stored = before.get(overflow, NO_RECORD)
                chunk.overflow[overflow] = stored if stored.value == value else VersionedValue(value, revision)
        for number in write_set.newly_finished_chunks:
            del job.chunks[number]
            job.finished_chunks.add(number)
        for number in write_set.removed_chunks:
            del job.chunks[number]
