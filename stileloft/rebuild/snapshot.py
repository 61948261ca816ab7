"""Snapshots of a replica in pieces of limited size, to be sent to another controller or written to a directory."""

import hashlib
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

import msgspec
import orjson
from msgspec import Struct, field

from stileloft.rebuild.errors import InvalidOutcomesError, InvalidSnapshotError
from stileloft.rebuild.replica import RecordChange, Replica, StoredRecord, is_restored

SNAPSHOT_FORMAT = 1
# Target size of the records in a piece; a single larger record takes a piece of its own.
PIECE_BYTES = 48 * 1024


class Holder(Struct, frozen=True):
    """The controller that made a snapshot, with the fencing tokens that it knows."""

    member: str
    deployment: str
    last_term_token: int = field(default=0, name="led_token")
    """Highest token under which this process has led; its replica holds everything that it committed."""
    last_term_generation: int = field(default=0, name="led_generation")
    """Generation of the store in that term."""
    highest_token: int = 0
    """Highest token that the controller has seen."""

    def was_last_leader(self, token: int, replica: Replica) -> bool:
        """Whether the controller led with this token, and its replica holds everything that it committed then."""
        return (
            self.last_term_token == token > 0 and replica.complete and replica.generation == self.last_term_generation
        )


class Piece(Struct, frozen=True):
    """A part of a snapshot, with the snapshot's header and a digest of the part's content."""

    format: int
    holder: Holder
    generation: int
    revision: int
    complete: bool
    number: int
    pieces: int
    records: list[RecordChange]
    outcomes: list[Any] = field(name="ends")
    digest: str

    def is_of_same_snapshot(self, other: "Piece") -> bool:
        """Whether the headers of both pieces describe the same snapshot."""
        return (self.holder, self.generation, self.revision, self.pieces) == (
            other.holder,
            other.generation,
            other.revision,
            other.pieces,
        )


class Snapshot(Struct):
    """A replica, and the controller that holds it."""

    holder: Holder
    replica: Replica


class _Contents(NamedTuple):
    """The content of one piece."""

    records: list[RecordChange]
    outcomes: list[Any]


def to_pieces(snapshot: Snapshot) -> list[bytes]:
    """Returns the encoded pieces of a snapshot."""
    replica = snapshot.replica
    contents = [_Contents(batch, []) for batch in _record_batches(replica)]
    contents += [_Contents([], [encoded]) for encoded in replica.outcomes.to_records(PIECE_BYTES)]
    return [
        msgspec.json.encode(
            Piece(
                format=SNAPSHOT_FORMAT,
                holder=snapshot.holder,
                generation=replica.generation,
                revision=replica.revision,
                complete=replica.complete,
                number=number,
                pieces=len(contents),
                records=content.records,
                outcomes=content.outcomes,
                digest=_digest(content.records, content.outcomes),
            )
        )
        for number, content in enumerate(contents)
    ]


def _record_batches(replica: Replica) -> Iterator[list[RecordChange]]:
    """Yields all records in batches of a piece's size; at least one batch, which may be empty."""
    batch: list[RecordChange] = []
    size = 0
    for key, record in sorted(replica.records.items()):
        if batch and size + len(record.data) > PIECE_BYTES:
            yield batch
            batch, size = [], 0
        batch.append(RecordChange(key, record.value(), record.version))
        size += len(key) + len(record.data)
    yield batch


def _digest(records: Sequence[RecordChange], outcomes: list[Any]) -> str:
    plain = [tuple(change) for change in records]  # orjson does not encode named tuples
    return hashlib.sha256(orjson.dumps([plain, outcomes])).hexdigest()


def read_piece(data: bytes, deployment: str | None) -> Piece:
    """Decodes and validates a piece; raises `InvalidSnapshotError`.

    A piece of any deployment is accepted if `deployment` is None.
    """
    try:
        decoded = msgspec.json.decode(data)
        if isinstance(decoded, dict) and decoded.get("format") != SNAPSHOT_FORMAT:
            raise InvalidSnapshotError(f"unsupported format {decoded.get('format')!r}, expected {SNAPSHOT_FORMAT}")
        piece = msgspec.convert(decoded, Piece)
    except msgspec.MsgspecError as error:
        raise InvalidSnapshotError(f"piece cannot be read: {error}") from None
    # A controller that has just started does not know its deployment yet, and its replica is empty.
    if deployment is not None and piece.holder.deployment not in ("", deployment):
        raise InvalidSnapshotError(f"piece {piece.number} belongs to another deployment, {piece.holder.deployment}")
    if piece.digest != _digest(piece.records, piece.outcomes):
        raise InvalidSnapshotError(f"piece {piece.number} is damaged: its content does not match its digest")
    return piece


def from_pieces(pieces: list[Piece]) -> Snapshot:
    """Returns the snapshot that these pieces make up, in order; raises `InvalidSnapshotError` if they do not."""
    if not pieces:
        raise InvalidSnapshotError("no pieces")
    first = pieces[0]
    if [piece.number for piece in pieces] != list(range(first.pieces)):
        raise InvalidSnapshotError(f"truncated: {len(pieces)} of {first.pieces} pieces")
    if not all(piece.is_of_same_snapshot(first) for piece in pieces):
        raise InvalidSnapshotError("pieces of different snapshots")
    replica = Replica(first.generation)
    replica.complete = first.complete
    for piece in pieces:
        _load_piece(piece, replica)
    replica.advance(first.revision)
    return Snapshot(first.holder, replica)


def _load_piece(piece: Piece, replica: Replica) -> None:
    for key, value, version in piece.records:
        if not is_restored(key):
            raise InvalidSnapshotError(f"record {key!r} does not belong in a snapshot")
        replica.records[key] = StoredRecord.encode(value, version)
    try:
        for encoded in piece.outcomes:
            replica.outcomes.load(encoded)
    except InvalidOutcomesError as error:
        raise InvalidSnapshotError(str(error)) from None
