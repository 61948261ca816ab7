"""Chunks: ranges of a job's task numbers that are stored together."""

from dataclasses import dataclass, field
from enum import Enum, auto

from stileloft.model.placements import Placement, PlacementState
from stileloft.model.records import VersionedValue


class ChunkStorage(Enum):
    """Where the store holds a chunk."""

    NOT_STORED = auto()
    INLINE = auto()
    """In the job's record."""
    OWN_RECORDS = auto()


NO_RECORD = VersionedValue({}, 0)
"""Stands for a record that the store does not hold."""


@dataclass(slots=True)
class Chunk:
    """A range of a job's task numbers: its finished tasks and placements, and what the store holds of them."""

    version: int = 0
    """Version of the main record in the store; 0 if there is none."""
    attempt: int = 0
    """Highest attempt number that was given to one of the chunk's tasks."""
    done: set[int] = field(default_factory=set)
    placements: dict[int, Placement] = field(default_factory=dict)
    dirty: bool = False
    """Whether the chunk has changes that are not known to be stored."""
    storage: ChunkStorage = ChunkStorage.NOT_STORED
    overflow: dict[int, VersionedValue] = field(default_factory=dict)
    """Overflow records in the store, by number."""

    def live_placements(self) -> list[Placement]:
        """Returns the placements whose tasks may still be on their machines."""
        return [p for p in self.placements.values() if p.state != PlacementState.ENDED]

    def ended_placements(self) -> list[Placement]:
        """Returns the placements whose tasks are certainly off their machines; the store may still hold them."""
        return [p for p in self.placements.values() if p.state == PlacementState.ENDED]
