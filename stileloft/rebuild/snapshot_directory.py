"""Stores snapshots in a directory, at small sites that have a disk."""

import contextlib
import logging
import os
from pathlib import Path

from stileloft.rebuild.errors import InvalidSnapshotError
from stileloft.rebuild.snapshot import Snapshot, from_pieces, read_piece, to_pieces

log = logging.getLogger(__name__)

SUFFIX = ".snapshot"
# Number of snapshots that are kept, as the newest one may be damaged.
KEPT_SNAPSHOTS = 2


class SnapshotDirectory:
    """The newest snapshots of one controller, each a file with one piece per line."""

    def __init__(self, path: str, member: str) -> None:
        self._directory = Path(path)
        self._member = member

    def save(self, snapshot: Snapshot) -> None:
        """Writes a snapshot to a file of its own, and deletes old ones; a failure is logged and not raised."""
        name = f"{self._member}-{snapshot.replica.generation:06d}-{snapshot.replica.revision:012d}{SUFFIX}"
        temporary = self._directory / f".{name}.new"
        try:
            with temporary.open("wb") as file:
                file.write(b"\n".join(to_pieces(snapshot)) + b"\n")
                file.flush()
                os.fsync(file.fileno())
            temporary.replace(self._directory / name)
            for old in self._files()[KEPT_SNAPSHOTS:]:
                old.unlink()
        except OSError as error:
            log.error("snapshot cannot be written directory=%s error=%s", self._directory, error)  # noqa: TRY400 - expected error, needs no traceback
            with contextlib.suppress(OSError):
                temporary.unlink()

    def load(self) -> Snapshot | None:
        """Returns the newest valid snapshot, or None; logs why newer ones are skipped."""
        try:
            files = self._files()
        except OSError as error:
            log.error("snapshot directory cannot be read directory=%s error=%s", self._directory, error)  # noqa: TRY400 - expected error, needs no traceback
            return None
        for path in files:
            try:
                return from_pieces([read_piece(line, None) for line in path.read_bytes().splitlines()])
            except (OSError, InvalidSnapshotError) as error:
                log.error("snapshot skipped file=%s error=%s", path.name, error)  # noqa: TRY400 - expected error, needs no traceback
        return None

    def _files(self) -> list[Path]:
        """Returns this controller's snapshot files, newest first."""
        found = [path for path in self._directory.iterdir() if path.name.startswith(f"{self._member}-")]
        return sorted((path for path in found if path.suffix == SUFFIX), reverse=True)
