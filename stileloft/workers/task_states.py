"""States of placed tasks, as reported by heartbeats."""

import logging

from stileloft.jobs.task_exits import TaskExitHandler
from stileloft.machines.image_locations import ImageLocations
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.protocol.messages import TaskState, TaskStatus
from stileloft.store.flush_timer import FlushTimer
from stileloft.transport.clock import WallClock

log = logging.getLogger(__name__)

COUNTS_FLUSH_DELAY_S = 0.25
"""Delay of the commit of the counts that users see, after a task has begun to run, in seconds."""


class TaskStateTracker:
    """Records the reported states of placed tasks. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        exits: TaskExitHandler,
        images: ImageLocations,
        flush_timer: FlushTimer,
        wall_clock: WallClock,
    ) -> None:
        self._cluster = cluster
        self._exits = exits
        self._images = images
        self._flush_timer = flush_timer
        self._wall_clock = wall_clock

    def update(self, machine: Machine, placement: Placement, task: TaskStatus, now: float) -> None:
        """Processes the state that a heartbeat reports for a task placed on the machine."""
        if task.state == TaskState.EXITED:
            self._exits.handle(machine, placement, task.exit_reason, now)
            return
        if placement.reported_state == task.state:
            return
        placement.reported_state = task.state
        machine.scheduling_view = None
        job = self._cluster.jobs.get(placement.job)
        if job is not None and task.state in (TaskState.WAITING, TaskState.RUNNING):
            # A task that waits for the others of its gang already has its image, but has not begun.
            self._images.record_use(machine, job.spec.image)
        if task.state == TaskState.RUNNING:
            self._record_running(placement, job, now)

    def _record_running(self, placement: Placement, job: Job | None, now: float) -> None:
        if placement.running_since is None:
            placement.running_since = now
        if job is None:
            return
        if not job.started:
            log.info("job started job=%s seconds_since_accepted=%.1f", job.id, self._wall_clock() - job.submitted)
        job.started = True
        self._cluster.mark_counts_dirty(job)
        self._flush_timer.flush_within(COUNTS_FLUSH_DELAY_S)
