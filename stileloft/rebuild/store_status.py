"""Phase and identity of the store (the state service's records), as this controller knows them."""

import logging
from collections.abc import Callable
from enum import StrEnum
from typing import Any

from stileloft.model import records
from stileloft.protocol.state import StateClient
from stileloft.rebuild import identity as identities
from stileloft.rebuild.errors import InvalidIdentityError
from stileloft.rebuild.identity import Identity
from stileloft.rebuild.token_history import TokenHistory
from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)


class StorePhase(StrEnum):
    """Whether the store's records can be trusted."""

    STARTING = "starting"
    """The store has not been checked yet, or may have lost all records before this process started."""
    UNPROTECTED = "unprotected"
    """The store has no identity, because not all controllers are known to have the feature `rebuild`."""
    SOUND = "sound"
    """The store's identity and revisions are consistent with what this controller knows."""
    LOST = "lost"
    """The store went back to an older state, or its identity is missing or wrong; no leader has begun a rebuild."""
    REBUILDING = "rebuilding"
    """A leader is writing the records back."""


class StoreStatus:
    """Derives the phase of the store from its identity record and its revisions."""

    def __init__(
        self, state: StateClient, clock: Clock, tokens: TokenHistory, forget_record_versions: Callable[[], None]
    ) -> None:
        self._state = state
        self._clock = clock
        self._tokens = tokens
        self._forget_record_versions = forget_record_versions
        self.phase = StorePhase.STARTING
        self.identity: Identity | None = None
        self.identity_version = 0
        self.lost_at: float | None = None
        """Time of the first loss since the store was last sound, by this process's clock; None if there was none."""
        self.reason = ""
        """Why the store was marked as lost; empty once it is sound again."""
        self._revision_at_loss = 0
        state.on_revision_regression = self._on_revision_regress

    @property
    def deployment(self) -> str:
        """Identifier of the deployment that the store belongs to; empty if not known."""
        return "" if self.identity is None else self.identity.deployment

    @property
    def generation(self) -> int:
        """Generation of the store, which each rebuild increments; 0 if not known."""
        return 0 if self.identity is None else self.identity.generation

    def is_sound(self) -> bool:
        """Whether the store may be read and written."""
        return self.phase in (StorePhase.UNPROTECTED, StorePhase.SOUND)

    def guards(self) -> dict[str, int]:
        """Returns guards under which a transaction commits only if the store has the identity that is known here."""
        if self.phase is StorePhase.SOUND:
            return {records.IDENTITY: self.identity_version}
        if self.phase is StorePhase.UNPROTECTED:
            return {records.IDENTITY: 0}
        return {}

    async def read_identity(self) -> None:
        """Reads the identity record and updates the phase."""
        self.evaluate_identity(*await self._state.lookup_at(records.IDENTITY))

    # -- phase changes ------------------------------------------------------------

    def _on_revision_regress(self, previous: int, revision: int) -> None:
        self.mark_lost(f"the store has gone back from revision {previous} to {revision}")

    def mark_lost(self, reason: str) -> None:
        """Marks the store as lost: it is not trusted until a leader has written its records back."""
        if self.phase is StorePhase.LOST:
            return
        log.error("state service lost records generation=%d reason=%r", self.generation, reason)
        self.phase, self.reason = StorePhase.LOST, reason
        if self.lost_at is None:
            self.lost_at = self._clock.seconds()
        # Revisions from before the loss no longer count as a lower bound.
        self._revision_at_loss = self._state.highest_revision
        self._state.reset_revisions()

    def mark_unprotected(self) -> None:
        """Marks the store as unprotected: it is used, but has no identity with which a loss would be detected."""
        self.phase = StorePhase.UNPROTECTED
        log.info(
            "state service has no identity, loss of its records is not detected phase=%s generation=%d",
            self.phase,
            self.generation,
        )

    def evaluate_identity(self, found: tuple[Any, int] | None, revision: int) -> None:
        """Updates the phase from the identity record's value and version, read at a revision of the store.

        `found` is None if the store has no identity record.
        """
        if found is None:
            if self.identity is not None:
                self.mark_lost("its identity is gone")
            return
        value, version = found
        try:
            current = identities.from_record(value)
        except InvalidIdentityError as error:
            self.mark_lost(str(error))
            return
        expected = self.identity
        if expected is not None and current.deployment != expected.deployment:
            self.mark_lost(f"it belongs to another deployment, {current.deployment}")
        elif expected is not None and current.generation < expected.generation:
            self.mark_lost(f"it is of generation {current.generation}, and {expected.generation} was known")
        elif self.phase is StorePhase.LOST and expected == current and revision < self._revision_at_loss:
            return  # an older state of the same store, which has to be rebuilt
        else:
            self.accept_identity(current, version)

    def apply_identity_change(self, value: Any, version: int) -> None:
        """Updates the phase from a change of the identity record in the change feed; a value of None is a deletion."""
        if value is None or version > self.identity_version:
            self.evaluate_identity(None if value is None else (value, version), version)

    def accept_identity(self, current: Identity, version: int) -> None:
        """Adopts the identity that the store holds, with the version of its record."""
        previous_phase, previous = self.phase, self.identity
        if previous is not None and previous.generation != current.generation:
            self._forget_record_versions()
            # Pending requests were made to the previous generation of the store; their replies must not be used.
            self._state.reset_revisions()
        self.identity, self.identity_version = current, version
        self.phase = StorePhase.REBUILDING if current.rebuilding else StorePhase.SOUND
        if previous is None and previous_phase is StorePhase.UNPROTECTED:
            # A term that began before the store had an identity continues in its first generation.
            self._tokens.last_term_generation = current.generation
        if self.phase is StorePhase.SOUND:
            self.lost_at, self.reason = None, ""
        if self.phase is not previous_phase:
            log.info("state service phase changed phase=%s generation=%d", self.phase, current.generation)

    def begin_rebuild(self, marked: Identity, version: int) -> None:
        """Records that this controller, as the leader, has marked the store as being rebuilt."""
        self.identity, self.identity_version = marked, version
        self.phase = StorePhase.REBUILDING
