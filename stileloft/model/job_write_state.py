"""What is known of the writing of a job's records."""

from dataclasses import dataclass, field

from stileloft.model.records.forms import StoredCounts


@dataclass(slots=True)
class JobWriteState:
    """What has to be written of a job, and what is under way. Times are of the leader's clock."""

    dirty: bool = False
    """Something of it has to be written."""
    flush_now: bool = False
    """What has to be written does not wait, as completions may that leave more to do."""
    coalescing_since: float | None = None
    """When the first of the completed tasks ended that wait to be written together."""
    order: int = 0
    """Jobs of the same priority are written in this order."""
    checked_at: float = 0.0
    """When it was last checked whether something has to be written."""
    commit_began_at: float = float("-inf")
    """When the newest transaction about the job began."""
    commit_in_flight: bool = False
    """A transaction about the job is under way, or its outcome is unknown."""
    has_unresolved_commit: bool = False
    """A transaction got no answer, and may still be executed, after newer ones."""
    stored_counts: StoredCounts = field(default_factory=StoredCounts)
    """The counts that the store holds, which users are shown."""
    counts_stored_at: float = 0.0
