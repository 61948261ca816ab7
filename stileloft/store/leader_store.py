"""The leader's write access to the store."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from stileloft.leadership.lease import LeaderLease
from stileloft.protocol.state import StateClient
from stileloft.store.limits import StoreLimits
from stileloft.store.record_format import RecordFormat
from stileloft.transport.rate_limit import TokenBucket


@dataclass(frozen=True, slots=True)
class LeaderStore:
    """The store as the leader writes it: each transaction is guarded on the leader key."""

    client: StateClient
    write_budget: TokenBucket
    """The leader's share of the store's rate limit on changes."""
    limits: StoreLimits
    format: RecordFormat
    lease: LeaderLease

    async def commit(
        self, puts: Mapping[str, Any], deletes: Iterable[str] = (), guards: Mapping[str, int] | None = None
    ) -> int:
        """Executes one transaction, guarded on the leader key as well; returns its revision.

        Raises the errors of `StateClient.commit`; a `ConflictError` that names the leader key means that another
        controller was elected.
        """
        return await self.client.commit({**self.lease.guard(), **(guards or {})}, dict(puts), list(deletes))
