"""Selection of the best machine with room for a job's tasks."""

import heapq
from collections.abc import Iterable

from stileloft.model.nominations import Nomination
from stileloft.model.resources import EPSILON, requested
from stileloft.scheduling.constraints import machine_allowed, zone_allowed
from stileloft.scheduling.machine_scoring import placement_cost
from stileloft.scheduling.machine_view import MachineView
from stileloft.scheduling.preemption import room_needed
from stileloft.scheduling.scheduling_cycle import SchedulingCycle
from stileloft.scheduling.snapshot import PendingJob

ScoredMachine = tuple[float, str, int]
"""An entry of the heap: cost, machine id, and the machine's version when it was scored.

A plain tuple, because the interpreter reuses the memory of tuples: a cycle makes one for each machine and job.
"""


class CandidateMachines:
    """Heap of the machines with room for a task of the job, the lowest cost first.

    The job's tasks are alike, so each machine is scored once, and again only when it has changed.
    """

    def __init__(self, job: PendingJob, cycle: SchedulingCycle, machines: list[MachineView] | None = None) -> None:
        self._job = job
        self._cycle = cycle
        self._machines = cycle.snapshot.machines
        self._requested = requested(job.spec)
        self._heap: list[ScoredMachine] = []
        self._versions: dict[str, int] = {}
        for machine in cycle.machines_with_room() if machines is None else machines:
            self._score(machine, 0)
        heapq.heapify(self._heap)

    def _score(self, machine: MachineView, version: int) -> None:
        """Appends the machine to the heap's list if a task may be placed there; the caller restores the heap order."""
        job, cycle = self._job, self._cycle
        spec = job.spec
        if (
            spec.cpus > machine.free_cpus + EPSILON
            or machine.id in job.excluded_machines
            or not machine_allowed(spec, machine)
        ):
            return
        needed = self._requested
        nominated = cycle.nominations_by_machine.get(machine.id)
        if nominated:
            needed = room_needed(spec, nominations_to_respect(job, nominated))
        if not machine.has_room(needed):
            return
        reservation = cycle.snapshot.reservations.get(machine.id)
        if reservation is not None and not reservation.admits(spec, job.estimate_s, job.starving):
            return
        cost = placement_cost(spec, machine, cycle.sizes, job.start_objective_s)
        self._heap.append((cost, machine.id, version))

    def best(self) -> MachineView | None:
        """Returns the machine of lowest cost with room for a task; None if there is none."""
        while self._heap:
            _, machine_id, version = self._heap[0]
            machine = self._machines[machine_id]
            # Machines in a zone that is full for the job are dropped: the zone stays full in this cycle.
            if version == self._versions.get(machine_id, 0) and zone_allowed(
                self._job.spec, self._job.placed_by_zone, machine.zone
            ):
                return machine
            heapq.heappop(self._heap)
        return None

    def machine_changed(self, machine_id: str) -> None:
        """Rescores a machine on which a task was placed or a nomination ended."""
        version = self._versions[machine_id] = self._versions.get(machine_id, 0) + 1
        machine = self._machines[machine_id]
        if not machine.schedulable:
            return
        before = len(self._heap)
        self._score(machine, version)
        if len(self._heap) > before:
            heapq.heappush(self._heap, self._heap.pop())


def nominations_to_respect(job: PendingJob, nominated: Iterable[Nomination]) -> list[Nomination]:
    """Returns the nominations that a job must leave room for.

    Room for expected gangs may be used by promoted and starving jobs, and by gangs of at least the same rank.
    """
    respects_expected_gangs = not job.promoted and not job.starving
    return [
        nomination
        for nomination in nominated
        if not nomination.is_expected
        or (respects_expected_gangs and (not job.spec.is_gang or nomination.rank > job.spec.rank))
    ]
