"""Machines and the tasks on them, as the scheduling decisions see them."""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from typing import NamedTuple

from stileloft.model.placements import TaskKey
from stileloft.model.resources import EPSILON, Resources
from stileloft.protocol.messages import PRIORITIES, JobSpec, MachineType

PREEMPTION_EXEMPT_RANK = max(PRIORITIES.values()) + 1
"""The rank of tasks that no other task may preempt."""


@dataclass(slots=True, eq=False)
class RunningTask:
    """A task that takes room on a machine. Never changed, as scheduling cycles share it."""

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
    within_preemption_budget: bool = True
    """Stopping it does not yet break its job's budget."""
    group_size: int = 1
    """How many tasks are stopped with it, itself included: all of its gang."""
    recently_started: bool = False
    """Stopped now it would not count as started, and its class is to start soon."""

    @classmethod
    def from_spec(
        cls, spec: JobSpec, key: TaskKey, preemption_exempt: bool = False, remaining_s: float = 0.0
    ) -> "RunningTask":
        """A task of a job that is about to be placed."""
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
    """What is free on a machine from some moment on, if nothing more is placed there."""

    available_in_s: float
    room: Resources


@dataclass(slots=True, eq=False)
class MachineView:
    """A machine as the decisions see it.

    Machines that did not change are the same object in many snapshots; a cycle that changes one takes a copy of it
    first (`Snapshot.writable`).
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
    _reclaimable: dict[int, Resources] = field(default_factory=dict)
    _room_by_time: list[FutureRoom] | None = None

    @property
    def schedulable(self) -> bool:
        """Whether it is up and takes tasks now."""
        return self.up and self.ready

    @property
    def free(self) -> Resources:
        """What no task takes."""
        return Resources(self.free_cpus, self.free_gpus, self.free_memory_gb)

    def recompute_free(self) -> None:
        """Computes what is free from the machine's size and its tasks."""
        self.free_cpus = self.type.cpus - sum(task.cpus for task in self.tasks)
        self.free_gpus = self.type.gpus - sum(task.gpus for task in self.tasks)
        self.free_memory_gb = self.type.memory_gb - sum(task.memory_gb for task in self.tasks)
        self._invalidate()

    def _invalidate(self) -> None:
        """Drops what was computed from the tasks."""
        self._reclaimable = {}
        self._room_by_time = None

    def copy(self) -> "MachineView":
        """A copy whose tasks can be changed."""
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
        """Puts a task there."""
        self.tasks.append(task)
        self.free_cpus -= task.cpus
        self.free_gpus -= task.gpus
        self.free_memory_gb -= task.memory_gb
        self._invalidate()

    def remove_task(self, task: RunningTask) -> None:
        """Takes a task away."""
        self.tasks.remove(task)
        self.free_cpus += task.cpus
        self.free_gpus += task.gpus
        self.free_memory_gb += task.memory_gb
        self._invalidate()

    def mark_stopping(self, victims: Iterable[RunningTask]) -> None:
        """Marks tasks as being stopped; their room is still taken."""
        stopped = {id(task) for task in victims}
        self.tasks = [replace(task, stopping=True) if id(task) in stopped else task for task in self.tasks]
        self._invalidate()

    def has_room(self, needed: Resources) -> bool:
        """Whether so much is free."""
        # Written out, as it is asked for each machine and job.
        return (
            needed.cpus <= self.free_cpus + EPSILON
            and needed.gpus <= self.free_gpus + EPSILON
            and needed.memory_gb <= self.free_memory_gb + EPSILON
        )

    def reclaimable(self, rank: int) -> Resources:
        """What is free once all that is being stopped, and all tasks of a lower rank, are gone."""
        found = self._reclaimable.get(rank)
        if found is None:
            leaving = [task for task in self.tasks if task.stopping or task.rank < rank]
            found = Resources(
                self.free_cpus + sum(task.cpus for task in leaving),
                self.free_gpus + sum(task.gpus for task in leaving),
                self.free_memory_gb + sum(task.memory_gb for task in leaving),
            )
            self._reclaimable[rank] = found
        return found

    def room_by_time(self) -> list[FutureRoom]:
        """What is free now, and then after the end of each task, the earliest end first."""
        if self._room_by_time is None:
            room = self.free
            self._room_by_time = [FutureRoom(0.0, room)]
            for task in sorted(self.tasks, key=lambda task: task.remaining_s):
                room = room.plus(task)
                self._room_by_time.append(FutureRoom(task.remaining_s, room))
        return self._room_by_time
