"""Builds the snapshot that a round of decisions is a function of."""

from collections.abc import Callable, Iterable

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.catalog import MachineCatalog
from stileloft.machines.scale_out import MachineProvisioner
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine, fits_type
from stileloft.model.placements import PlacementState
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import MachineType
from stileloft.scheduling.instance_offers import view_of_offer
from stileloft.scheduling.machine_view import PREEMPTION_EXEMPT_RANK, MachineView, RunningTask
from stileloft.scheduling.snapshot import ExpectedTasks, PendingJob, Snapshot
from stileloft.scheduling.workload import Workload
from stileloft.settings import Team
from stileloft.transport.clock import Clock, WallClock

# A machine's copy for the decisions is kept for so long: its tasks' remaining times may be this old.
VIEW_S = 1.0
# Jobs are to begin within this time. One that has waited for this part of it goes before more pressing work,
# which would keep it waiting without an end; earlier, down to the least part, while so many have not begun that
# the machines need the time for a task of each.
BEGIN_S = 240.0
AGED_PART = 0.6
AGED_LEAST = 0.25
CROWD_PART = 0.9
# Room kept for what is expected, or for a task that will have it later, is open to a job of which nothing was placed
# for this part of it: nothing is to wait beside room that stays empty.
OVERDUE_PART = 0.25
# Waiting tasks of a job that one round looks at.
TASKS_OFFERED = 64
# A start counts for users if nothing stops the task within this time (PROTOCOL, how aims are counted).
STARTED_S = 30.0


