"""Which machines to rent and which to return."""

import math
from dataclasses import dataclass, field

from stileloft.bookkeeping.model import fits_type
from stileloft.coordination import gangs
from stileloft.coordination.placement import as_running
from stileloft.coordination.snapshot import Node, Snapshot, Waiting, allowed, zone_allowed
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType

Offer = tuple[str, str, bool]
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


@dataclass(slots=True)
class Plan:
    rent: dict[Offer, int] = field(default_factory=dict)
    give_back: list[str] = field(default_factory=list)


def price(kind: MachineType, spot: bool) -> float:
    return kind.spot_price if spot else kind.price


def offers_for(spec: JobSpec, types: dict[str, MachineType], refused: set[Offer]) -> list[tuple[float, Offer]]:
    """What could be rented for a task of this job, with the price of its share of the machine."""
    found: list[tuple[float, Offer]] = []
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


def choose(
    spec: JobSpec,
    snapshot: Snapshot,
    refused: set[Offer],
    in_zone: dict[tuple[str, str], int],
    zones: dict[str, int],
    spot_only: bool = False,
) -> Offer | None:
    """The cheapest offer; among near equals the smallest type, and the zone we use least."""
    smallest = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
    best: tuple[tuple[float, int, str], Offer] | None = None
    for share, offer in offers_for(spec, snapshot.types, refused):
        name, zone, _ = offer
        if not zone_allowed(spec, zones, zone) or (spot_only and not offer[2]):
            continue
        # Large machines are kept for the tasks that need them.
        weight = 1.3 if spec.cpus <= smallest < snapshot.types[name].cpus else 1.0
        used = in_zone.get((name, zone), 0)
        order = (round(share * weight, 4), used, zone)
        if best is None or order < best[0]:
            best = order, offer
    return best[1] if best else None


def machines_for(unmet: list[tuple[Waiting, int]], types: dict[str, MachineType]) -> float:
    """Roughly how many machines the tasks would fill, each on the smallest type that they fit on."""
    total = 0.0
    for job, count in unmet:
        sizes = [kind.cpus for kind in types.values() if fits_type(job.spec, kind)]
        if sizes:
            total += count * job.spec.cpus / max(min(sizes), 1.0)
    return total


