"""What `GET /rebuild` answers."""

from typing import Any

from msgspec import UNSET, Struct, UnsetType


class ReplicaReport(Struct, frozen=True):
    """The replica of the store that this controller has."""

    complete: bool
    revision: int
    records: int
    ends: int
    """Jobs whose outcomes are known."""


class ProgressReport(Struct, frozen=True):
    """The rebuild that this controller leads."""

    step: str
    running_for_s: float
    awaited: list[str]
    """Controllers whose replicas have not come."""
    machines_heard: int
    written: int
    """Records written so far."""
    to_write: int
    """Records to be written in all."""
    transactions: int


class RebuildReport(Struct, frozen=True):
    """What is known of the store, and of a rebuild."""

    phase: str
    reason: str
    """Why the store counts as lost."""
    lost_for_s: float | None
    generation: int
    replica: ReplicaReport
    undecided: dict[str, Any]
    """By job: the record of its unresolved tasks."""
    refused_notes: int
    """Other controllers' change notices that could not be used."""
    rebuild: ProgressReport | UnsetType = UNSET
