"""Which machines to rent and which to return."""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from stileloft.model.machines import fits_type
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling import gangs
from stileloft.scheduling.placement import running_task
from stileloft.scheduling.snapshot import MachineView, PendingJob, Snapshot, allowed, zone_allowed

InstanceOffer = tuple[str, str, bool]
"""Machine type, zone, spot."""

# Idle machines at the full price are kept for this multiple of their boot time.
KEEP_IDLE_ON_DEMAND_BOOTS = 0.3
# Waiting that the present machines will end within this part of a boot does not pay a rental.
WORTHWHILE_WAIT_BOOTS = 0.4
# Machines rented by one plan: at least so many, or this part of the fleet or of what the waiting tasks would
# fill. An empty fleet would else take half a minute to grow to some hundreds.
MIN_PROVISION_LIMIT = 8
PROVISION_SHARE = 0.25
PROVISIONED_PREFIX = "new-"
# Machines at the full price are rented for a deadline when this many boots are left to it, and
# for one that is this many boots out of reach, since estimates are often wrong.
EARLY_BOOTS = 0.5
LATE_BOOTS = 1.0
# The price of a large machine's share counts so much more for tasks that fit on a small one.
LARGE_MACHINE_WEIGHT = 1.3
# The same for an offer whose machines keep coming late: another zone is tried first, but not at any price.
UNRELIABLE_WEIGHT = 2.0
# Classes from this priority on may count on idle machines at the full price.
URGENT_RANK = 2


@dataclass(slots=True)
class ScalingPlan:
    provision: dict[InstanceOffer, int] = field(default_factory=dict)
    release: list[str] = field(default_factory=list)


def price(kind: MachineType, spot: bool) -> float:
    return kind.spot_price if spot else kind.price


