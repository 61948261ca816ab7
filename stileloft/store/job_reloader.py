"""Reloads single jobs from the store after a conflict or a commit of unknown outcome."""

import logging
from collections.abc import Callable
from dataclasses import dataclass

from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.job_records import apply_chunk_records, apply_job_record
from stileloft.model.jobs import EndPhase, Job
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.state import ConflictError, Item, UnavailableError, UnknownOutcomeError
from stileloft.store.leader_store import LeaderStore
from stileloft.transport import background
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

RETRY_S = 0.3
"""Pause before the first retry, in seconds; doubled after each failed retry, up to `MAX_RETRY_S`."""
MAX_RETRY_S = 2.4
CONFLICT_RETRY_S = RETRY_S / 3
"""Pause after a conflict, in seconds: a cancellation or an earlier, unanswered commit changed the job's record."""


@dataclass(frozen=True, slots=True)
class StoredJob:
    """What the store holds of a job."""

    record: records.VersionedValue | None
    """The job's record under `active/`; None if the job has ended."""
    end_phase: EndPhase | None
    """How the job ended; None if it has not ended."""
    chunks: list[Item]


class JobReloader:
    """Reloads jobs; until a job's reload is complete, none of its tasks starts and none of its changes is committed."""

    def __init__(
        self,
        store: LeaderStore,
        cluster: ClusterState,
        jobs: JobRegistry,
        lifecycle: TaskLifecycle,
        clock: Clock,
        flush: Callable[[], None],
        request_scheduling: Callable[[], None],
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._clock = clock
        self._flush = flush
        self._request_scheduling = request_scheduling

    def reload(self, job: Job) -> None:
        """Starts a reload of the job, unless one is pending."""
        job.write.commit_in_flight = True
        if not job.reload_pending:
            job.reload_pending = True
            background.start_without(self._cluster.lock, "job reload", self._reload, job)

    async def _reload(self, job: Job) -> None:
        lease = self._store.lease
        pause_s = RETRY_S
        while lease.active:
            try:
                stored = await self._read(job)
                break
            except ConflictError as conflict:
                if records.LEADER in conflict.failed:
                    lease.suspect("the leader key has another version")
                    return
                await sleep(self._clock, CONFLICT_RETRY_S)
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("job reload failed job=%s error=%s", job.id, error)
                await sleep(self._clock, pause_s)
                pause_s = min(2 * pause_s, MAX_RETRY_S)
            except Exception:
                log.exception("job reload failed job=%s", job.id)
                await sleep(self._clock, MAX_RETRY_S)
        if not lease.active:
            return
        with self._cluster.lock:
            self._apply(job, stored)
        log.debug("job reloaded job=%s phase=%s", job.id, stored.end_phase or "active")
        self._flush()
        self._request_scheduling()

    async def _read(self, job: Job) -> StoredJob:
        client, key = self._store.client, records.active_key(job.id)
        found = await client.get(key)
        end_phase = None
        if found is None:
            final = await client.get(records.final_key(job.id))
            end_phase = EndPhase(records.read_final(final[0]).phase) if final else EndPhase.CANCELLED
        record = None if found is None else records.VersionedValue(*found[:2])
        if record is not None and job.write.has_unresolved_commit:
            record = await self._fence_unresolved_commit(key, record)
        chunks, _ = await client.scan(f"{records.TASKS}{job.id}/")
        return StoredJob(record, end_phase, chunks)

    async def _fence_unresolved_commit(self, key: str, record: records.VersionedValue) -> records.VersionedValue:
        """Rewrites the job's record unchanged, so that an earlier, unanswered commit can no longer be executed.

        The earlier commit is guarded on the record's present version. Executed late, it would place tasks on resources
        that other tasks use by then. Returns the record with its new version.
        """
        while not self._store.write_budget.try_take(1.0):
            await sleep(self._clock, RETRY_S)
        version = await self._store.commit({key: record.value}, guards={key: record.version})
        return records.VersionedValue(record.value, version)

    def _apply(self, job: Job, stored: StoredJob) -> None:
        """Updates the job to what the store holds."""
        before = list(job.placements())
        if stored.record is not None:
            apply_job_record(job, *stored.record)
        else:
            job.inline_chunk = None  # the transaction that deleted the record gave the chunk a record of its own
        apply_chunk_records(job, stored.chunks)
        job.write.commit_in_flight = job.reload_pending = job.write.has_unresolved_commit = False
        self._reconcile_placements(job, before)
        if any(chunk.dirty for chunk in job.chunks.values()):
            self._cluster.mark_dirty(job)
        if stored.end_phase is not None:
            self._lifecycle.end_job(job, stored.end_phase)
            if not job.chunks:
                self._jobs.remove(job)
        elif job.spec.is_gang:
            self._lifecycle.reconcile_gang(job)

    def _reconcile_placements(self, job: Job, before: list[Placement]) -> None:
        """Untracks placements that the store no longer holds, and tracks those that it holds."""
        kept = {id(placement) for placement in job.placements()}
        for placement in before:
            if id(placement) not in kept:
                self._lifecycle.untrack(placement)
        for placement in job.placements():
            self._lifecycle.track(placement)
            if placement.state == PlacementState.ENDED:
                job.chunk_of(placement.index).dirty = True
