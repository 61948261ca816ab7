"""Search for the machine where preemption makes room for a job's tasks at the lowest cost."""

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
    """Machines in ascending order of the processors that preemption can make free."""

    cpus: list[float]
    machine_ids: list[str]


class ReclaimableRoomIndex:
    """Machines by the most processors that preemption can make free there, shared by all jobs of a cycle.

    With hundreds of machines and dozens of waiting jobs, nearly all searches on single machines would fail at once for
    lack of room. Tasks placed during the cycle only reduce the room that the index states. Tasks stopped during the
    cycle increase it, so the index returns the machines of stopped tasks to all later jobs.
    """

    def __init__(self, machines: Mapping[str, MachineView]) -> None:
        self._machines = machines
        self._by_rank: dict[int, MachinesByRoom] = {}
        self._stopped: dict[str, None] = {}

    def task_stopped(self, machine_id: str) -> None:
        """Records that a task on the machine was stopped in this cycle."""
        self._stopped[machine_id] = None

    def with_reclaimable_cpus(self, cpus: float, below_rank: int) -> list[MachineView]:
        """Returns all machines that may have this many processors free once all tasks below a rank are gone."""
        index = self._by_rank.get(below_rank)
        if index is None:
            index = self._by_rank[below_rank] = self._build(below_rank)
        machine_ids = index.machine_ids[bisect.bisect_left(index.cpus, cpus - EPSILON) :]
        return [self._machines[machine_id] for machine_id in dict.fromkeys([*machine_ids, *self._stopped])]

    def _build(self, below_rank: int) -> MachinesByRoom:
        by_cpus = sorted(
            (machine.reclaimable(below_rank).cpus, machine.id)
            for machine in self._machines.values()
            if machine.schedulable
        )
        return MachinesByRoom([cpus for cpus, _ in by_cpus], [machine_id for _, machine_id in by_cpus])


@dataclass(frozen=True, slots=True)
class PreemptionContext:
    """State that the searches for all jobs of a cycle share; it changes during the cycle."""

    machines: Mapping[str, MachineView]
    nominations_by_machine: Mapping[str, list[Nomination]]
    quotas: TeamQuotas
    reclaimable: ReclaimableRoomIndex


class VictimSelection(NamedTuple):
    """Victims on one machine whose preemption makes room; the smallest in sort order is the best."""

    cost: PreemptionCost
    image_missing: bool
    machine_id: str
    victims: list[RunningTask]


class GuaranteeUse(NamedTuple):
    """Use of the teams' guarantees, on which the choice of victims depends in addition to the machine."""

    within_guarantee: bool
    """Whether one more task keeps the job's team within its guarantee."""
    exceeding_guarantee: list[bool]
    """Whether each team uses more than its guarantee."""


class PreemptionSearch:
    """Search for preemptions that make room for a job's tasks.

    The job's tasks are alike, so a machine is searched again only when it or the use of guarantees has changed.
    """

    def __init__(
        self, spec: JobSpec, placed_by_zone: dict[str, int], excluded: frozenset[str], context: PreemptionContext
    ) -> None:
        self._spec = spec
        self._placed_by_zone = placed_by_zone
        self._excluded = excluded
        self._context = context
        self._heap: list[VictimSelection] = []
        self._searched_with: GuaranteeUse | None = None
        """Use of guarantees at the last search of all machines; None if all have to be searched."""

    def best(self) -> Preemption | None:
        """Returns the best machine and its victims; None if no preemption makes room or the team is at its limit."""
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
            heapq.heappop(self._heap)  # the zone is full for the job, and stays full in this cycle
        return None

    def machine_changed(self, machine_id: str) -> None:
        """Searches a machine again whose tasks or nominations have changed."""
        self._heap = [result for result in self._heap if result.machine_id != machine_id]
        heapq.heapify(self._heap)
        self._search_machine(self._context.machines[machine_id])

    def invalidate(self) -> None:
        """Has all machines searched again at the next call of `best`, because several have changed."""
        self._searched_with = None

    def _guarantee_use(self) -> GuaranteeUse:
        quotas = self._context.quotas
        return GuaranteeUse(
            quotas.within_guarantee(self._spec),
            [quotas.exceeds_guarantee(name) for name in quotas.teams],
        )

    def _search_all(self) -> None:
        """Searches all machines on which preemption may make room."""
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
