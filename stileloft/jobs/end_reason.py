"""Reasons for the end of a placement."""

from enum import StrEnum


class EndReason(StrEnum):
    """Why a task is no longer on its machine; written to the log."""

    DONE = "done"
    GANG_DONE = "gang done"
    EXITED = "exited"
    """The task exited, and its worker gave no reason."""
    NOT_STARTED = "not started"
    NOT_NEEDED = "not needed"
    JOB_ENDED = "job ended"
    EPOCH_ENDED = "epoch ended"
    """The worker was restarted, or its lease expired: it killed its tasks, and refuses starts of that epoch."""
    START_FENCED = "start fenced"
