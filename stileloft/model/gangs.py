"""Gang scheduling: all tasks of such a job run at the same time, or none does.

What becomes of a gang follows from the placements that are stored. Its tasks get one attempt number and are started
once all of them are placed; when one of them is lost, the rest is stopped, and the whole comes again under a higher
number after every old task is surely off its machine. So a new leader never has to guess whether a part was started.
"""

import enum

from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState


class Stage(enum.Enum):
    """How far a gang is."""

    WAITING = "waiting"
    """Nothing of it is placed."""
    BINDING = "binding"
    """All of it is placed, but not all of that is stored."""
    WHOLE = "whole"
    """All of it is placed in the store under one attempt: its tasks may be started."""
    BROKEN = "broken"
    """Some of it is missing: what is left has to go."""
    COMPLETED = "completed"
    """One of its tasks is done, and so all are."""


def stage(job: Job) -> Stage:
    """How far a gang is, by its placements."""
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
    """Whether one task of the gang is done, and so all are."""
    return stage(job) is Stage.COMPLETED


def may_start(job: Job) -> bool:
    """Whether a task of the job may be started: one of a gang only with all the others."""
    return not job.spec.is_gang or stage(job) is Stage.WHOLE


def remaining_placements(job: Job) -> list[Placement]:
    """What is still placed of a gang that has lost a task."""
    return [p for p in job.placements() if p.state != PlacementState.ENDED] if stage(job) is Stage.BROKEN else []


def next_attempt(job: Job) -> int:
    """Members find each other by a common attempt, which is above all that any had."""
    planned = next((p.attempt for p in job.placements() if p.state == PlacementState.PLANNED), None)
    return planned or 1 + max((chunk.attempt for chunk in job.chunks.values()), default=0)
