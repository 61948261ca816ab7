"""The design's trial: which tasks have to go so that one that fits nowhere fits.

On a copy of each machine, candidates are removed in order until the task fits
beside the tasks nominated there; then they are returned one by one, and those
whose return breaks the fit are the victims. Nothing moves to other devices or
machines during the trial, as the proposal requires.
"""

import bisect
import heapq
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from stileloft.protocol.messages import JobSpec
from stileloft.scheduling import gangs
from stileloft.scheduling.snapshot import (
    EPSILON,
    MachineView,
    Nomination,
    Room,
    RunningTask,
    Usage,
    allowed,
    beyond_guarantee,
    within_guarantee,
    within_limit,
    zone_allowed,
)
from stileloft.settings import Team


@dataclass(slots=True)
class Preemption:
    machine_id: str
    victims: list[RunningTask]


Victim = list[RunningTask]
"""What goes together on one machine: a task, or a gang's tasks there."""


def candidates(spec: JobSpec, machine: MachineView, teams: dict[str, Team], usage: dict[str, Usage]) -> list[Victim]:
    """What may be stopped for this task: lowest priority, budget-safe and least loss first.

    A gang is one victim: it counts with all its tasks, those on other machines included.
    """
    team = teams.get(spec.team)
    owed = within_guarantee(spec, team, usage.get(spec.team, Usage()))
    found = []
    for task in machine.tasks:
        if task.stopping or task.spec is None:
            continue
        lower = task.rank < spec.rank
        # A team is given its guarantee at the cost of others' borrowed work, but not of more
        # pressing work: that would come back at once and stop this task in turn.
        borrowed = (
            owed
            and task.rank <= spec.rank
            and task.team != spec.team
            and beyond_guarantee(teams.get(task.team), usage.get(task.team, Usage()))
        )
        if lower or borrowed:
            found.append(task)

    def order(victim: Victim) -> tuple[Any, ...]:
        task = victim[0]
        return (
            task.rank,
            not task.budget_safe,
            task.recently_started,
            task.unsaved_s * task.cpus * task.group_size,
            task.key,
        )

    return sorted(gangs.preemption_units(found), key=order)


def room_needed(spec: JobSpec, nominated: Iterable[Nomination]) -> Room:
    """What a task needs together with what is nominated to the machine at its rank or above."""
    cpus, gpus, memory_gb = spec.cpus, spec.gpus or 0.0, spec.memory_gb
    for nomination in nominated:
        if nomination.rank >= spec.rank:
            cpus += nomination.spec.cpus
            gpus += nomination.spec.gpus or 0.0
            memory_gb += nomination.spec.memory_gb
    return cpus, gpus, memory_gb


def fits_beside_nominations(spec: JobSpec, machine: MachineView, nominated: Iterable[Nomination]) -> bool:
    """The verification function: does it fit with, and without, what is nominated here?"""
    return machine.has_room(*room_needed(spec, nominated))


def trial(
    spec: JobSpec,
    machine: MachineView,
    nominated: Iterable[Nomination],
    teams: dict[str, Team],
    usage: dict[str, Usage],
) -> list[RunningTask] | None:
    """The victims on this machine, or None if no removal helps.

    An empty list means that the tasks which are leaving already make enough room.
    """
    needed = room_needed(spec, nominated)
    # Work that is borrowed may go at the task's own rank too.
    owed = within_guarantee(spec, teams.get(spec.team), usage.get(spec.team, Usage()))
    if not _covers(machine.reclaimable(spec.rank + 1 if owed else spec.rank), needed):
        return None
    room = _TrialRoom(machine, needed)
    fits = fits_beside_nominations(spec, machine, nominated)
    for task in machine.tasks:
        if task.stopping:
            fits = room.remove([task])
    removed: list[Victim] = []
    if not fits:
        for victim in candidates(spec, machine, teams, usage):
            removed.append(victim)
            fits = room.remove(victim)
            if fits:
                break
    if not fits:
        return None
    # Return what can be returned, the most valuable first.
    return [task for victim in reversed(removed) if not room.try_to_return(victim) for task in victim]


def _covers(room: Room, needed: Room) -> bool:
    return needed[0] <= room[0] + EPSILON and needed[1] <= room[1] + EPSILON and needed[2] <= room[2] + EPSILON


class _TrialRoom:
    """What is free on a machine's copy while tasks are removed from it and returned."""

    def __init__(self, machine: MachineView, needed: Room) -> None:
        self._room: Room = (machine.free_cpus, machine.free_gpus, machine.free_memory_gb)
        self._needed = needed

    def remove(self, victim: Victim) -> bool:
        """Takes tasks off the copy; returns whether there is enough room now."""
        cpus, gpus, memory_gb = self._room
        for task in victim:
            cpus, gpus, memory_gb = cpus + task.cpus, gpus + task.gpus, memory_gb + task.memory_gb
        self._room = (cpus, gpus, memory_gb)
        return _covers(self._room, self._needed)

    def try_to_return(self, victim: Victim) -> bool:
        """Puts tasks back, unless that breaks the fit."""
        before = self._room
        cpus, gpus, memory_gb = before
        for task in victim:
            cpus, gpus, memory_gb = cpus - task.cpus, gpus - task.gpus, memory_gb - task.memory_gb
        self._room = (cpus, gpus, memory_gb)
        if _covers(self._room, self._needed):
            return True
        self._room = before
        return False


