"""The ordinary path: in which order tasks are served, and where each goes."""

from dataclasses import dataclass, field

from stileloft.bookkeeping.model import TaskKey
from stileloft.coordination import preemption
from stileloft.coordination.preemption import Eviction
from stileloft.coordination.snapshot import (
    Hold,
    Node,
    Nomination,
    Running,
    Snapshot,
    Usage,
    Waiting,
    allowed,
    within_guarantee,
    within_limit,
    zone_allowed,
)
from stileloft.protocol.messages import JobSpec

# Weights of one second of image fetch against the packing terms, by need for a prompt start.
FETCH_WEIGHT_URGENT = 1.0
FETCH_WEIGHT = 0.3
WHOLE_MACHINE = 5.0
WHOLE_MACHINE_GOAL = 1.0
# The same while tasks wait that only large machines can take.
WHOLE_MACHINE_SCARCE = 30.0
# A start later than the class's goal costs this; fetches may take this part of the goal.
MISSED_GOAL = 6.0
GOAL_PART = 0.6
# Machines at the full price empty first, so that they can be returned.
ON_DEMAND = 2.0
# Waiting tasks that room is kept for in one round.
MAX_HOLDS = 8


@dataclass(slots=True)
class Decision:
    placed: list[tuple[TaskKey, str]] = field(default_factory=list)
    evictions: list[tuple[TaskKey, Eviction]] = field(default_factory=list)
    unmet: list[tuple[Waiting, int]] = field(default_factory=list)
    """Jobs, and how many of their tasks got neither place nor nomination."""


def order_key(job: Waiting, snapshot: Snapshot, usage: dict[str, Usage]) -> tuple[float, ...]:
    """Priority, then the team's guarantee, then the latest start that meets the deadline."""
    spec = job.spec
    owed = within_guarantee(spec, snapshot.teams.get(spec.team), usage.get(spec.team, Usage()))
    if spec.deadline_s is not None:
        latest = job.submitted + spec.deadline_s - job.estimate_s
        if latest < snapshot.now - job.estimate_s:
            # Lost anyway: behind those that are pressed now and can still be met, but not behind
            # those that have time, or the longest would be begun when all else is done.
            latest = snapshot.now
    else:
        latest = job.submitted + job.estimate_s
    return (-spec.rank, 0 if owed else 1, latest, job.submitted)


def fetch_time(spec: JobSpec, node: Node) -> float:
    """Seconds until the machine is likely to have the task's image."""
    if spec.image in node.images:
        return 0.0
    whole_s = spec.image_gb / max(node.type.fetch_gb_per_s, 1e-3)
    if spec.image in node.fetching:
        return whole_s  # it was begun some time ago, but may share the rate
    return whole_s * (1 + len(node.fetching))  # fetches share the rate


def cost(spec: JobSpec, node: Node, smallest_cpus: float, largest_cpus: float, scarce: bool,
         goal_s: float | None) -> float:
    """How bad a machine is for a task that fits there; lower is better."""
    fetch_s = fetch_time(spec, node)
    weight = FETCH_WEIGHT_URGENT if spec.rank >= 2 else FETCH_WEIGHT
    total = weight * fetch_s
    if goal_s is not None and fetch_s > GOAL_PART * goal_s:
        total += MISSED_GOAL
    total += (0.0 if node.spot else ON_DEMAND) + (node.cpus - spec.cpus) / max(node.type.cpus, 1.0)
    if spec.cpus <= smallest_cpus < node.type.cpus:
        # Small tasks leave large machines whole while a small one has room,
        # and first use up the large ones that are broken into already.
        # Those that are to start at once may go where that is likeliest.
        weight = WHOLE_MACHINE_GOAL if goal_s is not None else WHOLE_MACHINE_SCARCE if scarce else WHOLE_MACHINE
        total += weight * (1.0 if node.cpus >= largest_cpus / 2 else 0.3)
    return total


