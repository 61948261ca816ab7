"""Whether the state service still holds what it was given: what other modules ask, and the answer if nobody checks.

The feature `rebuild` puts `stileloft.rebuild.protection` in place of what is here.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from stileloft.model.records import JobOutcome


class StoreIntegrity:
    """The store is trusted: it never loses anything, and needs no identity."""

    detects_loss = False
    """Whether a loss would be noticed at all."""

    def is_sound(self) -> bool:
        """Whether the store may be trusted, and written."""
        return True

    def may_campaign(self) -> bool:
        """Whether this controller may seek the leadership."""
        return True

    def is_rebuilding(self) -> bool:
        """Whether a new leader has to write lost records back before anything else."""
        return False

    def guards(self) -> dict[str, int]:
        """Conditions under which a transaction is one of the store as it is known."""
        return {}

    async def verify(self) -> None:
        """Asks whether the store is still the one that is known; raises `StoreLostError` if not."""

    async def verify_absence(self) -> None:
        """The same, before a user is told that something does not exist; raises it also while that is not known yet."""

    def has_all_outcomes(self) -> bool:
        """Whether jobs that ended are known, wherever that is recorded."""
        return True

    def request_verification(self) -> None:
        """Has the store verified soon: something was not as it should be."""

    async def begin_term(self, version: int) -> int:
        """The token of a leader whose key has this version."""
        return version

    def observe_token(self, token: int) -> None:
        """A worker knows this token."""

    def record_raised_token(self, token: int) -> None:
        """As the leader, we tell a worker this token, which is above the one of our election."""

    def record_commit(
        self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int, announce_all: bool = True
    ) -> None:
        """Takes note of a change of ours; `announce_all`: users are told of all of it, not only of outcomes."""

    def outcome_of(self, _job: str) -> JobOutcome | None:
        """How a job ended of which the store has no record of its own."""
        return None

    def has_lost_spec(self, _job: str) -> bool:
        """Whether a job is known by workers' heartbeats alone."""
        return False
