"""Cache of the machine views that scheduling snapshots share."""

from collections.abc import Callable

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine, OrphanedTask
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import MachineType
from stileloft.scheduling.machine_view import PREEMPTION_EXEMPT_RANK, MachineView, RunningTask
from stileloft.scheduling.workload import Workload
from stileloft.transport.clock import Clock

MAX_VIEW_AGE_S = 1.0
"""A cached view is rebuilt after this many seconds, because its tasks' remaining times become outdated."""
RECENT_START_S = 30.0
"""A start counts for a start objective if the task is not stopped within this many seconds."""


class MachineViewCache:
    """Builds and caches machine views. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lifecycle: TaskLifecycle,
        workload: Workload,
        clock: Clock,
        heartbeat_overdue_s: float,
        is_reachable: Callable[[Machine, float], bool],
    ) -> None:
        self._cluster = cluster
        self._lifecycle = lifecycle
        self._workload = workload
        self._clock = clock
        self._heartbeat_overdue_s = heartbeat_overdue_s
        self._is_reachable = is_reachable

    def view(self, machine: Machine, machine_type: MachineType, now: float) -> MachineView:
        """Returns the machine's view, rebuilt if the machine has changed or the view is older than `MAX_VIEW_AGE_S`."""
        view: MachineView | None = machine.scheduling_view
        if view is None or now - machine.scheduling_view_at > MAX_VIEW_AGE_S or view.type is not machine_type:
            view = self._build(machine, machine_type, now)
            machine.scheduling_view, machine.scheduling_view_at = view, now
        elif view.ready != self.is_ready(machine, now):
            view = view.copy()
            view.ready = not view.ready
            machine.scheduling_view = view
        return view

    def is_ready(self, machine: Machine, now: float) -> bool:
        """Whether tasks may be placed on the machine once it is up.

        A machine that is up must have the current fencing token, send heartbeats and accept commands.
        """
        if machine.drain_reason is not None or machine.releasing:
            return False
        if machine.up_since is None:
            return not machine.boot_overdue
        return (
            machine.has_current_token
            and now - machine.last_pushed_heartbeat_at <= self._heartbeat_overdue_s
            and machine.accepts_commands
            and self._is_reachable(machine, now)
        )

    def _build(self, machine: Machine, machine_type: MachineType, now: float) -> MachineView:
        view = MachineView(
            machine.id,
            machine_type,
            machine.zone,
            machine.spot,
            self.is_ready(machine, now),
            machine.up_since is not None,
            images=frozenset(machine.images),
        )
        fetching = set()
        for placement in machine.placements.values():
            job = self._cluster.jobs.get(placement.job)
            if job is None or placement.state == PlacementState.ENDED:
                continue  # an ended task takes no room, even if the store still places it there
            if job.spec.image not in machine.images:
                fetching.add(job.spec.image)
            view.tasks.append(self._running_task(job, placement, now))
        view.tasks += [_orphan(task, orphan) for task, orphan in machine.orphaned_tasks.items()]
        view.idle_s = now - machine.idle_since if machine.idle_since is not None else 0.0
        view.fetching = frozenset(fetching)
        view.recompute_free()
        return view

    def _running_task(self, job: Job, placement: Placement, now: float) -> RunningTask:
        spec = job.spec
        age_s = now - placement.running_since if placement.running_since is not None else 0.0
        return RunningTask(
            placement.key,
            spec,
            spec.team,
            PREEMPTION_EXEMPT_RANK if placement.preemption_exempt else spec.rank,
            spec.cpus,
            spec.gpus or 0.0,
            spec.memory_gb,
            age_s % spec.checkpoint_s if spec.checkpoint_s else age_s,
            self._lifecycle.remaining_run_time_s(job, placement, now),
            stopping=placement.stop_grace_s is not None,
            within_preemption_budget=not spec.is_service and job.preemption_count < spec.tasks,
            group_size=spec.tasks if spec.is_gang else 1,
            recently_started=spec.job_class in self._workload.start_objectives and age_s < RECENT_START_S,
        )


def _orphan(task: str, orphan: OrphanedTask) -> RunningTask:
    """Returns an orphaned task, which takes room until it has exited and which no task may preempt."""
    return RunningTask(
        (task, -1),
        None,
        orphan.team,
        PREEMPTION_EXEMPT_RANK,
        orphan.cpus,
        orphan.gpus,
        orphan.memory_gb,
        stopping=True,
    )
