"""The ordinary path: in which order tasks are served, and where each goes."""

import heapq
from dataclasses import dataclass, field

from stileloft.model.placements import TaskKey
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling import gangs, preemption
from stileloft.scheduling.preemption import Preemption
from stileloft.scheduling.snapshot import (
    EPSILON,
    PREEMPTION_EXEMPT_RANK,
    MachineView,
    Nomination,
    PendingJob,
    Reservation,
    RunningTask,
    Snapshot,
    Usage,
    allowed,
    whole_within_limit,
    within_guarantee,
    within_limit,
    zone_allowed,
)

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
# Work that goes first because of its age takes no more than this part of the processors.
AGED_PART = 0.25
# Waiting tasks that room is kept for in one round.
MAX_RESERVATIONS = 8


@dataclass(slots=True)
class Decision:
    placed: list[tuple[TaskKey, str]] = field(default_factory=list)
    preemptions: list[tuple[TaskKey, Preemption]] = field(default_factory=list)
    unmet: list[tuple[PendingJob, int]] = field(default_factory=list)
    """Jobs, and how many of their tasks got neither place nor nomination."""
    promoted: frozenset[str] = frozenset()
    """Jobs that went before more pressing work because of their age."""


def order_key(job: PendingJob, snapshot: Snapshot, usage: dict[str, Usage]) -> tuple[float, ...]:
    """Age, priority, then the team's guarantee, then the latest start that meets the deadline."""
    spec = job.spec
    if job.promoted:
        # All of them are old, the more pressing ones too. First each is to begin.
        return (0, 1 if job.started else 0, job.submitted)
    owed = within_guarantee(spec, snapshot.teams.get(spec.team), usage.get(spec.team, Usage()))
    return (1, -spec.rank, 0 if owed else 1, latest_start(job, snapshot), job.submitted)


def latest_start(job: PendingJob, snapshot: Snapshot) -> float:
    """When the job is to begin at the latest; without a deadline, when its share of the machines would be done.

    One array of tens of thousands of tasks would else go before all small jobs that come while it is served.
    """
    if job.spec.deadline_s is None:
        return job.submitted + max(job.estimate_s, alone_s(job, snapshot))
    latest = job.submitted + job.spec.deadline_s - job.estimate_s
    if latest < snapshot.now - job.estimate_s:
        # Lost anyway: behind those that are pressed now and can still be met, but not behind
        # those that have time, or the longest would be begun when all else is done.
        return snapshot.now
    return latest


def alone_s(job: PendingJob, snapshot: Snapshot) -> float:
    """Seconds that the whole job would take if its team, or the machines, had nothing else to do."""
    team = snapshot.teams.get(job.spec.team)
    cpus = team.cpus_max if team is not None and team.cpus_max else snapshot.cpus()
    return job.spec.tasks * job.spec.cpus * job.estimate_s / max(cpus, job.spec.cpus, 1.0)


def limit_aged(snapshot: Snapshot) -> None:
    """Of the jobs that have grown old each begins with a task; then the oldest go on, within such work's part.

    What is beyond that part is served in the ordinary order: else an old job of thousands of tasks would be held to
    that part while machines stand empty.
    """
    nodes = [node for node in snapshot.nodes.values() if node.up and node.ready]
    room = AGED_PART * sum(node.type.cpus for node in nodes)
    room -= sum(task.cpus for node in nodes for task in node.tasks if task.rank == PREEMPTION_EXEMPT_RANK)
    aged = [job for job in snapshot.waiting if job.aged]
    for job in sorted(aged, key=lambda job: (job.started, job.submitted, job.spec.id)):
        job.promoted = room > 0 or not job.started
        wanted = (job.count if job.started else 1) * job.spec.cpus
        if job.promoted and not job.spec.is_gang:
            most = max(1, int(room / job.spec.cpus)) if job.started and job.spec.cpus else 1
            if most < job.count:
                snapshot.waiting.append(job.split(most))
        room -= wanted


