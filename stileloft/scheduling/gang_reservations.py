"""Room kept for gangs: reservations for waiting gangs, and nominations for expected ones."""

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
    """Room for one task of a gang, with the time at which it is free."""

    available_in_s: float
    """Seconds from now."""
    machine_id: str


def reserve_gang_room(job: PendingJob, snapshot: Snapshot) -> None:
    """Reserves the room in which a gang can start earliest, so that small tasks do not fill it first."""
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
    latest = {slot.machine_id: slot.available_in_s for slot in chosen}  # the slots are in order of time
    for machine_id, count in counts.items():
        room = _room_at(snapshot.machines[machine_id], latest[machine_id])
        snapshot.reservations[machine_id] = Reservation.for_job(job, best[0], room, count)


def _future_slots(job: PendingJob, machine: MachineView) -> list[FutureSlot]:
    """Returns one slot for each task of the gang that will fit on the machine, in order of time."""
    slots: list[FutureSlot] = []
    counted = 0
    for available_in_s, room in machine.room_by_time():
        fitting = room.slots(job.spec)
        slots += [FutureSlot(available_in_s, machine.id)] * min(fitting - counted, job.waiting_count)
        counted = max(counted, fitting)
    return slots


def _room_at(machine: MachineView, in_s: float) -> Resources:
    """Returns the resources expected to be free on the machine in `in_s` seconds."""
    now, *later = machine.room_by_time()
    return next((future.room for future in reversed(later) if future.available_in_s <= in_s), now.room)


def expected_gang_nominations(snapshot: Snapshot) -> list[Nomination]:
    """Returns nominations that keep room for expected gangs.

    A waiting gang preempts nothing, so it starts at once only if room is free. `nominations_to_respect` says which jobs
    may use the room.
    """
    nominations: list[Nomination] = []
    nominated_counts: Counter[str] = Counter()
    for spec, count in snapshot.expected_gangs:
        for machine_id in _machines_for_expected(spec, count, snapshot, nominated_counts):
            nominations.append(Nomination((EXPECTED_JOB_ID, len(nominations)), machine_id, spec.rank, spec, 0.0))
            nominated_counts[machine_id] += 1
    return nominations


def _machines_for_expected(spec: JobSpec, count: int, snapshot: Snapshot, nominated_counts: Counter[str]) -> list[str]:
    """Returns a machine for each task that has room, in the zone with room for most of the tasks."""
    slots_by_zone = {
        zone: [(free_slots(spec, machine) - nominated_counts[machine.id], machine) for machine in machines]
        for zone, machines in machines_by_zone(spec, snapshot.schedulable_machines()).items()
    }
    if not slots_by_zone:
        return []

    def placeable(zone: str) -> int:
        return min(count, sum(max(0, slots) for slots, _ in slots_by_zone[zone]))

    zone = max(slots_by_zone, key=lambda zone: (placeable(zone), zone))
    # Machines with more images first, as they are likely to have the right one; then machines with more room.
    ranked = sorted(slots_by_zone[zone], key=lambda item: (-len(item[1].images), -item[0], item[1].id))
    return [machine.id for slots, machine in ranked for _ in range(min(slots, count))][:count]
