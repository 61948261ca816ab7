"""Placements of tasks on machines."""

from dataclasses import dataclass
from enum import Enum, auto

TaskKey = tuple[str, int]
"""A job's id and the number of one of its tasks."""


class PlacementState(Enum):
    """How far a placement is committed."""

    PLANNED = auto()
    """Decided, but not yet stored."""
    BOUND = auto()
    """Stored: the task may be started, and may run."""
    ENDED = auto()
    """The task is certainly off the machine; the store may still hold the placement."""


@dataclass(slots=True)
class Placement:
    """A task on a machine, from the decision until the store no longer holds the placement."""

    job: str
    index: int
    """Number of the task in its job."""
    attempt: int
    machine: str
    zone: str
    spot: bool
    state: PlacementState = PlacementState.BOUND
    reported_state: str | None = None
    """The task's state in the machine's newest trusted heartbeat."""
    sent_epoch: int | None = None
    """Epoch of the worker to which this leader last sent the start; None if it has sent none."""
    running_since: float | None = None
    """When this leader first saw the task run; None before."""
    placed_by_this_leader: bool = False
    """Whether this leader placed the task; if not, it is unknown how long the task had run before `running_since`."""
    done: bool = False
    """For ENDED: whether the task completed, rather than having to run again."""
    stop_grace_s: float | None = None
    """Time for saving a checkpoint when the task is stopped, in seconds; None if it is not being stopped."""
    stop_sent_at: float = 0.0
    """When this leader last sent the stop."""
    preemption_exempt: bool = False
    """Because of its job's age the task was placed before tasks of higher priority, which do not preempt it."""

    @property
    def key(self) -> TaskKey:
        """The key of the task in nominations and in a machine's placements."""
        return self.job, self.index

    @property
    def task(self) -> str:
        """The task's name on the wire."""
        return f"{self.job}/{self.index}"
