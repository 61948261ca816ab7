"""What follows from a commit that was executed, in the leader's state of the cluster."""

from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model import records
from stileloft.model.jobs import EndPhase
from stileloft.model.placements import PlacementState
from stileloft.store.job_transaction import JobTransaction
from stileloft.transport.clock import Clock


class CommitApplier:
    """Brings jobs in line with what was committed of them. Called with the cluster's lock held."""

    def __init__(self, jobs: JobRegistry, lifecycle: TaskLifecycle, clock: Clock) -> None:
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._clock = clock

    def apply(self, part: JobTransaction, revision: int) -> None:
        """A job's part of a transaction was executed at this revision of the store."""
        job = part.job
        job.commit_in_flight = False
        self._settle_placements(part)
        self._settle_chunks(part, revision)
        if part.final:
            job.done = job.spec.tasks
            self._lifecycle.end_job(job, EndPhase.DONE)
        elif part.active:
            job.chunk_size_stored = "n" in part.puts[records.active_key(job.id)]
            job.version = revision
            job.stored_counts = part.counts
            job.counts_stored_at = self._clock.seconds()
        if job.end_phase and not job.chunks:
            self._jobs.remove(job)

    def _settle_placements(self, part: JobTransaction) -> None:
        """Planned placements are bound now, and ended ones are no longer stored."""
        job = part.job
        for placement in part.bound:
            if placement.state == PlacementState.PLANNED:
                placement.state = PlacementState.BOUND
        for placement in part.ended:
            chunk = job.chunk_of(placement.index)
            if placement.done and not job.end_phase and placement.index not in chunk.done:
                chunk.done.add(placement.index)
                job.done += 1
            if chunk.placements.get(placement.index) is placement:
                job.remove(placement)
            self._lifecycle.untrack(placement)

    @staticmethod
    def _settle_chunks(part: JobTransaction, revision: int) -> None:
        """Takes down where the store holds each chunk, and in which version."""
        job = part.job
        for number in part.written:
            chunk = job.chunks[number]
            chunk.inline, chunk.stored = part.inline, not part.inline
            if part.inline:
                continue
            chunk.version = revision
            before = chunk.parts
            chunk.parts = {}
            for index, value in enumerate(part.parts.get(number, ()), 1):
                version, stored = before.get(index, (0, None))
                chunk.parts[index] = (version if stored == value else revision, value)
        for number in part.finished:
            del job.chunks[number]
            job.finished_chunks.add(number)
        for number in part.dropped:
            del job.chunks[number]
