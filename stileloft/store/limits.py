"""The store's limits on a transaction and on a value."""

from collections.abc import Iterable
from typing import Any

from stileloft.model import records
from stileloft.settings import State

MIN_CHANGES = 2
"""Lower bound of the limit on the changes of a transaction: the end of a job takes two."""
MIN_VALUE_BYTES = 512
"""Lower bound of the limit on the bytes of a value."""


class StoreLimits:
    """Limits of a transaction and of a value: the lowest that are announced, lowered further after a refusal."""

    def __init__(self, state: State) -> None:
        announced = state.strictest()
        self.max_changes = announced.txn_ops
        self.max_value_bytes = announced.value_bytes

    def reduce_after_refusal(self, values: Iterable[Any], changes: int) -> None:
        """Lowers a limit after a transaction with these values and this number of changes was too large.

        The store does not say which limit was exceeded. The limit on changes is lowered first: with smaller values a
        chunk takes more records, and its transaction might never fit the limit on changes.
        """
        largest = max((records.json_bytes(value) for value in values), default=0)
        if changes > MIN_CHANGES and self.max_changes > MIN_CHANGES:
            self.max_changes = max(MIN_CHANGES, min(self.max_changes, changes) // 2)
        elif largest > MIN_VALUE_BYTES // 2 or changes <= MIN_CHANGES:
            self.max_value_bytes = max(MIN_VALUE_BYTES, self.max_value_bytes // 2)
