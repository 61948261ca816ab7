"""The lifecycle of placed tasks, from placement to stop and end, and the end of jobs."""

import logging
import math
from collections.abc import Callable

from stileloft.jobs.end_reason import EndReason
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.registry import MachineRegistry
from stileloft.model import gangs
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import EndPhase, Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import TaskState
from stileloft.scheduling.workload import Workload
from stileloft.settings import Workers
from stileloft.store.flush_timer import FlushTimer
from stileloft.transport.clock import Clock
from stileloft.workers.forget_scheduler import ForgetScheduler

log = logging.getLogger(__name__)

SAVE_TIME_FACTOR = 1.2
"""The default grace of a stop, as a multiple of the job's stated time to save a checkpoint."""
STOP_MARGIN_S = 0.5
"""Added to the default grace of a stop, in seconds."""
MAX_GRACE_S = 240.0
"""Longest default grace, in seconds: a task that needs more is stopped at once, as others wait for its room."""
RECLAIM_RESERVE_S = 1.0
"""A checkpoint is begun only if it would be saved more than this long before the reclaim, in seconds."""
MIN_REMAINING_FRACTION = 0.1
"""A running task is expected to run on for at least this fraction of its estimate."""


class TaskLifecycle:
    """Ends and stops placed tasks. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        lease: LeaderLease,
        forgets: ForgetScheduler,
        flush_timer: FlushTimer,
        workload: Workload,
        clock: Clock,
        timings: Workers,
        send_commands: Callable[[Machine], None],
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._lease = lease
        self._forgets = forgets
        self._flush_timer = flush_timer
        self._workload = workload
        self._clock = clock
        self._timings = timings
        self._send_commands = send_commands

    def track(self, placement: Placement) -> None:
        """Adds a placement to those of its machine, unless it has ended."""
        if placement.state != PlacementState.ENDED:
            machine = self._machines.get_or_create(placement.machine)
            machine.placements[placement.key] = placement
            machine.idle_since = machine.scheduling_view = None

    def end(self, placement: Placement, reason: str) -> None:
        """Ends a placement whose task is certainly off its machine; the task runs again unless it is done.

        Proof is a heartbeat with this leader's token, or the cloud's confirmation that the machine is gone; the time
        since the worker's lease was last renewed is none, as a hanging machine does not end its tasks.

        `reason`: an `EndReason`, or the exit reason that the worker gave.
        """
        if placement.state == PlacementState.ENDED:
            return
        log.info(
            "task ended task=%s attempt=%d machine=%s reason=%r",
            placement.task,
            placement.attempt,
            placement.machine,
            str(reason),
        )
        placement.state = PlacementState.ENDED
        machine = self._cluster.machines.get(placement.machine)
        if machine is not None:
            machine.scheduling_view = None
        job = self._cluster.jobs.get(placement.job)
        if job is not None:
            job.chunk_of(placement.index).dirty = True
            flush_now = job.write.flush_now
            self._cluster.mark_dirty(job)
            if placement.done:
                job.coalesce_completions(self._clock.seconds(), flush_now)
            if job.spec.is_gang:
                self._clock.callLater(0, self._reconcile_gang_later, job)
        self._flush_timer.flush_within(0.0)

    def _reconcile_gang_later(self, job: Job) -> None:
        with self._cluster.lock:
            if self._lease.active and self._cluster.jobs.get(job.id) is job:
                self.reconcile_gang(job)

    def reconcile_gang(self, job: Job) -> None:
        """Ends all tasks of a gang if one of them is done; stops the remaining tasks if a task is lost."""
        if job.end_phase or job.reload_pending:
            return
        if gangs.is_completed(job):
            for placement in list(job.placements()):
                placement.done = True
                self.end(placement, EndReason.GANG_DONE)
            self._cluster.mark_dirty(job)
        for placement in gangs.remaining_placements(job):
            self._stop_placement(placement, 0.0 if placement.stop_grace_s is None else None)

    def untrack(self, placement: Placement) -> None:
        """Removes a placement that the store no longer holds from those of its machine."""
        machine = self._cluster.machines.get(placement.machine)
        if machine is None:
            return
        machine.scheduling_view = None
        if machine.placements.get(placement.key) is placement:
            del machine.placements[placement.key]
        if placement.reported_state == TaskState.EXITED:
            self._forgets.schedule(machine, placement.task, placement.attempt, placement.done)
        if not machine.placements and not machine.orphaned_tasks and machine.idle_since is None:
            machine.idle_since = self._clock.seconds()

    def stop(self, placement: Placement, grace_s: float | None = None) -> None:
        """Stops a task, and at the same time all others of its gang.

        `grace_s`: time to save a checkpoint, in seconds; None for a pending stop's grace, or else the job's default.
        """
        job = self._cluster.jobs.get(placement.job)
        placements = list(job.placements()) if job is not None and job.spec.is_gang else [placement]
        for member in placements:
            self._stop_placement(member, grace_s)

    def _stop_placement(self, placement: Placement, grace_s: float | None) -> None:
        if placement.state == PlacementState.PLANNED:
            self.end(placement, EndReason.NOT_NEEDED)
            return
        is_stopping = placement.stop_grace_s is not None
        if placement.state != PlacementState.BOUND or (is_stopping and grace_s is None):
            return
        placement.stop_grace_s = self._default_grace_s(placement.job) if grace_s is None else grace_s
        placement.stop_sent_at = 0.0
        machine = self._cluster.machines.get(placement.machine)
        if machine is not None:
            machine.scheduling_view = None
            self._clock.callLater(0, self._send_commands, machine)

    def _default_grace_s(self, job_id: str) -> float:
        """Returns the time that a task gets to save a checkpoint, in seconds; 0 if it needs more than `MAX_GRACE_S`."""
        job = self._cluster.jobs.get(job_id)
        if job is None or not job.spec.checkpoint_s:
            return STOP_MARGIN_S
        save_s = job.spec.save_s or 0.0
        if job.spec.is_gang and save_s:
            save_s += self._timings.gang_peer_s  # a task that has saved waits for the others of its gang
        grace_s = save_s * SAVE_TIME_FACTOR + STOP_MARGIN_S
        return grace_s if grace_s <= MAX_GRACE_S else 0.0

    def evict_gracefully(self, machine: Machine, now: float) -> None:
        """Stops tasks on a machine that the cloud is about to reclaim, so that as little work as possible is lost."""
        left_s = (machine.reclaim_at or now) - now
        for placement in list(machine.placements.values()):
            job = self._cluster.jobs.get(placement.job)
            if placement.stop_grace_s is not None or job is None:
                continue
            spec = job.spec
            if (spec.checkpoint_s or 0.0) > 0:
                # A later checkpoint would save more work, but a stop that arrives too late saves none.
                if (spec.save_s or 0.0) + RECLAIM_RESERVE_S < left_s:
                    self.stop(placement)
            elif self.remaining_run_time_s(job, placement, now) > left_s:
                self.stop(placement, 0.0)

    def remaining_run_time_s(self, job: Job, placement: Placement, now: float) -> float:
        """Returns how long the task is expected to run on, in seconds; infinite for a service."""
        if job.spec.is_service:
            return math.inf
        estimate_s = self._workload.estimated_run_time_s(job.spec)
        if placement.running_since is None:
            return estimate_s
        return max(MIN_REMAINING_FRACTION * estimate_s, estimate_s - (now - placement.running_since))

    def end_job(self, job: Job, phase: EndPhase) -> None:
        """Ends a job: stops its tasks, and has its chunks removed from the store."""
        if job.end_phase in (None, EndPhase.UNSETTLED):
            job.end_phase = phase
            log.info("job ended job=%s phase=%s", job.id, phase)
        self.stop_all_tasks(job)
        if not job.placed:
            self.rewrite_all_chunks(job)

    def stop_all_tasks(self, job: Job) -> None:
        """Stops all tasks of a job that has ended, and marks its chunks dirty."""
        for placement in list(job.placements()):
            if placement.state == PlacementState.PLANNED:
                self.end(placement, EndReason.JOB_ENDED)
            else:
                self.stop(placement, 0.0)
        self._mark_chunks_dirty(job)

    def rewrite_all_chunks(self, job: Job) -> None:
        """Marks a job's chunks dirty: they are soon written again, or removed from the store if the job has ended."""
        self._mark_chunks_dirty(job)
        self._flush_timer.flush_within(0.0)

    def _mark_chunks_dirty(self, job: Job) -> None:
        for chunk in job.chunks.values():
            chunk.dirty = True
        self._cluster.mark_dirty(job)
