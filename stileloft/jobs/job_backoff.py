"""Back-off of jobs: pauses before their tasks are placed again, anywhere or on one machine."""

from collections.abc import Callable

from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement
from stileloft.transport.clock import Clock

MIN_BACKOFF_S = 1.0
"""The first pause of a job that fails on several machines, in seconds; doubled with each further failure."""
MAX_BACKOFF_S = 60.0
"""The longest pause of such a job, in seconds."""


class JobBackoff:
    """Delays the placement of jobs' tasks. Called with the cluster's lock held."""

    def __init__(self, cluster: ClusterState, clock: Clock, request_scheduling: Callable[[], None]) -> None:
        self._cluster = cluster
        self._clock = clock
        self._request_scheduling = request_scheduling

    def avoid_machine(self, placement: Placement, duration_s: float) -> None:
        """Keeps the placement's job off its machine for this long."""
        until = self._clock.seconds() + duration_s
        self._cluster.placement_backoff[(placement.job, placement.machine)] = until

    def pause(self, job_id: str, duration_s: float) -> None:
        """Keeps a job's tasks from being placed for at least this long."""
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            job.backoff_until = max(job.backoff_until, self._clock.seconds() + duration_s)
            self._clock.callLater(duration_s, self._request_scheduling)

    def back_off(self, job: Job) -> None:
        """Pauses the job. The pause doubles with each further failure, except for failures during a pause."""
        if self._clock.seconds() >= job.backoff_until:
            job.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2.0 * job.backoff_s))
        self.pause(job.id, job.backoff_s)
