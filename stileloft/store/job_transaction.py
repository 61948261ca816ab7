"""A job's part of a transaction of the leader."""

from dataclasses import dataclass, field

from stileloft.model.jobs import Job
from stileloft.model.placements import Placement
from stileloft.model.records.forms import StoredCounts, StoredValue


@dataclass(slots=True)
class JobTransaction:
    """What is written of a job in one transaction, and what follows for the job once it is executed."""

    job: Job
    is_inline: bool = False
    """The job's own record holds its only chunk from now on."""
    guards: dict[str, int] = field(default_factory=dict)
    """Versions that records must have; 0 for none."""
    puts: dict[str, StoredValue] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)

    new_placements: list[Placement] = field(default_factory=list)
    """Planned placements that are stored for the first time."""
    cleared_placements: list[Placement] = field(default_factory=list)
    """Ended placements that the store no longer holds."""
    written_chunks: list[int] = field(default_factory=list)
    newly_finished_chunks: list[int] = field(default_factory=list)
    """Finished chunks: the job's record says so instead of records of their own."""
    removed_chunks: list[int] = field(default_factory=list)
    """Chunks of which nothing is left to know."""
    overflow: dict[int, list[StoredValue]] = field(default_factory=dict)
    """The overflow records of chunks that are written."""

    ends_job: bool = False
    """The job is done, and its record is moved to `final/`."""
    writes_job_record: bool = False
    has_chunk_size: bool = False
    """The job's record, if it is written, says how many tasks a chunk has."""
    counts: StoredCounts = field(default_factory=StoredCounts)

    @property
    def changes(self) -> int:
        """Changes of the store that it takes."""
        return len(self.puts) + len(self.deletes)

    @property
    def chunks(self) -> list[int]:
        """All chunks that it is about."""
        return self.written_chunks + self.newly_finished_chunks + self.removed_chunks
