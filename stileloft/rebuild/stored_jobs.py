"""An unfinished job as stored: its own record, and the records of its chunks."""

import functools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.protocol.messages import JobSpec, job_from_wire

EMPTY_CHUNK: dict[str, Any] = {"a": 0, "d": [], "p": {}}
"""Stored form of a chunk without completed or placed tasks."""


@dataclass(slots=True)
class StoredChunk:
    """Content of a chunk's record."""

    attempt: int
    """Highest attempt number of the chunk's tasks."""
    done: set[int]
    """Numbers of the completed tasks."""
    placements: dict[str, list[Any]]
    """By task number: attempt, machine, zone, and 1 for a spot machine or else 0."""

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "StoredChunk":
        """Returns the chunk in a stored value."""
        return cls(value["a"], records.from_ranges(value["d"]), dict(value["p"]))

    def to_value(self) -> dict[str, Any]:
        """Returns the stored form of the chunk."""
        return {"a": self.attempt, "d": records.to_ranges(self.done), "p": self.placements}


@dataclass
class StoredJob:
    """The records of a job."""

    id: str
    value: dict[str, Any]
    """The job's own record."""
    chunks: dict[str, Any] = field(default_factory=dict)
    """The records of its chunks, by key."""

    @functools.cached_property
    def spec(self) -> JobSpec:
        """The job's specification."""
        return job_from_wire(self.value["s"])

    @property
    def chunk_size(self) -> int | None:
        """Tasks per chunk; None if the record holds no chunk size."""
        size: int | None = self.value.get("n")
        return size

    @property
    def finished_chunks(self) -> set[int]:
        """Numbers of the chunks whose tasks have all completed."""
        return records.from_ranges(self.value["f"])

    @property
    def inline_chunk(self) -> dict[str, Any] | None:
        """Stored form of the job's only chunk; None if the job's own record does not hold it."""
        inline: dict[str, Any] | None = self.value.get(records.INLINE_CHUNK)
        return inline

    def chunk_numbers(self) -> set[int]:
        """Returns the numbers of the chunks that have any record, inline and overflow records included."""
        numbers = {records.split_chunk_key(key)[1] for key in self.chunks}
        return numbers if self.inline_chunk is None else numbers | {0}

    def chunk(self, number: int) -> StoredChunk:
        """Returns a chunk, with the placements in its overflow records; an empty chunk if it has no record."""
        main = self.inline_chunk or self.chunks.get(records.chunk_key(self.id, number), EMPTY_CHUNK)
        chunk = StoredChunk.from_value(main)
        for key, overflow in self.chunks.items():
            _, found, overflow_number = records.split_chunk_key(key)
            if found == number and overflow_number:
                chunk.placements |= overflow["p"]
        return chunk

    def store_chunk(self, number: int, chunk: StoredChunk) -> None:
        """Puts a chunk into the job's own record if that holds the chunk inline, or else into a chunk record."""
        if self.inline_chunk is not None:
            self.value = self.value | {records.INLINE_CHUNK: chunk.to_value()}
        else:
            key = records.chunk_key(self.id, number)
            self.chunks[key] = detached_chunk_record(self.spec, chunk.to_value(), self.chunk_size)

    def _chunk_values(self) -> Iterator[dict[str, Any]]:
        yield from self.chunks.values()
        if self.inline_chunk is not None:
            yield self.inline_chunk

    def has_placements(self) -> bool:
        """Whether any task of the job is placed."""
        return any(value["p"] for value in self._chunk_values())

    def recorded_tasks(self) -> set[int]:
        """Returns the numbers of the tasks that the chunks' records list as completed or placed."""
        recorded: set[int] = set()
        for value in self._chunk_values():
            recorded |= records.from_ranges(value.get("d", []))
            recorded |= {int(index) for index in value["p"]}
        return recorded
