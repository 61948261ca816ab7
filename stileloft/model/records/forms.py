"""The stored forms of records, with their field names in the store.

Fields are listed in the order in which they are stored. Numbers read from JSON stay integers or floats as they are,
because another writer may store a whole number of seconds without a fraction.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from stileloft.model.records.ranges import Ranges
from stileloft.protocol.messages import JobSpec

NEWEST_FORMAT = 2
"""The newest format that this version reads, and that it writes once all controllers read it."""
CHUNK_SIZE_FORMAT = 1
"""The first format in which records state the number of tasks per chunk."""
INLINE_FORMAT = 2
"""The first format in which a job's record may hold its only chunk."""
INLINE_CHUNK = "k"
"""The field of a job's record that holds its only chunk."""

StoredValue = dict[str, Any]
"""A record as plain JSON values, as it is exchanged with the store."""
Number = int | float


class VersionedValue(NamedTuple):
    """A record's value, and the revision of the store at which it was written."""

    value: StoredValue
    version: int


class StoredPlacement(Struct, frozen=True, array_like=True):
    """The placement of a task on a machine."""

    attempt: int
    machine: str
    zone: str
    spot: int | bool


class StoredCounts(Struct, frozen=True, array_like=True):
    """Counts of a job's tasks, which users are shown."""

    done: int = 0
    running: int = 0


class TaskResources(Struct, frozen=True, array_like=True):
    """Resources of each task of a job, and the team whose quota they count towards."""

    team: str
    cpus: Number
    gpus: Number
    memory_gb: Number


class InlineChunk(Struct, frozen=True):
    """A job's only chunk, in the job's own record."""

    attempt: int = field(name="a", default=0)
    done: Ranges = field(name="d", default_factory=list)
    placements: dict[int, StoredPlacement] = field(name="p", default_factory=dict)


class ChunkRecord(Struct, frozen=True):
    """A chunk's main record; it states its tasks' resources, because the job's record may be gone when it is read."""

    resources: TaskResources | UnsetType = field(name="r", default=UNSET)
    attempt: int = field(name="a", default=0)
    done: Ranges = field(name="d", default_factory=list)
    placements: dict[int, StoredPlacement] = field(name="p", default_factory=dict)
    chunk_size: int | UnsetType = field(name="n", default=UNSET)


class ChunkOverflow(Struct, frozen=True):
    """Placements that a chunk's main record has no room for."""

    placements: dict[int, StoredPlacement] = field(name="p", default_factory=dict)


class ActiveRecord(Struct):
    """An accepted, unfinished job."""

    spec: JobSpec = field(name="s")
    submitted: Number = field(name="t")
    finished_chunks: Ranges = field(name="f", default_factory=list)
    counts: StoredCounts = field(name="c", default_factory=StoredCounts)
    chunk_size: int | UnsetType = field(name="n", default=UNSET)
    preemption_count: int | UnsetType = field(name="e", default=UNSET)
    chunk: InlineChunk | UnsetType = field(name=INLINE_CHUNK, default=UNSET)


class FinalPhase(StrEnum):
    """How a job ended, as it is stored."""

    DONE = "done"
    CANCELLED = "cancelled"


class FinalRecord(Struct, frozen=True):
    """How a job ended."""

    phase: FinalPhase
    tasks: int = field(name="n", default=0)
    """Number of the job's completed tasks, for display."""


class StoredOffer(Struct, frozen=True, array_like=True):
    """Type, zone and spot flag of provisioned machines."""

    type: str
    zone: str
    spot: bool


class ProvisionRecord(Struct, frozen=True):
    """Machines that were provisioned by one request."""

    provisioned_at: Number = field(name="t")
    """Time of day, in seconds."""
    offer: StoredOffer = field(name="o")
    machines: list[str] = field(name="m")


class FormatRecord(Struct, frozen=True):
    """The format that may be written, and the controllers that have stated that they read it."""

    format: int
    members: list[str] = field(default_factory=list)


def to_stored(value: Any) -> StoredValue:
    """Converts a record to plain JSON values."""
    stored: StoredValue = msgspec.to_builtins(value, str_keys=True)
    return stored


def read_active(value: StoredValue) -> ActiveRecord:
    """Reads a job's record from plain JSON values."""
    return msgspec.convert(value, ActiveRecord, str_keys=True)


def read_chunk(value: StoredValue) -> ChunkRecord:
    """Reads a chunk's main record from plain JSON values."""
    return msgspec.convert(value, ChunkRecord, str_keys=True)


def read_provision(value: StoredValue) -> ProvisionRecord:
    """Reads a record of provisioned machines from plain JSON values."""
    return msgspec.convert(value, ProvisionRecord)


def read_format(value: StoredValue) -> FormatRecord:
    """Reads the record of the format from plain JSON values."""
    return msgspec.convert(value, FormatRecord)


def read_final(value: StoredValue) -> FinalRecord:
    """Reads the record of a job's end from plain JSON values."""
    return msgspec.convert(value, FinalRecord)


def read_inline(value: StoredValue) -> InlineChunk:
    """Reads the chunk in a job's record from plain JSON values."""
    return msgspec.convert(value, InlineChunk, str_keys=True)


def read_overflow(value: StoredValue) -> ChunkOverflow:
    """Reads an overflow record from plain JSON values."""
    return msgspec.convert(value, ChunkOverflow, str_keys=True)
