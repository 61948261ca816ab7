"""The check that the state service still holds its records: its interface, and an implementation without checks.

The feature `rebuild` replaces it by `stileloft.rebuild.protection.StoreProtection`.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from stileloft.model.records import JobOutcome


class StoreIntegrity:
    """Trusts the store: assumes that it never loses records, and verifies no identity."""

    detects_loss = False
    """Whether a loss of records is detected."""

    def is_sound(self) -> bool:
        """Whether the store may be trusted and written."""
        return True

    def may_campaign(self) -> bool:
        """Whether this controller may stand for election."""
        return True

    def is_rebuilding(self) -> bool:
        """Whether a new leader has to restore lost records before anything else."""
        return False

    def guards(self) -> dict[str, int]:
        """Returns the guards by which a transaction fails in a store with another identity."""
        return {}

    async def verify(self) -> None:
        """Checks that the store still has the known identity; raises `StoreLostError` if not."""

    async def verify_absence(self) -> None:
        """Like `verify`, before a user is told that a job does not exist.

        Raises `StoreLostError` also while not all replicas that may hold the job's record have been read.
        """

    def has_all_outcomes(self) -> bool:
        """Whether the outcomes of all ended jobs can be looked up, including those recorded by a rebuild."""
        return True

    def request_verification(self) -> None:
        """Requests a verification of the store soon, after an unexpected answer."""

    async def begin_term(self, version: int) -> int:
        """Returns the first fencing token of a leader whose leader key has this version."""
        return version

    def observe_token(self, token: int) -> None:
        """Records that a worker knows this fencing token."""

    def record_raised_token(self, token: int) -> None:
        """Records that this leader issues this fencing token to a worker; it is higher than the leader's first one."""

    def record_commit(
        self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int, announce_all: bool = True
    ) -> None:
        """Records a commit of this controller.

        `announce_all`: the other controllers are notified of all its changes, not only of the outcomes of jobs.
        """

    def outcome_of(self, _job: str) -> JobOutcome | None:
        """Returns the outcome of a job that has no final record; None if there is none."""
        return None

    def has_lost_spec(self, _job: str) -> bool:
        """Whether a job is known only from workers' heartbeats, as the store has lost its specification."""
        return False
