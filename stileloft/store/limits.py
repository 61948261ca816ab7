"""What the store takes in one transaction and in one value."""

from collections.abc import Iterable
from typing import Any

from stileloft.model import records
from stileloft.settings import State

MIN_OPS = 2
"""Changes in a transaction below which a limit is not believed: a job's end takes two."""
MIN_VALUE_BYTES = 512
"""Bytes of a value below which a limit is not believed."""


class StoreLimits:
    """What the store takes in a transaction and a value: the least of the limits known, or less if it refused that."""

    def __init__(self, state: State) -> None:
        least = state.least()
        self.ops = least.txn_ops
        self.value_bytes = least.value_bytes

    def reduce_after_refusal(self, values: Iterable[Any], changes: int) -> None:
        """A transaction of these values, and so many changes in all, was too large; which of the two is not said.

        First fewer changes are tried. Smaller values make records of more pieces, and so transactions of more changes:
        tried first, they could come to be refused for their changes for good.
        """
        largest = max((records.json_bytes(value) for value in values), default=0)
        if changes > MIN_OPS and self.ops > MIN_OPS:
            self.ops = max(MIN_OPS, min(self.ops, changes) // 2)
        elif largest > MIN_VALUE_BYTES // 2 or changes <= MIN_OPS:
            self.value_bytes = max(MIN_VALUE_BYTES, self.value_bytes // 2)