def loss(victims: list[RunningTask]) -> tuple[float, int, float, int]:
    """What a machine's victims cost: highest priority first, then starts undone, unsaved work, and their number."""
    # Of a gang all tasks go, wherever they are.
    going = [(victim[0], victim[0].group_size) for victim in gangs.preemption_units(victims)]
    return (
        max((task.rank for task in victims), default=-1),
        sum(together for task, together in going if task.recently_started),
        sum(task.unsaved_s * task.cpus * together for task, together in going),
        sum(together for _, together in going),
    )


Order = tuple[float, int, float, int, int, str]


class ReclaimableRoomIndex:
    """Machines by what their trials can free at the most, shared by all jobs of a round.

    With hundreds of machines and dozens of waiting jobs, nearly all trials would end at once for want of
    room. Tasks that are placed during the round only take from it; what is stopped in it adds to it, so
    machines where something was stopped are looked at by all later jobs.
    """

    def __init__(self, machines: Mapping[str, MachineView]) -> None:
        self._machines = machines
        self._by_rank: dict[int, tuple[list[float], list[str]]] = {}
        self._stopped: dict[str, None] = {}

    def stopped(self, machine_id: str) -> None:
        self._stopped[machine_id] = None

    def with_reclaimable_cpus(self, cpus: float, below: int) -> list[MachineView]:
        """Machines that may have so many processors once all tasks below a rank are gone, and all others left out."""
        found = self._by_rank.get(below)
        if found is None:
            most = sorted(
                (machine.reclaimable(below)[0], machine.id)
                for machine in self._machines.values()
                if machine.up and machine.ready
            )
            found = self._by_rank[below] = [room for room, _ in most], [name for _, name in most]
        names = found[1][bisect.bisect_left(found[0], cpus - EPSILON) :]
        return [self._machines[name] for name in dict.fromkeys([*names, *self._stopped])]


class PreemptionTrials:
    """The trials for a job's tasks, which are alike: a machine is tried again only when it has changed."""

    def __init__(
        self,
        spec: JobSpec,
        zones: dict[str, int],
        avoid: frozenset[str],
        machines: Mapping[str, MachineView],
        reserved: Mapping[str, list[Nomination]],
        teams: dict[str, Team],
        usage: dict[str, Usage],
        spares: ReclaimableRoomIndex,
    ) -> None:
        self.spec = spec
        self.zones = zones
        self.avoid = avoid
        self.machines = machines
        self.reserved = reserved
        self.teams = teams
        self.usage = usage
        self.spares = spares
        self._heap: list[tuple[Order, str, list[RunningTask]]] = []
        self._last_fair_share: tuple[bool, list[bool]] | None = None

    def _fair_share(self) -> tuple[bool, list[bool]]:
        """What the candidates depend on beside the machine: who is owed, and who uses more than it is owed."""
        spec = self.spec
        return (
            within_guarantee(spec, self.teams.get(spec.team), self.usage.get(spec.team, Usage())),
            [beyond_guarantee(team, self.usage.get(name, Usage())) for name, team in self.teams.items()],
        )

    def _try(self, machine: MachineView) -> None:
        victims = trial(self.spec, machine, self.reserved.get(machine.id, ()), self.teams, self.usage)
        if victims is not None:
            order = (*loss(victims), 0 if self.spec.image in machine.images else 1, machine.id)
            heapq.heappush(self._heap, (order, machine.id, victims))

    def best(self) -> Preemption | None:
        """The best machine and its victims, or None if no trial succeeds."""
        spec = self.spec
        if not within_limit(spec, self.teams.get(spec.team), self.usage.get(spec.team, Usage())):
            return None
        fair_share = self._fair_share()
        if fair_share != self._last_fair_share:
            self._last_fair_share = fair_share
            self._heap = []
            for machine in self.spares.with_reclaimable_cpus(spec.cpus, spec.rank + 1 if fair_share[0] else spec.rank):
                if machine.up and machine.ready and machine.id not in self.avoid and allowed(spec, machine):
                    self._try(machine)
        while self._heap:
            _, machine_id, victims = self._heap[0]
            if zone_allowed(spec, self.zones, self.machines[machine_id].zone):
                return Preemption(machine_id, victims)
            heapq.heappop(self._heap)  # a zone that is full for the job stays so in this round
        return None

    def forget(self) -> None:
        """More than one machine has changed."""
        self._last_fair_share = None

    def changed(self, machine_id: str) -> None:
        """The best machine has got the nomination, or has changed otherwise."""
        self._heap = [entry for entry in self._heap if entry[1] != machine_id]
        heapq.heapify(self._heap)
        self._try(self.machines[machine_id])


def preempt(
    spec: JobSpec,
    zones: dict[str, int],
    machines: Iterable[MachineView],
    nominations: Iterable[Nomination],
    teams: dict[str, Team],
    usage: dict[str, Usage],
    avoid: frozenset[str] = frozenset(),
) -> Preemption | None:
    """The best machine and its victims for one task, or None if no trial succeeds."""
    reserved: dict[str, list[Nomination]] = {}
    for nomination in nominations:
        reserved.setdefault(nomination.machine_id, []).append(nomination)
    by_id = {machine.id: machine for machine in machines}
    return PreemptionTrials(spec, zones, avoid, by_id, reserved, teams, usage, ReclaimableRoomIndex(by_id)).best()
