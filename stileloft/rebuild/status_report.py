"""The response of `GET /rebuild`."""

from typing import Any

from msgspec import UNSET, Struct, UnsetType, field


class ReplicaReport(Struct, frozen=True):
    """State of this controller's replica of the store."""

    complete: bool
    revision: int
    records: int
    outcomes: int = field(name="ends")
    """Number of jobs whose outcomes are known."""


class ProgressReport(Struct, frozen=True):
    """Progress of the rebuild that this controller leads."""

    step: str
    running_for_s: float
    missing_members: list[str] = field(name="awaited")
    """Controllers whose replicas have not arrived."""
    reporting_machines: int = field(name="machines_heard")
    """Number of machines whose heartbeats the rebuild uses."""
    written: int
    """Changes committed so far."""
    to_write: int
    """Changes to commit in total."""
    transactions: int


class RebuildReport(Struct, frozen=True):
    """State of the store and of its rebuild."""

    phase: str
    reason: str
    """Why the store was marked as lost; empty once it is sound again."""
    lost_for_s: float | None
    generation: int
    replica: ReplicaReport
    unresolved: dict[str, Any] = field(name="undecided")
    """Records of unresolved tasks, by job."""
    refused_notices: int = field(name="refused_notes")
    """Number of invalid change notices from other controllers."""
    rebuild: ProgressReport | UnsetType = UNSET
