"""Why placements end."""

from enum import StrEnum


class EndReason(StrEnum):
    """Why a task is certainly not on its machine any more; the log tells it."""

    DONE = "done"
    GANG_DONE = "gang done"
    EXITED = "exited"
    """Its worker gave no reason."""
    NOT_STARTED = "not started"
    NOT_NEEDED = "not needed"
    JOB_ENDED = "job ended"
    EPOCH_ENDED = "epoch ended"
    """The worker was restarted, or its lease expired: it has killed its tasks, and refuses starts from before."""
    START_FENCED = "start fenced"
