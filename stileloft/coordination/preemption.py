"""The design's trial: which tasks have to go so that one that fits nowhere fits.

On a copy of each machine, candidates are removed in order until the task fits
beside the tasks nominated there; then they are returned one by one, and those
whose return breaks the fit are the victims. Nothing moves to other devices or
machines during the trial, as the proposal requires.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from stileloft.coordination.snapshot import (
    Node,
    Nomination,
    Running,
    Usage,
    allowed,
    beyond_guarantee,
    within_guarantee,
    within_limit,
    zone_allowed,
)
from stileloft.protocol.messages import JobSpec
from stileloft.settings import Team


@dataclass(slots=True)
class Eviction:
    machine: str
    victims: list[Running]


def candidates(spec: JobSpec, node: Node, teams: dict[str, Team], usage: dict[str, Usage]) -> list[Running]:
    """Tasks that may be stopped for this one: lowest priority, budget-safe and least loss first."""
    team = teams.get(spec.team)
    owed = within_guarantee(spec, team, usage.get(spec.team, Usage()))
    found = []
    for task in node.tasks:
        if task.leaving or task.spec is None or task.spec.is_gang:
            continue  # a gang is one victim, on all its machines: no trial of one machine can weigh it
        lower = task.rank < spec.rank
        # A team is given its guarantee at the cost of others' borrowed work, but not of more
        # pressing work: that would come back at once and stop this task in turn.
        borrowed = (owed and task.rank <= spec.rank and task.team != spec.team
                    and beyond_guarantee(teams.get(task.team), usage.get(task.team, Usage())))
        if lower or borrowed:
            found.append(task)
    found.sort(key=lambda task: (task.rank, not task.safe, task.unsaved_s * task.cpus, task.key))
    return found


def room_beside(spec: JobSpec, node: Node, nominated: Iterable[Nomination]) -> bool:
    """The verification function: does it fit with, and without, what is nominated here?"""
    cpus, gpus, memory_gb = spec.cpus, spec.gpus or 0.0, spec.memory_gb
    for nomination in nominated:
        if nomination.rank >= spec.rank:
            cpus += nomination.spec.cpus
            gpus += nomination.spec.gpus or 0.0
            memory_gb += nomination.spec.memory_gb
    return node.has_room(cpus, gpus, memory_gb)


def trial(spec: JobSpec, node: Node, nominated: list[Nomination], teams: dict[str, Team],
          usage: dict[str, Usage]) -> list[Running] | None:
    """The victims on this machine, or None if no removal helps. Leaves `node` as it was.

    An empty list means that the tasks which are leaving already make enough room.
    """
    leaving = [task for task in node.tasks if task.leaving]
    for task in leaving:
        node.give(task)
    removed: list[Running] = []
    fits = room_beside(spec, node, nominated)
    if not fits:
        for task in candidates(spec, node, teams, usage):
            node.give(task)
            removed.append(task)
            fits = room_beside(spec, node, nominated)
            if fits:
                break
    victims: list[Running] = []
    if fits:
        # Return what can be returned, the most valuable first.
        for task in reversed(removed):
            node.take(task)
            if not room_beside(spec, node, nominated):
                node.give(task)
                victims.append(task)
        removed = victims
    for task in removed + leaving:
        node.take(task)
    return victims if fits else None


def loss(victims: list[Running]) -> tuple[float, float, int]:
    """What a machine's victims cost: highest priority first, then unsaved work, then their number."""
    return (
        max((task.rank for task in victims), default=-1),
        sum(task.unsaved_s * task.cpus for task in victims),
        len(victims),
    )


def preempt(spec: JobSpec, zones: dict[str, int], nodes: Iterable[Node], nominations: Iterable[Nomination],
            teams: dict[str, Team], usage: dict[str, Usage], avoid: frozenset[str] = frozenset()) -> Eviction | None:
    """The best machine and its victims, or None if no trial succeeds."""
    if not within_limit(spec, teams.get(spec.team), usage.get(spec.team, Usage())):
        return None
    by_machine: dict[str, list[Nomination]] = {}
    for nomination in nominations:
        by_machine.setdefault(nomination.machine, []).append(nomination)
    best: tuple[tuple[float, float, int, int, str], Eviction] | None = None
    for node in nodes:
        if not node.ready or node.id in avoid or not allowed(spec, node) or not zone_allowed(spec, zones, node.zone):
            continue
        victims = trial(spec, node, by_machine.get(node.id, []), teams, usage)
        if victims is not None:
            order = (*loss(victims), 0 if spec.image in node.images else 1, node.id)
            if best is None or order < best[0]:
                best = order, Eviction(node.id, victims)
    return best[1] if best else None