def as_running(spec: JobSpec, key: TaskKey) -> Running:
    return Running(key, spec, spec.team, spec.rank, spec.cpus, spec.gpus or 0.0, spec.memory_gb)


def hold_room(spec: JobSpec, zones: dict[str, int], nodes: list[Node], avoid: frozenset[str]) -> bool:
    """Keeps room for a task on the machine that will have it first."""
    best: tuple[float, str] | None = None
    chosen: tuple[Node, Hold] | None = None
    for node in nodes:
        if (node.hold is not None or not node.ready or node.id in avoid or not allowed(spec, node)
                or not zone_allowed(spec, zones, node.zone)):
            continue
        cpus, gpus, memory_gb = node.cpus, node.gpus, node.memory_gb
        at = 0.0
        for task in sorted(node.tasks, key=lambda task: task.remaining_s):
            if spec.cpus <= cpus and (spec.gpus or 0.0) <= gpus and spec.memory_gb <= memory_gb:
                break
            cpus, gpus, memory_gb = cpus + task.cpus, gpus + task.gpus, memory_gb + task.memory_gb
            at = task.remaining_s
        if spec.cpus > cpus or (spec.gpus or 0.0) > gpus or spec.memory_gb > memory_gb:
            continue
        if best is None or (at, node.id) < best:
            best = at, node.id
            chosen = node, Hold(at, cpus - spec.cpus, gpus - (spec.gpus or 0.0), memory_gb - spec.memory_gb)
    if chosen is None:
        return False
    chosen[0].hold = chosen[1]
    return True


def find(spec: JobSpec, zones: dict[str, int], nodes: list[Node], reserved: dict[str, list[Nomination]],
         avoid: frozenset[str], estimate_s: float, smallest_cpus: float, largest_cpus: float,
         scarce: bool = False, goal_s: float | None = None) -> Node | None:
    """The best machine that fits now, beside the tasks nominated there."""
    best: tuple[float, str] | None = None
    chosen: Node | None = None
    for node in nodes:
        if (spec.cpus > node.cpus + 1e-6 or not node.ready or node.id in avoid or not allowed(spec, node)
                or not zone_allowed(spec, zones, node.zone)):
            continue
        if not preemption.room_beside(spec, node, reserved.get(node.id, ())):
            continue
        if node.hold is not None and not node.hold.lets(spec, estimate_s):
            continue
        rank = (cost(spec, node, smallest_cpus, largest_cpus, scarce, goal_s), node.id)
        if best is None or rank < best:
            best, chosen = rank, node
    return chosen


def place_gang(job: Waiting, snapshot: Snapshot, decision: Decision, nodes: list[Node],
               reserved: dict[str, list[Nomination]], smallest_cpus: float, largest_cpus: float) -> bool:
    """Places all waiting tasks of a gang, or leaves everything as it was."""
    spec = job.spec
    if any(job.zones.values()):
        return False  # the rest of it is ending: it comes again as a whole
    team, used = snapshot.teams.get(spec.team), snapshot.usage.setdefault(spec.team, Usage())
    taken: list[tuple[Node, Running]] = []
    for index in job.tasks:
        target = None
        if within_limit(spec, team, used):
            target = find(spec, job.zones, nodes, reserved, job.avoid, job.estimate_s, smallest_cpus, largest_cpus)
        if target is None:
            break
        task = as_running(spec, (spec.id, index))
        target.take(task)
        taken.append((target, task))
        job.zones[target.zone] = job.zones.get(target.zone, 0) + 1
        used.cpus += spec.cpus
        used.gpus += spec.gpus or 0.0
    if len(taken) == job.count:
        decision.placed += [(task.key, node.id) for node, task in taken]
        job.count = 0
        return True
    for node, task in taken:
        node.give(task)
        job.zones[node.zone] -= 1
        used.cpus -= spec.cpus
        used.gpus -= spec.gpus or 0.0
    return False


