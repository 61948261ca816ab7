"""Runs of a job's task numbers that share a record in the store."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import JobSpec


@dataclass(slots=True)
class Chunk:
    """A run of task numbers, as its record in the store."""

    version: int = 0
    attempt: int = 0
    done: set[int] = field(default_factory=set)
    placements: dict[int, Placement] = field(default_factory=dict)
    dirty: bool = False
    stored: bool = False
    overflow: dict[int, tuple[int, Any]] = field(default_factory=dict)
    """Version and value of its further records in the store."""

    inline: bool = False
    """The job's own record holds it."""

    def inline_record(self) -> dict[str, Any]:
        """What a job's own record says of its only chunk."""
        return {
            "a": self.attempt,
            "d": records.to_ranges(
                self.done | {i for i, p in self.placements.items() if p.state == PlacementState.ENDED and p.done}
            ),
            "p": {
                str(i): [p.attempt, p.machine, p.zone, 1 if p.spot else 0]
                for i, p in self.placements.items()
                if p.state != PlacementState.ENDED
            },
        }

    def record(self, spec: JobSpec, size: int | None = None) -> dict[str, Any]:
        """The whole chunk as one value; with its length, from format 1 on."""
        return detached_chunk_record(spec, self.inline_record(), size)

    def _most_bytes(self, spec: JobSpec, size: int) -> int:
        """No less than its own record takes, found without encoding its placements."""
        empty = detached_chunk_record(spec, {"a": self.attempt, "d": [], "p": {}}, size)
        ranges = len(self.done) + len(self.placements)
        return records.json_bytes(empty) + max_placements_bytes(self.placements.values()) + records.RANGE_BYTES * ranges

    def records(self, spec: JobSpec, size: int, value_bytes: int) -> list[dict[str, Any]]:
        """The chunk as its own record and the further ones that it takes, each within the limit."""
        first = self.record(spec, size)
        if self._most_bytes(spec, size) <= value_bytes or records.json_bytes(first) <= value_bytes:
            return [first]
        placed, first["p"] = first["p"], {}
        found = [first]
        room = value_bytes - records.json_bytes(first)
        for index, placement in placed.items():
            need = records.json_bytes({index: placement})
            if need > room:
                found.append({"p": {}})
                room = value_bytes - records.json_bytes(found[-1])
            found[-1]["p"][index] = placement
            room -= need
        return found


def max_placements_bytes(placements: Iterable[Placement]) -> int:
    """No less than placements take in a record, found without encoding them."""
    return sum(
        records.PLACEMENT_BYTES + records.max_text_bytes(p.machine) + records.max_text_bytes(p.zone) for p in placements
    )


def detached_chunk_record(spec: JobSpec, inline: dict[str, Any], size: int | None) -> dict[str, Any]:
    """A chunk's own record, which also says what its tasks take: the job's record may be gone when it is read."""
    record = {"r": [spec.team, spec.cpus, spec.gpus or 0.0, spec.memory_gb], **inline}
    return record if size is None else record | {"n": size}
