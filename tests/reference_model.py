"""Slow, plain models of the decisions: one task at a time, every machine looked at for each of them."""

import copy

from stileloft.model.nominations import Nomination
from stileloft.model.placements import TaskKey
from stileloft.model.quota import QuotaUsage, exceeds_guarantee, within_guarantee, within_limit
from stileloft.model.resources import Resources
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.constraints import machine_allowed, zone_allowed
from stileloft.scheduling.machine_scoring import MachineSizes, image_fetch_s, placement_cost
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.preemption import Preemption, fits_beside_nominations, preemption_cost
from stileloft.scheduling.queue_order import promote_aged_jobs, queue_position
from stileloft.scheduling.reservations import MAX_RESERVATIONS
from stileloft.scheduling.snapshot import PendingJob, Reservation, Snapshot


def find_victims(
    job: JobSpec, machine: MachineView, nominated: list[Nomination], snapshot: Snapshot
) -> list[RunningTask] | None:
    """The design's words, with lists and sums only: remove in order, then return in the opposite order."""
    teams, usage = snapshot.teams, snapshot.usage
    owed = within_guarantee(job, teams.get(job.team), usage.get(job.team, QuotaUsage()))
    single = [
        t
        for t in machine.tasks
        if not t.stopping
        and t.spec is not None
        and (
            t.rank < job.rank
            or (
                owed
                and t.rank <= job.rank
                and t.team != job.team
                and exceeds_guarantee(teams.get(t.team), usage.get(t.team, QuotaUsage()))
            )
        )
    ]
    # A gang is one victim, with what it loses on all its machines.
    may = [[t] for t in single if t.group_size == 1]
    may += [[t for t in single if t.key[0] == name] for name in {t.key[0] for t in single if t.group_size > 1}]
    may.sort(
        key=lambda v: (
            v[0].rank,
            not v[0].within_preemption_budget,
            v[0].recently_started,
            v[0].unsaved_s * v[0].cpus * v[0].group_size,
            v[0].key,
        )
    )

    def fits(gone: list[list[RunningTask]], leave: bool = True) -> bool:
        stay = [t for t in machine.tasks if not any(t in victim for victim in gone) and not (leave and t.stopping)]
        wanted = [n.spec for n in nominated if n.rank >= job.rank] + [job]
        return (
            sum(t.cpus for t in stay) + sum(w.cpus for w in wanted) <= machine.type.cpus + 1e-6
            and sum(t.memory_gb for t in stay) + sum(w.memory_gb for w in wanted) <= machine.type.memory_gb + 1e-6
        )

    if fits([], leave=False):
        return []
    for count in range(len(may) + 1):
        gone = may[:count]
        if fits(gone):
            for victim in reversed(list(gone)):
                without = [v for v in gone if v is not victim]
                if fits(without):
                    gone = without
            return [t for victim in gone for t in victim]
    return None


def preempt(job: PendingJob, snapshot: Snapshot, nominations: list[Nomination]) -> Preemption | None:
    """The best machine and its victims."""
    spec = job.spec
    if not within_limit(spec, snapshot.teams.get(spec.team), snapshot.usage.get(spec.team, QuotaUsage())):
        return None
    found = []
    for machine in snapshot.machines.values():
        reservation = snapshot.reservations.get(machine.id)
        if not is_eligible(job, machine) or (reservation and reservation.exclusive_job_id not in ("", spec.id)):
            continue
        victims = find_victims(spec, machine, [n for n in nominations if n.machine_id == machine.id], snapshot)
        if victims is not None:
            image = 0 if spec.image in machine.images else 1
            found.append(((*preemption_cost(victims), image, machine.id), Preemption(machine.id, victims)))
    return min(found, key=lambda item: item[0])[1] if found else None


def is_eligible(job: PendingJob, machine: MachineView) -> bool:
    """Whether the machine is one for the job's tasks, whatever room it has."""
    return (
        machine.up
        and machine.ready
        and machine.id not in job.excluded_machines
        and machine_allowed(job.spec, machine)
        and zone_allowed(job.spec, job.placed_by_zone, machine.zone)
    )


