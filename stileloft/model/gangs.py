"""Gang scheduling: all tasks of a gang job run at the same time, or none does.

The state of a gang follows from its stored placements. Its tasks share one attempt number, and are started once all of
them are placed. When one task is lost, the others are stopped; once every old task is certainly off its machine, the
whole gang is placed again under a higher attempt number. So a new leader never has to guess whether some of the tasks
were started.
"""

import enum

from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState


class Stage(enum.Enum):
    """The state of a gang."""

    WAITING = "waiting"
    """None of its tasks is placed."""
    BINDING = "binding"
    """All its tasks are placed, but not all placements are stored."""
    WHOLE = "whole"
    """All its placements are stored, under one attempt number: its tasks may be started."""
    BROKEN = "broken"
    """Some of its tasks are missing: the others have to be stopped."""
    COMPLETED = "completed"
    """One of its tasks is done, which completes all of them."""


def stage(job: Job) -> Stage:
    """Returns the state of a gang, by its placements."""
    placements = list(job.placements())
    if job.done or any(p.done for p in placements):
        return Stage.COMPLETED
    if not placements:
        return Stage.WAITING
    if (
        len(placements) < job.spec.tasks
        or any(p.state == PlacementState.ENDED for p in placements)
        or len({p.attempt for p in placements}) > 1
    ):
        return Stage.BROKEN
    return Stage.BINDING if any(p.state == PlacementState.PLANNED for p in placements) else Stage.WHOLE


def is_completed(job: Job) -> bool:
    """Whether one task of the gang is done, which completes all of them."""
    return stage(job) is Stage.COMPLETED


def may_start(job: Job) -> bool:
    """Whether tasks of the job may be started; those of a gang only once all their placements are stored."""
    return not job.spec.is_gang or stage(job) is Stage.WHOLE


def remaining_placements(job: Job) -> list[Placement]:
    """Returns the placements that remain of a gang that has lost a task; none for any other job."""
    return [p for p in job.placements() if p.state != PlacementState.ENDED] if stage(job) is Stage.BROKEN else []


def next_attempt(job: Job) -> int:
    """Returns the attempt number for the next placement of a gang's task.

    The tasks of a gang find each other by their common attempt number, which is higher than all earlier ones.
    """
    planned = next((p.attempt for p in job.placements() if p.state == PlacementState.PLANNED), None)
    return planned or 1 + max((chunk.attempt for chunk in job.chunks.values()), default=0)
