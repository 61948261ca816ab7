"""The rebuild of a lost store: the leader writes its records back before it begins normal leadership."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

import msgspec

from stileloft.leadership.renewal_grace import EXPIRY_MARGIN_LEASES
from stileloft.model import records
from stileloft.protocol.cloud import CloudError
from stileloft.protocol.messages import Heartbeat
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import identity as identities
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.evidence import Evidence
from stileloft.rebuild.heartbeat_collector import HeartbeatCollector
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.loss_detector import LossDetector
from stileloft.rebuild.peer_replicas import PeerReplicas
from stileloft.rebuild.reconstruction import Reconstruction, reconstruct
from stileloft.rebuild.record_writer import RecordWriter
from stileloft.rebuild.replica_merge import MergedReplica
from stileloft.rebuild.silent_machines import SilentMachineReleaser, machines_named_in
from stileloft.rebuild.snapshot_provider import SnapshotProvider
from stileloft.rebuild.status_report import ProgressReport
from stileloft.rebuild.store_status import StoreStatus
from stileloft.rebuild.token_history import TokenHistory
from stileloft.transport.clock import MAX_CLOCK_DRIFT
from stileloft.transport.server import Response

log = logging.getLogger(__name__)

RETRY_S = 0.3
# Time for which peers that do not answer are asked again, as a multiple of the duration of a worker's lease.
PEER_WAIT_LEASES = 0.25


class RebuildStep(StrEnum):
    """The step that a rebuild is at; `GET /rebuild` shows the value."""

    REPLICAS = "reading the controllers' replicas"
    HEARTBEATS = "waiting for the workers' heartbeats"
    SILENT_MACHINES = "releasing the machines without a heartbeat"
    RECORDS = "writing the records"


@dataclass(frozen=True, slots=True)
class RebuildParts:
    """Process-wide objects of the feature `rebuild` that each rebuild uses."""

    environment: RebuildEnvironment
    store: StoreStatus
    tokens: TokenHistory
    replicas: LocalReplicas
    snapshots: SnapshotProvider
    detector: LossDetector


class Rebuilder:
    """One leader's rebuild of the store; after a change of leader, the next leader starts from the beginning."""

    def __init__(self, parts: RebuildParts, token: int, on_finished: Callable[[], None]) -> None:
        self._environment = environment = parts.environment
        self._store = parts.store
        self._tokens = parts.tokens
        self._replicas = parts.replicas
        self._snapshots = parts.snapshots
        self._detector = parts.detector
        self._token = token
        self._on_finished = on_finished
        self._started_at = environment.clock.seconds()
        self._active = True
        self._step = RebuildStep.REPLICAS
        self._merged: MergedReplica | None = None
        self._peers = PeerReplicas(environment, parts.store, parts.tokens)
        self._heartbeats = HeartbeatCollector(environment, parts.tokens, parts.detector, token)
        self._silent_machines = SilentMachineReleaser(environment)
        self._writer = RecordWriter(environment, parts.store, lambda: self._active)

    def stop(self) -> None:
        """Stops the rebuild, when this controller's leadership ends."""
        self._active = False

    def on_heartbeat(self, heartbeat: Heartbeat) -> Response:
        """Answers a worker's heartbeat while the records are written back."""
        return self._heartbeats.on_heartbeat(heartbeat)

    async def run(self) -> None:
        """Retries the rebuild until all records are written, or until it is stopped."""
        while self._active:
            try:
                await self._rebuild()
                return
            except ConflictError as conflict:
                # Another controller leads, or the store was lost again.
                self._detector.request_check()
                self._environment.leadership().suspect(f"rebuild transaction conflicted on {conflict}")
                await self._environment.sleep(RETRY_S)
            except TooLargeError:
                continue
            except (UnavailableError, UnknownOutcomeError, CloudError) as error:
                log.info("rebuild interrupted token=%d error=%s", self._token, error)
                await self._environment.sleep(RETRY_S)
            except Exception:
                log.exception("rebuild interrupted token=%d", self._token)
                await self._environment.sleep(RETRY_S)

    async def _rebuild(self) -> None:
        merged = self._merged or await self._collect_replicas()
        if not merged.has_last_leader:
            self._step = RebuildStep.HEARTBEATS
            merged = await self._await_heartbeats(merged)
        if self._active and not merged.has_last_leader:
            self._step = RebuildStep.SILENT_MACHINES
            await self._silent_machines.release(
                machines_named_in(merged.records), self._heartbeats.newest_heartbeats.keys()
            )
        if not self._active:
            return
        self._step = RebuildStep.RECORDS
        stored_records = await self._writer.read()
        result = reconstruct(
            Evidence(
                merged,
                stored_records,
                dict(self._heartbeats.newest_heartbeats),
                frozenset(self._environment.feature.run_once_classes),
                self._environment.legacy_chunk_size,
            )
        )
        await self._writer.write(result)
        await self._finish(result)

    # -- evidence -----------------------------------------------------------------

    async def _collect_replicas(self) -> MergedReplica:
        """Collects and merges the replicas of all controllers that answer in time."""
        clock = self._environment.clock
        self._peers.add(self._snapshots.snapshot())
        deadline = clock.seconds() + PEER_WAIT_LEASES * self._environment.worker_lease_s
        while self._active:
            await self._peers.request_missing()
            if not self._peers.missing_members or clock.seconds() >= deadline:
                break
            await self._environment.sleep(RETRY_S)
        return self._merge()

    def _merge(self) -> MergedReplica:
        merged = self._merged = self._peers.merge()
        self._heartbeats.outcomes = merged.outcomes
        return merged

    async def _await_heartbeats(self, merged: MergedReplica) -> MergedReplica:
        """Waits until every worker that is alive has sent a heartbeat, or has lost its lease and so its tasks.

        Returns early if the last leader's replica, which has all placements, arrives.
        """
        while self._active and not merged.has_last_leader and not self._have_leases_expired():
            await self._environment.sleep(RETRY_S)
            if await self._peers.request_missing():
                merged = self._merge()
        return merged

    def _have_leases_expired(self) -> bool:
        """Whether the leases that the last leader renewed have expired; a machine that hangs may still have its tasks.

        The last leader can have renewed leases only within the renewal grace after the loss.
        """
        lost_at = self._store.lost_at or self._started_at
        latest_lease_s = self._environment.worker_lease_s * (1 + EXPIRY_MARGIN_LEASES + 2 * MAX_CLOCK_DRIFT)
        expired_at = lost_at + self._environment.renewal_grace_s + latest_lease_s
        return self._environment.clock.seconds() >= expired_at

    # -- completion -----------------------------------------------------------------

    async def _finish(self, result: Reconstruction) -> None:
        """Marks the store as rebuilt, so that all controllers trust it again, and begins normal leadership."""
        identity = self._store.identity
        if identity is None or not self._active:
            return
        missing = tuple(sorted(self._peers.missing_members))
        sound = msgspec.structs.replace(identity, rebuilding=False, unreconciled_members=missing)
        puts = {records.IDENTITY: identities.to_record(sound)}
        version = await self._environment.state.commit(self._writer.guards(), puts, [])
        self._tokens.finish_rebuild(self._token, sound.generation)
        self._replicas.replace(self._writer.replica(sound.generation, version))
        self._store.accept_identity(sound, version)
        log.info(
            "rebuild finished generation=%d token=%d took_s=%.1f transactions=%d running=%d pending=%d ended=%d"
            " unresolved=%d",
            sound.generation,
            self._token,
            self._environment.clock.seconds() - self._started_at,
            self._writer.transactions,
            result.running,
            result.pending,
            result.ended,
            len(result.unresolved),
        )
        if self._active:
            self._on_finished()

    def progress(self) -> ProgressReport:
        """Returns the progress of the rebuild, as `GET /rebuild` shows it."""
        return ProgressReport(
            step=str(self._step),
            running_for_s=round(self._environment.clock.seconds() - self._started_at, 1),
            missing_members=sorted(self._peers.missing_members),
            reporting_machines=len(self._heartbeats.newest_heartbeats),
            written=self._writer.written,
            to_write=self._writer.to_write,
            transactions=self._writer.transactions,
        )
