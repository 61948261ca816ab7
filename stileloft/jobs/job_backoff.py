"""Back-off of jobs: pauses before their tasks are tried again, anywhere or on one machine."""

from collections.abc import Callable

from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement
from stileloft.transport.clock import Clock

MIN_BACKOFF_S = 1.0
"""The first pause of a job that fails on several machines, in seconds; it is doubled each time."""
MAX_BACKOFF_S = 60.0
"""The longest of these pauses, in seconds."""


class JobBackoff:
    """Keeps jobs waiting. Called with the cluster's lock held."""

    def __init__(self, cluster: ClusterState, clock: Clock, request_scheduling: Callable[[], None]) -> None:
        self._cluster = cluster
        self._clock = clock
        self._request_scheduling = request_scheduling

    def avoid_machine(self, placement: Placement, duration_s: float) -> None:
        """Has no task of the placement's job placed on its machine for so long."""
        until = self._clock.seconds() + duration_s
        self._cluster.placement_backoff[(placement.job, placement.machine)] = until

    def pause(self, job_id: str, duration_s: float) -> None:
        """Has no task of a job placed for so long."""
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            job.backoff_until = max(job.backoff_until, self._clock.seconds() + duration_s)
            self._clock.callLater(duration_s, self._request_scheduling)

    def back_off(self, job: Job) -> None:
        """Has the job wait for longer with each further attempt; tasks that fail together are one."""
        if self._clock.seconds() >= job.backoff_until:
            job.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2.0 * job.backoff_s))
        self.pause(job.id, job.backoff_s)
