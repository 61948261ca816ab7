"""A replica in bounded pieces, as it is sent to another controller or written to a directory."""

import hashlib
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

import msgspec
import orjson
from msgspec import Struct, field

from stileloft.rebuild.errors import InvalidOutcomesError, InvalidSnapshotError
from stileloft.rebuild.replica import RecordChange, Replica, StoredRecord, is_restored

SNAPSHOT_FORMAT = 1
# The records in a piece take about so many bytes, and no more than this and one record.
PIECE_BYTES = 48 * 1024


class Holder(Struct, frozen=True):
    """Who made a snapshot, and what it knows of the leaders."""

    member: str
    deployment: str
    last_term_token: int = field(default=0, name="led_token")
    """The highest token under which this process has led: what it committed is all in its replica."""
    last_term_generation: int = field(default=0, name="led_generation")
    """The generation of the store in which it did."""
    highest_token: int = 0
    """The highest token that it has seen anywhere."""

    def was_last_leader(self, token: int, replica: Replica) -> bool:
        """Whether it led with this token, and the replica has all that it committed then."""
        return (
            self.last_term_token == token > 0 and replica.complete and replica.generation == self.last_term_generation
        )


class Piece(Struct, frozen=True):
    """A part of a snapshot; each says what it is a part of, and carries a digest of what it holds."""

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
        """Whether another piece comes from the same snapshot, as far as its header tells."""
        return (self.holder, self.generation, self.revision, self.pieces) == (
            other.holder,
            other.generation,
            other.revision,
            other.pieces,
        )


class Snapshot(Struct):
    """A replica with its holder."""

    holder: Holder
    replica: Replica


class _Contents(NamedTuple):
    """What one piece holds."""

    records: list[RecordChange]
    outcomes: list[Any]


def to_pieces(snapshot: Snapshot) -> list[bytes]:
    """The snapshot, encoded."""
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
    """All records in batches of a piece's size; at least one batch."""
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
    plain = [tuple(change) for change in records]  # orjson takes no named tuples
    return hashlib.sha256(orjson.dumps([plain, outcomes])).hexdigest()


def read_piece(data: bytes, deployment: str | None) -> Piece:
    """A checked piece, of this deployment if that is known; raises `InvalidSnapshotError` if it can't be used."""
    try:
        decoded = msgspec.json.decode(data)
        if isinstance(decoded, dict) and decoded.get("format") != SNAPSHOT_FORMAT:
            raise InvalidSnapshotError(f"its format is {decoded.get('format')!r}, not {SNAPSHOT_FORMAT}")
        piece = msgspec.convert(decoded, Piece)
    except msgspec.MsgspecError as error:
        raise InvalidSnapshotError(f"it cannot be read: {error}") from None
    # A controller that has just begun knows of no deployment yet, and of nothing else.
    if deployment is not None and piece.holder.deployment not in ("", deployment):
        raise InvalidSnapshotError(f"it is of another deployment, {piece.holder.deployment}")
    if piece.digest != _digest(piece.records, piece.outcomes):
        raise InvalidSnapshotError(f"piece {piece.number} is damaged")
    return piece


def from_pieces(pieces: list[Piece]) -> Snapshot:
    """The snapshot that these are all pieces of, in their order; raises `InvalidSnapshotError` if they are not."""
    if not pieces:
        raise InvalidSnapshotError("it has no pieces")
    first = pieces[0]
    if [piece.number for piece in pieces] != list(range(first.pieces)):
        raise InvalidSnapshotError(f"it is truncated: {len(pieces)} of {first.pieces} pieces")
    if not all(piece.is_of_same_snapshot(first) for piece in pieces):
        raise InvalidSnapshotError("its pieces are of different snapshots")
    replica = Replica(first.generation)
    replica.complete = first.complete
    for piece in pieces:
        _load_piece(piece, replica)
    replica.advance(first.revision)
    return Snapshot(first.holder, replica)


def _load_piece(piece: Piece, replica: Replica) -> None:
    for key, value, version in piece.records:
        if not is_restored(key):
            raise InvalidSnapshotError(f"it holds a record {key!r} that does not belong into a snapshot")
        replica.records[key] = StoredRecord.encode(value, version)
    try:
        for encoded in piece.outcomes:
            replica.outcomes.load(encoded)
    except InvalidOutcomesError as error:
        raise InvalidSnapshotError(str(error)) from None
