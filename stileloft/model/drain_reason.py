"""Why machines are drained."""

from enum import StrEnum


class DrainReason(StrEnum):
    """Why nothing more is started on a machine; shown to operators."""

    RECLAIMED = "taken away"
    """The cloud has announced that it takes the spot instance away."""
    SLOW = "it is slow"
    FAULTY = "it fails tasks"
