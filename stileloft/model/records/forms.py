"""The stored forms of records, with the field names that they have in the store.

Fields are listed in the order in which they are stored. Numbers that come from JSON keep the form in which they came,
as another writer may store a whole number of seconds without a fraction.
"""

from enum import StrEnum
from typing import Any, NamedTuple

import msgspec
from msgspec import UNSET, Struct, UnsetType, field

from stileloft.model.records.ranges import Ranges
from stileloft.protocol.messages import JobSpec

NEWEST_FORMAT = 2
"""The format that this version reads, and writes once all controllers do."""
CHUNK_SIZE_FORMAT = 1
"""The first format in which records say how many tasks a chunk has."""
INLINE_FORMAT = 2
"""The first format in which a job's record may hold its only chunk."""
INLINE_CHUNK = "k"
"""The field of a job's record that holds its only chunk."""

StoredValue = dict[str, Any]
"""A record as it is sent to the store and comes from it."""
Number = int | float


class VersionedValue(NamedTuple):
    """A record's value, and the revision of the store at which it was written."""

    value: StoredValue
    version: int


class StoredPlacement(Struct, frozen=True, array_like=True):
    """A task on a machine."""

    attempt: int
    machine: str
    zone: str
    spot: int | bool


class StoredCounts(Struct, frozen=True, array_like=True):
    """Counts of a job's tasks that users are shown."""

    done: int = 0
    running: int = 0


class TaskResources(Struct, frozen=True, array_like=True):
    """What each task of a job takes, and whose limit it counts towards."""

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
    """A chunk's main record. It says what its tasks take, as the job's record may be gone when it is read."""

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
    """Its tasks that were done, for display."""


class StoredOffer(Struct, frozen=True, array_like=True):
    """What kind of machine was provisioned, and where."""

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
    """The format that may be written, and the controllers that said that they read it."""

    format: int
    members: list[str] = field(default_factory=list)


def to_stored(value: Any) -> StoredValue:
    """A record as plain JSON values."""
    stored: StoredValue = msgspec.to_builtins(value, str_keys=True)
    return stored


def read_active(value: StoredValue) -> ActiveRecord:
    """A job's record of plain JSON values."""
    return msgspec.convert(value, ActiveRecord, str_keys=True)


def read_chunk(value: StoredValue) -> ChunkRecord:
    """A chunk's main record of plain JSON values."""
    return msgspec.convert(value, ChunkRecord, str_keys=True)


def read_provision(value: StoredValue) -> ProvisionRecord:
    """A record of provisioned machines of plain JSON values."""
    return msgspec.convert(value, ProvisionRecord)


def read_format(value: StoredValue) -> FormatRecord:
    """The record of the format of plain JSON values."""
    return msgspec.convert(value, FormatRecord)


def read_final(value: StoredValue) -> FinalRecord:
    """The record of a job's end of plain JSON values."""
    return msgspec.convert(value, FinalRecord)


def read_inline(value: StoredValue) -> InlineChunk:
    """The chunk in a job's record of plain JSON values."""
    return msgspec.convert(value, InlineChunk, str_keys=True)


def read_overflow(value: StoredValue) -> ChunkOverflow:
    """An overflow record of plain JSON values."""
    return msgspec.convert(value, ChunkOverflow, str_keys=True)
