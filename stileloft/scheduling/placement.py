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
BROKEN_MACHINE_WEIGHT = 5.0
BROKEN_MACHINE_WEIGHT_PROMPT = 1.0
# The same while tasks wait that only large machines can take.
BROKEN_MACHINE_WEIGHT_SCARCE = 30.0
# A start later than the class's goal costs this; fetches may take this part of the goal.
MISSED_OBJECTIVE_PENALTY = 6.0
FETCH_SHARE_OF_OBJECTIVE = 0.6
# Machines at the full price empty first, so that they can be returned.
ON_DEMAND_PENALTY = 2.0
# Work that goes first because of its age takes no more than this part of the processors.
AGED_CPU_SHARE = 0.25
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


def queue_position(job: PendingJob, snapshot: Snapshot, usage: dict[str, Usage]) -> tuple[float, ...]:
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
        return job.submitted + max(job.estimate_s, standalone_run_time_s(job, snapshot))
    latest = job.submitted + job.spec.deadline_s - job.estimate_s
    if latest < snapshot.now - job.estimate_s:
        # Lost anyway: behind those that are pressed now and can still be met, but not behind
        # those that have time, or the longest would be begun when all else is done.
        return snapshot.now
    return latest


def standalone_run_time_s(job: PendingJob, snapshot: Snapshot) -> float:
    """Seconds that the whole job would take if its team, or the machines, had nothing else to do."""
    team = snapshot.teams.get(job.spec.team)
    cpus = team.cpus_max if team is not None and team.cpus_max else snapshot.total_cpus()
    return job.spec.tasks * job.spec.cpus * job.estimate_s / max(cpus, job.spec.cpus, 1.0)


def promote_aged_jobs(snapshot: Snapshot) -> None:
    """Of the jobs that have grown old each begins with a task; then the oldest go on, within such work's part.

    What is beyond that part is served in the ordinary order: else an old job of thousands of tasks would be held to
    that part while machines stand empty.
    """
    machines = [machine for machine in snapshot.machines.values() if machine.up and machine.ready]
    room = AGED_CPU_SHARE * sum(machine.type.cpus for machine in machines)
    room -= sum(task.cpus for machine in machines for task in machine.tasks if task.rank == PREEMPTION_EXEMPT_RANK)
    aged = [job for job in snapshot.waiting if job.aged]
    for job in sorted(aged, key=lambda job: (job.started, job.submitted, job.spec.id)):
        job.promoted = room > 0 or not job.started
        wanted = (job.count if job.started else 1) * job.spec.cpus
        if job.promoted and not job.spec.is_gang:
            most = max(1, int(room / job.spec.cpus)) if job.started and job.spec.cpus else 1
            if most < job.count:
                snapshot.waiting.append(job.split(most))
        room -= wanted


def image_fetch_s(spec: JobSpec, machine: MachineView) -> float:
    """Seconds until the machine is likely to have the task's image."""
    if spec.image in machine.images:
        return 0.0
    whole_s = spec.image_gb / max(machine.type.fetch_gb_per_s, 1e-3)
    if spec.image in machine.fetching:
        return whole_s  # it was begun some time ago, but may share the rate
    return whole_s * (1 + len(machine.fetching))  # fetches share the rate


def placement_cost(
    spec: JobSpec,
    machine: MachineView,
    smallest_cpus: float,
    largest_cpus: float,
    scarce: bool,
    start_objective_s: float | None,
) -> float:
    """How bad a machine is for a task that fits there; lower is better."""
    fetch_s = image_fetch_s(spec, machine)
    # All tasks of a gang wait for the last image.
    weight = FETCH_WEIGHT_URGENT if spec.rank >= 2 or (spec.is_gang and start_objective_s is not None) else FETCH_WEIGHT
    total = weight * fetch_s
    if start_objective_s is not None and fetch_s > FETCH_SHARE_OF_OBJECTIVE * start_objective_s:
        total += MISSED_OBJECTIVE_PENALTY
    total += (0.0 if machine.spot else ON_DEMAND_PENALTY) + (machine.free_cpus - spec.cpus) / max(
        machine.type.cpus, 1.0
    )
    if spec.cpus <= smallest_cpus < machine.type.cpus:
        # Small tasks leave large machines whole while a small one has room,
        # and first use up the large ones that are broken into already.
        # Those that are to start at once may go where that is likeliest.
        weight = (
            BROKEN_MACHINE_WEIGHT_PROMPT
            if start_objective_s is not None
            else BROKEN_MACHINE_WEIGHT_SCARCE
            if scarce
            else BROKEN_MACHINE_WEIGHT
        )
        total += weight * (1.0 if machine.free_cpus >= largest_cpus / 2 else 0.3)
    return total


