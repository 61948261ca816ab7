"""Tells a store that was lost from one that can't be reached: what the feature answers to the other modules."""

from collections.abc import Iterable, Mapping
from typing import Any

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.protocol.state import StoreLostError
from stileloft.rebuild import unresolved_tasks
from stileloft.rebuild.change_broadcast import ChangeBroadcaster
from stileloft.rebuild.change_notice import ChangeNotice
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.identity import FIRST_GENERATION
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.loss_detector import LossDetector
from stileloft.rebuild.rebuild_start import begin_rebuild
from stileloft.rebuild.store_status import StorePhase, StoreStatus
from stileloft.rebuild.token_history import TokenHistory
from stileloft.store.integrity import StoreIntegrity


class StoreProtection(StoreIntegrity):
    """The store may lose its records, and is trusted only while its identity is the known one."""

    detects_loss = True

    def __init__(
        self,
        environment: RebuildEnvironment,
        store: StoreStatus,
        tokens: TokenHistory,
        replicas: LocalReplicas,
        detector: LossDetector,
    ) -> None:
        self._environment = environment
        self._store = store
        self._tokens = tokens
        self._replicas = replicas
        self._detector = detector
        self._broadcaster = ChangeBroadcaster(environment, store)

    # -- trust ----------------------------------------------------------------------

    def is_sound(self) -> bool:
        """Whether the store may be trusted, and written."""
        return self._store.is_sound()

    def may_campaign(self) -> bool:
        """Whether this controller may seek the leadership: not before it has checked the store."""
        return self._store.phase is not StorePhase.STARTING

    def is_rebuilding(self) -> bool:
        """Whether a new leader has to write lost records back before anything else."""
        return self._store.phase is StorePhase.REBUILDING

    def guards(self) -> dict[str, int]:
        """Conditions under which a transaction is one of the store as it is known."""
        return self._store.guards()

    async def verify(self) -> None:
        """Asks whether the store is still the one that is known; raises `StoreLostError` if not."""
        await self._store.read_identity()
        if not self.is_sound():
            raise StoreLostError(f"the store is {self._store.phase}: {self._store.reason}")

    async def verify_absence(self) -> None:
        """The same, before a user is told that something does not exist; raises it also while that is not known yet."""
        await self.verify()
        if not self.has_all_outcomes():
            raise StoreLostError("the rebuilt store was not read yet")
        identity = self._store.identity
        if identity is not None and identity.unreconciled_members:
            members = ", ".join(identity.unreconciled_members)
            raise StoreLostError(f"it may be known to {members}, which could not be reached")

    def request_verification(self) -> None:
        """Has the store verified soon: something was not as it should be."""
        self._detector.request_check()

    # -- tokens ---------------------------------------------------------------------

    async def begin_term(self, version: int) -> int:
        """The token of a leader whose key has this version; a lost store is marked as being rebuilt."""
        if self._store.phase in (StorePhase.LOST, StorePhase.REBUILDING):
            return await begin_rebuild(self._environment, self._store, self._tokens, version)
        identity = self._store.identity
        token = version if identity is None else identity.token_base + version
        if token <= self._tokens.highest:
            # Tokens are versions of the store, so one that is known and is not lower shows that it has gone back.
            self._store.mark_lost(f"workers know token {self._tokens.highest}, and the next one would be {token}")
            raise StoreLostError(self._store.reason)
        self._tokens.begin_term(token, self._store.generation)
        return token

    def observe_token(self, token: int) -> None:
        """A worker knows this token."""
        self._tokens.observe(token)

    def record_raised_token(self, token: int) -> None:
        """As the leader, we issue this token to a worker, which is above the one of our election."""
        self._tokens.record_raised(token)

    # -- changes --------------------------------------------------------------------

    def record_commit(
        self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int, announce_all: bool = True
    ) -> None:
        """Applies a change of ours to the replica, and notifies the other controllers."""
        identity = self._store.identity
        if self._store.phase is not StorePhase.SOUND or identity is None:
            return
        deleted = list(deletes)
        self._replicas.record_commit(identity.generation, puts, deleted, revision)
        # A leader's placements are found again by the workers' heartbeats; what users were told is not.
        self._broadcaster.add(puts if announce_all else _outcomes_only(puts), deleted, revision)

    def apply_notice(self, notice: ChangeNotice) -> None:
        """Another controller has changed the store."""
        if self._store.phase is StorePhase.SOUND and notice.deployment == self._store.deployment:
            self._replicas.apply_notice(notice)

    # -- jobs -----------------------------------------------------------------------

    def has_all_outcomes(self) -> bool:
        """Whether jobs that ended are known, wherever that is recorded."""
        # A rebuild records outcomes in a form of its own, which is read with the replica.
        identity = self._store.identity
        if identity is None or identity.generation == FIRST_GENERATION:
            return True
        return self._replicas.is_complete(identity.generation)

    def outcome_of(self, job: str) -> JobOutcome | None:
        """How a job ended of which the store has no record of its own."""
        return self._replicas.current.outcomes.get(job)

    def has_lost_spec(self, job: str) -> bool:
        """Whether a job is known by workers' heartbeats alone."""
        record = self._replicas.current.records.get(records.UNRESOLVED + job)
        return record is not None and unresolved_tasks.from_record(record.value()).spec_lost


def _outcomes_only(puts: Mapping[str, Any]) -> dict[str, Any]:
    """Of the changes, those that end jobs."""
    return {key: value for key, value in puts.items() if key.startswith(records.FINAL)}
