"""Which machines to rent and which to return."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from stileloft.model.machines import fits_type
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling import gangs
from stileloft.scheduling.placement import as_running
from stileloft.scheduling.snapshot import MachineView, PendingJob, Snapshot, allowed, zone_allowed

InstanceOffer = tuple[str, str, bool]
"""Machine type, zone, spot."""

# Idle machines at the full price are kept for this multiple of their boot time.
KEEP_FULL_PRICE_BOOTS = 0.3
# Waiting that the present machines will end within this part of a boot does not pay a rental.
WAIT_BOOTS = 0.4
# Machines rented by one plan: at least so many, or this part of the fleet or of what the waiting tasks would
# fill. An empty fleet would else take half a minute to grow to some hundreds.
MAX_NEW = 8
NEW_PART = 0.25
NEW = "new-"
# Machines at the full price are rented for a deadline when this many boots are left to it, and
# for one that is this many boots out of reach, since estimates are often wrong.
EARLY_BOOTS = 0.5
LATE_BOOTS = 1.0
# The price of a large machine's share counts so much more for tasks that fit on a small one.
LARGE_MACHINE_WEIGHT = 1.3
# The same for an offer whose machines keep coming late: another zone is tried first, but not at any price.
DISTRUSTED_WEIGHT = 2.0
# Classes from this priority on may count on idle machines at the full price.
URGENT_RANK = 2


@dataclass(slots=True)
class ScalingPlan:
    provision: dict[InstanceOffer, int] = field(default_factory=dict)
    release: list[str] = field(default_factory=list)


def price(kind: MachineType, spot: bool) -> float:
    return kind.spot_price if spot else kind.price


def offers_for(
    spec: JobSpec, types: dict[str, MachineType], refused: Collection[InstanceOffer]
) -> list[tuple[float, InstanceOffer]]:
    """What could be rented for a task of this job, with the price of its share of the machine."""
    found: list[tuple[float, InstanceOffer]] = []
    for kind in types.values():
        if not fits_type(spec, kind):
            continue
        slots = min(
            int((kind.cpus + 1e-6) / spec.cpus) if spec.cpus else 1000,
            int((kind.memory_gb + 1e-6) / spec.memory_gb) if spec.memory_gb else 1000,
            int((kind.gpus + 1e-6) / spec.gpus) if spec.gpus else 1000,
        )
        for zone in kind.zones:
            if spec.zone is not None and spec.zone != zone:
                continue
            for spot in (True, False):
                if spot and not spec.spot:
                    continue
                if (kind.name, zone, spot) not in refused:
                    found.append((price(kind, spot) / max(1, slots), (kind.name, zone, spot)))
    return found


def machines_for(unmet: list[tuple[PendingJob, int]], types: dict[str, MachineType]) -> float:
    """Roughly how many machines the tasks would fill, each on the smallest type that they fit on."""
    total = 0.0
    for job, count in unmet:
        sizes = [kind.cpus for kind in types.values() if fits_type(job.spec, kind)]
        if sizes:
            total += count * job.spec.cpus / max(min(sizes), 1.0)
    return total


@dataclass(frozen=True, slots=True)
class ScalingDemand:
    """What a plan is made for, beside the snapshot."""

    unmet: list[tuple[PendingJob, int]]
    """Jobs, and how many of their tasks got neither place nor nomination."""
    headroom: list[tuple[JobSpec, int]] = field(default_factory=list)
    """Tasks that should find room at once if they came now; none of a class that can wait."""
    active: bool = True
    """Whether jobs are still coming."""
    refused: frozenset[InstanceOffer] = frozenset()
    """Offers of which the cloud had none lately."""
    unreliable: frozenset[InstanceOffer] = frozenset()
    """Offers whose machines keep coming late."""


class Autoscaler:
    """One plan: rentals for what will not be served in time, and idle machines to return."""

    def __init__(self, snapshot: Snapshot, demand: ScalingDemand, settings: OperatorSettings) -> None:
        self._snapshot = snapshot
        self._demand = demand
        self._settings = settings
        self._plan = ScalingPlan()
        self._nodes = [node.copy() for node in snapshot.nodes.values()]
        self._coming = [node for node in self._nodes if not node.up and node.ready]
        # Room that is there anyway comes first, and idle machines at the full price last.
        self._usable = sorted(
            (node for node in self._nodes if node.ready), key=lambda node: (not node.spot, not node.tasks, node.id)
        )
        self._smallest_cpus = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
        self._in_zone: dict[tuple[str, str], int] = {}
        for node in self._nodes:
            key = (node.type.name, node.zone)
            self._in_zone[key] = self._in_zone.get(key, 0) + 1
        self._made = 0
        filled = machines_for(demand.unmet, snapshot.types)
        most_new = max(MAX_NEW, int(NEW_PART * max(len(snapshot.nodes), filled)))
        self._max_new = min(most_new, settings.max_machines - len(snapshot.nodes))

    def plan(self) -> ScalingPlan:
        """Gangs first, which need room side by side; then what waits, and then headroom."""
        for job, count in self._demand.unmet:
            if job.spec.is_gang:
                self._room_for_gang(job.spec, count, 0)
        for spec, count in self._snapshot.expected:
            self._room_for_gang(spec, count, 1)
        for job, count in self._demand.unmet:
            if not job.spec.is_gang:
                self._room_for_waiting(job, count)
        for spec, count in self._demand.headroom:
            self._room_ahead(spec, count)
        for kind in self._snapshot.types.values():
            self._replace_full_price(kind)
        self._return_idle()
        return self._plan

    # -- what is wanted ---------------------------------------------------------

    def _room_for_gang(self, spec: JobSpec, count: int, index: int) -> None:
        """Rents what a gang lacks, in the zone that lacks the least; what it has is taken."""
        there = [node for node in self._usable if node.up] + self._coming
        kinds = self._snapshot.types.values()
        possible = sorted({zone for kind in kinds if fits_type(spec, kind) for zone in kind.zones})
        for _, zone in gangs.shortage(spec, count, there, possible):
            zones = {zone: 1} if spec.one_zone else {}
            # Machines in use come first, so that others run empty and are returned.
            rooms = sorted(there, key=lambda node: (not node.tasks, node.id))
            left = self._take(spec, count, zones, rooms, index)
            left = self._rent_for(spec, left, zones, False, index)
            if not left or not spec.one_zone:
                return

    def _room_for_waiting(self, job: PendingJob, count: int) -> None:
        """Rents for tasks that neither machines on their way nor the present ones will serve soon."""
        zones = dict(job.zones)
        left = self._take(job.spec, count, zones, self._coming, 0)
        if left and not soon_served(job.spec, left, self._snapshot, self._nodes):
            self._rent_for(job.spec, left, zones, not pays_full_price(job, self._snapshot), 0)

    def _room_ahead(self, spec: JobSpec, count: int) -> None:
        """Keeps room for a class whose next jobs could not wait for a boot."""
        urgent = spec.rank >= URGENT_RANK
        rooms = [node for node in self._usable if node.spot or node.tasks or urgent]
        rooms += [node for node in self._coming if node.id.startswith(NEW)]
        if spec.cpus <= self._smallest_cpus and self._large_tasks_run():
            # Others can only run on large machines: this class's usual tasks get small ones instead.
            count += self._on_large_machines(spec.job_class)
            rooms = [node for node in rooms if node.type.cpus <= self._smallest_cpus]
        left = self._take(spec, count, {}, rooms, 1)
        self._rent_for(spec, left, None, True, 1)

    def _large_tasks_run(self) -> bool:
        """Whether some task needs more than the smallest type of machine has."""
        return any(task.cpus > self._smallest_cpus for node in self._snapshot.nodes.values() for task in node.tasks)

    def _on_large_machines(self, job_class: str) -> int:
        """How many tasks of a class are on machines larger than the smallest."""
        large = [node for node in self._snapshot.nodes.values() if node.type.cpus > self._smallest_cpus]
        specs = [task.spec for node in large for task in node.tasks]
        return sum(1 for spec in specs if spec is not None and spec.job_class == job_class)

    def _replace_full_price(self, kind: MachineType) -> None:
        """A spot machine for one at the full price, which then runs empty and is returned."""
        alike = [node for node in self._snapshot.nodes.values() if node.type.name == kind.name]
        replaceable = sum(1 for node in alike if not node.spot and node.tasks and may_move_to_spot(node))
        on_the_way = sum(1 for node in self._coming if node.type.name == kind.name)
        # What runs now stays where it is: a spot machine is of use to tasks that come later.
        roomy = any(node.spot and node.ready and node.cpus >= kind.cpus / 2 for node in alike)
        if not self._demand.active or roomy:
            return
        zones = [zone for zone in kind.zones if (kind.name, zone, True) not in self._demand.refused]
        if replaceable <= on_the_way or not zones or self._made >= self._max_new or kind.spot_price >= kind.price:
            return
        spot = [node.zone for node in self._snapshot.nodes.values() if node.spot]
        self._add((kind.name, min(zones, key=lambda zone: (spot.count(zone), zone)), True))

    def _return_idle(self) -> None:
        """Returns machines that have stood idle for long enough, the dearest first, and late ones nobody waits for."""
        if not self._demand.unmet:
            self._plan.release += [node.id for node in self._nodes if not node.up and not node.ready]
        for node in sorted(self._usable, key=lambda node: (node.spot, -price(node.type, node.spot), node.id)):
            boots = self._settings.keep_idle_boots if node.spot else KEEP_FULL_PRICE_BOOTS
            if node.up and not node.tasks and node.idle_s > boots * node.type.boot_s:
                self._plan.release.append(node.id)

    # -- taking and renting -----------------------------------------------------

    def _take(self, spec: JobSpec, count: int, zones: dict[str, int], nodes: list[MachineView], index: int) -> int:
        """Puts up to `count` tasks into the nodes' room; returns how many are left."""
        for node in nodes:
            while count and self._fits(spec, zones, node):
                node.take(as_running(spec, (spec.id, -index - count), remaining_s=math.inf))
                zones[node.zone] = zones.get(node.zone, 0) + 1
                count -= 1
        return count

    @staticmethod
    def _fits(spec: JobSpec, zones: dict[str, int], node: MachineView) -> bool:
        return (
            allowed(spec, node)
            and zone_allowed(spec, zones, node.zone)
            and node.has_room(spec.cpus, spec.gpus or 0.0, spec.memory_gb)
        )

    def _rent_for(self, spec: JobSpec, count: int, zones: dict[str, int] | None, spot_only: bool, index: int) -> int:
        """Rents machines for so many tasks, which are independent of each other if `zones` is None.

        Returns how many are left.
        """
        while count:
            taken = {} if zones is None else zones
            node = self._rent(spec, taken, spot_only)
            if node is None:
                break
            count = self._take(spec, count, taken, [node], index)
        return count

    def _rent(self, spec: JobSpec, zones: dict[str, int], spot_only: bool) -> MachineView | None:
        if self._made >= self._max_new:
            return None
        offer = self._choose(spec, zones, spot_only or not self._settings.rent_full_price)
        return None if offer is None else self._add(offer)

    def _choose(self, spec: JobSpec, zones: dict[str, int], spot_only: bool) -> InstanceOffer | None:
        """The cheapest offer; among near equals the smallest type, and the zone we use least."""
        best: tuple[tuple[float, int, str], InstanceOffer] | None = None
        for share, offer in offers_for(spec, self._snapshot.types, self._demand.refused):
            name, zone, spot = offer
            if not zone_allowed(spec, zones, zone) or (spot_only and not spot):
                continue
            # Large machines are kept for the tasks that need them.
            large = spec.cpus <= self._smallest_cpus < self._snapshot.types[name].cpus
            weight = LARGE_MACHINE_WEIGHT if large else 1.0
            if offer in self._demand.unreliable:
                weight *= DISTRUSTED_WEIGHT
            order = (round(share * weight, 4), self._in_zone.get((name, zone), 0), zone)
            if best is None or order < best[0]:
                best = order, offer
        return best[1] if best else None

    def _add(self, offer: InstanceOffer) -> MachineView:
        name, zone, spot = offer
        self._made += 1
        self._in_zone[name, zone] = self._in_zone.get((name, zone), 0) + 1
        self._plan.provision[offer] = self._plan.provision.get(offer, 0) + 1
        node = MachineView(f"{NEW}{self._made}", self._snapshot.types[name], zone, spot, True, False)
        node.settle()
        self._coming.append(node)
        return node


