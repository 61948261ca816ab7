"""Ranges of a job's task numbers that are stored together."""

from dataclasses import dataclass, field
from enum import Enum, auto

from stileloft.model.placements import Placement, PlacementState
from stileloft.model.records import VersionedValue


class ChunkStorage(Enum):
    """Where the store holds a chunk."""

    NOT_STORED = auto()
    INLINE = auto()
    """In the job's own record."""
    OWN_RECORDS = auto()


NO_RECORD = VersionedValue({}, 0)
"""In place of a record that the store does not hold."""


@dataclass(slots=True)
class Chunk:
    """A range of a job's task numbers: finished tasks, placements, and what the store holds of them."""

    version: int = 0
    """The version of its main record; 0 if there is none."""
    attempt: int = 0
    """The highest attempt that was given to one of its tasks."""
    done: set[int] = field(default_factory=set)
    placements: dict[int, Placement] = field(default_factory=dict)
    dirty: bool = False
    """Whether it differs from what the store holds, as far as known."""
    storage: ChunkStorage = ChunkStorage.NOT_STORED
    overflow: dict[int, VersionedValue] = field(default_factory=dict)
    """Its overflow records in the store, by their numbers."""

    def live_placements(self) -> list[Placement]:
        """Placements whose tasks may still be on their machines."""
        return [p for p in self.placements.values() if p.state != PlacementState.ENDED]

    def ended_placements(self) -> list[Placement]:
        """Placements whose tasks are certainly gone, and which the store may still hold."""
        return [p for p in self.placements.values() if p.state == PlacementState.ENDED]