def fetch_time(spec: JobSpec, node: MachineView) -> float:
    """Seconds until the machine is likely to have the task's image."""
    if spec.image in node.images:
        return 0.0
    whole_s = spec.image_gb / max(node.type.fetch_gb_per_s, 1e-3)
    if spec.image in node.fetching:
        return whole_s  # it was begun some time ago, but may share the rate
    return whole_s * (1 + len(node.fetching))  # fetches share the rate


def cost(
    spec: JobSpec,
    node: MachineView,
    smallest_cpus: float,
    largest_cpus: float,
    scarce: bool,
    start_objective_s: float | None,
) -> float:
    """How bad a machine is for a task that fits there; lower is better."""
    fetch_s = fetch_time(spec, node)
    # All tasks of a gang wait for the last image.
    weight = FETCH_WEIGHT_URGENT if spec.rank >= 2 or (spec.is_gang and start_objective_s is not None) else FETCH_WEIGHT
    total = weight * fetch_s
    if start_objective_s is not None and fetch_s > GOAL_PART * start_objective_s:
        total += MISSED_GOAL
    total += (0.0 if node.spot else ON_DEMAND) + (node.cpus - spec.cpus) / max(node.type.cpus, 1.0)
    if spec.cpus <= smallest_cpus < node.type.cpus:
        # Small tasks leave large machines whole while a small one has room,
        # and first use up the large ones that are broken into already.
        # Those that are to start at once may go where that is likeliest.
        weight = (
            WHOLE_MACHINE_GOAL if start_objective_s is not None else WHOLE_MACHINE_SCARCE if scarce else WHOLE_MACHINE
        )
        total += weight * (1.0 if node.cpus >= largest_cpus / 2 else 0.3)
    return total


def as_running(spec: JobSpec, key: TaskKey, preemption_exempt: bool = False, remaining_s: float = 0.0) -> RunningTask:
    rank = PREEMPTION_EXEMPT_RANK if preemption_exempt else spec.rank
    return RunningTask(
        key,
        spec,
        spec.team,
        rank,
        spec.cpus,
        spec.gpus or 0.0,
        spec.memory_gb,
        remaining_s=remaining_s,
        group_size=spec.tasks if spec.is_gang else 1,
    )


