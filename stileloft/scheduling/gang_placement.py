"""Where a gang goes: machines for all of its tasks, side by side if it has to be in one zone."""

from collections.abc import Iterable
from typing import NamedTuple

from stileloft.model.resources import EPSILON
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.candidate_machines import CandidateMachines
from stileloft.scheduling.constraints import machine_allowed, zone_allowed
from stileloft.scheduling.machine_scoring import image_fetch_s
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.scheduling_cycle import SchedulingCycle
from stileloft.scheduling.snapshot import PendingJob

ANY_ZONE = ""
"""In place of a zone's name, for jobs that may be in several."""


class TaskAssignment(NamedTuple):
    """A machine for a task of a gang."""

    task_index: int
    machine: MachineView


class GangAssignment(NamedTuple):
    """Machines for a gang's tasks in one zone."""

    tasks: list[TaskAssignment]
    fetch_s: float
    """When the last machine has the image."""


class ZoneShortage(NamedTuple):
    """How many tasks of a gang would find no room in a zone."""

    task_count: int
    zone: str


def free_slots(spec: JobSpec, machine: MachineView) -> int:
    """How many of a job's tasks fit on the machine now."""
    if machine.free_cpus + EPSILON < spec.cpus:
        return 0  # as on most machines: the others are counted in full
    return machine.free.slots(spec)


def machines_by_zone(spec: JobSpec, machines: Iterable[MachineView]) -> dict[str, list[MachineView]]:
    """Machines that the job may use, by the zones of which one is to take all of it, or under one name."""
    found: dict[str, list[MachineView]] = {}
    for machine in machines:
        if machine_allowed(spec, machine):
            found.setdefault(machine.zone if spec.one_zone else ANY_ZONE, []).append(machine)
    return found


def find_gang_machines(job: PendingJob, cycle: SchedulingCycle) -> list[TaskAssignment] | None:
    """A machine for each task of a gang, in the zone where its last image is there first; None if there is none.

    The snapshot is as before when it returns.
    """
    if any(job.placed_by_zone.values()):
        return None  # the rest of it is ending: it comes again as a whole
    if not cycle.quotas.within_limit(job.spec, job.waiting_count):
        return None
    best: tuple[tuple[float, str], list[TaskAssignment]] | None = None
    for zone, machines in sorted(machines_by_zone(job.spec, cycle.machines_with_room()).items()):
        if sum(free_slots(job.spec, machine) for machine in machines) < job.waiting_count:
            continue
        found = _try_zone(job, cycle, machines)
        if len(found.tasks) == job.waiting_count and (best is None or (found.fetch_s, zone) < best[0]):
            best = (found.fetch_s, zone), found.tasks
    return best[1] if best else None


def _try_zone(job: PendingJob, cycle: SchedulingCycle, machines: list[MachineView]) -> GangAssignment:
    """Places as many of the gang's tasks as fit on the machines, and takes them back."""
    spec = job.spec
    candidates = CandidateMachines(job, cycle, machines)
    placed: list[tuple[TaskAssignment, RunningTask]] = []
    fetch_s = 0.0
    for index in job.task_indices:
        target = candidates.best()
        if target is None:
            break
        fetch_s = max(fetch_s, image_fetch_s(spec, target))
        machine = cycle.snapshot.writable(target.id)
        task = RunningTask.from_spec(spec, (spec.id, index))
        machine.add_task(task)
        job.placed_by_zone[machine.zone] = job.placed_by_zone.get(machine.zone, 0) + 1
        placed.append((TaskAssignment(index, machine), task))
        candidates.machine_changed(machine.id)
    for assignment, task in placed:
        assignment.machine.remove_task(task)
        job.placed_by_zone[assignment.machine.zone] -= 1
    return GangAssignment([assignment for assignment, _ in placed], fetch_s)


def shortage_by_zone(
    spec: JobSpec, count: int, machines: Iterable[MachineView], zones: Iterable[str]
) -> list[ZoneShortage]:
    """How many tasks of a gang would find no room, by zone, the least first."""
    by_zone = machines_by_zone(spec, machines)

    def shortage(zone: str) -> int:
        usable = by_zone.get(zone if spec.one_zone else ANY_ZONE, ())
        return max(0, count - sum(free_slots(spec, machine) for machine in usable))

    possible = [zone for zone in zones if zone_allowed(spec, {}, zone) and spec.zone in (None, zone)]
    ranked = sorted((shortage(zone), -len(by_zone.get(zone, ())), zone) for zone in possible)
    return [ZoneShortage(missing, zone) for missing, _, zone in ranked]
