"""Slow, plain models of the decisions: one task at a time, every machine looked at for each of them."""

from stileloft.bookkeeping.model import TaskKey
from stileloft.coordination import preemption
from stileloft.coordination.placement import MAX_HOLDS, as_running, cost, limit_aged, order_key
from stileloft.coordination.preemption import Eviction, loss
from stileloft.coordination.snapshot import (
    Hold,
    Node,
    Nomination,
    Running,
    Snapshot,
    Usage,
    Waiting,
    allowed,
    beyond_guarantee,
    within_guarantee,
    within_limit,
    zone_allowed,
)
from stileloft.protocol.messages import JobSpec


def trial(job: JobSpec, node: Node, nominated: list[Nomination], snapshot: Snapshot) -> list[Running] | None:
    """The design's words, with lists and sums only: remove in order, then return in the opposite order."""
    teams, usage = snapshot.teams, snapshot.usage
    owed = within_guarantee(job, teams.get(job.team), usage.get(job.team, Usage()))
    may = [t for t in node.tasks if not t.leaving and t.spec is not None and not t.spec.is_gang and (
        t.rank < job.rank or (owed and t.rank <= job.rank and t.team != job.team
                              and beyond_guarantee(teams.get(t.team), usage.get(t.team, Usage()))))]
    may.sort(key=lambda t: (t.rank, not t.safe, t.unsaved_s * t.cpus, t.key))

    def fits(gone: list[Running], leave: bool = True) -> bool:
        stay = [t for t in node.tasks if t not in gone and not (leave and t.leaving)]
        wanted = [n.spec for n in nominated if n.rank >= job.rank] + [job]
        return (sum(t.cpus for t in stay) + sum(w.cpus for w in wanted) <= node.type.cpus + 1e-6
                and sum(t.memory_gb for t in stay) + sum(w.memory_gb for w in wanted) <= node.type.memory_gb + 1e-6)

    if fits([], leave=False):
        return []
    for count in range(len(may) + 1):
        gone = may[:count]
        if fits(gone):
            for task in reversed(list(gone)):
                without = [t for t in gone if t is not task]
                if fits(without):
                    gone = without
            return gone
    return None


def preempt(job: Waiting, snapshot: Snapshot, nominations: list[Nomination]) -> Eviction | None:
    """The best machine and its victims."""
    spec = job.spec
    if not within_limit(spec, snapshot.teams.get(spec.team), snapshot.usage.get(spec.team, Usage())):
        return None
    found = []
    for node in snapshot.nodes.values():
        hold = snapshot.holds.get(node.id)
        if not (node.up and node.ready and node.id not in job.avoid and allowed(spec, node)
                and zone_allowed(spec, job.zones, node.zone)) or (hold and hold.owner not in ("", spec.id)):
            continue
        victims = trial(spec, node, [n for n in nominations if n.machine == node.id], snapshot)
        if victims is not None:
            image = 0 if spec.image in node.images else 1
            found.append(((*loss(victims), image, node.id), Eviction(node.id, victims)))
    return min(found, key=lambda item: item[0])[1] if found else None


def find(job: Waiting, snapshot: Snapshot, nominations: list[Nomination], scarce: bool) -> Node | None:
    """The best machine that fits now, beside the tasks nominated there."""
    spec = job.spec
    kinds = [kind.cpus for kind in snapshot.types.values()]
    found = []
    for node in snapshot.nodes.values():
        if not (node.up and node.ready and node.id not in job.avoid and allowed(spec, node)
                and zone_allowed(spec, job.zones, node.zone)):
            continue
        hold = snapshot.holds.get(node.id)
        if hold is not None and not hold.lets(spec, job.estimate_s):
            continue
        if preemption.room_beside(spec, node, [n for n in nominations if n.machine == node.id]):
            found.append((cost(spec, node, min(kinds), max(kinds), scarce, job.goal_s), node.id))
    return snapshot.nodes[min(found)[1]] if found else None


