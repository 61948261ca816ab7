"""The leader's watch of the job records: submissions and cancellations at any controller."""

import logging
from collections.abc import Callable
from typing import Any

from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.lease import LeaderLease
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.job_records import job_from_record
from stileloft.model.jobs import EndPhase, Job
from stileloft.protocol.state import CompactedError, StateClient, UnavailableError, UnknownOutcomeError
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

WATCH_LEASE_FRACTION = 0.5
"""Duration of a watch, as a fraction of the leader's lease: only an answer shows that the watch still works."""
MAX_STALE_WATCHES = 4.0
"""Staleness of the leader's view of cancellations above which no task is started, in durations of a watch."""
WATCH_PAUSE_FRACTION = 0.1
"""Pause between an answer with changes and the next watch, as a fraction of a watch."""
SETTLE_RETRY_S = 0.25
"""Interval between checks whether an ended job still has a transaction in flight, in seconds."""
RETRY = RetryPolicy((UnavailableError, UnknownOutcomeError), retry_s=0.2, unexpected_retry_s=0.5)


class JobWatch:
    """Applies submissions and cancellations to the leader's jobs, and measures how old its view of them is."""

    def __init__(
        self,
        lease: LeaderLease,
        state: StateClient,
        cluster: ClusterState,
        jobs: JobRegistry,
        lifecycle: TaskLifecycle,
        integrity: StoreIntegrity,
        clock: Clock,
        legacy_chunk_size: int,
        reload: Callable[[Job], None],
        request_scheduling: Callable[[], None],
    ) -> None:
        self._lease = lease
        self._state = state
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._integrity = integrity
        self._clock = clock
        self._legacy_chunk_size = legacy_chunk_size
        self._reload = reload
        self._request_scheduling = request_scheduling
        self._cluster = cluster
        self.revision = 0
        self.watch_s = lease.duration_s * WATCH_LEASE_FRACTION
        self.up_to_date_at = float("-inf")
        """All cancellations before this time are known: it is when the newest answered request was sent."""
        self._compacted = False
        """The store no longer holds the changes since `revision`: all jobs have to be read again."""

    def staleness_s(self) -> float:
        """Returns the age of the leader's view of cancellations, in seconds; infinite before the store was read."""
        return self._clock.seconds() - self.up_to_date_at

    def is_fresh(self) -> bool:
        """Whether the view of cancellations is recent enough to start tasks: no task of a long-ended job may start."""
        return self.staleness_s() <= MAX_STALE_WATCHES * self.watch_s

    async def run(self) -> None:
        """Follows the job records while the leadership lasts."""
        await repeat("job watch", self._follow, RETRY, self._clock, lambda: self._lease.active)

    async def _follow(self) -> None:
        try:
            if self._compacted:
                await self._resync()
            else:
                await self._watch_once()
        except CompactedError:
            self._compacted = True

    async def _watch_once(self) -> None:
        """Waits for changes, and applies them."""
        asked_at = self._clock.seconds()
        revision, events = await self._state.watch(records.ACTIVE, self.revision, self.watch_s)
        if not self._lease.active:
            return
        if any(value is None and self._is_unexplained(key) for key, value, _ in events):
            # The job was cancelled, or the store has lost its record. After a loss, its tasks must not be stopped.
            await self._integrity.verify()
        for key, value, version in events:
            self.on_change(key[len(records.ACTIVE) :], value, version)
        self.revision, self.up_to_date_at = revision, asked_at
        self._jobs.prune_removed(self.up_to_date_at)
        if events:
            # In a burst, each change would otherwise take a request and an answer of its own.
            await sleep(self._clock, self.watch_s * WATCH_PAUSE_FRACTION)

    async def _resync(self) -> None:
        """Reads all jobs after a compaction, which removed changes that this leader has not seen."""
        asked_at = self._clock.seconds()
        active, revision = await self._state.scan(records.ACTIVE)
        listed = {key for key, _, _ in active}
        missing = [
            job
            for job in list(self._cluster.jobs.values())
            if records.active_key(job.id) not in listed and job.version <= revision
        ]
        if missing:
            await self._integrity.verify()
        for key, value, version in active:
            self.on_change(key[len(records.ACTIVE) :], value, version)
        for job in missing:
            self.on_change(job.id, None, revision)
        self.revision, self.up_to_date_at = revision, asked_at
        self._compacted = False

    def _is_unexplained(self, key: str) -> bool:
        """Whether the record belongs to an unfinished job, and no transaction in flight can have deleted it."""
        job = self._cluster.jobs.get(key[len(records.ACTIVE) :])
        return job is not None and job.end_phase is None and not job.write.commit_in_flight

    def on_change(self, job_id: str, value: Any, version: int) -> None:
        """Adds a new job, or ends one whose record was deleted (`value` is None), by whichever controller."""
        job = self._cluster.jobs.get(job_id)
        if value is None:
            if job is not None and not job.end_phase:
                self._end(job, version)
        elif job is None and not self._jobs.was_removed(job_id):
            self._add_job(value, version)

    def _add_job(self, value: Any, version: int) -> None:
        """Adds a job that is new to this leader."""
        with self._cluster.lock:
            job = job_from_record(value, version, self._legacy_chunk_size)
            self._jobs.add(job)
            for placement in job.placements():
                self._lifecycle.track(placement)
        self._request_scheduling()

    def _end(self, job: Job, version: int) -> None:
        """Ends a job whose record was deleted by a cancellation, or by a commit of this leader that has no answer yet.

        In both cases none of its tasks may run. A transaction in flight may take as long as an outage, so the stops do
        not wait for it; the store is read afterwards to find out how the job ended.
        """
        with self._cluster.lock:
            # Without a transaction in flight, the job was cancelled, and all that the store holds of it is known,
            # unless its record held a chunk: that chunk has a record of its own now.
            unsettled = job.write.commit_in_flight or job.has_inline_chunk
            log.info("job record deleted job=%s revision=%d", job.id, version)
            self._lifecycle.end_job(job, EndPhase.UNSETTLED if unsettled else EndPhase.CANCELLED)
        self._reload_when_idle(job)

    def _reload_when_idle(self, job: Job) -> None:
        """Reloads a job that has ended, once no transaction about it is in flight."""
        is_current = self._cluster.jobs.get(job.id) is job
        if not self._lease.active or not is_current or job.end_phase is not EndPhase.UNSETTLED:
            return
        if job.write.commit_in_flight:
            self._clock.callLater(SETTLE_RETRY_S, self._reload_when_idle, job)
        else:
            self._reload(job)
