"""Criteria for provisioning machines: waiting tasks, room that will soon be free, and deadlines."""

from collections.abc import Iterable

from stileloft.model.machines import fits_type
from stileloft.model.resources import whole_quotient
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.constraints import machine_allowed
from stileloft.scheduling.machine_scoring import exclusive_fetch_s
from stileloft.scheduling.machine_view import MachineView
from stileloft.scheduling.scheduling_cycle import UnmetDemand
from stileloft.scheduling.snapshot import PendingJob, Snapshot

WORTHWHILE_WAIT_BOOTS = 0.4
"""No machine is provisioned for tasks that the present machines will serve within this fraction of a boot time."""
EARLY_BOOTS = 0.5
"""No on-demand machine is provisioned while the time to spare before a deadline is longer than this many ready times.

The ready time is the time that a new machine takes to become ready.
"""
LATE_BOOTS = 1.0
"""No on-demand machine is provisioned once a deadline is missed by more than this many ready times.

A smaller delay may not be real, since estimates are often wrong.
"""


def machines_to_fill(unmet: Iterable[UnmetDemand], types: dict[str, MachineType]) -> float:
    """Returns roughly how many machines the tasks would fill.

    Counts only processors, with each task on the smallest machine type that fits it.
    """
    total = 0.0
    for job, count in unmet:
        sizes = [machine_type.cpus for machine_type in types.values() if fits_type(job.spec, machine_type)]
        if sizes:
            total += count * job.spec.cpus / max(min(sizes), 1.0)
    return total


def time_to_ready_s(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """Returns the shortest time for boot and image fetch of a new machine for the job; 0 if no type fits."""
    return min(
        (
            machine_type.boot_s + exclusive_fetch_s(spec, machine_type)
            for machine_type in types
            if fits_type(spec, machine_type)
        ),
        default=0.0,
    )


def shortest_boot_s(spec: JobSpec, types: Iterable[MachineType]) -> float:
    """Returns the shortest boot time of a new machine for the job; 0 if no type fits."""
    return min((machine_type.boot_s for machine_type in types if fits_type(spec, machine_type)), default=0.0)


def all_tasks_allow_spot(machine: MachineView) -> bool:
    """Whether all of a machine's tasks may run on spot instances."""
    return not any(task.spec is not None and not task.spec.spot for task in machine.tasks)


def needs_on_demand(job: PendingJob, snapshot: Snapshot) -> bool:
    """Whether on-demand machines may be provisioned for the job now.

    For a job with a deadline, only if a machine is needed now to meet the deadline, and the deadline may still be met;
    for a job without a deadline, always.
    """
    spec = job.spec
    if spec.deadline_s is None:
        return True
    ready_s = time_to_ready_s(spec, snapshot.types.values())
    spare_s = job.submitted_at + spec.deadline_s - job.estimate_s - ready_s - snapshot.now
    return -LATE_BOOTS * ready_s < spare_s < EARLY_BOOTS * ready_s


def can_be_served_soon(spec: JobSpec, count: int, snapshot: Snapshot, machines: Iterable[MachineView]) -> bool:
    """Whether `machines` will have room for `count` tasks well before a new machine could be up.

    Room for gangs must already be taken on `machines`: a job that waited for that room would wait indefinitely.
    """
    horizon_s = WORTHWHILE_WAIT_BOOTS * shortest_boot_s(spec, snapshot.types.values())
    slots = 0
    for machine in machines:
        if machine.schedulable and machine_allowed(spec, machine):
            slots += _slots_within(spec, machine, horizon_s)
        if slots >= count:
            return True
    return False


def _slots_within(spec: JobSpec, machine: MachineView, horizon_s: float) -> int:
    """Returns how many tasks the machine will have room for in `horizon_s` seconds.

    Returns 0 for a job that requests no processors or no memory.
    """
    if not spec.cpus or not spec.memory_gb:
        return 0
    cpus, memory_gb = machine.free_cpus, machine.free_memory_gb
    for task in machine.tasks:
        if task.remaining_s <= horizon_s:
            cpus += task.cpus
            memory_gb += task.memory_gb
    return min(whole_quotient(cpus, spec.cpus), whole_quotient(memory_gb, spec.memory_gb))
