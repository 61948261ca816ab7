"""A controller's copy of the records in the state service."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any, NamedTuple

import orjson

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.rebuild.errors import InvalidOutcomesError
from stileloft.rebuild.job_outcomes import JobOutcomes

# Records that a rebuild writes back. Workers report their cached images again, and outcomes are kept separately.
RESTORED_PREFIXES = (records.ACTIVE, records.TASKS, records.PROVISIONED, records.UNRESOLVED)
RESTORED_KEYS = (records.SETTINGS, records.FORMAT)


def is_restored(key: str) -> bool:
    """Whether a rebuild writes the record of this key back."""
    return key in RESTORED_KEYS or key.startswith(RESTORED_PREFIXES)


class RecordChange(NamedTuple):
    """A change of one record of the store; encoded as a list of three items."""

    key: str
    value: Any
    """The new value; None if the record was deleted."""
    version: int


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """An encoded record of the store, which takes less memory than a decoded one."""

    data: bytes
    version: int

    @classmethod
    def encode(cls, value: Any, version: int) -> "StoredRecord":
        """Returns the record with this value, encoded."""
        return cls(orjson.dumps(value), version)

    def value(self) -> Any:
        """Returns the decoded value."""
        return orjson.loads(self.data)


class Replica:
    """Records of the store with the versions in which they were last seen, and job outcomes.

    Changes come from the store's change feed, in order but delayed, and from this and other controllers as they
    commit. So a change is not applied if a newer one of the same key has been applied.
    """

    def __init__(self, generation: int = 0) -> None:
        self.generation = generation
        """Generation of the store; versions of different generations are not comparable."""
        self.revision = 0
        """Revision of the store up to which all changes are applied."""
        self.complete = False
        """Whether all records of the store have been read."""
        self.records: dict[str, StoredRecord] = {}
        self.outcomes = JobOutcomes()
        self._deleted: dict[str, int] = {}
        """Versions of deletions after `revision`, by key: the feed may still deliver older changes of the keys."""

    def apply(self, key: str, value: Any, version: int) -> None:
        """Applies a change of a record; a value of None is a deletion."""
        if key.startswith(records.FINAL):
            if value is not None:
                self.outcomes.add(key[len(records.FINAL) :], JobOutcome(str(value["phase"]), int(value["n"])))
        elif key.startswith(records.ENDED):
            if value is not None:
                self._load_outcomes(value)
        elif is_restored(key):
            self._apply_record(key, value, version)

    def apply_all(self, changes: Iterable[tuple[str, Any, int]]) -> None:
        """Applies changes in order."""
        for key, value, version in changes:
            self.apply(key, value, version)

    def _load_outcomes(self, value: Any) -> None:
        try:
            self.outcomes.load(value)
        except InvalidOutcomesError:
            # A later version of the program wrote this record, which stays in the store as it is.
            return

    def _apply_record(self, key: str, value: Any, version: int) -> None:
        previous = self.records.get(key)
        if version < self._deleted.get(key, 0) or (previous is not None and version < previous.version):
            return
        if value is None:
            self.records.pop(key, None)
            self._deleted[key] = version
        else:
            self._deleted.pop(key, None)
            self.records[key] = StoredRecord.encode(value, version)

    def advance(self, revision: int) -> None:
        """Records that all changes up to a revision of the store have been applied."""
        self.revision = max(self.revision, revision)
        self._deleted = {key: version for key, version in self._deleted.items() if version > self.revision}

    def values(self, prefix: str) -> Iterator[tuple[str, Any]]:
        """Yields the keys under a prefix with their decoded values."""
        for key, record in self.records.items():
            if key.startswith(prefix):
                yield key, record.value()
