"""Where the tasks of jobs are placed."""

from dataclasses import dataclass
from enum import Enum, auto

TaskKey = tuple[str, int]
"""A job's identifier and the number of one of its tasks."""


class PlacementState(Enum):
    """How far a placement is committed."""

    PLANNED = auto()
    """Decided, and not yet stored."""
    BOUND = auto()
    """Stored: the task may be started, and may run."""
    ENDED = auto()
    """The task is certainly not on the machine any more; the store may still hold the placement."""


@dataclass(slots=True)
class Placement:
    """A task on a machine, from the plan until the store no longer holds it."""

    job: str
    index: int
    """The number of the task in its job."""
    attempt: int
    machine: str
    zone: str
    spot: bool
    state: PlacementState = PlacementState.BOUND
    reported_state: str | None = None
    """The task's state in the machine's newest trusted heartbeat."""
    sent_epoch: int | None = None
    """The epoch of the worker to which we last sent its start; None if we never did."""
    running_since: float | None = None
    """When this leader first saw it run."""
    placed_by_this_leader: bool = False
    """This leader placed it, and so saw its beginning; of others it is not known for how long they had run."""
    done: bool = False
    """With ENDED: the task completed, rather than having to run again."""
    stop_grace_s: float | None = None
    """Not None: it is to be stopped, with this much time to save its checkpoint."""
    stop_sent_at: float = 0.0
    """When we last sent its stop."""
    preemption_exempt: bool = False
    """It was placed before tasks of higher priority because of its job's age: they do not preempt it."""

    @property
    def key(self) -> TaskKey:
        """The task, by which nominations and a machine's placements are found."""
        return self.job, self.index

    @property
    def task(self) -> str:
        """The task's name on the wire."""
        return f"{self.job}/{self.index}"