def reserve_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Keeps room for a task on the machine that will have it first."""
    spec, reservations = job.spec, snapshot.reservations
    if len(reservations) >= MAX_RESERVATIONS:
        return
    best: tuple[float, str] | None = None
    for node in snapshot.nodes.values():
        if (
            spec.cpus > node.type.cpus
            or not node.up
            or not node.ready
            or node.id in reservations
            or node.id in job.avoid
            or not allowed(spec, node)
            or not zone_allowed(spec, job.zones, node.zone)
        ):
            continue
        cpus, gpus, memory_gb = node.cpus, node.gpus, node.memory_gb
        at = 0.0
        for task in node.by_end():
            if spec.cpus <= cpus and (spec.gpus or 0.0) <= gpus and spec.memory_gb <= memory_gb:
                break
            cpus, gpus, memory_gb = cpus + task.cpus, gpus + task.gpus, memory_gb + task.memory_gb
            at = task.remaining_s
        if spec.cpus > cpus or (spec.gpus or 0.0) > gpus or spec.memory_gb > memory_gb:
            continue
        if best is None or (at, node.id) < best:
            best = at, node.id
            hold = Reservation(
                at,
                cpus - spec.cpus,
                gpus - (spec.gpus or 0.0),
                memory_gb - spec.memory_gb,
                spec.id if job.promoted else "",
            )
    if best is not None:
        reservations[best[1]] = hold


@dataclass(slots=True)
class SchedulingCycle:
    """What is the same for all jobs of a round."""

    snapshot: Snapshot
    reserved: dict[str, list[Nomination]]
    smallest_cpus: float
    largest_cpus: float
    scarce: bool
    """Tasks wait that only large machines can take."""
    open: list[str]
    """Machines on which something has room."""
    least: tuple[float, float]
    """The least processors and memory that any waiting task takes."""
    spares: preemption.ReclaimableRoom
    saving: set[str] = field(default_factory=set)
    """Teams at their limit, of which an old job is to have what becomes free."""

    narrowed_at: int = -1
    """How many tasks had been placed when the open machines were last looked at."""

    def narrow(self, placed: int) -> None:
        """Leaves out the machines that have become full, if tasks were placed since the last time."""
        if placed == self.narrowed_at:
            return
        self.narrowed_at = placed
        nodes, (cpus, memory_gb) = self.snapshot.nodes, self.least
        self.open = [
            name
            for name in self.open
            if nodes[name].cpus + EPSILON >= cpus and nodes[name].memory_gb + EPSILON >= memory_gb
        ]


class Candidates:
    """The machines that have room for a job's tasks, which are alike, the best first.

    Each machine is weighed once, and again only when it has changed.
    """

    def __init__(self, job: PendingJob, about: SchedulingCycle, among: list[MachineView] | None = None) -> None:
        self._job = job
        self._about = about
        self._nodes = about.snapshot.nodes
        self._heap: list[tuple[float, str, int]] = []
        self._versions: dict[str, int] = {}
        for node in [self._nodes[name] for name in about.open] if among is None else among:
            self._weigh(node, 0)
        heapq.heapify(self._heap)

    def _weigh(self, node: MachineView, version: int) -> None:
        job, about = self._job, self._about
        spec = job.spec
        if spec.cpus > node.cpus + EPSILON or node.id in job.avoid or not allowed(spec, node):
            return
        reserved = about.reserved.get(node.id, ())
        if not preemption.room_beside(spec, node, gangs.beside(job, reserved) if reserved else reserved):
            return
        hold = about.snapshot.reservations.get(node.id)
        if hold is not None and not hold.lets(spec, job.estimate_s, job.starving):
            return
        weight = cost(spec, node, about.smallest_cpus, about.largest_cpus, about.scarce, job.start_objective_s)
        self._heap.append((weight, node.id, version))

    def best(self) -> MachineView | None:
        while self._heap:
            _, name, version = self._heap[0]
            node = self._nodes[name]
            # A zone that is full for the job stays so in this round.
            if version == self._versions.get(name, 0) and zone_allowed(self._job.spec, self._job.zones, node.zone):
                return node
            heapq.heappop(self._heap)
        return None

    def changed(self, machine: str) -> None:
        """Weighs a machine anew, on which a task was placed or a nomination lost."""
        version = self._versions[machine] = self._versions.get(machine, 0) + 1
        node = self._nodes[machine]
        if not node.ready or not node.up:
            return
        before = len(self._heap)
        self._weigh(node, version)
        if len(self._heap) > before:
            heapq.heappush(self._heap, self._heap.pop())


def count_in(job: PendingJob, used: Usage, zone: str, sign: int = 1) -> None:
    """Counts a task as placed in a zone, or (-1) takes it back."""
    used.cpus += sign * job.spec.cpus
    used.gpus += sign * (job.spec.gpus or 0.0)
    job.zones[zone] = job.zones.get(zone, 0) + sign


def serve_gang(job: PendingJob, about: SchedulingCycle, decision: Decision) -> None:
    """Places all tasks of a gang, or leaves everything as it was and holds room. Waiting gangs stop nobody."""
    spec, snapshot = job.spec, about.snapshot
    found = gangs.find_place(
        job,
        snapshot,
        [snapshot.nodes[name] for name in about.open],
        lambda among: Candidates(job, about, among),
        fetch_time,
    )
    if found is not None:
        for index, node in found:
            place_task(job, index, node, about, decision)
        return
    used = snapshot.usage.setdefault(spec.team, Usage())
    if not any(job.zones.values()) and whole_within_limit(spec, snapshot.teams.get(spec.team), used, job.count):
        if len(snapshot.reservations) < MAX_RESERVATIONS:
            gangs.reserve_room(job, snapshot)
        decision.unmet.append((job, job.count))


def place_task(job: PendingJob, index: int, target: MachineView, about: SchedulingCycle, decision: Decision) -> None:
    spec, snapshot = job.spec, about.snapshot
    node = snapshot.own(target.id)
    hold = snapshot.reservations.get(node.id)
    if hold is not None and job.estimate_s > hold.until_s:
        hold.cpus -= spec.cpus
        hold.gpus -= spec.gpus or 0.0
        hold.memory_gb -= spec.memory_gb
    node.take(as_running(spec, (spec.id, index), job.promoted, job.estimate_s))
    if spec.image not in node.images:
        node.fetching |= {spec.image}
    count_in(job, snapshot.usage.setdefault(spec.team, Usage()), node.zone)
    decision.placed.append(((spec.id, index), node.id))
    snapshot.nominations.pop((spec.id, index), None)
    job.count -= 1


def nominate(job: PendingJob, index: int, eviction: Preemption, about: SchedulingCycle, decision: Decision) -> None:
    """The task is to have the machine that the trials found best, once the victims are gone."""
    spec, snapshot = job.spec, about.snapshot
    key = (spec.id, index)
    decision.preemptions.append((key, eviction))
    machine = eviction.machine
    if eviction.victims:
        snapshot.own(machine).leave(eviction.victims)
        about.spares.stopped(machine)
    for lower in [n for n in about.reserved.get(machine, []) if n.rank < spec.rank]:
        # They lose the nomination and return to waiting.
        about.reserved[machine].remove(lower)
        snapshot.nominations.pop(lower.key, None)
    for other in gangs.leave(snapshot, eviction.victims):
        about.spares.stopped(other)
    nomination = Nomination(key, machine, spec.rank, spec, 0.0)
    snapshot.nominations[key] = nomination
    about.reserved.setdefault(machine, []).append(nomination)
    used = snapshot.usage.setdefault(spec.team, Usage())
    used.cpus += spec.cpus
    used.gpus += spec.gpus or 0.0


@dataclass(frozen=True, slots=True)
class Bounds:
    """How much one round decides at the most."""

    placed: int
    preemptions: int


class JobServer:
    """Serves one job of a round: places its tasks, makes room for those that fit nowhere, or holds room."""

    def __init__(self, job: PendingJob, about: SchedulingCycle, decision: Decision, bounds: Bounds) -> None:
        self._job = job
        self._about = about
        self._snapshot = about.snapshot
        self._decision = decision
        self._bounds = bounds
        self._team = self._snapshot.teams.get(job.spec.team)
        self._used = self._snapshot.usage.setdefault(job.spec.team, Usage())
        self._candidates: Candidates | None = None
        self._trials: preemption.PreemptionTrials | None = None
        self._nominated = 0

    def serve(self) -> None:
        """Serves the job's tasks in their order, as far as the round's bounds and its team's limit allow."""
        for index in self._job.tasks:
            if len(self._decision.placed) >= self._bounds.placed:
                break
            if not within_limit(self._job.spec, self._team, self._used):
                self._save_limit()
                break
            if not self._serve_task(index):
                break
        left = self._job.count - self._nominated
        if self._trials is not None and left > 0 and within_limit(self._job.spec, self._team, self._used):
            self._decision.unmet.append((self._job, left))

    def _save_limit(self) -> None:
        """What its team gives up is kept for an old job: small tasks would take each bit as it becomes free."""
        spec = self._job.spec
        if self._job.promoted and spec.team not in self._about.saving:
            self._about.saving.add(spec.team)
            self._used.add(spec.cpus, spec.gpus or 0.0)
            reserve_room(self._job, self._snapshot)

    def _serve_task(self, index: int) -> bool:
        """Places a task, or makes room for it; returns whether the job's next task is worth looking at."""
        own = self._snapshot.nominations.get((self._job.spec.id, index))
        target = self._nominated_target(own)
        if target is None and self._trials is None:
            if self._candidates is None:
                self._candidates = Candidates(self._job, self._about)
            target = self._candidates.best()
        if target is not None:
            place_task(self._job, index, target, self._about, self._decision)
            if self._candidates is not None:
                self._candidates.changed(target.id)
            return True
        if own is not None:
            self._about.reserved[own.machine].append(own)
            self._nominated += 1
            return True
        return self._make_room(index)

    def _nominated_target(self, own: Nomination | None) -> MachineView | None:
        """The machine that the task is nominated to, if it fits there by now."""
        if own is None:
            return None
        reserved = self._about.reserved[own.machine]
        reserved.remove(own)  # its own nomination must not stand in its way
        node = self._snapshot.nodes.get(own.machine)
        if node is None:
            return None
        spec = self._job.spec
        there = node.ready and zone_allowed(spec, self._job.zones, node.zone)
        if there and preemption.room_beside(spec, node, reserved):
            return node
        if self._candidates is not None:
            self._candidates.changed(own.machine)
        return None

    def _make_room(self, index: int) -> bool:
        """Nominates the task to the machine that the trials find best; returns whether there is one."""
        if self._trials is None:
            self._trials = self._begin_trials()
        if len(self._decision.preemptions) >= self._bounds.preemptions:
            return False
        eviction = self._trials.best()
        if eviction is None:
            return False  # the job's other tasks are alike: no trial helps them either
        nominate(self._job, index, eviction, self._about, self._decision)
        self._trials.changed(eviction.machine)
        if any(task.group_size > 1 for task in eviction.victims):
            self._trials.forget()  # a gang has gone from other machines too
        self._nominated += 1
        return True

    def _begin_trials(self) -> preemption.PreemptionTrials:
        job, snapshot, about = self._job, self._snapshot, self._about
        reserve_room(job, snapshot)
        held = {name for name, hold in snapshot.reservations.items() if hold.owner not in ("", job.spec.id)}
        return preemption.PreemptionTrials(
            job.spec,
            job.zones,
            job.avoid | held,
            snapshot.nodes,
            about.reserved,
            snapshot.teams,
            snapshot.usage,
            about.spares,
        )


