"""Several jobs' write sets in one transaction."""

from stileloft.model import records
from stileloft.store.job_write_set import JobWriteSet

MAX_TRANSACTION_BYTES = 40 * 1024
"""The most bytes of values and guards in a transaction; the store accepts 64 KiB, keys included."""
GUARDS_PER_CHANGE = 4
"""Limit on the guards of a transaction, as a multiple of its limit on changes."""
JOB_END_CHANGES = 4
"""Changes that the end of a job may take; a transaction with fewer left gets no further job."""


class TransactionBatch:
    """Write sets that share a transaction, within its limits."""

    def __init__(self, max_changes: int) -> None:
        self.write_sets: list[JobWriteSet] = []
        self.max_changes = max_changes
        self.changes = 0
        self._bytes = 0
        self._guards = 1  # the leader key

    @property
    def remaining_changes(self) -> int:
        """Number of changes that may still be added."""
        return self.max_changes - self.changes

    def is_full(self) -> bool:
        """Whether too few changes remain for a further job."""
        return self.changes >= max(1, self.max_changes - JOB_END_CHANGES + 1)

    def add(self, write_set: JobWriteSet) -> bool:
        """Adds a write set unless the transaction would exceed its limits; returns whether it was added.

        The first write set is always added.
        """
        size = records.max_compact_bytes([write_set.puts, write_set.guards])
        guards = self._guards + len(write_set.guards)
        if self.write_sets and (
            self.changes + write_set.changes > self.max_changes
            or self._bytes + size > MAX_TRANSACTION_BYTES
            or guards > GUARDS_PER_CHANGE * self.max_changes
        ):
            return False
        self.write_sets.append(write_set)
        self.changes += write_set.changes
        self._bytes += size
        self._guards = guards
        return True
