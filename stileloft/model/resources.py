"""Amounts of processors, accelerators and memory."""

from typing import NamedTuple, Protocol

from stileloft.protocol.messages import JobSpec

EPSILON = 1e-6
"""Tolerance of comparisons, because sums of amounts are not exact."""
UNBOUNDED_SLOTS = 1_000_000
"""Number of tasks for which a resource that the tasks do not request, or hardly request, counts as having room."""


class ResourceAmounts(Protocol):
    """Anything that has an amount of each resource."""

    @property
    def cpus(self) -> float:
        """Number of processors."""

    @property
    def gpus(self) -> float:
        """Number of accelerators."""

    @property
    def memory_gb(self) -> float:
        """Memory in GB."""


class Resources(NamedTuple):
    """An amount of each resource."""

    cpus: float
    gpus: float
    memory_gb: float

    def plus(self, other: ResourceAmounts) -> "Resources":
        """Returns the sum of both amounts."""
        return Resources(self.cpus + other.cpus, self.gpus + other.gpus, self.memory_gb + other.memory_gb)

    def minus(self, other: ResourceAmounts, count: int = 1) -> "Resources":
        """Returns what is left after the other amount is taken `count` times."""
        return Resources(
            self.cpus - count * other.cpus,
            self.gpus - count * other.gpus,
            self.memory_gb - count * other.memory_gb,
        )

    def covers(self, needed: "Resources", tolerance: float = EPSILON) -> bool:
        """Whether each amount is at least the needed one."""
        return (
            needed.cpus <= self.cpus + tolerance
            and needed.gpus <= self.gpus + tolerance
            and needed.memory_gb <= self.memory_gb + tolerance
        )

    def slots(self, spec: JobSpec, unbounded: int = UNBOUNDED_SLOTS) -> int:
        """Returns how many of a job's tasks fit into this amount.

        A resource that the job does not request counts as having room for `unbounded` tasks.
        """
        return max(
            0,
            min(
                whole_quotient(self.cpus + EPSILON, spec.cpus) if spec.cpus else unbounded,
                whole_quotient(self.memory_gb + EPSILON, spec.memory_gb) if spec.memory_gb else unbounded,
                whole_quotient(self.gpus + EPSILON, spec.gpus) if spec.gpus else unbounded,
            ),
        )


def whole_quotient(amount: float, per_task: float) -> int:
    """Returns the whole part of a quotient whose divisor is not 0, within plus and minus `UNBOUNDED_SLOTS`.

    Users may request any positive amount, and the quotient by a tiny one is infinite, which has no integer.
    """
    return int(max(-UNBOUNDED_SLOTS, min(amount / per_task, UNBOUNDED_SLOTS)))


def requested(spec: JobSpec) -> Resources:
    """Returns the resources of one task of a job."""
    return Resources(spec.cpus, spec.gpus or 0.0, spec.memory_gb)
