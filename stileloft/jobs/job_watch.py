"""The watch over the jobs' records: submissions, and cancellations by whichever controller was asked."""

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

WATCH_LEASE_PART = 0.5
"""A watch waits for this part of the leader's lease: until it is answered, nothing shows that it still hears."""
FRESH_WATCHES = 4.0
"""Nothing is started when nothing was heard of cancellations for so many watches."""
GATHER_PART = 0.1
"""After an answer with news the next watch begins this part of a watch later."""
SETTLE_RETRY_S = 0.25
"""How soon it is checked again whether an ended job has no transaction in flight any more, in seconds."""
RETRY = RetryPolicy((UnavailableError, UnknownOutcomeError), retry_s=0.2, unexpected_retry_s=0.5)


class JobWatch:
    """Keeps the leader's jobs in step with the store, and knows how old that knowledge is."""

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
        self.watch_s = lease.duration_s * WATCH_LEASE_PART
        self.up_to_date_at = float("-inf")
        """Until then we know of all cancellations: when we sent the newest question that the store answered."""
        self._compacted = False
        """The store does not know any more what has changed since `revision`: all jobs have to be read again."""

    def staleness_s(self) -> float:
        """Seconds since we last knew of all cancellations; without end before the store was read."""
        return self._clock.seconds() - self.up_to_date_at

    def is_fresh(self) -> bool:
        """Whether we hear of cancellations, so that nothing is started of a job that ended long ago."""
        return self.staleness_s() <= FRESH_WATCHES * self.watch_s

    async def run(self) -> None:
        """Follows the jobs' records for as long as the leadership lasts."""
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
        """Waits for changes, and takes them in."""
        asked_at = self._clock.seconds()
        revision, events = await self._state.watch(records.ACTIVE, self.revision, self.watch_s)
        if not self._lease.active:
            return
        if any(value is None and self._is_unexplained(key) for key, value, _ in events):
            # Its user cancelled it, or the store has lost it: then its tasks must not be stopped.
            await self._integrity.verify()
        for key, value, version in events:
            self.on_change(key[len(records.ACTIVE) :], value, version)
        self.revision, self.up_to_date_at = revision, asked_at
        self._jobs.prune_removed(self.up_to_date_at)
        if events:
            # Under a burst each change would else be an answer and a request of its own.
            await sleep(self._clock, self.watch_s * GATHER_PART)

    async def _resync(self) -> None:
        """Reads all jobs, as changes since the last look are no longer known."""
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
        """Whether a record that is gone belongs to a job that goes on as far as we know."""
        job = self._cluster.jobs.get(key[len(records.ACTIVE) :])
        return job is not None and job.end_phase is None and not job.write.commit_in_flight

    def on_change(self, job_id: str, value: Any, version: int) -> None:
        """A job's record was written (`value`) or deleted (None) by somebody, perhaps by us."""
        job = self._cluster.jobs.get(job_id)
        if value is None:
            if job is not None and not job.end_phase:
                self._end(job, version)
        elif job is None and not self._jobs.was_removed(job_id):
            self._add_job(value, version)

    def _add_job(self, value: Any, version: int) -> None:
        """Takes in a job that is new to this leader."""
        with self._cluster.lock:
            job = job_from_record(value, version, self._legacy_chunk_size)
            self._jobs.add(job)
            for placement in job.placements():
                self._lifecycle.track(placement)
        self._request_scheduling()

    def _end(self, job: Job, version: int) -> None:
        """A job's record is gone: it was cancelled, or finished by a commit of ours whose answer is on its way.

        In both cases nothing of it may run. What is being stored of it may take as long as an outage, so the stops
        don't wait for that; which of the two it was, the store tells then.
        """
        with self._cluster.lock:
            # With no transaction in flight it was none of ours, and we know all that the store holds of it, unless
            # its record held a chunk, which has one of its own now.
            unsettled = job.write.commit_in_flight or job.has_inline_chunk
            log.info("job record deleted job=%s revision=%d", job.id, version)
            self._lifecycle.end_job(job, EndPhase.UNSETTLED if unsettled else EndPhase.CANCELLED)
        self._settle(job)

    def _settle(self, job: Job) -> None:
        """Learns what the store holds of a job that has ended, once no transaction about it is in flight."""
        known = self._cluster.jobs.get(job.id) is job
        if not self._lease.active or not known or job.end_phase is not EndPhase.UNSETTLED:
            return
        if job.write.commit_in_flight:
            self._clock.callLater(SETTLE_RETRY_S, self._settle, job)
        else:
            self._reload(job)
