"""What `GET /rebuild` answers."""

from typing import Any

from msgspec import UNSET, Struct, UnsetType, field


class ReplicaReport(Struct, frozen=True):
    """The replica of the store that this controller has."""

    complete: bool
    revision: int
    records: int
    outcomes: int = field(name="ends")
    """Jobs whose outcomes are known."""


class ProgressReport(Struct, frozen=True):
    """The rebuild that this controller leads."""

    step: str
    running_for_s: float
    missing_members: list[str] = field(name="awaited")
    """Controllers whose replicas have not come."""
    reporting_machines: int = field(name="machines_heard")
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
    unresolved: dict[str, Any] = field(name="undecided")
    """By job: the record of its unresolved tasks."""
    refused_notices: int = field(name="refused_notes")
    """Other controllers' change notices that could not be used."""
    rebuild: ProgressReport | UnsetType = UNSET
