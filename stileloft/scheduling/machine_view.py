"""Views of machines and of the tasks on them, which scheduling decisions are computed from."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from stileloft.model.placements import TaskKey
from stileloft.model.resources import EPSILON, Resources
from stileloft.protocol.messages import PRIORITIES, JobSpec, MachineType

PREEMPTION_EXEMPT_RANK = max(PRIORITIES.values()) + 1
"""Rank of tasks that no other task may preempt."""


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task that takes room on a machine. Immutable, as scheduling cycles share it."""

    key: TaskKey
    spec: JobSpec | None
    """None for a task that the store does not place on the machine."""
    team: str
    rank: int
    cpus: float
    gpus: float
    memory_gb: float
    unsaved_s: float = 0.0
    """Run time that is lost if the task is stopped: since its last checkpoint, or since its start."""
    remaining_s: float = 0.0
    """Expected time until the task ends."""
    stopping: bool = False
    """Whether the task is already being stopped."""
    within_preemption_budget: bool = True
    """Whether stopping the task keeps its job within its budget of preemptions."""
    group_size: int = 1
    """Number of tasks that are stopped together: all of its gang, or 1."""
    recently_started: bool = False
    """Whether its class has a start objective and the task has run too briefly to count as started."""

    @classmethod
    def from_spec(
        cls, spec: JobSpec, key: TaskKey, preemption_exempt: bool = False, remaining_s: float = 0.0
    ) -> "RunningTask":
        """Returns a task of a job that is about to be placed."""
        return cls(
            key,
            spec,
            spec.team,
            PREEMPTION_EXEMPT_RANK if preemption_exempt else spec.rank,
            spec.cpus,
            spec.gpus or 0.0,
            spec.memory_gb,
            remaining_s=remaining_s,
            group_size=spec.tasks if spec.is_gang else 1,
        )


class FutureRoom(NamedTuple):
    """Resources free on a machine from a time on, if no more tasks are placed there."""

    available_in_s: float
    """Seconds from now."""
    room: Resources


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine as scheduling decisions see it.

    Snapshots share the view of a machine that did not change; a cycle changes only its own copy (`Snapshot.writable`).
    """

    id: str
    type: MachineType
    zone: str
    spot: bool
    ready: bool
    """Whether tasks may be placed there, once it is up."""
    up: bool
    """Whether it has sent a heartbeat to this leader."""
    tasks: list[RunningTask] = field(default_factory=list)
    images: frozenset[str] = frozenset()
    fetching: frozenset[str] = frozenset()
    """Images that its tasks need and that it does not have yet."""
    free_cpus: float = 0.0
    free_gpus: float = 0.0
    free_memory_gb: float = 0.0
    idle_s: float = 0.0
    _reclaimable: dict[int, Resources] = field(default_factory=dict)
    _room_by_time: list[FutureRoom] | None = None

    @property
    def schedulable(self) -> bool:
        """Whether tasks can be placed on the machine now."""
        return self.up and self.ready

    @property
    def free(self) -> Resources:
        """Resources that no task takes."""
        return Resources(self.free_cpus, self.free_gpus, self.free_memory_gb)

    def recompute_free(self) -> None:
        """Computes the free resources from the machine's type and its tasks."""
        self.free_cpus = self.type.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.type.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory_gb = self.type.memory_gb - sum(task.memory_gb for task in self.tasks)
        self._invalidate()

    def _invalidate(self) -> None:
        """Drops the cached values that depend on the tasks."""
        self._reclaimable = {}
        self._room_by_time = None

    def copy(self) -> "MachineView":
        """Returns a copy whose tasks can be changed."""
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
        """Adds a task and takes its resources."""
        self.tasks.append(task)
        self.free_cpus -= task.cpus
        self.free_gpus -= task.gpus
        self.free_memory_gb -= task.memory_gb
        self._invalidate()

    def remove_task(self, task: RunningTask) -> None:
        """Removes a task and frees its resources."""
        self.tasks.remove(task)
        self.free_cpus += task.cpus
        self.free_gpus += task.gpus
        self.free_memory_gb += task.memory_gb
        self._invalidate()

    def mark_stopping(self, victims: Iterable[RunningTask]) -> None:
        """Marks tasks as being stopped; their resources are not free yet."""
        stopped = {id(task) for task in victims}
        self.tasks = [replace(task, stopping=True) if id(task) in stopped else task for task in self.tasks]
        self._invalidate()

    def has_room(self, needed: Resources) -> bool:
        """Whether at least these resources are free."""
        # Written out instead of using Resources.covers, because it is called for each machine and job.
        return (
            needed.cpus <= self.free_cpus + EPSILON
            and needed.gpus <= self.free_gpus + EPSILON
            and needed.memory_gb <= self.free_memory_gb + EPSILON
        )

    def reclaimable(self, rank: int) -> Resources:
        """Returns the resources free once all tasks that are being stopped or have a rank below `rank` are gone."""
        reclaimable = self._reclaimable.get(rank)
        if reclaimable is None:
            leaving = [task for task in self.tasks if task.stopping or task.rank < rank]
            reclaimable = Resources(
                self.free_cpus + sum(task.cpus for task in leaving),
                self.free_gpus + sum(task.gpus for task in leaving),
                self.free_memory_gb + sum(task.memory_gb for task in leaving),
            )
            self._reclaimable[rank] = reclaimable
        return reclaimable

    def room_by_time(self) -> list[FutureRoom]:
        """Returns the resources free now and after the expected end of each task, in order of time."""
        if self._room_by_time is None:
            room = self.free
            self._room_by_time = [FutureRoom(0.0, room)]
            for task in sorted(self.tasks, key=lambda task: task.remaining_s):
                room = room.plus(task)
                self._room_by_time.append(FutureRoom(task.remaining_s, room))
        return self._room_by_time
