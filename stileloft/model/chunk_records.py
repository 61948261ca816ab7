"""Conversion of chunks to and from their stored forms."""

from collections.abc import Iterable, Mapping

import msgspec

from stileloft.model.chunks import NO_RECORD, Chunk, ChunkStorage
from stileloft.model.placements import Placement, PlacementState
from stileloft.model.records.forms import (
    ChunkOverflow,
    ChunkRecord,
    InlineChunk,
    StoredPlacement,
    StoredValue,
    TaskResources,
    VersionedValue,
    read_chunk,
    read_inline,
    read_overflow,
    to_stored,
)
from stileloft.model.records.ranges import from_ranges, to_ranges
from stileloft.model.records.sizes import MAX_PLACEMENT_OVERHEAD_BYTES, MAX_RANGE_BYTES, json_bytes, max_text_bytes
from stileloft.protocol.messages import JobSpec

EMPTY_OVERFLOW_BYTES = json_bytes(to_stored(ChunkOverflow()))


def inline_chunk(chunk: Chunk) -> InlineChunk:
    """Returns the form in which a job's record holds its only chunk."""
    completed = {p.index for p in chunk.ended_placements() if p.done}
    return InlineChunk(
        attempt=chunk.attempt,
        done=to_ranges(chunk.done | completed),
        placements={p.index: stored_placement(p) for p in chunk.live_placements()},
    )


def stored_placement(placement: Placement) -> StoredPlacement:
    """Returns the stored form of a placement."""
    return StoredPlacement(placement.attempt, placement.machine, placement.zone, int(placement.spot))


def chunk_record(content: InlineChunk, spec: JobSpec, chunk_size: int | None) -> ChunkRecord:
    """Returns the main record of a chunk with this content; `chunk_size` is None before format 1."""
    return ChunkRecord(
        resources=TaskResources(spec.team, spec.cpus, spec.gpus or 0.0, spec.memory_gb),
        attempt=content.attempt,
        done=content.done,
        placements=content.placements,
        chunk_size=msgspec.UNSET if chunk_size is None else chunk_size,
    )


def whole_chunk_value(chunk: Chunk, spec: JobSpec, chunk_size: int | None) -> StoredValue:
    """Returns the chunk as one record, regardless of the limit on values."""
    return to_stored(chunk_record(inline_chunk(chunk), spec, chunk_size))


def chunk_values(chunk: Chunk, spec: JobSpec, chunk_size: int, value_bytes: int) -> list[StoredValue]:
    """Returns the chunk's main record and the overflow records that it needs, each of at most `value_bytes`."""
    record = chunk_record(inline_chunk(chunk), spec, chunk_size)
    whole = to_stored(record)
    if _max_chunk_bytes(chunk, spec, chunk_size) <= value_bytes or json_bytes(whole) <= value_bytes:
        return [whole]
    empty = msgspec.structs.replace(record, placements={})
    main, *further = _pack(record.placements, value_bytes - json_bytes(to_stored(empty)), value_bytes)
    overflow = [to_stored(ChunkOverflow(placements)) for placements in further]
    return [to_stored(msgspec.structs.replace(record, placements=main)), *overflow]


def _pack(
    placements: Mapping[int, StoredPlacement], main_room: int, value_bytes: int
) -> list[dict[int, StoredPlacement]]:
    """Splits placements into groups: the first fits into the main record, each other one into an overflow record."""
    groups: list[dict[int, StoredPlacement]] = [{}]
    room = main_room
    for index, placement in placements.items():
        needed = json_bytes(to_stored({index: placement}))
        if needed > room:
            groups.append({})
            room = value_bytes - EMPTY_OVERFLOW_BYTES
        groups[-1][index] = placement
        room -= needed
    return groups


def detached_chunk_record(spec: JobSpec, inline: StoredValue, chunk_size: int | None) -> StoredValue:
    """Returns the main record of a chunk that was stored in a job's record."""
    content = read_inline(inline)
    return to_stored(chunk_record(content, spec, chunk_size))


def max_placements_bytes(placements: Iterable[Placement]) -> int:
    """Returns an upper bound of the bytes that placements take in a record, without encoding them."""
    return sum(MAX_PLACEMENT_OVERHEAD_BYTES + max_text_bytes(p.machine) + max_text_bytes(p.zone) for p in placements)


def _max_chunk_bytes(chunk: Chunk, spec: JobSpec, chunk_size: int) -> int:
    """Returns an upper bound of the bytes of a chunk as one record, without encoding its placements."""
    empty = chunk_record(InlineChunk(attempt=chunk.attempt), spec, chunk_size)
    ranges = len(chunk.done) + len(chunk.placements)
    return json_bytes(to_stored(empty)) + max_placements_bytes(chunk.placements.values()) + MAX_RANGE_BYTES * ranges


def load_inline_chunk(job: str, inline: InlineChunk, previous: Chunk | None) -> Chunk:
    """Returns the chunk that a job's record holds; unchanged placements of `previous` are reused."""
    chunk = Chunk(attempt=inline.attempt, done=from_ranges(inline.done), storage=ChunkStorage.INLINE)
    chunk.placements = _load_placements(job, inline.placements, previous)
    return chunk


def load_chunk(job: str, versioned: Mapping[int, VersionedValue], previous: Chunk | None) -> Chunk:
    """Returns a chunk from its records, by overflow number (0: main record); reuses unchanged placements of `previous`.

    Overflow records may exist without the main record.
    """
    main = versioned.get(0, NO_RECORD)
    record = read_chunk(main.value)
    chunk = Chunk(
        version=main.version, attempt=record.attempt, done=from_ranges(record.done), storage=ChunkStorage.OWN_RECORDS
    )
    placements = dict(record.placements)
    for number, stored in versioned.items():
        if number:
            chunk.overflow[number] = stored
            placements |= read_overflow(stored.value).placements
    chunk.placements = _load_placements(job, placements, previous)
    return chunk


def _load_placements(job: str, stored: Mapping[int, StoredPlacement], previous: Chunk | None) -> dict[int, Placement]:
    """Returns the stored placements; the objects in `previous` are reused for those that have not changed."""
    previous_placements = previous.placements if previous else {}
    placements: dict[int, Placement] = {}
    for index, new in stored.items():
        old = previous_placements.get(index)
        if old is not None and old.attempt == new.attempt and old.machine == new.machine:
            if old.state == PlacementState.PLANNED:
                old.state = PlacementState.BOUND
            placements[index] = old
        else:
            placements[index] = Placement(job, index, new.attempt, new.machine, new.zone, bool(new.spot))
    return placements
