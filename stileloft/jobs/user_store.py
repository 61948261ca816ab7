"""Access to the store for users' requests, on every controller: within budgets, and only while the store is intact."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from stileloft.jobs.errors import RetryLaterError
from stileloft.model import records
from stileloft.protocol.state import (
    ConflictError,
    StateClient,
    ThrottledError,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.rate_limit import TokenBucket

REBUILD_RETRY_S = 2.0
"""Delay before users should retry while lost records are rebuilt, in seconds."""
RETRY_S = 1.0
"""Delay before users should retry in all other cases, in seconds."""


@dataclass(frozen=True, slots=True)
class UserStore:
    """The store's client, with this controller's budgets for users' requests."""

    client: StateClient
    integrity: StoreIntegrity
    read_budget: TokenBucket
    write_budget: TokenBucket

    def require_intact(self) -> None:
        """Raises `RetryLaterError` while records of the store, or outcomes of jobs, are known to be missing."""
        if not self.integrity.is_sound() or not self.integrity.has_all_outcomes():
            raise RetryLaterError("the state service has lost records, which are being rebuilt", REBUILD_RETRY_S)

    def check_identity(self, conflict: ConflictError) -> None:
        """Raises `RetryLaterError` if the transaction failed because the store has another identity."""
        if records.IDENTITY in conflict.failed:
            self.integrity.request_verification()
            raise RetryLaterError("the state service is being verified", RETRY_S)

    def take_reads(self, reads: float = 1.0) -> None:
        """Takes reads from the read budget; raises `RetryLaterError` if it holds too few."""
        _take(self.read_budget, reads)

    def take_changes(self, changes: float) -> None:
        """Takes changes from the write budget; raises `RetryLaterError` if it holds too few."""
        _take(self.write_budget, changes)

    @contextmanager
    def refund_on_failure(self, budget: TokenBucket, amount: float) -> Iterator[None]:
        """Converts errors of the store into `RetryLaterError`, and refunds the amount for a request not executed."""
        try:
            yield
        except (UnavailableError, UnknownOutcomeError) as error:
            # Without the refund, retries during an outage would leave no budget for the requests after it.
            # A throttled request is not refunded, as its retries would starve the leader.
            if isinstance(error, UnavailableError) and not isinstance(error, ThrottledError):
                budget.refund(amount)
            raise RetryLaterError(f"state service: {error}") from None


def _take(budget: TokenBucket, amount: float) -> None:
    if not budget.try_take(amount):
        raise RetryLaterError("too many requests", RETRY_S)