def running_task(spec: JobSpec, key: TaskKey, preemption_exempt: bool = False, remaining_s: float = 0.0) -> RunningTask:
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
    for machine in snapshot.machines.values():
        if (
            spec.cpus > machine.type.cpus
            or not machine.up
            or not machine.ready
            or machine.id in reservations
            or machine.id in job.avoid
            or not allowed(spec, machine)
            or not zone_allowed(spec, job.zones, machine.zone)
        ):
            continue
        cpus, gpus, memory_gb = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        at = 0.0
        for task in machine.tasks_by_end():
            if spec.cpus <= cpus and (spec.gpus or 0.0) <= gpus and spec.memory_gb <= memory_gb:
                break
            cpus, gpus, memory_gb = cpus + task.cpus, gpus + task.gpus, memory_gb + task.memory_gb
            at = task.remaining_s
        if spec.cpus > cpus or (spec.gpus or 0.0) > gpus or spec.memory_gb > memory_gb:
            continue
        if best is None or (at, machine.id) < best:
            best = at, machine.id
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
    spares: preemption.ReclaimableRoomIndex
    saving: set[str] = field(default_factory=set)
    """Teams at their limit, of which an old job is to have what becomes free."""

    _placed_at_last_drop: int = -1
    """How many tasks had been placed when the open machines were last looked at."""

    def drop_full_machines(self, placed: int) -> None:
        """Leaves out the machines that have become full, if tasks were placed since the last time."""
        if placed == self._placed_at_last_drop:
            return
        self._placed_at_last_drop = placed
        machines, (cpus, memory_gb) = self.snapshot.machines, self.least
        self.open = [
            name
            for name in self.open
            if machines[name].free_cpus + EPSILON >= cpus and machines[name].free_memory_gb + EPSILON >= memory_gb
        ]


class Candidates:
    """The machines that have room for a job's tasks, which are alike, the best first.

    Each machine is weighed once, and again only when it has changed.
    """

    def __init__(self, job: PendingJob, cycle: SchedulingCycle, among: list[MachineView] | None = None) -> None:
        self._job = job
        self._cycle = cycle
        self._machines = cycle.snapshot.machines
        self._heap: list[tuple[float, str, int]] = []
        self._versions: dict[str, int] = {}
        for machine in [self._machines[name] for name in cycle.open] if among is None else among:
            self._weigh(machine, 0)
        heapq.heapify(self._heap)

    def _weigh(self, machine: MachineView, version: int) -> None:
        job, cycle = self._job, self._cycle
        spec = job.spec
        if spec.cpus > machine.free_cpus + EPSILON or machine.id in job.avoid or not allowed(spec, machine):
            return
        reserved = cycle.reserved.get(machine.id, ())
        if not preemption.fits_beside_nominations(
            spec, machine, gangs.nominations_to_respect(job, reserved) if reserved else reserved
        ):
            return
        hold = cycle.snapshot.reservations.get(machine.id)
        if hold is not None and not hold.admits(spec, job.estimate_s, job.starving):
            return
        weight = placement_cost(
            spec, machine, cycle.smallest_cpus, cycle.largest_cpus, cycle.scarce, job.start_objective_s
        )
        self._heap.append((weight, machine.id, version))

    def best(self) -> MachineView | None:
        while self._heap:
            _, name, version = self._heap[0]
            machine = self._machines[name]
            # A zone that is full for the job stays so in this round.
            if version == self._versions.get(name, 0) and zone_allowed(self._job.spec, self._job.zones, machine.zone):
                return machine
            heapq.heappop(self._heap)
        return None

    def changed(self, machine_id: str) -> None:
        """Weighs a machine anew, on which a task was placed or a nomination lost."""
        version = self._versions[machine_id] = self._versions.get(machine_id, 0) + 1
        machine = self._machines[machine_id]
        if not machine.ready or not machine.up:
            return
        before = len(self._heap)
        self._weigh(machine, version)
        if len(self._heap) > before:
            heapq.heappush(self._heap, self._heap.pop())


def count_placed(job: PendingJob, used: Usage, zone: str, sign: int = 1) -> None:
    """Counts a task as placed in a zone, or (-1) takes it back."""
    used.cpus += sign * job.spec.cpus
    used.gpus += sign * (job.spec.gpus or 0.0)
    job.zones[zone] = job.zones.get(zone, 0) + sign


