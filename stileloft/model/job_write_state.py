"""Progress of writing a job's records."""

from dataclasses import dataclass, field

from stileloft.model.records.forms import StoredCounts


@dataclass(slots=True)
class JobWriteState:
    """A job's unwritten changes and its transactions in flight. Times are by the leader's clock."""

    dirty: bool = False
    """The job has unwritten changes."""
    flush_now: bool = False
    """The changes are written without delay, whereas completions may wait while the job has further tasks."""
    coalescing_since: float | None = None
    """When the first of the completions that wait to be written together was recorded; None if none waits."""
    order: int = 0
    """Position among the jobs of the same priority, which are written in this order."""
    checked_at: float = 0.0
    """When the job was last checked for changes to write."""
    commit_began_at: float = float("-inf")
    """When the newest transaction with records of the job began."""
    commit_in_flight: bool = False
    """A transaction with records of the job is in flight, or its outcome is unknown."""
    has_unresolved_commit: bool = False
    """A transaction got no answer, and may still be executed, even after newer ones."""
    stored_counts: StoredCounts = field(default_factory=StoredCounts)
    """The counts in the store, which users are shown."""
    counts_stored_at: float = 0.0
