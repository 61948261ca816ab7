"""Reasons for draining machines."""

from enum import StrEnum


class DrainReason(StrEnum):
    """Why no more tasks are started on a machine; operators see the value in the status."""

    RECLAIMED = "taken away"
    """The cloud has announced that it will reclaim the spot instance."""
    SLOW = "it is slow"
    FAULTY = "it fails tasks"