def place_gang(job: PendingJob, cycle: SchedulingCycle, decision: Decision) -> None:
    """Places all tasks of a gang, or leaves everything as it was and holds room. Waiting gangs stop nobody."""
    spec, snapshot = job.spec, cycle.snapshot
    found = gangs.find_place(
        job,
        snapshot,
        [snapshot.machines[name] for name in cycle.open],
        lambda among: Candidates(job, cycle, among),
        image_fetch_s,
    )
    if found is not None:
        for index, machine in found:
            place_task(job, index, machine, cycle, decision)
        return
    used = snapshot.usage.setdefault(spec.team, Usage())
    if not any(job.zones.values()) and whole_within_limit(spec, snapshot.teams.get(spec.team), used, job.count):
        if len(snapshot.reservations) < MAX_RESERVATIONS:
            gangs.reserve_room(job, snapshot)
        decision.unmet.append((job, job.count))


def place_task(job: PendingJob, index: int, target: MachineView, cycle: SchedulingCycle, decision: Decision) -> None:
    spec, snapshot = job.spec, cycle.snapshot
    machine = snapshot.writable(target.id)
    hold = snapshot.reservations.get(machine.id)
    if hold is not None and job.estimate_s > hold.until_s:
        hold.cpus -= spec.cpus
        hold.gpus -= spec.gpus or 0.0
        hold.memory_gb -= spec.memory_gb
    machine.add_task(running_task(spec, (spec.id, index), job.promoted, job.estimate_s))
    if spec.image not in machine.images:
        machine.fetching |= {spec.image}
    count_placed(job, snapshot.usage.setdefault(spec.team, Usage()), machine.zone)
    decision.placed.append(((spec.id, index), machine.id))
    snapshot.nominations.pop((spec.id, index), None)
    job.count -= 1


def nominate_task(
    job: PendingJob, index: int, eviction: Preemption, cycle: SchedulingCycle, decision: Decision
) -> None:
    """The task is to have the machine that the trials found best, once the victims are gone."""
    spec, snapshot = job.spec, cycle.snapshot
    key = (spec.id, index)
    decision.preemptions.append((key, eviction))
    machine_id = eviction.machine_id
    if eviction.victims:
        snapshot.writable(machine_id).mark_stopping(eviction.victims)
        cycle.spares.stopped(machine_id)
    for lower in [n for n in cycle.reserved.get(machine_id, []) if n.rank < spec.rank]:
        # They lose the nomination and return to waiting.
        cycle.reserved[machine_id].remove(lower)
        snapshot.nominations.pop(lower.key, None)
    for other in gangs.mark_gangs_stopping(snapshot, eviction.victims):
        cycle.spares.stopped(other)
    nomination = Nomination(key, machine_id, spec.rank, spec, 0.0)
    snapshot.nominations[key] = nomination
    cycle.reserved.setdefault(machine_id, []).append(nomination)
    used = snapshot.usage.setdefault(spec.team, Usage())
    used.cpus += spec.cpus
    used.gpus += spec.gpus or 0.0


@dataclass(frozen=True, slots=True)
class CycleLimits:
    """How much one round decides at the most."""

    placed: int
    preemptions: int


