"""Room kept for gangs: for those that wait, and for those that are expected."""

from collections import Counter
from typing import NamedTuple

from stileloft.model.nominations import EXPECTED_JOB_ID, Nomination
from stileloft.model.resources import Resources
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.gang_placement import free_slots, machines_by_zone
from stileloft.scheduling.machine_view import MachineView
from stileloft.scheduling.reservations import can_reserve
from stileloft.scheduling.snapshot import PendingJob, Reservation, Snapshot


class FutureSlot(NamedTuple):
    """Room for one task of a gang, and when it is free."""

    available_in_s: float
    machine_id: str


def reserve_gang_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Keeps the room that a gang will have first, so that small tasks don't fill each hole before it can begin."""
    candidates = [machine for machine in snapshot.schedulable_machines() if can_reserve(job, machine, snapshot)]
    best: tuple[float, str] | None = None
    chosen: list[FutureSlot] = []
    for zone, machines in machines_by_zone(job.spec, candidates).items():
        slots = sorted(slot for machine in machines for slot in _future_slots(job, machine))
        if len(slots) < job.waiting_count:
            continue
        available_in_s = slots[job.waiting_count - 1].available_in_s
        if best is None or (available_in_s, zone) < best:
            best, chosen = (available_in_s, zone), slots[: job.waiting_count]
    if best is None:
        return
    counts = Counter(slot.machine_id for slot in chosen)
    latest = {slot.machine_id: slot.available_in_s for slot in chosen}  # they are sorted by time
    for machine_id, count in counts.items():
        room = _room_at(snapshot.machines[machine_id], latest[machine_id])
        snapshot.reservations[machine_id] = Reservation.for_job(job, best[0], room, count)


def _future_slots(job: PendingJob, machine: MachineView) -> list[FutureSlot]:
    """When the machine has room for tasks of the gang, one entry for each task."""
    slots: list[FutureSlot] = []
    known = 0
    for available_in_s, room in machine.room_by_time():
        fitting = room.slots(job.spec)
        slots += [FutureSlot(available_in_s, machine.id)] * min(fitting - known, job.waiting_count)
        known = max(known, fitting)
    return slots


def _room_at(machine: MachineView, in_s: float) -> Resources:
    """What is free on the machine then."""
    now, *later = machine.room_by_time()
    return next((future.room for future in reversed(later) if future.available_in_s <= in_s), now.room)


def expected_gang_nominations(snapshot: Snapshot) -> list[Nomination]:
    """Room for gangs that are about to come: nominations that only more pressing work passes over.

    A waiting gang preempts nothing, so it begins at once only where room is free.
    """
    found: list[Nomination] = []
    taken: Counter[str] = Counter()
    for spec, count in snapshot.expected_gangs:
        for machine_id in _machines_for_expected(spec, count, snapshot, taken):
            found.append(Nomination((EXPECTED_JOB_ID, len(found)), machine_id, spec.rank, spec, 0.0))
            taken[machine_id] += 1
    return found


def _machines_for_expected(spec: JobSpec, count: int, snapshot: Snapshot, taken: Counter[str]) -> list[str]:
    """A machine for each task that there is room for, in the zone that has room for most of them."""
    slots_by_zone = {
        zone: [(free_slots(spec, machine) - taken[machine.id], machine) for machine in machines]
        for zone, machines in machines_by_zone(spec, snapshot.schedulable_machines()).items()
    }
    if not slots_by_zone:
        return []

    def served(zone: str) -> int:
        return min(count, sum(max(0, slots) for slots, _ in slots_by_zone[zone]))

    zone = max(slots_by_zone, key=lambda zone: (served(zone), zone))
    # First where images are likely to be, then where much room is in one place.
    ranked = sorted(slots_by_zone[zone], key=lambda item: (-len(item[1].images), -item[0], item[1].id))
    return [machine.id for slots, machine in ranked for _ in range(min(slots, count))][:count]
