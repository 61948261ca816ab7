"""Reconciliation of the tasks that a machine reports with those that the store places on it."""

import logging
from collections.abc import Callable

from stileloft.jobs.end_reason import EndReason
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.authority import Authority
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine, OrphanedTask
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import ExitReason, TaskState, TaskStatus
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.forget_scheduler import ForgetScheduler
from stileloft.workers.task_states import TaskStateTracker

log = logging.getLogger(__name__)


class TaskReconciler:
    """Compares reported tasks with placements. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lifecycle: TaskLifecycle,
        states: TaskStateTracker,
        fencing: MachineFencing,
        forgets: ForgetScheduler,
        authority: Authority,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._lifecycle = lifecycle
        self._states = states
        self._fencing = fencing
        self._forgets = forgets
        self._authority = authority
        self._request_scheduling = request_scheduling

    def reconcile(self, machine: Machine, tasks: list[TaskStatus], now: float) -> None:
        """Updates placements and orphaned tasks from a heartbeat that carries a token of this leader."""
        missing = dict(machine.placements)
        orphaned_tasks: dict[str, OrphanedTask] = {}
        self._fencing.process_heartbeat(machine, tasks)
        for task in tasks:
            key = records.split_task(task.task)
            placement = machine.placements.get(key)
            if placement is not None and placement.attempt == task.attempt:
                missing.pop(key, None)
                if placement.state != PlacementState.ENDED:
                    self._states.update(machine, placement, task, now)
            elif task.state == TaskState.EXITED:
                self._forgets.schedule(machine, task.task, task.attempt, task.exit_reason == ExitReason.DONE)
            else:
                orphaned_tasks[task.task] = self._orphaned_task(key[0], task)
        self._update_orphaned_tasks(machine, orphaned_tasks)
        for placement in missing.values():
            self._handle_missing_task(machine, placement)

    def _orphaned_task(self, job_id: str, task: TaskStatus) -> OrphanedTask:
        job = self._cluster.jobs.get(job_id)
        if job is None:
            return OrphanedTask(task.attempt, 0.0, 0.0, 0.0, "")
        spec = job.spec
        return OrphanedTask(task.attempt, spec.cpus, spec.gpus or 0.0, spec.memory_gb, spec.team)

    def _update_orphaned_tasks(self, machine: Machine, orphaned_tasks: dict[str, OrphanedTask]) -> None:
        """Records the tasks that run on the machine without a placement; the next commands stop them."""
        if machine.orphaned_tasks.keys() - orphaned_tasks.keys():
            self._request_scheduling()
        if orphaned_tasks.keys() != machine.orphaned_tasks.keys():
            machine.scheduling_view = None
        for task_id in orphaned_tasks.keys() - machine.orphaned_tasks.keys():
            if self._authority.check_stop_task(task_id) is None:
                attempt = orphaned_tasks[task_id].attempt
                log.info("stopping orphaned task task=%s attempt=%d machine=%s", task_id, attempt, machine.id)
        machine.orphaned_tasks = orphaned_tasks

    def _handle_missing_task(self, machine: Machine, placement: Placement) -> None:
        """Handles a placement whose task the machine does not report."""
        placement.reported_state = None
        if placement.state != PlacementState.BOUND:
            return
        is_unwanted = machine.drain_reason is not None or placement.stop_grace_s is not None
        if placement.sent_epoch is None:
            if is_unwanted:
                # The worker knows this leader's token, so no start of a former leader can be executed any more.
                self._lifecycle.end(placement, EndReason.NOT_STARTED)
        elif placement.sent_epoch < machine.epoch:
            # A worker kills its tasks when its epoch ends, and refuses starts sent to an earlier epoch.
            self._lifecycle.end(placement, EndReason.EPOCH_ENDED)
        elif is_unwanted and machine.inflight_starts.get(placement.task, placement.attempt) is None:
            self._fencing.record_fenced(machine, placement)
            self._lifecycle.end(placement, EndReason.START_FENCED)
