"""Plans new machines: fills the room there is with tasks, and adds the cheapest machines for the others."""

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

# Machines provisioned by one plan: at least so many, or this share of the fleet or of what the waiting tasks would
# fill, so that an empty fleet grows to some hundreds quickly.
MIN_PROVISION_LIMIT = 8
PROVISION_SHARE = 0.25
PLANNED_PREFIX = "new-"
# The price of a large machine's share counts so much more for tasks that fit on a small one.
LARGE_MACHINE_WEIGHT = 1.3
# The same for an offer whose machines keep coming late: another zone is tried first, but not at any price.
UNRELIABLE_WEIGHT = 2.0
# Prices that differ by less than this many decimals are equal.
PRICE_DECIMALS = 4


@dataclass(frozen=True, slots=True)
class ScalingDemand:
    """What a plan is made for, beside the snapshot."""

    unmet: list[UnmetDemand]
    """Tasks that got neither a place nor a nomination."""
    headroom: list[ExpectedTasks] = field(default_factory=list)
    """Tasks that should find room at once if they came now; none of a class that can wait."""
    jobs_arriving: bool = True
    """Whether jobs are still coming."""
    without_capacity: frozenset[InstanceOffer] = frozenset()
    """Offers of which the cloud had none lately."""
    unreliable: frozenset[InstanceOffer] = frozenset()
    """Offers whose machines keep coming late."""


class ProvisioningPlanner:
    """The fleet as it would be with the machines planned so far, and with tasks in its room."""

    def __init__(self, snapshot: Snapshot, demand: ScalingDemand, settings: OperatorSettings) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._settings = settings
        self.machines = [machine.copy() for machine in snapshot.machines.values()]
        self.pending = [machine for machine in self.machines if not machine.up and machine.ready]
        """Machines that are not up yet, the planned ones last."""
        self.planned: list[MachineView] = []
        self.provision: dict[InstanceOffer, int] = {}
        """How many machines of each offer are planned."""
        self.smallest_cpus = min((machine_type.cpus for machine_type in snapshot.types.values()), default=0.0)
        self._machines_by_type_and_zone = Counter((machine.type.name, machine.zone) for machine in self.machines)
        present = len(snapshot.machines)
        share = PROVISION_SHARE * max(present, machines_to_fill(demand.unmet, snapshot.types))
        self._limit = min(max(MIN_PROVISION_LIMIT, int(share)), settings.max_machines - present)

    def fill(self, spec: JobSpec, count: int, zones: dict[str, int], machines: Iterable[MachineView]) -> int:
        """Puts up to `count` tasks into the machines' room, counting them in `zones`; returns how many are left."""
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
        """Plans machines for so many tasks, which are independent of each other if `zones` is None.

        Returns how many are left.
        """
        while count and self.may_provision():
            placed_by_zone = {} if zones is None else zones
            offer = self._cheapest(spec, placed_by_zone, spot_only or not self._settings.rent_full_price)
            if offer is None:
                break
            count = self.fill(spec, count, placed_by_zone, [self.add_machine(offer)])
        return count

    def may_provision(self) -> bool:
        """Whether the plan may have one more machine."""
        return len(self.planned) < self._limit

    def add_machine(self, offer: InstanceOffer) -> MachineView:
        """Plans one machine of an offer."""
        self.provision[offer] = self.provision.get(offer, 0) + 1
        self._machines_by_type_and_zone[offer.machine_type, offer.zone] += 1
        machine = view_of_offer(f"{PLANNED_PREFIX}{len(self.planned) + 1}", offer, self._snapshot.types)
        self.planned.append(machine)
        self.pending.append(machine)
        return machine

    def _cheapest(self, spec: JobSpec, zones: dict[str, int], spot_only: bool) -> InstanceOffer | None:
        """The cheapest offer; among near equals the zone and type we use least."""
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
        """How much more an offer's price counts than it is."""
        # Large machines are kept for the tasks that need them.
        large = spec.cpus <= self.smallest_cpus < self._snapshot.types[offer.machine_type].cpus
        weight = LARGE_MACHINE_WEIGHT if large else 1.0
        return weight * UNRELIABLE_WEIGHT if offer in self._demand.unreliable else weight
