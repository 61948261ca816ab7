"""Placement of gangs: machines for all of their tasks at once, in one zone if the job requires it."""

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
"""Key that stands for all zones, for jobs that may use several."""


class TaskAssignment(NamedTuple):
    """The machine for one task of a gang."""

    task_index: int
    machine: MachineView


class GangAssignment(NamedTuple):
    """Machines for a gang's tasks in one zone, or in several if the job allows it."""

    tasks: list[TaskAssignment]
    fetch_s: float
    """Seconds until the last machine has the image."""


class ZoneShortage(NamedTuple):
    """Number of a gang's tasks that have no room in a zone."""

    task_count: int
    zone: str


def free_slots(spec: JobSpec, machine: MachineView) -> int:
    """Returns how many of a job's tasks fit on the machine now."""
    if machine.free_cpus + EPSILON < spec.cpus:
        return 0  # the case of most machines, decided without computing all slots
    return machine.free.slots(spec)


def machines_by_zone(spec: JobSpec, machines: Iterable[MachineView]) -> dict[str, list[MachineView]]:
    """Returns the machines that the job may use, by zone; all under `ANY_ZONE` if it may use several zones."""
    by_zone: dict[str, list[MachineView]] = {}
    for machine in machines:
        if machine_allowed(spec, machine):
            by_zone.setdefault(machine.zone if spec.one_zone else ANY_ZONE, []).append(machine)
    return by_zone


def find_gang_machines(job: PendingJob, cycle: SchedulingCycle) -> list[TaskAssignment] | None:
    """Returns a machine for each task of a gang, in the zone where all machines have the image earliest.

    Returns None if no zone has room for the whole gang, its team's limit excludes it, or tasks of its former attempt
    are still ending. Leaves the resources in the snapshot unchanged.
    """
    if any(job.placed_by_zone.values()):
        return None  # tasks of its former attempt are still ending; the gang is placed again as a whole
    if not cycle.quotas.within_limit(job.spec, job.waiting_count):
        return None
    best: tuple[tuple[float, str], list[TaskAssignment]] | None = None
    for zone, machines in sorted(machines_by_zone(job.spec, cycle.machines_with_room()).items()):
        if sum(free_slots(job.spec, machine) for machine in machines) < job.waiting_count:
            continue
        assignment = _assign_machines(job, cycle, machines)
        if len(assignment.tasks) == job.waiting_count and (best is None or (assignment.fetch_s, zone) < best[0]):
            best = (assignment.fetch_s, zone), assignment.tasks
    return best[1] if best else None


def _assign_machines(job: PendingJob, cycle: SchedulingCycle, machines: list[MachineView]) -> GangAssignment:
    """Returns machines for as many of the gang's tasks as fit. Adds the tasks to the snapshot and removes them."""
    spec = job.spec
    candidates = CandidateMachines(job, cycle, machines)
    placements: list[tuple[TaskAssignment, RunningTask]] = []
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
        placements.append((TaskAssignment(index, machine), task))
        candidates.machine_changed(machine.id)
    for assignment, task in placements:
        assignment.machine.remove_task(task)
        job.placed_by_zone[assignment.machine.zone] -= 1
    return GangAssignment([assignment for assignment, _ in placements], fetch_s)


def shortage_by_zone(
    spec: JobSpec, count: int, machines: Iterable[MachineView], zones: Iterable[str]
) -> list[ZoneShortage]:
    """Returns how many tasks of a gang have no room in each zone it may use, the smallest shortage first."""
    by_zone = machines_by_zone(spec, machines)

    def shortage(zone: str) -> int:
        usable = by_zone.get(zone if spec.one_zone else ANY_ZONE, ())
        return max(0, count - sum(free_slots(spec, machine) for machine in usable))

    possible = [zone for zone in zones if zone_allowed(spec, {}, zone) and spec.zone in (None, zone)]
    ranked = sorted((shortage(zone), -len(by_zone.get(zone, ())), zone) for zone in possible)
    return [ZoneShortage(missing, zone) for missing, _, zone in ranked]
