"""Keeps a controller's replica up to date from the state service's change feed."""

import logging

from stileloft.model import records
from stileloft.protocol.state import (
    CompactedError,
    ConflictError,
    StoreLostError,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.missed_changes import MissedChangesReconciler
from stileloft.rebuild.replica import RESTORED_KEYS, RESTORED_PREFIXES, Replica
from stileloft.rebuild.snapshot_provider import SnapshotProvider
from stileloft.rebuild.store_status import StorePhase, StoreStatus
from stileloft.transport.retry import RetryPolicy, repeat

log = logging.getLogger(__name__)

# Time for which a watch of the change feed waits for changes.
WATCH_TIMEOUT_S = 5.0
RETRY_S = 0.3
# Interval at which an unsound store is checked again.
UNSOUND_INTERVAL_S = 0.25
# Pause between the scans of two prefixes, which leaves room for other requests to the store.
SCAN_INTERVAL_S = 0.1


class ReplicaFollower:
    """Reads all records once, then follows the store's changes."""

    def __init__(
        self,
        environment: RebuildEnvironment,
        store: StoreStatus,
        replicas: LocalReplicas,
        snapshots: SnapshotProvider,
        reconciler: MissedChangesReconciler,
    ) -> None:
        self._environment = environment
        self._state = environment.state
        self._store = store
        self._replicas = replicas
        self._snapshots = snapshots
        self._reconciler = reconciler
        self._saved_at = 0.0

    async def run(self) -> None:
        """Follows the store until the process ends; the replica does not change while the store is not sound."""
        policy = RetryPolicy((UnavailableError, UnknownOutcomeError), RETRY_S, RETRY_S)
        await repeat("replica update", self._step_unless_unsound, policy, self._environment.clock)

    async def _step_unless_unsound(self) -> None:
        try:
            await self._step()
        except CompactedError:
            self._replicas.current.complete = False
        except (StoreLostError, ConflictError):
            # A conflict means that a record that reconciliation writes has changed: all records are read and compared
            # again.
            await self._environment.sleep(UNSOUND_INTERVAL_S)

    async def _step(self) -> None:
        identity = self._store.identity
        if self._store.phase is not StorePhase.SOUND:
            await self._environment.sleep(UNSOUND_INTERVAL_S)
        elif identity is None or not self._replicas.is_complete(identity.generation):
            await self._load()
        else:
            await self._follow()
            self._save()

    async def _load(self) -> None:
        """Reads all records into a new replica; the previous one stays in use until then, as a rebuild may need it."""
        identity = self._store.identity
        if identity is None:
            return
        loaded = self._replicas.loading = Replica(identity.generation)
        await self._read_records(loaded)
        if self._store.phase is not StorePhase.SOUND or self._store.identity != identity:
            return
        await self._reconciler.reconcile(loaded)
        await self._reconciler.mark_reconciled()
        loaded.complete = True
        self._replicas.replace(loaded)
        self._replicas.loading = None
        log.info(
            "replica loaded generation=%d revision=%d records=%d outcomes=%d",
            loaded.generation,
            loaded.revision,
            len(loaded.records),
            len(loaded.outcomes),
        )

    async def _read_records(self, loaded: Replica) -> None:
        revision: int | None = None
        for prefix in (*RESTORED_PREFIXES, records.ENDED, records.FINAL):
            items, scanned_at = await self._state.scan(prefix)
            revision = scanned_at if revision is None else revision
            loaded.apply_all(items)
            await self._environment.sleep(SCAN_INTERVAL_S)
        for key in RESTORED_KEYS:
            found = await self._state.lookup(key)
            if found is not None:
                loaded.apply(key, *found)
        # The feed is followed from the first scan on, so it delivers the changes made during the scans again.
        loaded.advance(revision or 0)

    async def _follow(self) -> None:
        replica = self._replicas.current
        revision, events = await self._state.watch("", replica.revision, WATCH_TIMEOUT_S)
        if self._replicas.current is not replica or self._store.phase is not StorePhase.SOUND:
            return
        for key, value, version in events:
            if key == records.IDENTITY:
                self._store.apply_identity_change(value, version)
        if self._store.phase is not StorePhase.SOUND:
            return  # the other changes are part of the same loss
        replica.apply_all(events)
        replica.advance(revision)
        if events:
            await self._environment.sleep(self._environment.feature.follow_s)

    def _save(self) -> None:
        now = self._environment.clock.seconds()
        if now - self._saved_at >= self._environment.feature.directory_s:
            self._saved_at = now
            self._snapshots.save()
