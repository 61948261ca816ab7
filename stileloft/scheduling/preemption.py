"""The design's trial: which tasks have to go so that one that fits nowhere fits.

On a copy of each machine, candidates are removed in order until the task fits beside the tasks nominated there; then
they are returned one by one, and those whose return breaks the fit are the victims. Nothing moves to other devices or
machines during the trial, as the proposal requires.
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
"""What is stopped together on one machine: a task, or a gang's tasks there."""


@dataclass(frozen=True, slots=True)
class Preemption:
    """A machine and the tasks that have to be stopped there."""

    machine_id: str
    victims: list[RunningTask]


class VictimOrder(NamedTuple):
    """Sort key of what may be stopped: what goes first has the least."""

    rank: int
    exceeds_budget: bool
    recently_started: bool
    unsaved_cpu_s: float
    key: TaskKey


class PreemptionCost(NamedTuple):
    """What a machine's victims cost; less is better."""

    highest_rank: int
    undone_starts: int
    unsaved_cpu_s: float
    task_count: int


def preemption_units(tasks: Iterable[RunningTask]) -> list[PreemptionUnit]:
    """Tasks of one machine in the groups that are stopped together: a gang is one victim."""
    found: dict[str | TaskKey, PreemptionUnit] = {}
    for task in tasks:
        found.setdefault(task.key[0] if task.group_size > 1 else task.key, []).append(task)
    return list(found.values())


def victim_candidates(spec: JobSpec, machine: MachineView, quotas: TeamQuotas) -> list[PreemptionUnit]:
    """What may be stopped for this task: lowest priority, budget-safe and least loss first.

    A gang is one victim: it counts with all its tasks, those on other machines included.
    """
    guaranteed = quotas.within_guarantee(spec)

    def may_stop(task: RunningTask) -> bool:
        if task.stopping or task.spec is None:
            return False
        # A team is given its guarantee at the cost of others' borrowed work, but not of more
        # pressing work: that would come back at once and stop this task in turn.
        return task.rank < spec.rank or (
            guaranteed and task.rank <= spec.rank and task.team != spec.team and quotas.exceeds_guarantee(task.team)
        )

    return sorted(preemption_units(filter(may_stop, machine.tasks)), key=_victim_order)


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
    """What a task needs together with what is nominated to the machine at its rank or above."""
    needed = requested(spec)
    for nomination in nominated:
        if nomination.rank >= spec.rank:
            needed = needed.plus(requested(nomination.spec))
    return needed


def fits_beside_nominations(spec: JobSpec, machine: MachineView, nominated: Iterable[Nomination]) -> bool:
    """The verification function: whether the task fits now, with and without what is nominated to the machine."""
    return machine.has_room(room_needed(spec, nominated))


def select_victims(
    spec: JobSpec, machine: MachineView, nominated: Iterable[Nomination], quotas: TeamQuotas
) -> list[RunningTask] | None:
    """The victims on this machine, or None if no removal helps.

    An empty list means that the tasks which are leaving already make enough room.
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
    # Return what can be returned, the most valuable first.
    return [task for unit in reversed(removed) if not room.try_to_return(unit) for task in unit]


def preemptible_below(spec: JobSpec, quotas: TeamQuotas) -> int:
    """All that the task may preempt is of a lower rank than this; borrowed work may be of its own rank."""
    return spec.rank + 1 if quotas.within_guarantee(spec) else spec.rank


class _SimulatedRoom:
    """What is free on a machine's copy while tasks are removed from it and returned."""

    def __init__(self, machine: MachineView, needed: Resources) -> None:
        self._room = machine.free
        self._needed = needed

    def remove(self, unit: PreemptionUnit) -> bool:
        """Takes tasks off the copy; returns whether there is enough room now."""
        for task in unit:
            self._room = self._room.plus(task)
        return self._room.covers(self._needed)

    def try_to_return(self, unit: PreemptionUnit) -> bool:
        """Puts tasks back, unless that breaks the fit."""
        room = self._room
        for task in unit:
            room = room.minus(task)
        if not room.covers(self._needed):
            return False
        self._room = room
        return True


def preemption_cost(victims: list[RunningTask]) -> PreemptionCost:
    """What a machine's victims cost: highest priority first, then starts undone, unsaved work, and their number."""
    # Of a gang all tasks go, wherever they are.
    unit_representatives = [unit[0] for unit in preemption_units(victims)]
    return PreemptionCost(
        max((task.rank for task in victims), default=-1),
        sum(task.group_size for task in unit_representatives if task.recently_started),
        sum(task.unsaved_s * task.cpus * task.group_size for task in unit_representatives),
        sum(task.group_size for task in unit_representatives),
    )
