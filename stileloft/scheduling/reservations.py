"""Reservations for single tasks: room kept on the machine that is expected to have it first."""

from stileloft.model.resources import requested
from stileloft.scheduling.constraints import machine_allowed, zone_allowed
from stileloft.scheduling.machine_view import FutureRoom, MachineView
from stileloft.scheduling.snapshot import PendingJob, Reservation, Snapshot

MAX_RESERVATIONS = 8
"""No job reserves more room in a cycle once this many machines have reservations."""


def can_reserve(job: PendingJob, machine: MachineView, snapshot: Snapshot) -> bool:
    """Whether the machine, which must be schedulable, has no reservation yet and is not excluded for the job."""
    return machine.id not in snapshot.reservations and machine.id not in job.excluded_machines


def reserve_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Reserves room for one task on the machine that is expected to have it first, within `MAX_RESERVATIONS`."""
    if len(snapshot.reservations) >= MAX_RESERVATIONS:
        return
    spec = job.spec
    best: tuple[float, str] | None = None
    for machine in snapshot.schedulable_machines():
        if (
            spec.cpus > machine.type.cpus
            or not can_reserve(job, machine, snapshot)
            or not machine_allowed(spec, machine)
            or not zone_allowed(spec, job.placed_by_zone, machine.zone)
        ):
            continue
        future = _earliest_fit(job, machine)
        if future is not None and (best is None or (future.available_in_s, machine.id) < best):
            best = future.available_in_s, machine.id
            reservation = Reservation.for_job(job, future.available_in_s, future.room)
    if best is not None:
        snapshot.reservations[best[1]] = reservation


def _earliest_fit(job: PendingJob, machine: MachineView) -> FutureRoom | None:
    """Returns the earliest time at which a task fits on the machine, and the room then; None if it never fits."""
    needed = requested(job.spec)
    return next((future for future in machine.room_by_time() if future.room.covers(needed, tolerance=0.0)), None)
