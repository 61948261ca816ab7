"""Selection of the tasks to preempt on a machine for a task that fits on no machine.

In a simulation, candidates are removed in order until the task fits beside the tasks nominated to the machine. They are
then put back one by one as long as the task still fits; those that cannot be put back are the victims. As the design
proposal requires, no task moves to another device or machine during this.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from stileloft.model.nominations import Nomination
from stileloft.model.placements import TaskKey
from stileloft.model.quota import TeamQuotas
from stileloft.model.resources import Resources, requested
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.machine_view import MachineView, RunningTask

PreemptionUnit = list[RunningTask]
"""Tasks of one machine that are stopped together: a single task, or all tasks of a gang there."""


@dataclass(frozen=True, slots=True)
class Preemption:
    """A machine and the tasks to stop there."""

    machine_id: str
    victims: list[RunningTask]


class VictimOrder(NamedTuple):
    """Sort key of candidates; the smallest is preempted first."""

    rank: int
    exceeds_budget: bool
    recently_started: bool
    unsaved_cpu_s: float
    key: TaskKey


class PreemptionCost(NamedTuple):
    """Cost of preempting a machine's victims; lower is better."""

    highest_rank: int
    """-1 without victims."""
    undone_starts: int
    """Tasks of classes with a start objective that have not run for long enough to count as started."""
    unsaved_cpu_s: float
    """Processor seconds of work since the last checkpoints."""
    task_count: int


def preemption_units(tasks: Iterable[RunningTask]) -> list[PreemptionUnit]:
    """Returns the tasks of one machine in the units that are stopped together."""
    units: dict[str | TaskKey, PreemptionUnit] = {}
    for task in tasks:
        units.setdefault(task.key[0] if task.group_size > 1 else task.key, []).append(task)
    return list(units.values())


def victim_candidates(spec: JobSpec, machine: MachineView, quotas: TeamQuotas) -> list[PreemptionUnit]:
    """Returns the units that may be preempted for the task, in order of `VictimOrder`.

    A gang is one unit, ordered by the unsaved work of all its tasks, including those on other machines.
    """
    guaranteed = quotas.within_guarantee(spec)

    def is_preemptible(task: RunningTask) -> bool:
        if task.stopping or task.spec is None:
            return False
        # A team gets its guarantee at the cost of teams that exceed theirs, but not of tasks of higher priority:
        # those would preempt this task in turn at once.
        return task.rank < spec.rank or (
            guaranteed and task.rank <= spec.rank and task.team != spec.team and quotas.exceeds_guarantee(task.team)
        )

    return sorted(preemption_units(filter(is_preemptible, machine.tasks)), key=_victim_order)


def _victim_order(unit: PreemptionUnit) -> VictimOrder:
    task = unit[0]
    return VictimOrder(
        task.rank,
        not task.within_preemption_budget,
        task.recently_started,
        task.unsaved_s * task.cpus * task.group_size,
        task.key,
    )


def room_needed(spec: JobSpec, nominated: Iterable[Nomination]) -> Resources:
    """Returns the resources of a task and of the tasks of its rank or above that are nominated to the machine."""
    needed = requested(spec)
    for nomination in nominated:
        if nomination.rank >= spec.rank:
            needed = needed.plus(requested(nomination.spec))
    return needed


def fits_beside_nominations(spec: JobSpec, machine: MachineView, nominated: Iterable[Nomination]) -> bool:
    """Whether the task fits on the machine now, both alone and beside the nominated tasks of its rank or above."""
    return machine.has_room(room_needed(spec, nominated))


def select_victims(
    spec: JobSpec, machine: MachineView, nominated: Iterable[Nomination], quotas: TeamQuotas
) -> list[RunningTask] | None:
    """Returns the tasks to preempt on the machine, or None if preemption cannot make enough room.

    The list is empty if the room is free, or will be once tasks already being stopped are gone.
    """
    needed = room_needed(spec, nominated)
    if not machine.reclaimable(preemptible_below(spec, quotas)).covers(needed):
        return None
    room = _SimulatedRoom(machine, needed)
    fits = machine.has_room(needed)
    for task in machine.tasks:
        if task.stopping:
            fits = room.remove([task])
    removed: list[PreemptionUnit] = []
    if not fits:
        for unit in victim_candidates(spec, machine, quotas):
            removed.append(unit)
            fits = room.remove(unit)
            if fits:
                break
    if not fits:
        return None
    # Units that need not be preempted are put back, starting with the last removed, the costliest.
    return [task for unit in reversed(removed) if not room.try_to_return(unit) for task in unit]


def preemptible_below(spec: JobSpec, quotas: TeamQuotas) -> int:
    """Returns the rank below which the task may preempt others.

    A task whose team is within its guarantee may also preempt tasks of its own rank whose teams exceed theirs.
    """
    return spec.rank + 1 if quotas.within_guarantee(spec) else spec.rank


class _SimulatedRoom:
    """Free resources of a machine while tasks are removed and put back in a simulation."""

    def __init__(self, machine: MachineView, needed: Resources) -> None:
        self._room = machine.free
        self._needed = needed

    def remove(self, unit: PreemptionUnit) -> bool:
        """Removes tasks; returns whether there is enough room now."""
        for task in unit:
            self._room = self._room.plus(task)
        return self._room.covers(self._needed)

    def try_to_return(self, unit: PreemptionUnit) -> bool:
        """Puts tasks back unless that leaves too little room; returns whether they were put back."""
        room = self._room
        for task in unit:
            room = room.minus(task)
        if not room.covers(self._needed):
            return False
        self._room = room
        return True


def preemption_cost(victims: list[RunningTask]) -> PreemptionCost:
    """Returns the cost of preempting these victims, including their gangs' tasks on other machines."""
    # One task stands for each unit: `group_size` counts all tasks of its gang, on whatever machine.
    unit_representatives = [unit[0] for unit in preemption_units(victims)]
    return PreemptionCost(
        max((task.rank for task in victims), default=-1),
        sum(task.group_size for task in unit_representatives if task.recently_started),
        sum(task.unsaved_s * task.cpus * task.group_size for task in unit_representatives),
        sum(task.group_size for task in unit_representatives),
    )
