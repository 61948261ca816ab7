"""A replica in bounded pieces, as it is sent to another controller or written to a folder."""

import hashlib
from typing import Any

import msgspec
import orjson
from msgspec import Struct

from stileloft.rebuild.job_outcomes import Ends, InvalidEndsError
from stileloft.rebuild.replica import Replica, StoredRecord, is_restored

SNAPSHOT_FORMAT = 1
# The records in a piece take about so many bytes, and no more than this and one record.
PIECE_BYTES = 48 * 1024


class InvalidSnapshotError(Exception):
    """A snapshot that can't be used; the text says why."""


class Holder(Struct, frozen=True):
    """Who made a snapshot, and what it knows of the leaders."""

    member: str
    deployment: str
    led_token: int = 0
    """The highest token under which this process has led: what it committed is all in its replica."""
    led_generation: int = 0
    """The generation of the store in which it did."""
    highest_token: int = 0
    """The highest token that it has seen anywhere."""

    def led_last(self, token: int, replica: Replica) -> bool:
        """Whether it led with this token, and the replica has all that it committed then."""
        return self.led_token == token > 0 and replica.complete and replica.generation == self.led_generation


class Piece(Struct, frozen=True):
    """A part of a snapshot; each says what it is a part of, and carries a digest of what it holds."""

    format: int
    holder: Holder
    generation: int
    revision: int
    complete: bool
    number: int
    pieces: int
    records: list[tuple[str, Any, int]]
    ends: list[Any]
    digest: str


class Snapshot(Struct):
    """A replica with its holder."""

    holder: Holder
    replica: Replica


def _digest(records: list[tuple[str, Any, int]], ends: list[Any]) -> str:
    return hashlib.sha256(orjson.dumps([records, ends])).hexdigest()


def to_pieces(snapshot: Snapshot) -> list[bytes]:
    """The snapshot, encoded."""
    replica = snapshot.replica
    contents: list[tuple[list[tuple[str, Any, int]], list[Any]]] = []
    batch: list[tuple[str, Any, int]] = []
    size = 0
    for key, record in sorted(replica.records.items()):
        if batch and size + len(record.data) > PIECE_BYTES:
            contents.append((batch, []))
            batch, size = [], 0
        batch.append((key, record.value(), record.version))
        size += len(key) + len(record.data)
    contents.append((batch, []))
    contents += [([], [ends]) for ends in replica.ends.to_records(PIECE_BYTES)]
    return [
        msgspec.json.encode(
            Piece(
                SNAPSHOT_FORMAT,
                snapshot.holder,
                replica.generation,
                replica.revision,
                replica.complete,
                number,
                len(contents),
                records,
                ends,
                _digest(records, ends),
            )
        )
        for number, (records, ends) in enumerate(contents)
    ]


def read_piece(data: bytes, deployment: str | None) -> Piece:
    """A checked piece; `deployment`: of this one only, if it is known."""
    try:
        told = msgspec.json.decode(data)
        if isinstance(told, dict) and told.get("format") != SNAPSHOT_FORMAT:
            raise InvalidSnapshotError(f"its format is {told.get('format')!r}, not {SNAPSHOT_FORMAT}")
        piece = msgspec.convert(told, Piece)
    except msgspec.MsgspecError as error:
        raise InvalidSnapshotError(f"it cannot be read: {error}") from None
    # A controller that has just begun knows of no deployment yet, and of nothing else.
    if deployment is not None and piece.holder.deployment not in ("", deployment):
        raise InvalidSnapshotError(f"it is of another deployment, {piece.holder.deployment}")
    if piece.digest != _digest(piece.records, piece.ends):
        raise InvalidSnapshotError(f"piece {piece.number} is damaged")
    return piece


def from_pieces(pieces: list[Piece]) -> Snapshot:
    """The snapshot that these are all pieces of, in their order."""
    if not pieces:
        raise InvalidSnapshotError("it has no pieces")
    first = pieces[0]
    told = (first.holder, first.generation, first.revision, first.pieces)
    if [piece.number for piece in pieces] != list(range(first.pieces)):
        raise InvalidSnapshotError(f"it is truncated: {len(pieces)} of {first.pieces} pieces")
    if any((piece.holder, piece.generation, piece.revision, piece.pieces) != told for piece in pieces):
        raise InvalidSnapshotError("its pieces are of different snapshots")
    replica = Replica(first.generation)
    replica.complete = first.complete
    ends = Ends()
    for piece in pieces:
        for key, value, version in piece.records:
            if not is_restored(key):
                raise InvalidSnapshotError(f"it holds a record {key!r} that is none of a snapshot's")
            replica.records[key] = StoredRecord(orjson.dumps(value), version)
        try:
            for encoded in piece.ends:
                ends.load(encoded)
        except InvalidEndsError as error:
            raise InvalidSnapshotError(str(error)) from None
    replica.ends = ends
    replica.advance(first.revision)
    return Snapshot(first.holder, replica)
