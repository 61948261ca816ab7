"""A controller's copy of what the state service holds."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.rebuild.errors import InvalidOutcomesError
from stileloft.rebuild.job_outcomes import JobOutcomes

# What is written back as it was. Cached images are learned again from the workers, and outcomes are kept apart.
RESTORED_PREFIXES = (records.ACTIVE, records.TASKS, records.PROVISIONED, records.UNRESOLVED)
RESTORED_KEYS = (records.SETTINGS, records.FORMAT)


def is_restored(key: str) -> bool:
    """Whether a record of this key is written back after a loss."""
    return key in RESTORED_KEYS or key.startswith(RESTORED_PREFIXES)


class RecordChange(NamedTuple):
    """A change of one record of the store; encoded as a list of three."""

    key: str
    value: Any
    """None: the record was deleted."""
    version: int


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record of the store, encoded, as many are held in little memory."""

    data: bytes
    version: int

    @classmethod
    def encode(cls, value: Any, version: int) -> "StoredRecord":
        """The record with this value."""
        return cls(orjson.dumps(value), version)

    def value(self) -> Any:
        """What the store held under the key."""
        return orjson.loads(self.data)


class Replica:
    """Records and job outcomes, each with the version in which it was last seen.

    Changes come from two sides: the store's own feed, in order but a little late, and what this controller has just
    written itself. So each is applied only if it is newer than what is known of its key.
    """

    def __init__(self, generation: int = 0) -> None:
        self.generation = generation
        """Of the store that it follows; records of another generation can't be compared by their versions."""
        self.revision = 0
        """All changes up to this revision of the store are applied."""
        self.complete = False
        """Whether all records were read once."""
        self.records: dict[str, StoredRecord] = {}
        self.outcomes = JobOutcomes()
        self._deleted: dict[str, int] = {}
        """Keys deleted after `revision`, and in which version: the feed may still bring an older record of them."""

    def apply(self, key: str, value: Any, version: int) -> None:
        """Applies a change: a value, or None for a deletion."""
        if key.startswith(records.FINAL):
            if value is not None:
                self.outcomes.add(key[len(records.FINAL) :], JobOutcome(str(value["phase"]), int(value["n"])))
        elif key.startswith(records.ENDED):
            if value is not None:
                self._load_outcomes(value)
        elif is_restored(key):
            self._apply_record(key, value, version)

    def apply_all(self, changes: Iterable[tuple[str, Any, int]]) -> None:
        """Applies changes in their order."""
        for key, value, version in changes:
            self.apply(key, value, version)

    def _load_outcomes(self, value: Any) -> None:
        try:
            self.outcomes.load(value)
        except InvalidOutcomesError:
            # Written by a later version: the record is still in the store, and is not ours to lose.
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
            self.records[key] = StoredRecord.encode(value, version)

    def advance(self, revision: int) -> None:
        """Notes that all changes up to a revision of the store have been applied."""
        self.revision = max(self.revision, revision)
        self._deleted = {key: version for key, version in self._deleted.items() if version > self.revision}

    def values(self, prefix: str) -> Iterator[tuple[str, Any]]:
        """Keys under a prefix, with what the store held there."""
        for key, record in self.records.items():
            if key.startswith(prefix):
                yield key, record.value()