def offers_for(
    spec: JobSpec, types: dict[str, MachineType], without_capacity: Collection[InstanceOffer]
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
                if (kind.name, zone, spot) not in without_capacity:
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
    without_capacity: frozenset[InstanceOffer] = frozenset()
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
        self._machines = [machine.copy() for machine in snapshot.machines.values()]
        self._coming = [machine for machine in self._machines if not machine.up and machine.ready]
        # Room that is there anyway comes first, and idle machines at the full price last.
        self._usable = sorted(
            (machine for machine in self._machines if machine.ready),
            key=lambda machine: (not machine.spot, not machine.tasks, machine.id),
        )
        self._smallest_cpus = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
        self._count_by_type_and_zone: dict[tuple[str, str], int] = {}
        for machine in self._machines:
            key = (machine.type.name, machine.zone)
            self._count_by_type_and_zone[key] = self._count_by_type_and_zone.get(key, 0) + 1
        self._provisioned = 0
        filled = machines_for(demand.unmet, snapshot.types)
        most_new = max(MIN_PROVISION_LIMIT, int(PROVISION_SHARE * max(len(snapshot.machines), filled)))
        self._max_new = min(most_new, settings.max_machines - len(snapshot.machines))

    def plan(self) -> ScalingPlan:
        """Gangs first, which need room side by side; then what waits, and then headroom."""
        for job, count in self._demand.unmet:
            if job.spec.is_gang:
                self._provide_gang_room(job.spec, count, 0)
        for spec, count in self._snapshot.expected:
            self._provide_gang_room(spec, count, 1)
        for job, count in self._demand.unmet:
            if not job.spec.is_gang:
                self._provide_waiting_room(job, count)
        for spec, count in self._demand.headroom:
            self._provide_headroom(spec, count)
        for kind in self._snapshot.types.values():
            self._replace_on_demand(kind)
        self._release_idle()
        return self._plan

    # -- what is wanted ---------------------------------------------------------

    def _provide_gang_room(self, spec: JobSpec, count: int, index: int) -> None:
        """Rents what a gang lacks, in the zone that lacks the least; what it has is taken."""
        there = [machine for machine in self._usable if machine.up] + self._coming
        kinds = self._snapshot.types.values()
        possible = sorted({zone for kind in kinds if fits_type(spec, kind) for zone in kind.zones})
        for _, zone in gangs.shortage_by_zone(spec, count, there, possible):
            zones = {zone: 1} if spec.one_zone else {}
            # Machines in use come first, so that others run empty and are returned.
            rooms = sorted(there, key=lambda machine: (not machine.tasks, machine.id))
            left = self._fill(spec, count, zones, rooms, index)
            left = self._provision_for(spec, left, zones, False, index)
            if not left or not spec.one_zone:
                return

    def _provide_waiting_room(self, job: PendingJob, count: int) -> None:
        """Rents for tasks that neither machines on their way nor the present ones will serve soon."""
        zones = dict(job.zones)
        left = self._fill(job.spec, count, zones, self._coming, 0)
        if left and not served_soon(job.spec, left, self._snapshot, self._machines):
            self._provision_for(job.spec, left, zones, not needs_on_demand(job, self._snapshot), 0)

    def _provide_headroom(self, spec: JobSpec, count: int) -> None:
        """Keeps room for a class whose next jobs could not wait for a boot."""
        urgent = spec.rank >= URGENT_RANK
        rooms = [machine for machine in self._usable if machine.spot or machine.tasks or urgent]
        rooms += [machine for machine in self._coming if machine.id.startswith(PROVISIONED_PREFIX)]
        if spec.cpus <= self._smallest_cpus and self._large_tasks_run():
            # Others can only run on large machines: this class's usual tasks get small ones instead.
            count += self._on_large_machines(spec.job_class)
            rooms = [machine for machine in rooms if machine.type.cpus <= self._smallest_cpus]
        left = self._fill(spec, count, {}, rooms, 1)
        self._provision_for(spec, left, None, True, 1)

    def _large_tasks_run(self) -> bool:
        """Whether some task needs more than the smallest type of machine has."""
        return any(
            task.cpus > self._smallest_cpus for machine in self._snapshot.machines.values() for task in machine.tasks
        )

    def _on_large_machines(self, job_class: str) -> int:
        """How many tasks of a class are on machines larger than the smallest."""
        large = [machine for machine in self._snapshot.machines.values() if machine.type.cpus > self._smallest_cpus]
        specs = [task.spec for machine in large for task in machine.tasks]
        return sum(1 for spec in specs if spec is not None and spec.job_class == job_class)

    def _replace_on_demand(self, kind: MachineType) -> None:
        """A spot machine for one at the full price, which then runs empty and is returned."""
        alike = [machine for machine in self._snapshot.machines.values() if machine.type.name == kind.name]
        replaceable = sum(
            1 for machine in alike if not machine.spot and machine.tasks and all_tasks_allow_spot(machine)
        )
        on_the_way = sum(1 for machine in self._coming if machine.type.name == kind.name)
        # What runs now stays where it is: a spot machine is of use to tasks that come later.
        roomy = any(machine.spot and machine.ready and machine.free_cpus >= kind.cpus / 2 for machine in alike)
        if not self._demand.active or roomy:
            return
        zones = [zone for zone in kind.zones if (kind.name, zone, True) not in self._demand.without_capacity]
        if (
            replaceable <= on_the_way
            or not zones
            or self._provisioned >= self._max_new
            or kind.spot_price >= kind.price
        ):
            return
        spot = [machine.zone for machine in self._snapshot.machines.values() if machine.spot]
        self._add_machine((kind.name, min(zones, key=lambda zone: (spot.count(zone), zone)), True))

    def _release_idle(self) -> None:
        """Returns machines that have stood idle for long enough, the dearest first, and late ones nobody waits for."""
        if not self._demand.unmet:
            self._plan.release += [machine.id for machine in self._machines if not machine.up and not machine.ready]
        for machine in sorted(
            self._usable, key=lambda machine: (machine.spot, -price(machine.type, machine.spot), machine.id)
        ):
            boots = self._settings.keep_idle_boots if machine.spot else KEEP_IDLE_ON_DEMAND_BOOTS
            if machine.up and not machine.tasks and machine.idle_s > boots * machine.type.boot_s:
                self._plan.release.append(machine.id)

    # -- taking and renting -----------------------------------------------------

    def _fill(self, spec: JobSpec, count: int, zones: dict[str, int], machines: list[MachineView], index: int) -> int:
        """Puts up to `count` tasks into the machines' room; returns how many are left."""
        for machine in machines:
            while count and self._fits(spec, zones, machine):
                machine.add_task(running_task(spec, (spec.id, -index - count), remaining_s=math.inf))
                zones[machine.zone] = zones.get(machine.zone, 0) + 1
                count -= 1
        return count

    @staticmethod
    def _fits(spec: JobSpec, zones: dict[str, int], machine: MachineView) -> bool:
        return (
            allowed(spec, machine)
            and zone_allowed(spec, zones, machine.zone)
            and machine.has_room(spec.cpus, spec.gpus or 0.0, spec.memory_gb)
        )

    def _provision_for(
        self, spec: JobSpec, count: int, zones: dict[str, int] | None, spot_only: bool, index: int
    ) -> int:
        """Rents machines for so many tasks, which are independent of each other if `zones` is None.

        Returns how many are left.
        """
        while count:
            taken = {} if zones is None else zones
            machine = self._provision_one(spec, taken, spot_only)
            if machine is None:
                break
            count = self._fill(spec, count, taken, [machine], index)
        return count

    def _provision_one(self, spec: JobSpec, zones: dict[str, int], spot_only: bool) -> MachineView | None:
        if self._provisioned >= self._max_new:
            return None
        offer = self._choose(spec, zones, spot_only or not self._settings.rent_full_price)
        return None if offer is None else self._add_machine(offer)

    def _choose(self, spec: JobSpec, zones: dict[str, int], spot_only: bool) -> InstanceOffer | None:
        """The cheapest offer; among near equals the smallest type, and the zone we use least."""
        best: tuple[tuple[float, int, str], InstanceOffer] | None = None
        for share, offer in offers_for(spec, self._snapshot.types, self._demand.without_capacity):
            name, zone, spot = offer
            if not zone_allowed(spec, zones, zone) or (spot_only and not spot):
                continue
            # Large machines are kept for the tasks that need them.
            large = spec.cpus <= self._smallest_cpus < self._snapshot.types[name].cpus
            weight = LARGE_MACHINE_WEIGHT if large else 1.0
            if offer in self._demand.unreliable:
                weight *= UNRELIABLE_WEIGHT
            order = (round(share * weight, 4), self._count_by_type_and_zone.get((name, zone), 0), zone)
            if best is None or order < best[0]:
                best = order, offer
        return best[1] if best else None

    def _add_machine(self, offer: InstanceOffer) -> MachineView:
        name, zone, spot = offer
        self._provisioned += 1
        self._count_by_type_and_zone[name, zone] = self._count_by_type_and_zone.get((name, zone), 0) + 1
        self._plan.provision[offer] = self._plan.provision.get(offer, 0) + 1
        machine = MachineView(
            f"{PROVISIONED_PREFIX}{self._provisioned}", self._snapshot.types[name], zone, spot, True, False
        )
        machine.recompute_free()
        self._coming.append(machine)
        return machine


def all_tasks_allow_spot(machine: MachineView) -> bool:
    """Whether none of a machine's tasks rules out spot machines."""
    return not any(task.spec is not None and not task.spec.spot for task in machine.tasks)


def needs_on_demand(job: PendingJob, snapshot: Snapshot) -> bool:
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


def served_soon(spec: JobSpec, count: int, snapshot: Snapshot, machines: list[MachineView]) -> bool:
    """Whether the present machines will have room well before a new one could be up.

    What gangs are to have of it is taken already: a job that waited for that room would wait for ever.
    """
    soon = 0
    boot_s = min((kind.boot_s for kind in snapshot.types.values() if fits_type(spec, kind)), default=0.0)
    horizon = WORTHWHILE_WAIT_BOOTS * boot_s
    for machine in machines:
        if not machine.ready or not machine.up or not allowed(spec, machine):
            continue
        cpus, memory_gb = machine.free_cpus, machine.free_memory_gb
        for task in machine.tasks:
            if task.remaining_s <= horizon:
                cpus += task.cpus
                memory_gb += task.memory_gb
        if spec.cpus and spec.memory_gb:
            soon += int(min(cpus / spec.cpus, memory_gb / spec.memory_gb))
        if soon >= count:
            return True
    return False
