"""What a transaction of the leader writes of one job."""

from dataclasses import dataclass, field

from stileloft.model.jobs import Job
from stileloft.model.placements import Placement
from stileloft.model.records.forms import StoredCounts, StoredValue


@dataclass(slots=True)
class JobWriteSet:
    """One job's guards, puts and deletes in a transaction, and what changes in the job once it is executed."""

    job: Job
    is_inline: bool = False
    """The job's own record holds its only chunk once the transaction is executed."""
    guards: dict[str, int] = field(default_factory=dict)
    """Versions that records must have, by key; 0 if there must be no record."""
    puts: dict[str, StoredValue] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)

    new_placements: list[Placement] = field(default_factory=list)
    """Planned placements that are stored for the first time."""
    cleared_placements: list[Placement] = field(default_factory=list)
    """Ended placements that the store no longer holds."""
    written_chunks: list[int] = field(default_factory=list)
    newly_finished_chunks: list[int] = field(default_factory=list)
    """Chunks that the job's record newly lists as finished; their own records, if any, are deleted."""
    removed_chunks: list[int] = field(default_factory=list)
    """Chunks of an ended job that are removed from the store."""
    overflow: dict[int, list[StoredValue]] = field(default_factory=dict)
    """Overflow records of the written chunks, by chunk number."""

    ends_job: bool = False
    """The job is done: its record moves to `final/`."""
    writes_job_record: bool = False
    has_chunk_size: bool = False
    """The job's record, if it is written, states the number of tasks per chunk."""
    counts: StoredCounts = field(default_factory=StoredCounts)

    @property
    def changes(self) -> int:
        """Number of puts and deletes."""
        return len(self.puts) + len(self.deletes)

    @property
    def chunks(self) -> list[int]:
        """Numbers of all chunks that are changed."""
        return self.written_chunks + self.newly_finished_chunks + self.removed_chunks
