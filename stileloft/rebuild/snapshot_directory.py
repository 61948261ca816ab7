"""Snapshots in a folder, for small sites that have a disk."""

import contextlib
import logging
import os
from pathlib import Path

from stileloft.rebuild.snapshot import InvalidSnapshotError, Snapshot, from_pieces, read_piece, to_pieces

log = logging.getLogger(__name__)

SUFFIX = ".snapshot"
# So many of the newest are kept, as the last one may be damaged.
KEPT = 2


class SnapshotDirectory:
    """The newest snapshots of one controller, each a file with a piece a line."""

    def __init__(self, path: str, member: str) -> None:
        self._folder = Path(path)
        self._member = member

    def save(self, snapshot: Snapshot) -> None:
        """Writes a snapshot beside the last one; a failure is logged, and changes nothing."""
        name = f"{self._member}-{snapshot.replica.generation:06d}-{snapshot.replica.revision:012d}{SUFFIX}"
        written = self._folder / f".{name}.new"
        try:
            with written.open("wb") as file:
                file.write(b"\n".join(to_pieces(snapshot)) + b"\n")
                file.flush()
                os.fsync(file.fileno())
            written.replace(self._folder / name)
            for old in self._files()[KEPT:]:
                old.unlink()
        except OSError as error:
            log.error("the snapshot cannot be written to %s: %s", self._folder, error)
            with contextlib.suppress(OSError):
                written.unlink()

    def load(self) -> Snapshot | None:
        """The newest snapshot that can be used; what is wrong with the others is logged."""
        try:
            files = self._files()
        except OSError as error:
            log.error("the folder of snapshots cannot be read: %s", error)
            return None
        for path in files:
            try:
                return from_pieces([read_piece(line, None) for line in path.read_bytes().splitlines()])
            except (OSError, InvalidSnapshotError) as error:
                log.error("snapshot %s is passed over: %s", path.name, error)
        return None

    def _files(self) -> list[Path]:
        """This controller's snapshots, the newest first."""
        found = [path for path in self._folder.iterdir() if path.name.startswith(f"{self._member}-")]
        return sorted((path for path in found if path.suffix == SUFFIX), reverse=True)
