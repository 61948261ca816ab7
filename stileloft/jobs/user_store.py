"""The store as users' requests use it, on every controller alike: within budgets, and only while it is believed."""

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
"""When users are to come back while lost records are rebuilt, in seconds."""
RETRY_S = 1.0
"""When users are to come back otherwise, in seconds."""


@dataclass(frozen=True, slots=True)
class UserStore:
    """The client of the store, with this controller's share of its limits for users."""

    client: StateClient
    integrity: StoreIntegrity
    read_budget: TokenBucket
    write_budget: TokenBucket

    def require_intact(self) -> None:
        """Raises `RetryLaterError` while records of the store are known to be lost."""
        if not self.integrity.is_sound() or not self.integrity.has_all_outcomes():
            raise RetryLaterError("the state service has lost records, which are being rebuilt", REBUILD_RETRY_S)

    def check_identity(self, conflict: ConflictError) -> None:
        """Raises `RetryLaterError` if a transaction failed as the store is not the one that is known."""
        if records.IDENTITY in conflict.failed:
            self.integrity.request_verification()
            raise RetryLaterError("the state service is being verified", RETRY_S)

    def take_reads(self, reads: float = 1.0) -> None:
        """Takes reads from the budget; raises `RetryLaterError` if it has too few."""
        _take(self.read_budget, reads)

    def take_changes(self, changes: float) -> None:
        """Takes changes from the budget; raises `RetryLaterError` if it has too few."""
        _take(self.write_budget, changes)

    @contextmanager
    def refund_on_failure(self, budget: TokenBucket, amount: float) -> Iterator[None]:
        """Turns failures of the store into `RetryLaterError`, and refunds what was taken for a request not executed."""
        try:
            yield
        except (UnavailableError, UnknownOutcomeError) as error:
            # Without the refund the repeats during an outage would leave nothing for those after it.
            # A throttled request counts, as its repeats would starve the leader.
            if isinstance(error, UnavailableError) and not isinstance(error, ThrottledError):
                budget.refund(amount)
            raise RetryLaterError(f"state service: {error}") from None


def _take(budget: TokenBucket, amount: float) -> None:
    if not budget.try_take(amount):
        raise RetryLaterError("too many requests", RETRY_S)
