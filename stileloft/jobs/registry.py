"""The registry of the leader's jobs: accepted jobs are added, ended ones removed."""

from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.scheduling.workload import Workload
from stileloft.store.limits import StoreLimits
from stileloft.store.record_format import RecordFormat
from stileloft.transport.clock import Clock, WallClock


class JobRegistry:
    """Adds jobs to the cluster's state, and removes them. Called with the cluster's lock held."""

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
        """Jobs known only from workers' heartbeats: their tasks run on until an operator decides."""
        self._removed: dict[str, float] = {}
        """Times at which jobs were removed, by job id: the watch may still deliver older records of these jobs."""

    def add(self, job: Job) -> None:
        """Adds an accepted job."""
        self._cluster.jobs[job.id] = job
        job.accepted_at = self._clock.seconds() - max(0.0, self._wall_clock() - job.submitted)
        self._workload.record_submission(job.spec, job.submitted)
        max_placements = records.max_placements_per_record(self._limits.max_value_bytes)
        if self._format.has_chunk_sizes:
            if not job.stores_chunk_size:
                self._cluster.dirty[job.id] = None
        elif max_placements < job.chunk_size:
            # In a format without chunk sizes a chunk has a single record, which has to fit the lowest announced limit.
            job.max_placed_per_chunk = max_placements

    def remove(self, job: Job) -> None:
        """Removes an ended job that has no chunks left."""
        self._cluster.remove_job(job.id)
        self._removed[job.id] = self._clock.seconds()

    def was_removed(self, job_id: str) -> bool:
        """Whether a job was removed so recently that the watch may still deliver an older record of it."""
        return job_id in self._removed

    def prune_removed(self, before: float) -> None:
        """Forgets jobs removed before this time: requests sent to the store since then return no record of them."""
        while self._removed and next(iter(self._removed.values())) < before:
            del self._removed[next(iter(self._removed))]

    def awaits_operator(self, job_id: str) -> bool:
        """Whether a job is known only from heartbeats: its tasks run on without stored placements."""
        return job_id in self.lost_spec_jobs and job_id not in self._cluster.jobs