class JobPlacer:
    """Serves one job of a round: places its tasks, makes room for those that fit nowhere, or holds room."""

    def __init__(self, job: PendingJob, cycle: SchedulingCycle, decision: Decision, limits: CycleLimits) -> None:
        self._job = job
        self._cycle = cycle
        self._snapshot = cycle.snapshot
        self._decision = decision
        self._limits = limits
        self._team = self._snapshot.teams.get(job.spec.team)
        self._used = self._snapshot.usage.setdefault(job.spec.team, Usage())
        self._candidates: Candidates | None = None
        self._trials: preemption.PreemptionTrials | None = None
        self._nominated = 0

    def place_tasks(self) -> None:
        """Serves the job's tasks in their order, as far as the round's limits and its team's limit allow."""
        for index in self._job.tasks:
            if len(self._decision.placed) >= self._limits.placed:
                break
            if not within_limit(self._job.spec, self._team, self._used):
                self._save_limit()
                break
            if not self._place_or_make_room(index):
                break
        left = self._job.count - self._nominated
        if self._trials is not None and left > 0 and within_limit(self._job.spec, self._team, self._used):
            self._decision.unmet.append((self._job, left))

    def _save_limit(self) -> None:
        """What its team gives up is kept for an old job: small tasks would take each bit as it becomes free."""
        spec = self._job.spec
        if self._job.promoted and spec.team not in self._cycle.saving:
            self._cycle.saving.add(spec.team)
            self._used.add(spec.cpus, spec.gpus or 0.0)
            reserve_room(self._job, self._snapshot)

    def _place_or_make_room(self, index: int) -> bool:
        """Places a task, or makes room for it; returns whether the job's next task is worth looking at."""
        own = self._snapshot.nominations.get((self._job.spec.id, index))
        target = self._nominated_target(own)
        if target is None and self._trials is None:
            if self._candidates is None:
                self._candidates = Candidates(self._job, self._cycle)
            target = self._candidates.best()
        if target is not None:
            place_task(self._job, index, target, self._cycle, self._decision)
            if self._candidates is not None:
                self._candidates.changed(target.id)
            return True
        if own is not None:
            self._cycle.reserved[own.machine_id].append(own)
            self._nominated += 1
            return True
        return self._make_room(index)

    def _nominated_target(self, own: Nomination | None) -> MachineView | None:
        """The machine that the task is nominated to, if it fits there by now."""
        if own is None:
            return None
        reserved = self._cycle.reserved[own.machine_id]
        reserved.remove(own)  # its own nomination must not stand in its way
        machine = self._snapshot.machines.get(own.machine_id)
        if machine is None:
            return None
        spec = self._job.spec
        there = machine.ready and zone_allowed(spec, self._job.zones, machine.zone)
        if there and preemption.fits_beside_nominations(spec, machine, reserved):
            return machine
        if self._candidates is not None:
            self._candidates.changed(own.machine_id)
        return None

    def _make_room(self, index: int) -> bool:
        """Nominates the task to the machine that the trials find best; returns whether there is one."""
        if self._trials is None:
            self._trials = self._begin_trials()
        if len(self._decision.preemptions) >= self._limits.preemptions:
            return False
        eviction = self._trials.best()
        if eviction is None:
            return False  # the job's other tasks are alike: no trial helps them either
        nominate_task(self._job, index, eviction, self._cycle, self._decision)
        self._trials.changed(eviction.machine_id)
        if any(task.group_size > 1 for task in eviction.victims):
            self._trials.forget()  # a gang has gone from other machines too
        self._nominated += 1
        return True

    def _begin_trials(self) -> preemption.PreemptionTrials:
        job, snapshot, cycle = self._job, self._snapshot, self._cycle
        reserve_room(job, snapshot)
        held = {name for name, hold in snapshot.reservations.items() if hold.owner not in ("", job.spec.id)}
        return preemption.PreemptionTrials(
            job.spec,
            job.zones,
            job.avoid | held,
            snapshot.machines,
            cycle.reserved,
            snapshot.teams,
            snapshot.usage,
            cycle.spares,
        )


def decide(snapshot: Snapshot, max_placed: int, max_preemptions: int) -> Decision:
    """One round. Works on the snapshot, which is used up by it."""
    promote_aged_jobs(snapshot)
    decision = Decision(promoted=frozenset(job.spec.id for job in snapshot.waiting if job.promoted))
    machines = snapshot.machines
    kinds = snapshot.types.values()
    smallest = min((kind.cpus for kind in kinds), default=0.0)
    reserved: dict[str, list[Nomination]] = {}
    for nomination in [*snapshot.nominations.values(), *gangs.expected_gang_nominations(snapshot)]:
        reserved.setdefault(nomination.machine_id, []).append(nomination)
    cycle = SchedulingCycle(
        snapshot,
        reserved,
        smallest,
        max((kind.cpus for kind in kinds), default=0.0),
        any(job.spec.cpus > smallest for job in snapshot.waiting),
        [machine.id for machine in machines.values() if machine.up and machine.ready],
        (
            min((job.spec.cpus for job in snapshot.waiting), default=0.0),
            min((job.spec.memory_gb for job in snapshot.waiting), default=0.0),
        ),
        preemption.ReclaimableRoomIndex(machines),
    )
    limits = CycleLimits(max_placed, max_preemptions)
    for job in sorted(snapshot.waiting, key=lambda job: queue_position(job, snapshot, snapshot.usage)):
        cycle.drop_full_machines(len(decision.placed))
        if not job.spec.is_gang:
            JobPlacer(job, cycle, decision, limits).place_tasks()
        else:
            place_gang(job, cycle, decision)
    return decision
