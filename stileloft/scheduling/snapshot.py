"""A copy of the leader's picture that the decisions are functions of."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from stileloft.model.placements import TaskKey
from stileloft.protocol.messages import PRIORITIES, JobSpec, MachineType
from stileloft.settings import Team

EPSILON = 1e-6
# The rank of what more pressing work may not stop.
PREEMPTION_EXEMPT_RANK = max(PRIORITIES.values()) + 1

Room = tuple[float, float, float]
"""Processors, accelerators, memory."""


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task that takes room on a machine. Never changed: rounds share it."""

    key: TaskKey
    spec: JobSpec | None
    team: str
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    unsaved_s: float = 0.0
    remaining_s: float = 0.0
    stopping: bool = False
    """It is already being stopped."""
    budget_safe: bool = True
    """Stopping it does not yet break its job's budget."""
    group_size: int = 1
    """How many tasks go with it, itself included: all of its gang."""
    recently_started: bool = False
    """Stopped now it would not count as started, and its class is to start soon."""


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine as the decisions see it.

    Machines that did not change are the same object in many snapshots; a round that
    changes one takes a copy of it first (`Snapshot.own`).
    """

    id: str
    type: MachineType
    zone: str
    spot: bool
    ready: bool
    up: bool
    tasks: list[RunningTask] = field(default_factory=list)
    images: frozenset[str] = frozenset()
    fetching: frozenset[str] = frozenset()
    """Images that tasks on it wait for."""
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    idle_s: float = 0.0
    _reclaimable: dict[int, Room] = field(default_factory=dict)
    _tasks_by_end: list[RunningTask] | None = None

    def recompute_free(self) -> None:
        """Computes what is free from the machine's size and its tasks."""
        self.free_cpus = self.type.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.type.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory_gb = self.type.memory_gb - sum(task.memory_gb for task in self.tasks)
        self._invalidate()

    def _invalidate(self) -> None:
        self._reclaimable = {}
        self._tasks_by_end = None

    def copy(self) -> "MachineView":
        return MachineView(
            self.id,
            self.type,
            self.zone,
            self.spot,
            self.ready,
            self.up,
            list(self.tasks),
            self.images,
            self.fetching,
            self.free_cpus,
            self.free_gpus,
            self.free_memory_gb,
            self.idle_s,
        )

    def add_task(self, task: RunningTask) -> None:
        self.tasks.append(task)
        self.free_cpus -= task.cpus
        self.free_gpus -= task.gpus
        self.free_memory_gb -= task.memory_gb
        self._invalidate()

    def remove_task(self, task: RunningTask) -> None:
        self.tasks.remove(task)
        self.free_cpus += task.cpus
        self.free_gpus += task.gpus
        self.free_memory_gb += task.memory_gb
        self._invalidate()

    def mark_stopping(self, victims: Iterable[RunningTask]) -> None:
        """Marks tasks as being stopped; their room is still taken."""
        gone = {id(task) for task in victims}
        self.tasks = [replace(task, stopping=True) if id(task) in gone else task for task in self.tasks]
        self._invalidate()

    def has_room(self, cpus: float, gpus: float, memory_gb: float) -> bool:
        return (
            cpus <= self.free_cpus + EPSILON
            and gpus <= self.free_gpus + EPSILON
            and memory_gb <= self.free_memory_gb + EPSILON
        )

    def reclaimable(self, rank: int) -> Room:
        """What is free once all that leaves, and all tasks of a lower rank, are gone: no trial makes more."""
        found = self._reclaimable.get(rank)
        if found is None:
            going = [task for task in self.tasks if task.stopping or task.rank < rank]
            found = (
                self.free_cpus + sum(task.cpus for task in going),
                self.free_gpus + sum(task.gpus for task in going),
                self.free_memory_gb + sum(task.memory_gb for task in going),
            )
            self._reclaimable[rank] = found
        return found

    def tasks_by_end(self) -> list[RunningTask]:
        """Its tasks, those that end first first."""
        if self._tasks_by_end is None:
            self._tasks_by_end = sorted(self.tasks, key=lambda task: task.remaining_s)
        return self._tasks_by_end


@dataclass(slots=True)
class Reservation:
    """Room kept for a task that waits, so that smaller ones don't starve it."""

    until_s: float
    """When enough room is expected; what ends before may use the room meanwhile."""
    cpus: float
    gpus: float
    memory_gb: float
    """What is left then beside the task."""
    owner: str = ""
    """The job that the room is kept for, if it is old: no trial gives the room to others."""

    def admits(self, spec: JobSpec, estimate_s: float, overdue: bool = False) -> bool:
        """Whether a job may use the room meanwhile; `overdue`: nothing of it was placed for long."""
        if overdue and not self.owner:
            return True  # nothing is to wait beside room that stays empty for long
        # Estimates are too rough for a job that has waited for long already.
        return (not self.owner and estimate_s <= self.until_s) or (
            spec.cpus <= self.cpus + EPSILON
            and (spec.gpus or 0.0) <= self.gpus + EPSILON
            and spec.memory_gb <= self.memory_gb + EPSILON
        )


