"""Gangs: all tasks of such a job run at the same time, or none does.

What becomes of a gang follows from the placements that are stored. Its tasks get
one attempt number and are started once all of them are placed; when one of them is
lost, the rest is stopped, and the whole comes again under a higher number after
every old task is surely off its machine. So a leader that finds a part of a gang
never has to guess whether it was started.

The second half are decisions on a snapshot: where a gang goes, what room is kept
for it, and what goes with it when one of its tasks is to make room.
"""

import enum
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.snapshot import (
    MachineView,
    Nomination,
    PendingJob,
    Reservation,
    RunningTask,
    Snapshot,
    Usage,
    allowed,
    whole_within_limit,
    zone_allowed,
)

EXPECTED_JOB_ID = "expected"
"""In place of a job's id: the nomination of a task that has not been submitted yet."""
MANY = 1_000_000


class Stage(enum.Enum):
    WAITING = "waiting"
    """Nothing of it is placed."""
    BINDING = "binding"
    """All of it is placed, but not all of that is stored."""
    WHOLE = "whole"
    """All of it is placed in the store under one attempt: its tasks may be started."""
    BROKEN = "broken"
    """Some of it is missing: what is left has to go."""
    COMPLETED = "completed"
    """One of its tasks is done, and so all are."""


def stage(job: Job) -> Stage:
    placements = list(job.placements())
    if job.done or any(p.done for p in placements):
        return Stage.COMPLETED
    if not placements:
        return Stage.WAITING
    if (
        len(placements) < job.spec.tasks
        or any(p.state == PlacementState.ENDED for p in placements)
        or len({p.attempt for p in placements}) > 1
    ):
        return Stage.BROKEN
    return Stage.BINDING if any(p.state == PlacementState.PLANNED for p in placements) else Stage.WHOLE


def completed(job: Job) -> bool:
    return stage(job) is Stage.COMPLETED


def may_start(job: Job) -> bool:
    """Whether a task of the job may be started: one of a gang only with all the others."""
    return not job.spec.is_gang or stage(job) is Stage.WHOLE


def left_over(job: Job) -> list[Placement]:
    """What is still placed of a gang that has lost a task."""
    return [p for p in job.placements() if p.state != PlacementState.ENDED] if stage(job) is Stage.BROKEN else []


def next_attempt(job: Job) -> int:
    """Members find each other by a common attempt, which is above all that any had."""
    planned = next((p.attempt for p in job.placements() if p.state == PlacementState.PLANNED), None)
    return planned or 1 + max((chunk.attempt for chunk in job.chunks.values()), default=0)


# -- decisions ---------------------------------------------------------------------


class RankedMachines(Protocol):
    """The machines that have room for a job's tasks, the best first."""

    def best(self) -> MachineView | None: ...
    def changed(self, machine_id: str) -> None: ...


def slots(spec: JobSpec, cpus: float, gpus: float, memory_gb: float) -> int:
    """How many of a job's tasks fit into this room."""
    return max(
        0,
        min(
            int((cpus + 1e-6) / spec.cpus) if spec.cpus else MANY,
            int((memory_gb + 1e-6) / spec.memory_gb) if spec.memory_gb else MANY,
            int((gpus + 1e-6) / spec.gpus) if spec.gpus else MANY,
        ),
    )


def free_slots(spec: JobSpec, machine: MachineView) -> int:
    return slots(spec, machine.free_cpus, machine.free_gpus, machine.free_memory_gb)


def machines_by_zone(spec: JobSpec, machines: Iterable[MachineView]) -> dict[str, list[MachineView]]:
    """Machines that the job may use, by the zones of which one is to take all of it, or under one name."""
    found: dict[str, list[MachineView]] = {}
    for machine in machines:
        if allowed(spec, machine):
            found.setdefault(machine.zone if spec.one_zone else "", []).append(machine)
    return found


def find_place(
    job: PendingJob,
    snapshot: Snapshot,
    machines: Iterable[MachineView],
    rank_machines: Callable[[list[MachineView]], RankedMachines],
    image_fetch_s: Callable[[JobSpec, MachineView], float],
) -> list[tuple[int, MachineView]] | None:
    """A machine for each task of a gang, in the zone where its last image is there first; None if there is none.

    Works on the snapshot, which is as before when it returns.
    """
    spec = job.spec
    if any(job.zones.values()):
        return None  # the rest of it is ending: it comes again as a whole
    used = snapshot.usage.setdefault(spec.team, Usage())
    if not whole_within_limit(spec, snapshot.teams.get(spec.team), used, job.count):
        return None
    best: tuple[tuple[float, str], list[tuple[int, MachineView]]] | None = None
    for zone, there in sorted(machines_by_zone(spec, machines).items()):
        if sum(free_slots(spec, machine) for machine in there) < job.count:
            continue
        taken, images_s = _fill(job, snapshot, rank_machines(there), image_fetch_s)
        if len(taken) == job.count and (best is None or (images_s, zone) < best[0]):
            best = (images_s, zone), taken
    return best[1] if best else None


def _fill(
    job: PendingJob, snapshot: Snapshot, ranked: RankedMachines, image_fetch_s: Callable[[JobSpec, MachineView], float]
) -> tuple[list[tuple[int, MachineView]], float]:
    spec = job.spec
    taken: list[tuple[int, MachineView, RunningTask]] = []
    images_s = 0.0
    for index in job.tasks:
        target = ranked.best()
        if target is None:
            break
        images_s = max(images_s, image_fetch_s(spec, target))
        machine = snapshot.writable(target.id)
        task = RunningTask((spec.id, index), spec, spec.team, spec.rank, spec.cpus, spec.gpus or 0.0, spec.memory_gb)
        machine.add_task(task)
        job.zones[machine.zone] = job.zones.get(machine.zone, 0) + 1
        taken.append((index, machine, task))
        ranked.changed(machine.id)
    for _, machine, task in taken:
        machine.remove_task(task)
        job.zones[machine.zone] -= 1
    return [(index, machine) for index, machine, _ in taken], images_s