def hold_room(job: Waiting, snapshot: Snapshot) -> None:
    """Keeps room on the machine that will have it first."""
    spec = job.spec
    found = []
    for node in snapshot.nodes.values():
        if not (node.up and node.ready and node.id not in snapshot.holds and node.id not in job.avoid
                and allowed(spec, node) and zone_allowed(spec, job.zones, node.zone)):
            continue
        cpus, memory_gb, at = node.cpus, node.memory_gb, 0.0
        left = sorted(node.tasks, key=lambda task: task.remaining_s)
        while left and (spec.cpus > cpus or spec.memory_gb > memory_gb):
            task = left.pop(0)
            cpus, memory_gb, at = cpus + task.cpus, memory_gb + task.memory_gb, task.remaining_s
        if spec.cpus <= cpus and spec.memory_gb <= memory_gb:
            found.append((at, node.id, Hold(at, cpus - spec.cpus, 0.0, memory_gb - spec.memory_gb,
                                             spec.id if job.first else "")))
    if found and len(snapshot.holds) < MAX_HOLDS:
        _, name, hold = min(found, key=lambda item: item[:2])
        snapshot.holds[name] = hold


def decide(snapshot: Snapshot, max_placed: int, max_evictions: int
           ) -> tuple[list[tuple[TaskKey, str]], list[tuple[TaskKey, str, list[TaskKey]]], dict[str, int]]:
    """Placements, evictions and what is unmet, for jobs that are no gangs."""
    placed: list[tuple[TaskKey, str]] = []
    evictions: list[tuple[TaskKey, str, list[TaskKey]]] = []
    unmet: dict[str, int] = {}
    saving: list[str] = []
    limit_aged(snapshot)
    usage = snapshot.usage
    nominations = list(snapshot.nominations.values())
    smallest = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
    scarce = any(job.spec.cpus > smallest for job in snapshot.waiting)
    for job in sorted(snapshot.waiting, key=lambda job: order_key(job, snapshot, usage)):
        spec = job.spec
        team, used = snapshot.teams.get(spec.team), usage.setdefault(spec.team, Usage())
        nominated, stuck = 0, False
        for index in job.tasks:
            if len(placed) >= max_placed:
                break
            if not within_limit(spec, team, used):
                if job.first and spec.team not in saving:
                    saving.append(spec.team)
                    used.cpus += spec.cpus
                    hold_room(job, snapshot)
                break
            key = (spec.id, index)
            own = next((n for n in nominations if n.key == key), None)
            target = None
            if own is not None:
                nominations.remove(own)
                node = snapshot.nodes.get(own.machine)
                if (node is not None and node.ready and zone_allowed(spec, job.zones, node.zone)
                        and preemption.room_beside(spec, node, [n for n in nominations if n.machine == node.id])):
                    target = node
            if target is None and not stuck:
                target = find(job, snapshot, nominations, scarce)
            if target is not None:
                hold = snapshot.holds.get(target.id)
                if hold is not None and job.estimate_s > hold.until_s:
                    hold.cpus -= spec.cpus
                    hold.memory_gb -= spec.memory_gb
                target.take(as_running(spec, key, job.first))
                if spec.image not in target.images:
                    target.fetching |= {spec.image}
                job.zones[target.zone] = job.zones.get(target.zone, 0) + 1
                used.cpus += spec.cpus
                placed.append((key, target.id))
                job.count -= 1
                continue
            if own is not None:
                nominations.append(own)
                nominated += 1
                continue
            if not stuck:
                hold_room(job, snapshot)
            stuck = True
            eviction = preempt(job, snapshot, nominations) if len(evictions) < max_evictions else None
            if eviction is None:
                break
            evictions.append((key, eviction.machine, sorted(v.key for v in eviction.victims)))
            snapshot.nodes[eviction.machine].leave(eviction.victims)
            nominations = [n for n in nominations if n.machine != eviction.machine or n.rank >= spec.rank]
            nominations.append(Nomination(key, eviction.machine, spec.rank, spec, 0.0))
            used.cpus += spec.cpus
            nominated += 1
        if stuck and job.count > nominated and within_limit(spec, team, used):
            unmet[spec.id] = job.count - nominated
    return placed, evictions, unmet