def best_machine(
    job: PendingJob, snapshot: Snapshot, nominations: list[Nomination], scarce: bool
) -> MachineView | None:
    """The best machine that fits now, beside the tasks nominated there."""
    spec = job.spec
    kinds = [kind.cpus for kind in snapshot.types.values()]
    sizes = MachineSizes(min(kinds), max(kinds), scarce)
    found = []
    for machine in snapshot.machines.values():
        if not is_eligible(job, machine):
            continue
        reservation = snapshot.reservations.get(machine.id)
        if reservation is not None and not reservation.admits(spec, job.estimate_s, job.starving):
            continue
        if fits_beside_nominations(spec, machine, [n for n in nominations if n.machine_id == machine.id]):
            found.append((placement_cost(spec, machine, sizes, job.start_objective_s), machine.id))
    return snapshot.machines[min(found)[1]] if found else None


def reserve_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Keeps room on the machine that will have it first."""
    spec = job.spec
    found = []
    for machine in snapshot.machines.values():
        if not (
            machine.up
            and machine.ready
            and machine.id not in snapshot.reservations
            and machine.id not in job.excluded_machines
            and machine_allowed(spec, machine)
            and zone_allowed(spec, job.placed_by_zone, machine.zone)
        ):
            continue
        cpus, memory_gb, at = machine.free_cpus, machine.free_memory_gb, 0.0
        left = sorted(machine.tasks, key=lambda task: task.remaining_s)
        while left and (spec.cpus > cpus or spec.memory_gb > memory_gb):
            task = left.pop(0)
            cpus, memory_gb, at = cpus + task.cpus, memory_gb + task.memory_gb, task.remaining_s
        if spec.cpus <= cpus and spec.memory_gb <= memory_gb:
            found.append(
                (
                    at,
                    machine.id,
                    Reservation(
                        at,
                        Resources(cpus - spec.cpus, 0.0, memory_gb - spec.memory_gb),
                        spec.id if job.promoted else "",
                    ),
                )
            )
    if found and len(snapshot.reservations) < MAX_RESERVATIONS:
        _, name, reservation = min(found, key=lambda item: item[:2])
        snapshot.reservations[name] = reservation


def place_task(job: PendingJob, key: TaskKey, machine: MachineView, snapshot: Snapshot) -> None:
    """Puts a task there."""
    spec, reservation = job.spec, snapshot.reservations.get(machine.id)
    if reservation is not None and job.estimate_s > reservation.available_in_s:
        left = reservation.leftover
        reservation.leftover = Resources(left.cpus - spec.cpus, 0.0, left.memory_gb - spec.memory_gb)
    machine.add_task(RunningTask.from_spec(spec, key, job.promoted, job.estimate_s))
    if spec.image not in machine.images:
        machine.fetching |= {spec.image}
    job.placed_by_zone[machine.zone] = job.placed_by_zone.get(machine.zone, 0) + 1
    snapshot.usage.setdefault(spec.team, QuotaUsage()).cpus += spec.cpus
    job.waiting_count -= 1


def place_gang(
    job: PendingJob, snapshot: Snapshot, nominations: list[Nomination], scarce: bool
) -> list[tuple[TaskKey, str]] | None:
    """Tries each zone on a copy of everything, task by task."""
    spec = job.spec
    used = snapshot.usage.setdefault(spec.team, QuotaUsage())
    rest = QuotaUsage(used.cpus + spec.cpus * (job.waiting_count - 1), used.gpus)
    if not within_limit(spec, snapshot.teams.get(spec.team), rest):
        return None
    respected = [
        n for n in nominations if n.key[0] != "expected" or (n.rank > spec.rank and not (job.promoted or job.starving))
    ]
    found = []
    for zone in sorted({machine.zone for machine in snapshot.machines.values()}) if spec.one_zone else [""]:
        copied = copy.deepcopy(snapshot)
        copied.machines = {name: machine for name, machine in copied.machines.items() if zone in ("", machine.zone)}
        tried = PendingJob(
            spec,
            job.submitted_at,
            job.waiting_count,
            job.task_indices,
            dict(job.placed_by_zone),
            job.estimate_s,
            job.start_objective_s,
            job.excluded_machines,
            starving=job.starving,
        )
        placed, images_s = [], 0.0
        for index in job.task_indices:
            target = best_machine(tried, copied, respected, scarce)
            if target is None:
                break
            images_s = max(images_s, image_fetch_s(spec, target))
            target.add_task(RunningTask.from_spec(spec, (spec.id, index)))
            tried.placed_by_zone[target.zone] = tried.placed_by_zone.get(target.zone, 0) + 1
            placed.append(((spec.id, index), target.id))
        if len(placed) == job.waiting_count:
            found.append((images_s, zone, placed))
    return min(found, key=lambda item: item[:2])[2] if found else None


def reserve_gang_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Keeps the room in the zone that will have all of it first."""
    spec = job.spec
    found = []
    for zone in sorted({machine.zone for machine in snapshot.machines.values()}) if spec.one_zone else [""]:
        rooms = []
        for machine in snapshot.machines.values():
            if (
                zone in ("", machine.zone)
                and machine.up
                and machine.ready
                and machine_allowed(spec, machine)
                and machine.id not in snapshot.reservations
                and machine.id not in job.excluded_machines
            ):
                had = 0
                for at in sorted({0.0, *(t.remaining_s for t in machine.tasks)}):
                    stay = [t for t in machine.tasks if t.remaining_s > at or at == 0.0]
                    has = 0
                    while (
                        sum(t.cpus for t in stay) + (has + 1) * spec.cpus <= machine.type.cpus + 1e-6
                        and sum(t.memory_gb for t in stay) + (has + 1) * spec.memory_gb <= machine.type.memory_gb + 1e-6
                    ):
                        has += 1
                    rooms += [(at, machine.id)] * (has - had)
                    had = max(had, has)
        rooms.sort()
        if len(rooms) >= job.waiting_count:
            found.append((rooms[job.waiting_count - 1][0], zone, rooms[: job.waiting_count]))
    if not found or len(snapshot.reservations) >= MAX_RESERVATIONS:
        return
    until, _, chosen = min(found)
    for name in {name for _, name in chosen}:
        machine, mine = snapshot.machines[name], [at for at, other in chosen if other == name]
        going = [t for t in machine.tasks if t.remaining_s <= max(mine)]
        snapshot.reservations[name] = Reservation(
            until,
            Resources(
                machine.free_cpus + sum(t.cpus for t in going) - len(mine) * spec.cpus,
                0.0,
                machine.free_memory_gb + sum(t.memory_gb for t in going) - len(mine) * spec.memory_gb,
            ),
            spec.id if job.promoted else "",
        )