def plan(
    snapshot: Snapshot,
    unmet: list[tuple[Waiting, int]],
    refused: set[Offer],
    headroom: list[tuple[JobSpec, int]],
    busy: bool,
    settings: OperatorSettings,
) -> Plan:
    """Rentals for what will not be served in time, and idle machines to return.

    `headroom` names tasks that should find room at once if they came now (none, for a class that
    can wait); `busy` tells
    whether jobs are still coming.
    """
    result = Plan()
    most_new = max(MAX_NEW, int(NEW_PART * max(len(snapshot.nodes), machines_for(unmet, snapshot.types))))
    max_new = min(most_new, settings.max_machines - len(snapshot.nodes))
    copies = [node.copy() for node in snapshot.nodes.values()]
    coming = [node for node in copies if not node.up and node.ready]
    in_zone: dict[tuple[str, str], int] = {}
    for node in copies:
        key = (node.type.name, node.zone)
        in_zone[key] = in_zone.get(key, 0) + 1
    made = 0

    def rent(spec: JobSpec, zones: dict[str, int], spot_only: bool) -> Node | None:
        if made >= max_new:
            return None
        offer = choose(spec, snapshot, refused, in_zone, zones, spot_only or not settings.rent_full_price)
        return None if offer is None else add(offer)

    def replace(kind: MachineType) -> None:
        """A spot machine for one at the full price, which then runs empty and is returned."""
        alike = [node for node in snapshot.nodes.values() if node.type.name == kind.name]
        # Those with tasks that may use no spot machine stay.
        full_price = sum(
            1
            for node in alike
            if not node.spot
            and node.tasks
            and not any(task.spec is not None and not task.spec.spot for task in node.tasks)
        )
        on_the_way = sum(1 for node in coming if node.type.name == kind.name)
        # What runs now stays where it is: a spot machine is of use to tasks that come later.
        roomy = any(node.spot and node.ready and node.cpus >= kind.cpus / 2 for node in alike)
        if not busy or roomy:
            return
        zones = [zone for zone in kind.zones if (kind.name, zone, True) not in refused]
        if full_price > on_the_way and zones and made < max_new and kind.spot_price < kind.price:
            counts = {
                zone: sum(1 for node in snapshot.nodes.values() if node.zone == zone and node.spot) for zone in zones
            }
            add((kind.name, min(zones, key=lambda zone: (counts[zone], zone)), True))

    def add(offer: Offer) -> Node:
        nonlocal made
        name, zone, spot = offer
        made += 1
        in_zone[name, zone] = in_zone.get((name, zone), 0) + 1
        result.rent[offer] = result.rent.get(offer, 0) + 1
        node = Node(f"{NEW}{made}", snapshot.types[name], zone, spot, True, False)
        node.settle()
        coming.append(node)
        return node

    def take(spec: JobSpec, count: int, zones: dict[str, int], nodes: list[Node], index: int) -> int:
        """Puts up to `count` tasks into the nodes' room; returns how many are left."""
        for node in nodes:
            while (
                count
                and allowed(spec, node)
                and zone_allowed(spec, zones, node.zone)
                and node.has_room(spec.cpus, spec.gpus or 0.0, spec.memory_gb)
            ):
                node.take(as_running(spec, (spec.id, -index - count), remaining_s=math.inf))
                zones[node.zone] = zones.get(node.zone, 0) + 1
                count -= 1
        return count

    def room_for_gang(spec: JobSpec, count: int, index: int) -> None:
        """Rents what a gang lacks, in the zone that lacks the least; what it has is taken."""
        there = [node for node in usable if node.up] + coming
        kinds = {zone for kind in snapshot.types.values() if fits_type(spec, kind) for zone in kind.zones}
        for _, zone in gangs.shortage(spec, count, there, sorted(kinds)):
            zones = {zone: 1} if spec.one_zone else {}
            # Machines in use come first, so that others run empty and are returned.
            rooms = sorted(there, key=lambda node: (not node.tasks, node.id))
            left = take(spec, count, zones, rooms, index)
            while left:
                new = rent(spec, zones, False)
                if new is None:
                    break
                left = take(spec, left, zones, [new], index)
            if not left or not spec.one_zone:
                return

    usable = [node for node in copies if node.ready]
    # Room that is there anyway comes first, and idle machines at the full price last.
    usable.sort(key=lambda node: (not node.spot, not node.tasks, node.id))
    for job, count in unmet:
        if job.spec.is_gang:
            room_for_gang(job.spec, count, 0)
    for spec, count in snapshot.expected:
        room_for_gang(spec, count, 1)
    for job, count in unmet:
        spec = job.spec
        if spec.is_gang:
            continue
        zones = dict(job.zones)
        left = take(spec, count, zones, coming, 0)
        if left and soon_served(spec, left, snapshot, copies):
            continue
        while left:
            new = rent(spec, zones, not pays_full_price(job, snapshot))
            if new is None:
                break
            left = take(spec, left, zones, [new], 0)
    smallest = min((kind.cpus for kind in snapshot.types.values()), default=0.0)
    large_tasks = any(task.cpus > smallest for node in snapshot.nodes.values() for task in node.tasks)
    for spec, count in headroom:
        urgent = spec.rank >= 2
        rooms = [node for node in usable if node.spot or node.tasks or urgent]
        rooms += [node for node in coming if node.id.startswith(NEW)]
        if large_tasks and spec.cpus <= smallest:
            # Others can only run on large machines: this class's usual tasks get small ones instead.
            count += sum(
                1
                for node in snapshot.nodes.values()
                if node.type.cpus > smallest
                for task in node.tasks
                if task.spec is not None and task.spec.job_class == spec.job_class
            )
            rooms = [node for node in rooms if node.type.cpus <= smallest]
        left = take(spec, count, {}, rooms, 1)
        while left:
            new = rent(spec, {}, True)
            if new is None:
                break
            left = take(spec, left, {}, [new], 1)
    for kind in snapshot.types.values():
        replace(kind)
    for node in sorted(usable, key=lambda node: (node.spot, -price(node.type, node.spot), node.id)):
        boots = settings.keep_idle_boots if node.spot else KEEP_FULL_PRICE_BOOTS
        if node.up and not node.tasks and node.idle_s > boots * node.type.boot_s:
            result.give_back.append(node.id)
    return result


def pays_full_price(job: Waiting, snapshot: Snapshot) -> bool:
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


def soon_served(spec: JobSpec, count: int, snapshot: Snapshot, nodes: list[Node]) -> bool:
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
