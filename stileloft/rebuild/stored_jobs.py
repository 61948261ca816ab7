"""An unfinished job as the store holds it: its own record, and those of its chunks."""

import functools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.protocol.messages import JobSpec, job_from_wire

NO_TASKS: dict[str, Any] = {"a": 0, "d": [], "p": {}}
"""The stored form of a chunk of which nothing is known."""


@dataclass(slots=True)
class StoredChunk:
    """The content of a chunk's record."""

    attempt: int
    """The highest attempt of its tasks."""
    done: set[int]
    """Tasks that are finished."""
    placements: dict[str, list[Any]]
    """By task number: attempt, machine, zone, and 1 for a spot machine."""

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "StoredChunk":
        """The chunk that a stored value holds."""
        return cls(value["a"], records.from_ranges(value["d"]), dict(value["p"]))

    def to_value(self) -> dict[str, Any]:
        """The chunk as it is stored."""
        return {"a": self.attempt, "d": records.to_ranges(self.done), "p": self.placements}


@dataclass
class StoredJob:
    """A job's records."""

    id: str
    value: dict[str, Any]
    """Its own record."""
    chunks: dict[str, Any] = field(default_factory=dict)
    """Records of its chunks, by key."""

    @functools.cached_property
    def spec(self) -> JobSpec:
        """What the job asks for."""
        return job_from_wire(self.value["s"])

    @property
    def chunk_size(self) -> int | None:
        """Tasks per chunk; None if the record does not say."""
        size: int | None = self.value.get("n")
        return size

    @property
    def finished_chunks(self) -> set[int]:
        """Numbers of the chunks all of whose tasks are finished."""
        return records.from_ranges(self.value["f"])

    @property
    def inline_chunk(self) -> dict[str, Any] | None:
        """The stored form of the job's only chunk, if the job's own record holds it."""
        inline: dict[str, Any] | None = self.value.get(records.INLINE_CHUNK)
        return inline

    def chunk_numbers(self) -> set[int]:
        """Numbers of the chunks that have a record, or a part of one."""
        numbers = {records.split_chunk_key(key)[1] for key in self.chunks}
        return numbers if self.inline_chunk is None else numbers | {0}

    def chunk(self, number: int) -> StoredChunk:
        """A chunk with its further records; an empty one if it has none."""
        own = self.inline_chunk or self.chunks.get(records.chunk_key(self.id, number), NO_TASKS)
        chunk = StoredChunk.from_value(own)
        for key, further in self.chunks.items():
            _, found, part = records.split_chunk_key(key)
            if found == number and part:
                chunk.placements |= further["p"]
        return chunk

    def store_chunk(self, number: int, chunk: StoredChunk) -> None:
        """Puts a chunk into the job's own record, if that holds its chunk, or into one of its own."""
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
        """Whether any of its tasks is placed."""
        return any(value["p"] for value in self._chunk_values())

    def recorded_tasks(self) -> set[int]:
        """Tasks that the records of its chunks name: finished or placed ones."""
        known: set[int] = set()
        for value in self._chunk_values():
            known |= records.from_ranges(value.get("d", []))
            known |= {int(index) for index in value["p"]}
        return known
