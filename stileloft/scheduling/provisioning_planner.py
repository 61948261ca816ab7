"""Planning of new machines: assigns tasks to existing room, and adds the cheapest machines for the others."""

import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field

from stileloft.model.resources import requested
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec
from stileloft.scheduling.constraints import machine_allowed, zone_allowed
from stileloft.scheduling.instance_offers import InstanceOffer, offers_for, view_of_offer
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.scaling_criteria import machines_to_fill
from stileloft.scheduling.scheduling_cycle import UnmetDemand
from stileloft.scheduling.snapshot import ExpectedTasks, Snapshot

MIN_PROVISION_LIMIT = 8
"""Lower bound of the limit on the machines that one plan provisions."""
PROVISION_SHARE = 0.25
"""That limit, as a fraction of the fleet or of the machines that the waiting tasks would fill, whichever is more.

With it, an empty fleet grows to some hundreds quickly.
"""
PLANNED_PREFIX = "new-"
LARGE_MACHINE_WEIGHT = 1.3
"""Factor on the price per task of a large machine for tasks that fit on a small one."""
UNRELIABLE_WEIGHT = 2.0
"""Factor on the price of an offer whose machines often boot late: another zone is preferred, but not at any price."""
PRICE_DECIMALS = 4
"""Prices are rounded to this many decimals, so that nearly equal prices compare as equal."""


@dataclass(frozen=True, slots=True)
class ScalingDemand:
    """Demand that a scaling plan serves, in addition to the snapshot."""

    unmet: list[UnmetDemand]
    """Tasks that were neither placed nor nominated."""
    headroom: list[ExpectedTasks] = field(default_factory=list)
    """Expected tasks, other than those of gangs, of classes that cannot wait for a machine to boot."""
    jobs_arriving: bool = True
    """Whether any class still submits jobs."""
    without_capacity: frozenset[InstanceOffer] = frozenset()
    """Offers for which the cloud recently had no capacity."""
    unreliable: frozenset[InstanceOffer] = frozenset()
    """Offers whose machines often boot late."""


class ProvisioningPlanner:
    """The fleet with the machines planned so far and with tasks assigned to its free room."""

    def __init__(self, snapshot: Snapshot, demand: ScalingDemand, settings: OperatorSettings) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._settings = settings
        self.machines = [machine.copy() for machine in snapshot.machines.values()]
        self.pending = [machine for machine in self.machines if not machine.up and machine.ready]
        """Machines that are not up yet and not overdue, the planned ones last."""
        self.planned: list[MachineView] = []
        self.provision: dict[InstanceOffer, int] = {}
        """Number of planned machines of each offer."""
        self.smallest_cpus = min((machine_type.cpus for machine_type in snapshot.types.values()), default=0.0)
        self._machines_by_type_and_zone = Counter((machine.type.name, machine.zone) for machine in self.machines)
        machine_count = len(snapshot.machines)
        share = PROVISION_SHARE * max(machine_count, machines_to_fill(demand.unmet, snapshot.types))
        self._limit = min(max(MIN_PROVISION_LIMIT, int(share)), settings.max_machines - machine_count)

    def fill(self, spec: JobSpec, count: int, zones: dict[str, int], machines: Iterable[MachineView]) -> int:
        """Assigns up to `count` tasks to free room on the machines; returns the number of tasks left.

        `zones` counts the job's tasks in each zone and is updated.
        """
        needed = requested(spec)
        for machine in machines:
            while (
                count
                and machine_allowed(spec, machine)
                and zone_allowed(spec, zones, machine.zone)
                and machine.has_room(needed)
            ):
                machine.add_task(RunningTask.from_spec(spec, (spec.id, -count), remaining_s=math.inf))
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                count -= 1
        return count

    def provision_for(self, spec: JobSpec, count: int, zones: dict[str, int] | None, spot_only: bool) -> int:
        """Plans machines for `count` tasks; returns the number of tasks left.

        `zones` counts the job's tasks in each zone and is updated. It is None if the tasks belong to different jobs, so
        that a job's constraints on zones do not apply across machines.
        """
        while count and self.may_provision():
            placed_by_zone = {} if zones is None else zones
            offer = self._cheapest(spec, placed_by_zone, spot_only or not self._settings.rent_full_price)
            if offer is None:
                break
            count = self.fill(spec, count, placed_by_zone, [self.add_machine(offer)])
        return count

    def may_provision(self) -> bool:
        """Whether the plan is below its limit of machines."""
        return len(self.planned) < self._limit

    def add_machine(self, offer: InstanceOffer) -> MachineView:
        """Adds one machine of an offer to the plan."""
        self.provision[offer] = self.provision.get(offer, 0) + 1
        self._machines_by_type_and_zone[offer.machine_type, offer.zone] += 1
        machine = view_of_offer(f"{PLANNED_PREFIX}{len(self.planned) + 1}", offer, self._snapshot.types)
        self.planned.append(machine)
        self.pending.append(machine)
        return machine

    def _cheapest(self, spec: JobSpec, zones: dict[str, int], spot_only: bool) -> InstanceOffer | None:
        """Returns the cheapest offer that fits a task; None if none does.

        Among offers of nearly equal price, the offer with the fewest machines of its type in its zone is chosen.
        """
        possible = [
            priced
            for priced in offers_for(spec, self._snapshot.types, self._demand.without_capacity)
            if zone_allowed(spec, zones, priced.offer.zone) and (priced.offer.spot or not spot_only)
        ]

        def order(price: float, offer: InstanceOffer) -> tuple[float, int, str]:
            weighted = round(price * self._price_weight(spec, offer), PRICE_DECIMALS)
            return weighted, self._machines_by_type_and_zone[offer.machine_type, offer.zone], offer.zone

        best = min(possible, key=lambda priced: order(*priced), default=None)
        return best.offer if best else None

    def _price_weight(self, spec: JobSpec, offer: InstanceOffer) -> float:
        """Returns the factor by which an offer's price is weighted."""
        # Large machines are kept for tasks that need them.
        large = spec.cpus <= self.smallest_cpus < self._snapshot.types[offer.machine_type].cpus
        weight = LARGE_MACHINE_WEIGHT if large else 1.0
        return weight * UNRELIABLE_WEIGHT if offer in self._demand.unreliable else weight