@dataclass(slots=True)
class PendingJob:
    """A job with tasks that wait for a machine."""

    spec: JobSpec
    submitted: float
    count: int
    """How many tasks wait."""
    tasks: list[int]
    """Some of them, lowest numbers first."""
    zones: dict[str, int]
    """Tasks that are placed, by zone."""
    estimate_s: float
    start_objective_s: float | None = None
    """How soon its class is to start, by the objectives."""
    avoid: frozenset[str] = frozenset()
    """Machines on which the job failed."""
    aged: bool = False
    """It has waited for long."""
    promoted: bool = False
    """It goes before more pressing work in this round, which does not stop what it begins."""
    started: bool = True
    """One of its tasks was placed already."""
    starving: bool = False
    """Nothing of it was placed for so long that it may use room kept for what is only expected."""

    def split(self, most: int) -> "PendingJob":
        """Keeps its first tasks, so many, and returns the others as a job that does not go first.

        What is placed of either counts for both, by zone.
        """
        others = replace(self, count=self.count - most, tasks=self.tasks[most:], promoted=False)
        self.count, self.tasks = most, self.tasks[:most]
        return others


@dataclass(slots=True)
class Usage:
    """What a team's tasks take, all placed and unheard ones included."""

    cpus: float = 0.0
    gpus: float = 0.0

    def add(self, cpus: float, gpus: float) -> None:
        """Counts what more tasks take."""
        self.cpus += cpus
        self.gpus += gpus


@dataclass(slots=True)
class Nomination:
    """Room that is being made on a machine for a task."""

    key: TaskKey
    machine_id: str
    rank: int
    spec: JobSpec
    until: float


@dataclass(slots=True)
class Snapshot:
    now: float
    """Time of day, for deadlines."""
    machines: dict[str, MachineView]
    waiting: list[PendingJob]
    teams: dict[str, Team]
    usage: dict[str, Usage]
    nominations: dict[TaskKey, Nomination]
    types: dict[str, MachineType]
    expected: list[tuple[JobSpec, int]] = field(default_factory=list)
    """Tasks of gangs for which room is to be kept before they come."""
    reservations: dict[str, Reservation] = field(default_factory=dict)
    """Room held in this round, by machine."""
    copied: set[str] = field(default_factory=set)
    """Machines that this round has a copy of."""
    _total_cpus: float | None = None

    def total_cpus(self) -> float:
        """Processors of all machines."""
        if self._total_cpus is None:
            self._total_cpus = sum(machine.type.cpus for machine in self.machines.values())
        return self._total_cpus

    def writable(self, machine_id: str) -> MachineView:
        """The machine's copy that may be changed."""
        machine = self.machines[machine_id]
        if machine_id not in self.copied:
            machine = self.machines[machine_id] = machine.copy()
            self.copied.add(machine_id)
        return machine


def allowed(spec: JobSpec, machine: MachineView) -> bool:
    """Type, zone and kind of machine, which no wait will change."""
    return (
        (spec.types is None or machine.type.name in spec.types)
        and (spec.zone is None or spec.zone == machine.zone)
        and (not machine.spot or bool(spec.spot))
    )


def zone_allowed(spec: JobSpec, zones: dict[str, int], zone: str) -> bool:
    """Whether one more task of the job may be in this zone, given the placed ones."""
    if spec.one_zone and any(count > 0 for other, count in zones.items() if other != zone):
        return False
    return not (spec.spread and zones.get(zone, 0) + 1 > (spec.tasks + 1) // 2)


def within_limit(
    spec: JobSpec, team: Team | None, usage: Usage, cpus_back: float = 0.0, gpus_back: float = 0.0
) -> bool:
    """Whether one more task keeps the team within its limit; `*_back` is given up for it."""
    if team is None:
        return False
    if team.cpus_max and usage.cpus - cpus_back + spec.cpus > team.cpus_max + EPSILON:
        return False
    return not (team.gpus_max and usage.gpus - gpus_back + (spec.gpus or 0.0) > team.gpus_max + EPSILON)


def whole_within_limit(spec: JobSpec, team: Team | None, usage: Usage, count: int) -> bool:
    """Whether so many tasks more at once keep the team within its limit."""
    rest = Usage(usage.cpus + (count - 1) * spec.cpus, usage.gpus + (count - 1) * (spec.gpus or 0.0))
    return within_limit(spec, team, rest)


def within_guarantee(spec: JobSpec, team: Team | None, usage: Usage) -> bool:
    """Whether the team stays within what it is guaranteed with one more task."""
    if team is None or not (team.cpus or team.gpus):
        return False
    return usage.cpus + spec.cpus <= team.cpus + EPSILON and usage.gpus + (spec.gpus or 0.0) <= team.gpus + EPSILON


def beyond_guarantee(team: Team | None, usage: Usage) -> bool:
    """Whether the team uses more than it is guaranteed."""
    if team is None:
        return True
    return usage.cpus > team.cpus + EPSILON or usage.gpus > team.gpus + EPSILON