def decide(snapshot: Snapshot, max_placed: int, max_evictions: int, may_preempt: bool = True) -> Decision:
    """One round. Works on the snapshot, which is used up by it."""
    decision = Decision()
    usage = snapshot.usage
    nodes = [node for node in snapshot.nodes.values() if node.up]
    smallest = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
    largest = max((kind.cpus for kind in snapshot.types.values()), default=0.0)
    reserved: dict[str, list[Nomination]] = {}
    for nomination in snapshot.nominations.values():
        reserved.setdefault(nomination.machine, []).append(nomination)
    holds = 0
    scarce = any(job.spec.cpus > smallest for job in snapshot.waiting)
    for job in sorted(snapshot.waiting, key=lambda job: order_key(job, snapshot, usage)):
        spec = job.spec
        team = snapshot.teams.get(spec.team)
        used = usage.setdefault(spec.team, Usage())
        nominated = 0
        stuck = False
        if spec.is_gang:
            # All of it or nothing, and waiting members stop nobody.
            if place_gang(job, snapshot, decision, nodes, reserved, smallest, largest):
                continue
            if within_limit(spec, team, used):
                decision.unmet.append((job, job.count))
            continue
        for index in job.tasks:
            if len(decision.placed) >= max_placed:
                break
            if not within_limit(spec, team, used):
                break
            own = snapshot.nominations.get((spec.id, index))
            target: Node | None = None
            if own is not None:
                # Its own nomination must not stand in its way.
                reserved[own.machine].remove(own)
                node = snapshot.nodes.get(own.machine)
                if (node is not None and node.ready and zone_allowed(spec, job.zones, node.zone)
                        and preemption.room_beside(spec, node, reserved[own.machine])):
                    target = node
            if target is None and not stuck:
                target = find(spec, job.zones, nodes, reserved, job.avoid, job.estimate_s, smallest, largest, scarce,
                              job.goal_s)
            if target is None:
                if own is not None:
                    reserved[own.machine].append(own)
                    nominated += 1
                    continue
                stuck = True
                if holds < MAX_HOLDS and hold_room(spec, job.zones, nodes, job.avoid):
                    holds += 1
                if not may_preempt or len(decision.evictions) >= max_evictions:
                    break
                eviction = preemption.preempt(spec, job.zones, nodes, list(snapshot.nominations.values()),
                                              snapshot.teams, usage, job.avoid)
                if eviction is None:
                    break  # the job's other tasks are alike: no trial helps them either
                key = (spec.id, index)
                decision.evictions.append((key, eviction))
                node = snapshot.nodes[eviction.machine]
                for victim in eviction.victims:
                    victim.leaving = True
                for lower in [n for n in reserved.get(node.id, []) if n.rank < spec.rank]:
                    # They lose the nomination and return to waiting.
                    reserved[node.id].remove(lower)
                    snapshot.nominations.pop(lower.key, None)
                nomination = Nomination(key, node.id, spec.rank, spec, 0.0)
                snapshot.nominations[key] = nomination
                reserved.setdefault(node.id, []).append(nomination)
                nominated += 1
                used.cpus += spec.cpus
                used.gpus += spec.gpus or 0.0
                continue
            if target.hold is not None and job.estimate_s > target.hold.until_s:
                target.hold.cpus -= spec.cpus
                target.hold.gpus -= spec.gpus or 0.0
                target.hold.memory_gb -= spec.memory_gb
            target.take(as_running(spec, (spec.id, index)))
            if spec.image not in target.images:
                target.fetching |= {spec.image}
            job.zones[target.zone] = job.zones.get(target.zone, 0) + 1
            used.cpus += spec.cpus
            used.gpus += spec.gpus or 0.0
            decision.placed.append(((spec.id, index), target.id))
            snapshot.nominations.pop((spec.id, index), None)
            job.count -= 1
        left = job.count - nominated
        if stuck and left > 0 and within_limit(spec, team, used):
            decision.unmet.append((job, left))
    return decision
