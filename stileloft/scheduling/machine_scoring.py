"""Scoring of machines with room for a task by image fetch, bin packing and price."""

from collections.abc import Iterable
from dataclasses import dataclass

from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.machine_view import MachineView

URGENT_RANK = 2
"""Lowest rank of urgent jobs."""

FETCH_WEIGHT_URGENT = 1.0
"""Weight of the image fetch time in the cost of a machine for an urgent task; the cost is in seconds."""
FETCH_WEIGHT = 0.3
"""Weight of the image fetch time in the cost of a machine for any other task."""
FRAGMENTATION_PENALTY_S = 5.0
"""Cost of a small task on a large machine, in seconds, for bin packing."""
FRAGMENTATION_PENALTY_START_OBJECTIVE_S = 1.0
"""The same for a class with a start objective."""
FRAGMENTATION_PENALTY_LARGE_SCARCE_S = 30.0
"""The same while tasks that fit only on large machines are waiting."""
ALREADY_FRAGMENTED_FACTOR = 0.3
"""Factor on the fragmentation penalty for a large machine that is already partly filled."""
MISSED_OBJECTIVE_PENALTY_S = 6.0
"""Additional cost of an image fetch that endangers the class's start objective, in seconds."""
FETCH_SHARE_OF_OBJECTIVE = 0.6
"""A fetch that takes more than this fraction of the class's start objective endangers it."""
ON_DEMAND_PENALTY_S = 2.0
"""Cost of on-demand machines in seconds, so that they become idle before spot instances and can be released."""
MIN_FETCH_GB_PER_S = 1e-3
"""Lower bound of the fetch rate, in GB a second, for machine types that state none."""
MAX_FETCH_S = 1e9
"""Upper bound of the time of an image fetch, in seconds, so that sums and products of times stay finite."""


@dataclass(frozen=True, slots=True)
class MachineSizes:
    """Sizes of the machine types, and whether waiting tasks need large machines."""

    smallest_cpus: float
    largest_cpus: float
    large_scarce: bool
    """Whether tasks that do not fit on the smallest machines are waiting."""

    @classmethod
    def of(cls, types: Iterable[MachineType], waiting: Iterable[JobSpec]) -> "MachineSizes":
        """Returns the sizes of the given types, with `large_scarce` set according to the waiting jobs."""
        sizes = [machine_type.cpus for machine_type in types]
        smallest = min(sizes, default=0.0)
        return cls(smallest, max(sizes, default=0.0), any(spec.cpus > smallest for spec in waiting))


def exclusive_fetch_s(spec: JobSpec, machine_type: MachineType) -> float:
    """Returns the seconds that a machine of this type takes to fetch the task's image, without other fetches."""
    return min(MAX_FETCH_S, spec.image_gb / max(machine_type.fetch_gb_per_s, MIN_FETCH_GB_PER_S))


def image_fetch_s(spec: JobSpec, machine: MachineView) -> float:
    """Returns the expected seconds until the machine has the task's image."""
    if spec.image in machine.images:
        return 0.0
    fetch_s = exclusive_fetch_s(spec, machine.type)
    if spec.image in machine.fetching:
        return fetch_s  # the fetch is under way, but may share the rate with other fetches
    return fetch_s * (1 + len(machine.fetching))  # concurrent fetches share the rate


def placement_cost(
    spec: JobSpec, machine: MachineView, sizes: MachineSizes, start_objective_s: float | None = None
) -> float:
    """Returns the cost in seconds of placing a task on a machine where it fits; lower is better."""
    fetch_s = image_fetch_s(spec, machine)
    # A gang with a start objective counts as urgent, because all its tasks wait for the last image fetch.
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
    """Returns the cost in seconds of a small task on a large machine.

    This cost steers small tasks to small machines first, and then to large machines that are already partly filled.
    """
    if start_objective_s is not None:
        weight = FRAGMENTATION_PENALTY_START_OBJECTIVE_S
    elif sizes.large_scarce:
        weight = FRAGMENTATION_PENALTY_LARGE_SCARCE_S
    else:
        weight = FRAGMENTATION_PENALTY_S
    return weight * (1.0 if machine.free_cpus >= sizes.largest_cpus / 2 else ALREADY_FRAGMENTED_FACTOR)
