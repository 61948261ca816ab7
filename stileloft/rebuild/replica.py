"""A controller's copy of what the state service holds."""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

import orjson

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.rebuild.job_outcomes import Ends, InvalidEndsError

# What is written back as it was. Where images are is a hint that is learned anew, and ends are kept apart.
RESTORED_PREFIXES = (records.ACTIVE, records.TASKS, records.PROVISIONED, records.UNDECIDED)
RESTORED_KEYS = (records.SETTINGS, records.FORMAT)


def is_restored(key: str) -> bool:
    """Whether a record of this key is written back after a loss."""
    return key in RESTORED_KEYS or key.startswith(RESTORED_PREFIXES)


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record of the store, encoded, as many are held in little memory."""

    data: bytes
    version: int

    def value(self) -> Any:
        """What the store held under the key."""
        return orjson.loads(self.data)


class Replica:
    """Records and ends, each with the version in which it was last seen.

    Changes come from two sides: the store's own feed, in order but a little late, and what this controller has just
    written itself. So each is taken in only if it is newer than what is known of its key.
    """

    def __init__(self, generation: int = 0) -> None:
        self.generation = generation
        """Of the store that it follows; records of another generation can't be compared by their versions."""
        self.revision = 0
        """All changes up to this revision of the store are in it."""
        self.complete = False
        """Whether all records were read once."""
        self.records: dict[str, StoredRecord] = {}
        self.ends = Ends()
        self._deleted: dict[str, int] = {}
        """Keys deleted after `revision`, and in which version: the feed may still bring an older record of them."""

    def apply(self, key: str, value: Any, version: int) -> None:
        """Takes in a change: a value, or None for a deletion."""
        if key.startswith(records.FINAL):
            if value is not None:
                self.ends.add(key[len(records.FINAL) :], JobOutcome(str(value["phase"]), int(value["n"])))
        elif key.startswith(records.ENDED):
            if value is not None:
                self._load_ends(value)
        elif is_restored(key):
            self._apply_record(key, value, version)

    def _load_ends(self, value: Any) -> None:
        try:
            self.ends.load(value)
        except InvalidEndsError:
            # Written by a version to come: what it tells is in the store still, and is not ours to lose.
            return

    def _apply_record(self, key: str, value: Any, version: int) -> None:
        known = self.records.get(key)
        if version < self._deleted.get(key, 0) or (known is not None and version < known.version):
            return
        if value is None:
            self.records.pop(key, None)
            self._deleted[key] = version
        else:
            self._deleted.pop(key, None)
            self.records[key] = StoredRecord(orjson.dumps(value), version)

    def advance(self, revision: int) -> None:
        """All changes up to a revision of the store have been taken in."""
        self.revision = max(self.revision, revision)
        self._deleted = {key: version for key, version in self._deleted.items() if version > self.revision}

    def values(self, prefix: str) -> Iterator[tuple[str, Any]]:
        """Keys under a prefix, with what the store held there."""
        for key, record in self.records.items():
            if key.startswith(prefix):
                yield key, record.value()
