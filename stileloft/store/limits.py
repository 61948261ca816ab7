"""The store's limits on a transaction and on a value."""

from collections.abc import Iterable
from typing import Any

from stileloft.model import records
from stileloft.settings import State

MIN_CHANGES = 2
"""The lowest limit on the changes of a transaction that is assumed: a job's end takes two."""
MIN_VALUE_BYTES = 512
"""The lowest limit on the bytes of a value that is assumed."""


class StoreLimits:
    """Limits of a transaction and of a value: the lowest announced, or lower after a refusal."""

    def __init__(self, state: State) -> None:
        least = state.strictest()
        self.max_changes = least.txn_ops
        self.max_value_bytes = least.value_bytes

    def reduce_after_refusal(self, values: Iterable[Any], changes: int) -> None:
        """Lowers a limit after a transaction of these values and so many changes was too large.

        The store does not say which limit it was. Fewer changes are tried first: with smaller values a chunk takes more
        records, so that its transaction could exceed the limit on changes for good.
        """
        largest = max((records.json_bytes(value) for value in values), default=0)
        if changes > MIN_CHANGES and self.max_changes > MIN_CHANGES:
            self.max_changes = max(MIN_CHANGES, min(self.max_changes, changes) // 2)
        elif largest > MIN_VALUE_BYTES // 2 or changes <= MIN_CHANGES:
            self.max_value_bytes = max(MIN_VALUE_BYTES, self.max_value_bytes // 2)
