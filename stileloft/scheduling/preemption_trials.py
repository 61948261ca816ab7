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
from stileloft.scheduling.preemption import Preemption, PreemptionLoss, loss, preemptible_below, trial


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


class TrialResult(NamedTuple):
    """A successful trial; the least is the best."""

    loss: PreemptionLoss
    image_missing: bool
    machine_id: str
    victims: list[RunningTask]


class FairShare(NamedTuple):
    """What a trial depends on beside the machine: who is owed, and who uses more than it is owed."""

    within_guarantee: bool
    exceeding_guarantee: list[bool]


class PreemptionTrials:
    """The trials for a job's tasks, which are alike: a machine is tried again only when it has changed."""

    def __init__(
        self, spec: JobSpec, placed_by_zone: dict[str, int], excluded: frozenset[str], context: PreemptionContext
    ) -> None:
        self._spec = spec
        self._placed_by_zone = placed_by_zone
        self._excluded = excluded
        self._context = context
        self._heap: list[TrialResult] = []
        self._tried_at: FairShare | None = None
        """The fair share at which the machines were tried."""

    def best(self) -> Preemption | None:
        """The best machine and its victims, or None if no trial succeeds."""
        spec = self._spec
        if not self._context.quotas.within_limit(spec):
            return None
        fair_share = self._fair_share()
        if fair_share != self._tried_at:
            self._tried_at = fair_share
            self._try_all()
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
        self._try(self._context.machines[machine_id])

    def forget(self) -> None:
        """More than one machine has changed."""
        self._tried_at = None

    def _fair_share(self) -> FairShare:
        quotas = self._context.quotas
        return FairShare(
            quotas.within_guarantee(self._spec),
            [quotas.exceeds_guarantee(name) for name in quotas.teams],
        )

    def _try_all(self) -> None:
        """Tries all machines on which a trial may succeed."""
        spec, context = self._spec, self._context
        self._heap = []
        for machine in context.reclaimable.with_reclaimable_cpus(spec.cpus, preemptible_below(spec, context.quotas)):
            if machine.schedulable and machine.id not in self._excluded and machine_allowed(spec, machine):
                self._try(machine)

    def _try(self, machine: MachineView) -> None:
        context = self._context
        nominated = context.nominations_by_machine.get(machine.id, ())
        victims = trial(self._spec, machine, nominated, context.quotas)
        if victims is not None:
            image_missing = self._spec.image not in machine.images
            heapq.heappush(self._heap, TrialResult(loss(victims), image_missing, machine.id, victims))