class SnapshotBuilder:
    """Copies the leader's picture, under the lock, for the thread that decides."""

    def __init__(
        self,
        cluster: ClusterState,
        lease: LeaderLease,
        workload: Workload,
        catalog: MachineCatalog,
        lifecycle: TaskLifecycle,
        provisioner: MachineProvisioner,
        teams: dict[str, Team],
        operator_settings: Callable[[], OperatorSettings],
        clock: Clock,
        wall_clock: WallClock,
        heartbeat_s: float,
        heartbeat_overdue_s: float,
        is_reachable: Callable[[Machine, float], bool],
    ) -> None:
        self._cluster = cluster
        self._lease = lease
        self._workload = workload
        self._catalog = catalog
        self._lifecycle = lifecycle
        self._provisioner = provisioner
        self._teams = teams
        self._operator_settings = operator_settings
        self._clock = clock
        self._wall_clock = wall_clock
        self._heartbeat_s = heartbeat_s
        self._heartbeat_overdue_s = heartbeat_overdue_s
        self._is_reachable = is_reachable

    def build(self) -> Snapshot:
        """A snapshot of all machines and of the jobs that wait."""
        cluster = self._cluster
        now = self._clock.seconds()
        types = dict(self._catalog.types)
        nodes = self._nodes(types, now)
        return Snapshot(
            now=self._wall_clock(),
            machines=nodes,
            pending_jobs=self._waiting(nodes.values(), now),
            teams=self._teams,
            usage=cluster.usage(self._teams),
            nominations=dict(cluster.nominations),
            types=types,
            expected_gangs=self.headroom(gang=True),
        )

    def headroom(self, gang: bool) -> list[ExpectedTasks]:
        """Tasks that are to find room at once if they come now."""
        # What has not been seen in the first moments of a leadership may only not have been read yet.
        settled = self._clock.seconds() - self._lease.began_at > self._heartbeat_s
        return self._workload.headroom(gang, self._operator_settings(), unseen=gang and settled)

    def _nodes(self, types: dict[str, MachineType], now: float) -> dict[str, MachineView]:
        """Copies of all machines, those included that are being rented."""
        nodes: dict[str, MachineView] = {}
        for machine in self._cluster.machines.values():
            kind = types.get(machine.type)
            if kind is not None:
                nodes[machine.id] = self._view(machine, kind, now)
        for request, (offer, count) in self._provisioner.pending.items():
            for number in range(count):
                node = view_of_offer(f"{request}-{number}", offer, types)
                nodes[node.id] = node
        return nodes

    def _waiting(self, nodes: Iterable[MachineView], now: float) -> list[PendingJob]:
        """The jobs with tasks that may be placed now."""
        orphaned_task_names = self._cluster.orphaned_task_names()
        aged_s = self._aged_after(nodes)
        avoided: dict[str, set[str]] = {}
        for (job_id, machine_id), until in self._cluster.placement_backoff.items():
            if until > now:
                avoided.setdefault(job_id, set()).add(machine_id)
        found = []
        for job in self._cluster.jobs.values():
            if job.waiting <= 0 or job.backoff_until > now or job.reload_pending:
                continue
            if job.spec.is_gang and job.placed:
                continue  # the rest of it is ending: it comes again as a whole
            tasks = job.free_tasks(self._most_offered(job))
            if not tasks:
                continue
            if orphaned_task_names:
                tasks = [i for i in tasks if f"{job.id}/{i}" not in orphaned_task_names]
            found.append(
                PendingJob(
                    job.spec,
                    job.submitted,
                    job.waiting,
                    tasks,
                    dict(job.zones),
                    self._workload.estimate(job.spec),
                    self._workload.start_objectives.get(job.spec.job_class),
                    frozenset(avoided.get(job.id, ())),
                    self._aged(job, aged_s),
                    started=job.started,
                    starving=now - max(job.last_placed_at, job.accepted_at) > OVERDUE_PART * BEGIN_S,
                )
            )
        return found

    @staticmethod
    def _most_offered(job: Job) -> int:
        """How many of a job's tasks a round may place: a gang whole, and what keeps failing one at a time."""
        if job.spec.is_gang:
            return job.waiting
        if len(job.failed_machines) > 1:
            # It fails on several machines, as one that was submitted with a mistake does.
            return 0 if job.placed else 1
        return 1 if job.failed_machines else TASKS_OFFERED

    def _view(self, machine: Machine, kind: MachineType, now: float) -> MachineView:
        """The machine's copy for the decisions; made anew when it has changed, or its times have become old."""
        view: MachineView | None = machine.scheduling_view
        if view is None or now - machine.scheduling_view_at > VIEW_S or view.type is not kind:
            view = self._node(machine, kind, now)
            machine.scheduling_view, machine.scheduling_view_at = view, now
        elif view.ready != self.is_ready(machine, now):
            view = view.copy()
            view.ready = not view.ready
            machine.scheduling_view = view
        return view

    def is_ready(self, machine: Machine, now: float) -> bool:
        """Whether something may be placed there: it is heard, and it hears us."""
        if machine.drain_reason is not None or machine.releasing:
            return False
        if machine.up_since is None:
            return not machine.boot_overdue
        return (
            machine.has_current_token
            and now - machine.last_pushed_heartbeat_at <= self._heartbeat_overdue_s
            and machine.send_failures < 2
            and self._is_reachable(machine, now)
        )

    def _node(self, machine: Machine, kind: MachineType, now: float) -> MachineView:
        copy = MachineView(
            machine.id,
            kind,
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
                continue  # what has ended takes no room, even if the store does not say so yet
            spec = job.spec
            if spec.image not in machine.images:
                fetching.add(spec.image)
            age = now - placement.running_since if placement.running_since is not None else 0.0
            unsaved = age % spec.checkpoint_s if spec.checkpoint_s else age
            copy.tasks.append(
                RunningTask(
                    placement.key,
                    spec,
                    spec.team,
                    PREEMPTION_EXEMPT_RANK if placement.preemption_exempt else spec.rank,
                    spec.cpus,
                    spec.gpus or 0.0,
                    spec.memory_gb,
                    unsaved,
                    self._lifecycle.remaining_run_time_s(job, placement, now),
                    stopping=placement.stop_grace_s is not None,
                    budget_safe=not spec.is_service and job.preemption_count < spec.tasks,
                    group_size=spec.tasks if spec.is_gang else 1,
                    recently_started=spec.job_class in self._workload.start_objectives and age < STARTED_S,
                )
            )
        for task, stray in machine.orphaned_tasks.items():
            copy.tasks.append(
                RunningTask(
                    (task, -1),
                    None,
                    stray.team,
                    PREEMPTION_EXEMPT_RANK,
                    stray.cpus,
                    stray.gpus,
                    stray.memory_gb,
                    stopping=True,
                )
            )
        copy.idle_s = now - machine.idle_since if machine.idle_since is not None else 0.0
        copy.fetching = frozenset(fetching)
        copy.recompute_free()
        return copy

    def _aged(self, job: Job, after_s: float) -> bool:
        return self._wall_clock() - job.submitted > after_s

    def _aged_after(self, nodes: Iterable[MachineView]) -> float:
        """How long a job waits before its age counts: less while a crowd is to begin on few machines."""
        room: dict[str, float] = {}
        for node in nodes:
            if node.up:
                room[node.type.name] = room.get(node.type.name, 0.0) + node.type.cpus
        first_s = 0.0
        for job in self._cluster.jobs.values():
            if not job.started and not job.end_phase and job.waiting:
                spec = job.spec
                fitting = sum(cpus for name, cpus in room.items() if fits_type(spec, self._catalog.types[name]))
                first_s += self._workload.estimate(spec) * spec.cpus / max(fitting, spec.cpus, 1.0)
        return max(AGED_LEAST * BEGIN_S, min(AGED_PART * BEGIN_S, CROWD_PART * BEGIN_S - first_s))