def reserve_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Keeps the room that a gang will have first, so that small tasks don't fill each hole before it can begin."""
    spec = job.spec
    best: tuple[float, str, list[tuple[float, MachineView]]] | None = None
    up = [
        machine
        for machine in snapshot.machines.values()
        if machine.up and machine.ready and machine.id not in snapshot.reservations and machine.id not in job.avoid
    ]
    for zone, there in machines_by_zone(spec, up).items():
        coming: list[tuple[float, str, MachineView]] = []
        for machine in there:
            cpus, gpus, memory_gb = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
            had = free_slots(spec, machine)
            coming += [(0.0, machine.id, machine)] * min(had, job.count)
            for task in machine.tasks_by_end():
                cpus, gpus, memory_gb = cpus + task.cpus, gpus + task.gpus, memory_gb + task.memory_gb
                has = slots(spec, cpus, gpus, memory_gb)
                coming += [(task.remaining_s, machine.id, machine)] * min(has - had, job.count)
                had = max(had, has)
        coming.sort(key=lambda item: item[:2])
        if len(coming) < job.count:
            continue
        chosen = [(at, machine) for at, _, machine in coming[: job.count]]
        if best is None or (chosen[-1][0], zone) < best[:2]:
            best = chosen[-1][0], zone, chosen
    if best is None:
        return
    until_s, _, chosen = best
    for machine in {machine.id: machine for _, machine in chosen}.values():
        mine = [at for at, other in chosen if other is machine]
        cpus, gpus, memory_gb = machine.free_cpus, machine.free_gpus, machine.free_memory_gb
        for task in machine.tasks_by_end():
            if task.remaining_s <= max(mine):
                cpus, gpus, memory_gb = cpus + task.cpus, gpus + task.gpus, memory_gb + task.memory_gb
        snapshot.reservations[machine.id] = Reservation(
            until_s,
            cpus - len(mine) * spec.cpus,
            gpus - len(mine) * (spec.gpus or 0.0),
            memory_gb - len(mine) * spec.memory_gb,
            spec.id if job.promoted else "",
        )


def expected_gang_nominations(snapshot: Snapshot) -> list[Nomination]:
    """Room for gangs that are about to come: nominations that only more pressing work passes over.

    A waiting gang stops nobody, so it begins at once only where room is free.
    """
    found: list[Nomination] = []
    taken: dict[str, int] = {}
    for spec, count in snapshot.expected:
        zones = machines_by_zone(
            spec, (machine for machine in snapshot.machines.values() if machine.up and machine.ready)
        )
        rooms = {
            zone: [
                (free_slots(spec, machine) - taken.get(machine.id, 0), len(machine.images), machine.id)
                for machine in there
            ]
            for zone, there in zones.items()
        }
        if not rooms:
            continue
        zone = max(rooms, key=lambda zone: (min(count, sum(max(0, room) for room, _, _ in rooms[zone])), zone))
        # First where images are likely to be, then where much of it is in one place.
        for room, _, name in sorted(rooms[zone], key=lambda item: (-item[1], -item[0], item[2])):
            for _ in range(min(room, count)):
                found.append(Nomination((EXPECTED_JOB_ID, len(found)), name, spec.rank, spec, 0.0))
                taken[name] = taken.get(name, 0) + 1
                count -= 1
    return found


def nominations_to_respect(job: PendingJob, nominated: Iterable[Nomination]) -> list[Nomination]:
    """The nominations that a job has to leave room for: not all of those of gangs that are only expected.

    Gangs like these may take their room, and so may jobs that have grown old or were not served for long.
    """
    spec = job.spec
    keeps = not job.promoted and not job.starving
    return [n for n in nominated if n.key[0] != EXPECTED_JOB_ID or keeps and (not spec.is_gang or n.rank > spec.rank)]


def mark_gangs_stopping(snapshot: Snapshot, victims: Iterable[RunningTask]) -> list[str]:
    """Marks all tasks of the victims' gangs as being stopped, on their other machines too; returns these."""
    jobs = {task.key[0] for task in victims if task.group_size > 1}
    changed = []
    for name in [n.id for n in snapshot.machines.values() if jobs and any(task.key[0] in jobs for task in n.tasks)]:
        machine = snapshot.writable(name)
        machine.mark_stopping([task for task in machine.tasks if task.key[0] in jobs])
        changed.append(name)
    return changed


def preemption_units(tasks: Iterable[RunningTask]) -> list[list[RunningTask]]:
    """Tasks of one machine in the groups that go together: a gang is one victim."""
    found: dict[Any, list[RunningTask]] = {}
    for task in tasks:
        found.setdefault(task.key[0] if task.group_size > 1 else task.key, []).append(task)
    return list(found.values())


def shortage_by_zone(
    spec: JobSpec, count: int, machines: Iterable[MachineView], zones: Iterable[str]
) -> list[tuple[int, str]]:
    """How many tasks of a gang would find no room, by zone, the least first."""
    there = machines_by_zone(spec, machines)
    lacks = {
        zone: count - sum(free_slots(spec, machine) for machine in there.get(zone if spec.one_zone else "", ()))
        for zone in zones
        if zone_allowed(spec, {}, zone) and spec.zone in (None, zone)
    }
    return [
        (lack, zone)
        for lack, _, zone in sorted((max(0, lack), -len(there.get(zone, ())), zone) for zone, lack in lacks.items())
    ]
