"""The implementation of `StoreIntegrity` that tells a lost store from one that cannot be reached."""

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
    """Trusts the store only while it has the identity that this controller knows."""

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
        """Whether the store may be read and written."""
        return self._store.is_sound()

    def may_campaign(self) -> bool:
        """Whether this controller may campaign for the leadership: not before it has checked the store."""
        return self._store.phase is not StorePhase.STARTING

    def is_rebuilding(self) -> bool:
        """Whether a new leader has to write lost records back before it leads normally."""
        return self._store.phase is StorePhase.REBUILDING

    def guards(self) -> dict[str, int]:
        """Returns guards under which a transaction commits only if the store has the identity that is known here."""
        return self._store.guards()

    async def verify(self) -> None:
        """Reads the store's identity; raises `StoreLostError` if the store is not sound."""
        await self._store.read_identity()
        if not self.is_sound():
            raise StoreLostError(f"the store is {self._store.phase}: {self._store.reason}")

    async def verify_absence(self) -> None:
        """Verifies the store before a user is told that a job does not exist.

        Raises `StoreLostError` if the store is not sound, if the outcomes of ended jobs have not been read yet, or if a
        controller that may know the job could not be reached.
        """
        await self.verify()
        if not self.has_all_outcomes():
            raise StoreLostError("the rebuilt store was not read yet")
        identity = self._store.identity
        if identity is not None and identity.unreconciled_members:
            members = ", ".join(identity.unreconciled_members)
            raise StoreLostError(f"it may be known to {members}, which could not be reached")

    def request_verification(self) -> None:
        """Requests a check of the store, after a sign that it may be lost."""
        self._detector.request_check()

    # -- tokens ---------------------------------------------------------------------

    async def begin_term(self, version: int) -> int:
        """Returns the fencing token of a leader whose key has this version; marks a lost store as being rebuilt.

        Raises `StoreLostError` if the token would not be above all known ones.
        """
        if self._store.phase in (StorePhase.LOST, StorePhase.REBUILDING):
            return await begin_rebuild(self._environment, self._store, self._tokens, version)
        identity = self._store.identity
        token = version if identity is None else identity.token_base + version
        if token <= self._tokens.highest:
            # Tokens increase with the store's versions, so a known token at or above the next one shows that the store
            # has gone back to an older state.
            self._store.mark_lost(f"workers know token {self._tokens.highest}, and the next one would be {token}")
            raise StoreLostError(self._store.reason)
        self._tokens.begin_term(token, self._store.generation)
        return token

    def observe_token(self, token: int) -> None:
        """Records a token that a worker has reported."""
        self._tokens.observe(token)

    def record_raised_token(self, token: int) -> None:
        """Records a token above the one of the election, which this leader issues to a worker."""
        self._tokens.record_raised(token)

    # -- changes --------------------------------------------------------------------

    def record_commit(
        self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int, announce_all: bool = True
    ) -> None:
        """Applies a commit of this controller to the replica, and notifies the other controllers.

        With `announce_all` they are notified of all changes that users are told of, otherwise only of jobs' outcomes.
        """
        identity = self._store.identity
        if self._store.phase is not StorePhase.SOUND or identity is None:
            return
        deleted = list(deletes)
        self._replicas.record_commit(identity.generation, puts, deleted, revision)
        # Heartbeats restore a leader's placements, but not what users were told.
        self._broadcaster.add(puts if announce_all else _outcomes_only(puts), deleted, revision)

    def apply_notice(self, notice: ChangeNotice) -> None:
        """Applies another controller's notice of changes that it has committed."""
        if self._store.phase is StorePhase.SOUND and notice.deployment == self._store.deployment:
            self._replicas.apply_notice(notice)

    # -- jobs -----------------------------------------------------------------------

    def has_all_outcomes(self) -> bool:
        """Whether the outcomes of all ended jobs can be looked up, in whichever form they are recorded."""
        # A rebuild records outcomes in a form of its own, which is loaded with the replica.
        identity = self._store.identity
        if identity is None or identity.generation == FIRST_GENERATION:
            return True
        return self._replicas.is_complete(identity.generation)

    def outcome_of(self, job: str) -> JobOutcome | None:
        """Returns the outcome of a job that has no final record in the store; None if it is not known."""
        return self._replicas.current.outcomes.get(job)

    def has_lost_spec(self, job: str) -> bool:
        """Whether a job is known only from workers' heartbeats, without its specification."""
        record = self._replicas.current.records.get(records.UNRESOLVED + job)
        return record is not None and unresolved_tasks.from_record(record.value()).spec_lost


def _outcomes_only(puts: Mapping[str, Any]) -> dict[str, Any]:
    """Returns the changes that are outcomes of jobs."""
    return {key: value for key, value in puts.items() if key.startswith(records.FINAL)}
