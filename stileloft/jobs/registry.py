"""The jobs that the leader knows: accepted ones come in, ended ones go."""

from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.scheduling.workload import Workload
from stileloft.store.limits import StoreLimits
from stileloft.store.record_format import RecordFormat
from stileloft.transport.clock import Clock, WallClock


class JobRegistry:
    """Takes jobs into the cluster's state and lets go of them. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        workload: Workload,
        record_format: RecordFormat,
        limits: StoreLimits,
        clock: Clock,
        wall_clock: WallClock,
    ) -> None:
        self._cluster = cluster
        self._workload = workload
        self._format = record_format
        self._limits = limits
        self._clock = clock
        self._wall_clock = wall_clock
        self.lost_spec_jobs: frozenset[str] = frozenset()
        """Jobs of which only workers' heartbeats tell: what runs of them goes on until an operator decides."""
        self._removed: dict[str, float] = {}
        """Jobs removed from the cluster's state, and when: the watch may not have come as far as that."""

    def add(self, job: Job) -> None:
        """Takes in an accepted job."""
        self._cluster.jobs[job.id] = job
        job.accepted_at = self._clock.seconds() - max(0.0, self._wall_clock() - job.submitted)
        self._workload.record_submission(job.spec, job.submitted)
        most = records.max_placements_per_record(self._limits.max_value_bytes)
        if self._format.has_chunk_sizes:
            if not job.stores_chunk_size:
                self._cluster.dirty[job.id] = None
        elif most < job.chunk_size:
            # Its chunks must have one record each, within the limit to come.
            job.max_placed_per_chunk = most

    def remove(self, job: Job) -> None:
        """Lets go of a job of which nothing is left; the watch may still bring a record from before its end."""
        self._cluster.remove_job(job.id)
        self._removed[job.id] = self._clock.seconds()

    def was_removed(self, job_id: str) -> bool:
        """Whether a job ended so lately that the watch may still bring an older record of it."""
        return job_id in self._removed

    def prune_removed(self, before: float) -> None:
        """What was asked of the store after a job was let go of brings no record of it any more."""
        while self._removed and next(iter(self._removed.values())) < before:
            del self._removed[next(iter(self._removed))]

    def awaits_operator(self, job_id: str) -> bool:
        """Whether a job's tasks run on though the store places none of them: only heartbeats tell of it."""
        return job_id in self.lost_spec_jobs and job_id not in self._cluster.jobs
