"""What a leader needs to write to the store."""

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
    """The store as the leader writes it: each transaction is guarded on the leadership."""

    client: StateClient
    write_budget: TokenBucket
    """The leader's part of the store's limit on changes."""
    limits: StoreLimits
    format: RecordFormat
    lease: LeaderLease

    async def commit(
        self, puts: Mapping[str, Any], deletes: Iterable[str] = (), guards: Mapping[str, int] | None = None
    ) -> int:
        """One transaction under the leader's guard; returns its revision.

        Raises the errors of `StateClient.commit`; a `ConflictError` that names the leader key says that another
        controller was elected.
        """
        return await self.client.commit({**self.lease.guard(), **(guards or {})}, dict(puts), list(deletes))