def may_move_to_spot(node: MachineView) -> bool:
    """Whether none of a machine's tasks rules out spot machines."""
    return not any(task.spec is not None and not task.spec.spot for task in node.tasks)


def pays_full_price(job: PendingJob, snapshot: Snapshot) -> bool:
    """Whether a machine at the full price is needed now for the job's deadline, and still helps it."""
    spec = job.spec
    if spec.deadline_s is None:
        return True
    ready_s = min(
        (
            kind.boot_s + spec.image_gb / max(kind.fetch_gb_per_s, 1e-3)
            for kind in snapshot.types.values()
            if fits_type(spec, kind)
        ),
        default=0.0,
    )
    spare_s = job.submitted + spec.deadline_s - job.estimate_s - ready_s - snapshot.now
    return -LATE_BOOTS * ready_s < spare_s < EARLY_BOOTS * ready_s


def soon_served(spec: JobSpec, count: int, snapshot: Snapshot, nodes: list[MachineView]) -> bool:
    """Whether the present machines will have room well before a new one could be up.

    What gangs are to have of it is taken already: a job that waited for that room would wait for ever.
    """
    soon = 0
    boot_s = min((kind.boot_s for kind in snapshot.types.values() if fits_type(spec, kind)), default=0.0)
    horizon = WAIT_BOOTS * boot_s
    for node in nodes:
        if not node.ready or not node.up or not allowed(spec, node):
            continue
        cpus, memory_gb = node.cpus, node.memory_gb
        for task in node.tasks:
            if task.remaining_s <= horizon:
                cpus += task.cpus
                memory_gb += task.memory_gb
        if spec.cpus and spec.memory_gb:
            soon += int(min(cpus / spec.cpus, memory_gb / spec.memory_gb))
        if soon >= count:
            return True
    return False
