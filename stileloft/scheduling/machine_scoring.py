"""Scoring of machines that have room for a task: image fetch, bin packing, price."""

from collections.abc import Iterable
from dataclasses import dataclass

from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.machine_view import MachineView

URGENT_RANK = 2
"""From this priority on a class is urgent."""

# Weight of a second of image fetch in the cost of a machine, which is in seconds.
FETCH_WEIGHT_URGENT = 1.0
FETCH_WEIGHT = 0.3
# Bin packing: cost of a small task on a large machine; less for a class with an objective on starting, and more while
# tasks wait that only large machines can take.
FRAGMENTATION_PENALTY_S = 5.0
FRAGMENTATION_PENALTY_START_OBJECTIVE_S = 1.0
FRAGMENTATION_PENALTY_LARGE_SCARCE_S = 30.0
# The share of that cost on a large machine that small tasks use already.
ALREADY_FRAGMENTED_FACTOR = 0.3
# Cost of a fetch that takes more than this share of the class's objective on starting.
MISSED_OBJECTIVE_PENALTY_S = 6.0
FETCH_SHARE_OF_OBJECTIVE = 0.6
# Cost of on-demand machines: they are to run empty first, so that they can be released.
ON_DEMAND_PENALTY_S = 2.0
# For types that state no rate.
MIN_FETCH_GB_PER_S = 1e-3


@dataclass(frozen=True, slots=True)
class MachineSizes:
    """The range of machine types, and whether the large ones are sought after."""

    smallest_cpus: float
    largest_cpus: float
    large_scarce: bool
    """Tasks wait that only large machines can take."""

    @classmethod
    def of(cls, types: Iterable[MachineType], waiting: Iterable[JobSpec]) -> "MachineSizes":
        """The sizes of all types, for the jobs that wait."""
        sizes = [machine_type.cpus for machine_type in types]
        smallest = min(sizes, default=0.0)
        return cls(smallest, max(sizes, default=0.0), any(spec.cpus > smallest for spec in waiting))


def image_fetch_s(spec: JobSpec, machine: MachineView) -> float:
    """Seconds until the machine is likely to have the task's image."""
    if spec.image in machine.images:
        return 0.0
    alone_s = spec.image_gb / max(machine.type.fetch_gb_per_s, MIN_FETCH_GB_PER_S)
    if spec.image in machine.fetching:
        return alone_s  # it was begun some time ago, but may share the rate
    return alone_s * (1 + len(machine.fetching))  # fetches share the rate


def placement_cost(
    spec: JobSpec, machine: MachineView, sizes: MachineSizes, start_objective_s: float | None = None
) -> float:
    """How bad a machine is for a task that fits there; lower is better."""
    fetch_s = image_fetch_s(spec, machine)
    # All tasks of a gang wait for the last image.
    urgent = spec.rank >= URGENT_RANK or (spec.is_gang and start_objective_s is not None)
    cost = (FETCH_WEIGHT_URGENT if urgent else FETCH_WEIGHT) * fetch_s
    if start_objective_s is not None and fetch_s > FETCH_SHARE_OF_OBJECTIVE * start_objective_s:
        cost += MISSED_OBJECTIVE_PENALTY_S
    cost += (0.0 if machine.spot else ON_DEMAND_PENALTY_S) + (machine.free_cpus - spec.cpus) / max(
        machine.type.cpus, 1.0
    )
    if spec.cpus <= sizes.smallest_cpus < machine.type.cpus:
        cost += _fragmentation_cost(machine, sizes, start_objective_s)
    return cost


def _fragmentation_cost(machine: MachineView, sizes: MachineSizes, start_objective_s: float | None) -> float:
    """Small tasks leave large machines whole while others have room, and first fill those with small tasks on them."""
    if start_objective_s is not None:
        weight = FRAGMENTATION_PENALTY_START_OBJECTIVE_S
    elif sizes.large_scarce:
        weight = FRAGMENTATION_PENALTY_LARGE_SCARCE_S
    else:
        weight = FRAGMENTATION_PENALTY_S
    return weight * (1.0 if machine.free_cpus >= sizes.largest_cpus / 2 else ALREADY_FRAGMENTED_FACTOR)
