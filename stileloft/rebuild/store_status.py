"""What this controller knows of the state service's records: whose they are, and whether they may be trusted."""

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
    """What is known of the store."""

    STARTING = "starting"
    """It was not asked yet, or it may have lost everything before this process began."""
    UNPROTECTED = "unprotected"
    """It has no identity: not all controllers have the feature, or have been reached."""
    SOUND = "sound"
    """Its records are those that are known."""
    LOST = "lost"
    """It has gone back, or its identity is gone; nobody writes the records back yet."""
    REBUILDING = "rebuilding"
    """A leader writes the records back."""


class StoreStatus:
    """Phase and identity of the store, as they follow from its identity record and its revisions."""

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
        """When the loss was noticed, by this process's clock."""
        self.reason = ""
        """Why the store counts as lost."""
        self._revision_at_loss = 0
        state.on_revision_regression = self._on_revision_regress

    @property
    def deployment(self) -> str:
        """Whose store it is; empty if that is not known."""
        return "" if self.identity is None else self.identity.deployment

    @property
    def generation(self) -> int:
        """How often the store was built; 0 if that is not known."""
        return 0 if self.identity is None else self.identity.generation

    def is_sound(self) -> bool:
        """Whether the store may be trusted, and written."""
        return self.phase in (StorePhase.UNPROTECTED, StorePhase.SOUND)

    def guards(self) -> dict[str, int]:
        """Conditions under which a transaction is one of the store as it is known."""
        if self.phase is StorePhase.SOUND:
            return {records.IDENTITY: self.identity_version}
        if self.phase is StorePhase.UNPROTECTED:
            return {records.IDENTITY: 0}
        return {}

    async def read_identity(self) -> None:
        """Reads the identity as it is now, and draws the conclusions."""
        self.evaluate_identity(*await self._state.lookup_at(records.IDENTITY))

    # -- conclusions --------------------------------------------------------------

    def _on_revision_regress(self, known: int, revision: int) -> None:
        self.mark_lost(f"the store has gone back from revision {known} to {revision}")

    def mark_lost(self, reason: str) -> None:
        """From now on the store is not trusted, until a leader has written its records back."""
        if self.phase is StorePhase.LOST:
            return
        log.error("state service lost records generation=%d reason=%s", self.generation, reason)
        self.phase, self.reason = StorePhase.LOST, reason
        if self.lost_at is None:
            self.lost_at = self._clock.seconds()
        # Its revisions are compared with those of before no longer.
        self._revision_at_loss = self._state.highest_revision
        self._state.reset_revisions()

    def mark_unprotected(self) -> None:
        """The store has no identity, and may be trusted all the same."""
        self.phase = StorePhase.UNPROTECTED
        log.info("state service has no identity yet, a loss of its records would not be detected")

    def evaluate_identity(self, found: tuple[Any, int] | None, revision: int) -> None:
        """Draws the conclusions from the identity's value and version, as they are at a revision of the store."""
        if found is None:
            if self.identity is not None:
                self.mark_lost("its identity is gone")
            return
        value, version = found
        try:
            present = identities.from_record(value)
        except InvalidIdentityError as error:
            self.mark_lost(str(error))
            return
        known = self.identity
        if known is not None and present.deployment != known.deployment:
            self.mark_lost(f"it belongs to another deployment, {present.deployment}")
        elif known is not None and present.generation < known.generation:
            self.mark_lost(f"it is of generation {present.generation}, and {known.generation} was known")
        elif self.phase is StorePhase.LOST and known == present and revision < self._revision_at_loss:
            return  # an older state of the same store: it has to be rebuilt
        else:
            self.accept_identity(present, version)

    def apply_identity_change(self, value: Any, version: int) -> None:
        """The store's feed of changes holds one of the identity record."""
        if value is None or version > self.identity_version:
            self.evaluate_identity(None if value is None else (value, version), version)

    def accept_identity(self, present: Identity, version: int) -> None:
        """The store's identity is this one, in this version of its record."""
        before, known = self.phase, self.identity
        if known is not None and known.generation != present.generation:
            self._forget_record_versions()
            # What is still under way was asked of the store that was lost.
            self._state.reset_revisions()
        self.identity, self.identity_version = present, version
        self.phase = StorePhase.REBUILDING if present.rebuilding else StorePhase.SOUND
        if known is None and before is StorePhase.UNPROTECTED:
            # A leadership that began before the store had an identity goes on in its first generation.
            self._tokens.last_term_generation = present.generation
        if self.phase is StorePhase.SOUND:
            self.lost_at, self.reason = None, ""
        if self.phase is not before:
            log.info("state service phase changed phase=%s generation=%d", self.phase, present.generation)

    def begin_rebuild(self, marked: Identity, version: int) -> None:
        """We have marked the store as being rebuilt."""
        self.identity, self.identity_version = marked, version
        self.phase = StorePhase.REBUILDING
