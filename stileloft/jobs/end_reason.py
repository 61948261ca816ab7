"""Why placements end."""

from enum import StrEnum


class EndReason(StrEnum):
    """Why a task is certainly not on its machine any more; the log tells it."""

    DONE = "done"
    GANG_DONE = "done, as one of its gang is"
    EXITED = "exited"
    """Its worker gave no reason."""
    NOT_STARTED = "it was not started"
    NOT_NEEDED = "it was not needed there"
    JOB_ENDED = "its job has ended"
    EPOCH_OVER = "its epoch is over"
    """The worker was restarted, or its lease expired: it has killed its tasks, and refuses starts from before."""
    START_FENCED = "its start was fenced"