def decide(snapshot: Snapshot, max_placed: int, max_preemptions: int) -> Decision:
    """One round. Works on the snapshot, which is used up by it."""
    limit_aged(snapshot)
    decision = Decision(promoted=frozenset(job.spec.id for job in snapshot.waiting if job.promoted))
    nodes = snapshot.nodes
    kinds = snapshot.types.values()
    smallest = min((kind.cpus for kind in kinds), default=0.0)
    reserved: dict[str, list[Nomination]] = {}
    for nomination in [*snapshot.nominations.values(), *gangs.expect(snapshot)]:
        reserved.setdefault(nomination.machine, []).append(nomination)
    about = SchedulingCycle(
        snapshot,
        reserved,
        smallest,
        max((kind.cpus for kind in kinds), default=0.0),
        any(job.spec.cpus > smallest for job in snapshot.waiting),
        [node.id for node in nodes.values() if node.up and node.ready],
        (
            min((job.spec.cpus for job in snapshot.waiting), default=0.0),
            min((job.spec.memory_gb for job in snapshot.waiting), default=0.0),
        ),
        preemption.ReclaimableRoom(nodes),
    )
    bounds = Bounds(max_placed, max_preemptions)
    for job in sorted(snapshot.waiting, key=lambda job: order_key(job, snapshot, snapshot.usage)):
        about.narrow(len(decision.placed))
        if not job.spec.is_gang:
            JobServer(job, about, decision, bounds).serve()
        else:
            serve_gang(job, about, decision)
    return decision
