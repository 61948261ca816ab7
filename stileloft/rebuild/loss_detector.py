"""Detects whether the state service has lost its records, and assigns an identity to a new store."""

import logging

from stileloft.model import records
from stileloft.protocol.peers import PeerView
from stileloft.protocol.state import ConflictError, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import identity as identities
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.identity import Identity
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.snapshot_provider import SnapshotProvider
from stileloft.rebuild.store_status import StorePhase, StoreStatus
from stileloft.rebuild.token_history import TokenHistory

log = logging.getLogger(__name__)

# Interval between checks; a sound store is only checked on request.
CHECK_INTERVAL_S = 0.25
# Time after which an empty store counts as new although other controllers have not answered, as a multiple of the
# duration of a worker's lease.
NEW_STORE_WAIT_LEASES = 0.5
# Interval at which the leader of a store without an identity asks whether all controllers protect it.
IDENTITY_INTERVAL_S = 1.0


class LossDetector:
    """Checks the store at the start, on request, and while it is lost or being rebuilt."""

    def __init__(
        self,
        environment: RebuildEnvironment,
        store: StoreStatus,
        tokens: TokenHistory,
        replicas: LocalReplicas,
        snapshots: SnapshotProvider,
    ) -> None:
        self._environment = environment
        self._state = environment.state
        self._store = store
        self._tokens = tokens
        self._replicas = replicas
        self._snapshots = snapshots
        self._started_at = environment.clock.seconds()
        self._check_requested = False

    def request_check(self) -> None:
        """Requests a check of the store, after a sign that it may be lost."""
        self._check_requested = True

    async def run(self) -> None:
        """Loads the last snapshot, then checks the store until the process ends."""
        self._snapshots.load()
        while True:
            try:
                await self._check()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("store check failed error=%s", error)
            except Exception:
                log.exception("store check failed")
            unprotected = self._store.phase is StorePhase.UNPROTECTED
            await self._environment.sleep(IDENTITY_INTERVAL_S if unprotected else CHECK_INTERVAL_S)

    async def _check(self) -> None:
        if self._store.phase is StorePhase.STARTING:
            await self._check_first()
        elif not self._store.is_sound() or self._check_requested:
            self._check_requested = False
            await self._store.read_identity()
        elif self._store.phase is StorePhase.UNPROTECTED:
            await self._assign_identity()

    async def _check_first(self) -> None:
        """Runs the first check: a store without an identity is new, not protected yet, or has lost all records."""
        # Peers are asked before the store is read. In the opposite order, a peer could assign an identity after the
        # read and then report it, and the store would seem to have lost it.
        views = await self._environment.peers.views()
        found, revision = await self._state.lookup_at(records.IDENTITY)
        expected, replica = self._store.identity, self._replicas.current
        if found is not None:
            if expected is not None and revision < replica.revision and replica.generation == expected.generation:
                self._store.mark_lost(f"revision {replica.revision} was known, and the store is at {revision}")
            self._store.evaluate_identity(found, revision)
        elif expected is not None:
            self._store.mark_lost("its identity is gone")
        else:
            await self._check_without_identity(views, revision)

    async def _check_without_identity(self, views: list[PeerView], revision: int) -> None:
        deployment = next((view.deployment for view in views if view.deployment), None)
        if deployment is not None:
            self._store.identity = Identity(deployment)
            self._store.mark_lost("its identity is gone, and other controllers know it")
        elif self._tokens.highest > revision:
            self._store.mark_lost(f"workers know token {self._tokens.highest}, and the store is at revision {revision}")
        elif await self._holds_records() or self._may_be_new({view.member for view in views}):
            self._store.mark_unprotected()

    async def _holds_records(self) -> bool:
        items, _ = await self._state.first_items("", 2)
        return any(key != records.LEADER for key, _, _ in items)

    def _may_be_new(self, answering_members: set[str]) -> bool:
        waited_s = self._environment.clock.seconds() - self._started_at
        max_wait_s = NEW_STORE_WAIT_LEASES * self._environment.worker_lease_s
        return answering_members >= self._environment.other_members or waited_s > max_wait_s

    async def _assign_identity(self) -> None:
        """Assigns an identity to the store once all other controllers report that they protect it."""
        await self._store.read_identity()
        leadership = self._environment.leadership()
        if self._store.phase is not StorePhase.UNPROTECTED or not leadership.holds_lease():
            return
        views = await self._environment.peers.views()
        if not {view.member for view in views if view.protects} >= self._environment.other_members:
            return
        identity = identities.new_identity()
        guards = {records.LEADER: leadership.key_version, records.IDENTITY: 0}
        try:
            version = await self._state.commit(guards, {records.IDENTITY: identities.to_record(identity)}, [])
        except ConflictError:
            return
        self._store.accept_identity(identity, version)
