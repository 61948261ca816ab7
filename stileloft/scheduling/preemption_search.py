"""The trials of a job's tasks on all machines that may help them."""

import bisect
import heapq
from collections.abc import Mapping
from dataclasses import dataclass
from typing import NamedTuple

from stileloft.model.nominations import Nomination
from stileloft.model.quota import TeamQuotas
from stileloft.model.resources import EPSILON
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.constraints import machine_allowed, zone_allowed
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.preemption import (
    Preemption,
    PreemptionCost,
    preemptible_below,
    preemption_cost,
    select_victims,
)


class MachinesByRoom(NamedTuple):
    """Machines, the one that can have the fewest processors first."""

    cpus: list[float]
    machine_ids: list[str]


class ReclaimableRoomIndex:
    """Machines by what their trials can free at the most, shared by all jobs of a cycle.

    With hundreds of machines and dozens of waiting jobs, nearly all trials would end at once for want of room. Tasks
    that are placed during the cycle only take from it; what is stopped in it adds to it, so machines where something
    was stopped are looked at by all later jobs.
    """

    def __init__(self, machines: Mapping[str, MachineView]) -> None:
        self._machines = machines
        self._by_rank: dict[int, MachinesByRoom] = {}
        self._stopped: dict[str, None] = {}

    def task_stopped(self, machine_id: str) -> None:
        """A task on the machine is being stopped since the index was made."""
        self._stopped[machine_id] = None

    def with_reclaimable_cpus(self, cpus: float, below_rank: int) -> list[MachineView]:
        """Machines that may have so many processors once all tasks below a rank are gone; no other machine can."""
        index = self._by_rank.get(below_rank)
        if index is None:
            index = self._by_rank[below_rank] = self._build(below_rank)
        machine_ids = index.machine_ids[bisect.bisect_left(index.cpus, cpus - EPSILON) :]
        return [self._machines[machine_id] for machine_id in dict.fromkeys([*machine_ids, *self._stopped])]

    def _build(self, below_rank: int) -> MachinesByRoom:
        most = sorted(
            (machine.reclaimable(below_rank).cpus, machine.id)
            for machine in self._machines.values()
            if machine.schedulable
        )
        return MachinesByRoom([cpus for cpus, _ in most], [machine_id for _, machine_id in most])


@dataclass(frozen=True, slots=True)
class PreemptionContext:
    """What the trials of all jobs of a cycle share; its parts change as the cycle goes on."""

    machines: Mapping[str, MachineView]
    nominations_by_machine: Mapping[str, list[Nomination]]
    quotas: TeamQuotas
    reclaimable: ReclaimableRoomIndex


class VictimSelection(NamedTuple):
    """A successful trial; the least is the best."""

    cost: PreemptionCost
    image_missing: bool
    machine_id: str
    victims: list[RunningTask]


class GuaranteeUse(NamedTuple):
    """What a trial depends on beside the machine: who is owed, and who uses more than it is owed."""

    within_guarantee: bool
    exceeding_guarantee: list[bool]


class PreemptionSearch:
    """The trials for a job's tasks, which are alike: a machine is tried again only when it has changed."""

    def __init__(
        self, spec: JobSpec, placed_by_zone: dict[str, int], excluded: frozenset[str], context: PreemptionContext
    ) -> None:
        self._spec = spec
        self._placed_by_zone = placed_by_zone
        self._excluded = excluded
        self._context = context
        self._heap: list[VictimSelection] = []
        self._searched_with: GuaranteeUse | None = None
        """The fair share at which the machines were tried."""

    def best(self) -> Preemption | None:
        """The best machine and its victims, or None if no trial succeeds."""
        spec = self._spec
        if not self._context.quotas.within_limit(spec):
            return None
        guarantee_use = self._guarantee_use()
        if guarantee_use != self._searched_with:
            self._searched_with = guarantee_use
            self._search_all()
        while self._heap:
            result = self._heap[0]
            if zone_allowed(spec, self._placed_by_zone, self._context.machines[result.machine_id].zone):
                return Preemption(result.machine_id, result.victims)
            heapq.heappop(self._heap)  # a zone that is full for the job stays so in this cycle
        return None

    def machine_changed(self, machine_id: str) -> None:
        """The best machine has got the nomination, or has changed otherwise."""
        self._heap = [result for result in self._heap if result.machine_id != machine_id]
        heapq.heapify(self._heap)
        self._search_machine(self._context.machines[machine_id])

    def invalidate(self) -> None:
        """More than one machine has changed."""
        self._searched_with = None

    def _guarantee_use(self) -> GuaranteeUse:
        quotas = self._context.quotas
        return GuaranteeUse(
            quotas.within_guarantee(self._spec),
            [quotas.exceeds_guarantee(name) for name in quotas.teams],
        )

    def _search_all(self) -> None:
        """Tries all machines on which a trial may succeed."""
        spec, context = self._spec, self._context
        self._heap = []
        for machine in context.reclaimable.with_reclaimable_cpus(spec.cpus, preemptible_below(spec, context.quotas)):
            if machine.schedulable and machine.id not in self._excluded and machine_allowed(spec, machine):
                self._search_machine(machine)

    def _search_machine(self, machine: MachineView) -> None:
        context = self._context
        nominated = context.nominations_by_machine.get(machine.id, ())
        victims = select_victims(self._spec, machine, nominated, context.quotas)
        if victims is not None:
            image_missing = self._spec.image not in machine.images
            heapq.heappush(self._heap, VictimSelection(preemption_cost(victims), image_missing, machine.id, victims))