def expected_gang_nominations(snapshot: Snapshot) -> list[Nomination]:
    """Room for gangs to come, as nominations: in the zone with the most room, where most images are first."""
    found: list[Nomination] = []
    for spec, count in snapshot.expected_gangs:
        rooms = []
        for machine in snapshot.machines.values():
            if machine.up and machine.ready and machine_allowed(spec, machine):
                room = 0
                while (room + 1) * spec.cpus <= machine.free_cpus + 1e-6 and (
                    room + 1
                ) * spec.memory_gb <= machine.free_memory_gb + 1e-6:
                    room += 1
                room -= sum(1 for n in found if n.machine_id == machine.id)
                rooms.append((machine.zone if spec.one_zone else "", room, machine.id, len(machine.images)))
        if not rooms:
            continue
        zone = max(
            {zone for zone, _, _, _ in rooms},
            key=lambda zone: (min(count, sum(max(0, r) for z, r, _, _ in rooms if z == zone)), zone),
        )
        for _, room, name, _ in sorted((r for r in rooms if r[0] == zone), key=lambda r: (-r[3], -r[1], r[2])):
            for _ in range(min(room, count)):
                found.append(Nomination(("expected", len(found)), name, spec.rank, spec, 0.0))
                count -= 1
    return found


def decide(  # noqa: C901, PLR0912, PLR0915 - the model is one list of steps
    snapshot: Snapshot, max_placed: int, max_preemptions: int
) -> tuple[list[tuple[TaskKey, str]], list[tuple[TaskKey, str, list[TaskKey]]], dict[str, int]]:
    """Placements, evictions and what is unmet."""
    placed: list[tuple[TaskKey, str]] = []
    preemptions: list[tuple[TaskKey, str, list[TaskKey]]] = []
    unmet: dict[str, int] = {}
    saving: list[str] = []
    promote_aged_jobs(snapshot)
    usage = snapshot.usage
    nominations = [*snapshot.nominations.values(), *expected_gang_nominations(snapshot)]
    smallest = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
    scarce = any(job.spec.cpus > smallest for job in snapshot.pending_jobs)
    for job in sorted(snapshot.pending_jobs, key=lambda job: queue_position(job, snapshot)):
        spec = job.spec
        team, used = snapshot.teams.get(spec.team), usage.setdefault(spec.team, QuotaUsage())
        if spec.is_gang:
            whole = place_gang(job, snapshot, nominations, scarce)
            for key, name in whole or ():
                place_task(job, key, snapshot.machines[name], snapshot)
            placed += whole or ()
            rest = QuotaUsage(used.cpus + spec.cpus * (job.waiting_count - 1), used.gpus)
            if whole is None and within_limit(spec, team, rest):
                reserve_gang_room(job, snapshot)
                unmet[spec.id] = job.waiting_count
            continue
        nominated, stuck = 0, False
        for index in job.task_indices:
            if len(placed) >= max_placed:
                break
            if not within_limit(spec, team, used):
                if job.promoted and spec.team not in saving:
                    saving.append(spec.team)
                    used.cpus += spec.cpus
                    reserve_room(job, snapshot)
                break
            key = (spec.id, index)
            own = next((n for n in nominations if n.key == key), None)
            target = None
            if own is not None:
                nominations.remove(own)
                machine = snapshot.machines.get(own.machine_id)
                if (
                    machine is not None
                    and machine.ready
                    and zone_allowed(spec, job.placed_by_zone, machine.zone)
                    and fits_beside_nominations(spec, machine, [n for n in nominations if n.machine_id == machine.id])
                ):
                    target = machine
            if target is None and not stuck:
                respected = [n for n in nominations if n.key[0] != "expected" or not (job.promoted or job.starving)]
                target = best_machine(job, snapshot, respected, scarce)
            if target is not None:
                place_task(job, key, target, snapshot)
                placed.append((key, target.id))
                continue
            if own is not None:
                nominations.append(own)
                nominated += 1
                continue
            if not stuck:
                reserve_room(job, snapshot)
            stuck = True
            eviction = preempt(job, snapshot, nominations) if len(preemptions) < max_preemptions else None
            if eviction is None:
                break
            preemptions.append((key, eviction.machine_id, sorted(v.key for v in eviction.victims)))
            gone = {t.key[0] for t in eviction.victims if t.group_size > 1}
            for machine in snapshot.machines.values():
                machine.mark_stopping([t for t in machine.tasks if t in eviction.victims or t.key[0] in gone])
            nominations = [n for n in nominations if n.machine_id != eviction.machine_id or n.rank >= spec.rank]
            nominations.append(Nomination(key, eviction.machine_id, spec.rank, spec, 0.0))
            used.cpus += spec.cpus
            nominated += 1
        if stuck and job.waiting_count > nominated and within_limit(spec, team, used):
            unmet[spec.id] = job.waiting_count - nominated
    return placed, preemptions, unmet
