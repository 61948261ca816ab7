"""Handling of exited tasks, by the reason that the worker gives."""

import logging

from stileloft.jobs.end_reason import EndReason
from stileloft.jobs.failure_attribution import FailureAttribution
from stileloft.jobs.job_backoff import JobBackoff
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.protocol.messages import ExitReason, TaskState
from stileloft.scheduling.workload import Workload
from stileloft.settings import Workers

log = logging.getLogger(__name__)

NO_ROOM_HEARTBEATS = 2.0
"""How long a job avoids a machine without room, in heartbeat intervals."""
UNKNOWN_HEARTBEATS = 0.5
"""Pause of a job whose task is unknown to its worker, in heartbeat intervals."""


class TaskExitHandler:
    """Ends the placements of exited tasks; a task that is not done runs again. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lifecycle: TaskLifecycle,
        attribution: FailureAttribution,
        backoff: JobBackoff,
        workload: Workload,
        timings: Workers,
    ) -> None:
        self._cluster = cluster
        self._lifecycle = lifecycle
        self._attribution = attribution
        self._backoff = backoff
        self._workload = workload
        self._timings = timings

    def handle(self, machine: Machine, placement: Placement, reason: ExitReason | None, now: float) -> None:
        """Handles the exit of a task. A gang that has lost a task runs again as a whole, without a pause."""
        placement.reported_state = TaskState.EXITED
        if reason == ExitReason.DONE:
            self._complete(machine, placement, now)
            return
        if reason == ExitReason.ERROR:
            self._attribution.record_failure(machine, placement)
        elif reason == ExitReason.NO_ROOM:
            self._log_refusal("no room", placement)
            self._backoff.avoid_machine(placement, NO_ROOM_HEARTBEATS * self._timings.heartbeat_s)
        elif reason == ExitReason.UNKNOWN_TASK:
            self._log_refusal("unknown to the worker", placement)
            self._backoff.pause(placement.job, UNKNOWN_HEARTBEATS * self._timings.heartbeat_s)
        elif reason == ExitReason.BUSY:
            # The worker refused the start because another attempt of the task is on the machine. The heartbeat lists
            # that attempt too, and it is stopped as an orphaned task; until then the job avoids the machine.
            self._log_refusal("another attempt present", placement)
            self._backoff.avoid_machine(placement, self._timings.lease_s)
        self._lifecycle.end(placement, reason or EndReason.EXITED)

    def _complete(self, machine: Machine, placement: Placement, now: float) -> None:
        placement.done = True
        job = self._cluster.jobs.get(placement.job)
        if job is not None and placement.running_since is not None and job.spec.estimate_s > 0:
            self._attribution.record_success(job)
            if _is_complete_run(job, placement):
                run_time_s = now - placement.running_since
                if not job.durations:  # one sample per job, however many tasks it has
                    self._workload.record_run_time(job.spec, run_time_s)
                self._attribution.record_run_time(machine, job, run_time_s)
        self._lifecycle.end(placement, EndReason.DONE)

    @staticmethod
    def _log_refusal(reason: str, placement: Placement) -> None:
        log.info(
            "task refused task=%s attempt=%d machine=%s reason=%r",
            placement.task,
            placement.attempt,
            placement.machine,
            reason,
        )


def _is_complete_run(job: Job, placement: Placement) -> bool:
    """Whether this leader saw the task run from the beginning to the end of its work.

    A task that a former leader placed had already run for a while when this leader first saw it. Its run time would
    seem too short, and the machines of the job's later tasks slow in comparison.
    """
    # Attempts are numbered per chunk. If the attempt's number is above the chunk's length, the task may have run before
    # and saved a checkpoint.
    first_attempt = placement.attempt <= job.chunk_length(placement.index // job.chunk_size)
    return placement.placed_by_this_leader and (job.spec.is_gang or first_attempt)
