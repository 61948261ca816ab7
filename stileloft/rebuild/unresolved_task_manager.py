"""Blocks unresolved tasks until an operator has decided about them, and applies the decisions."""

import logging
from collections.abc import Callable

from stileloft.jobs.registry import JobRegistry
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.protocol.state import ConflictError, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import unresolved_tasks
from stileloft.rebuild.unresolved_tasks import Decision, UnresolvedTasks
from stileloft.store.flush_timer import FlushTimer
from stileloft.store.integrity import StoreIntegrity
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

DECISION_POLL_S = 1.0
"""Interval at which the leader reads operators' decisions while any task is unresolved, in seconds."""
RETRY_POLICY = RetryPolicy((ConflictError, UnavailableError, UnknownOutcomeError), DECISION_POLL_S, DECISION_POLL_S)

StoredUnresolvedTasks = dict[str, tuple[UnresolvedTasks, int]]
"""By job: the unresolved tasks, and the version of their record."""


class UnresolvedTaskManager:
    """Keeps unresolved tasks from being started, and applies operators' decisions about them."""

    def __init__(
        self,
        store: LeaderStore,
        cluster: ClusterState,
        jobs: JobRegistry,
        integrity: StoreIntegrity,
        flush_timer: FlushTimer,
        clock: Clock,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._jobs = jobs
        self._integrity = integrity
        self._flush_timer = flush_timer
        self._clock = clock
        self._request_scheduling = request_scheduling

    async def read(self) -> StoredUnresolvedTasks:
        """Reads and returns all unresolved tasks; returns none, without a request, if the feature `rebuild` is off."""
        if not self._integrity.detects_loss:
            return {}
        items, _ = await self._store.client.scan(records.UNRESOLVED)
        return {
            key[len(records.UNRESOLVED) :]: (unresolved_tasks.from_record(value), version)
            for key, value, version in items
        }

    def apply(self, stored: StoredUnresolvedTasks) -> None:
        """Blocks the tasks that must not be started; called with the cluster's lock held."""
        self._jobs.lost_spec_jobs = frozenset(job for job, (unresolved, _) in stored.items() if unresolved.spec_lost)
        for job_id, (unresolved, _) in stored.items():
            job = self._cluster.jobs.get(job_id)
            if job is not None:
                job.tasks_awaiting_operator = frozenset(unresolved.blocked_tasks())

    async def run(self) -> None:
        """Applies operators' decisions until the leadership ends."""
        lease = self._store.lease
        await sleep(self._clock, DECISION_POLL_S)
        await repeat("operator decision poll", self._poll_decisions, RETRY_POLICY, self._clock, lambda: lease.active)

    async def _poll_decisions(self) -> None:
        if self._store.lease.is_held() and self._has_unresolved_tasks():
            stored = await self.read()
            for job_id, (unresolved, version) in stored.items():
                await self._process_job(job_id, unresolved, version)
        await sleep(self._clock, DECISION_POLL_S)

    def _has_unresolved_tasks(self) -> bool:
        jobs = list(self._cluster.jobs.values())
        return bool(self._jobs.lost_spec_jobs) or any(job.tasks_awaiting_operator for job in jobs)

    async def _process_job(self, job_id: str, unresolved: UnresolvedTasks, version: int) -> None:
        job = self._cluster.jobs.get(job_id)
        if job is not None and not unresolved.spec_lost:
            with self._cluster.lock:
                if not self._apply_decisions(job, unresolved):
                    return
        elif job is None and not await self._may_forget(job_id, unresolved):
            return
        # The record is no longer needed: its tasks are resolved, or the job has ended or been submitted again.
        key = records.UNRESOLVED + job_id
        await self._store.commit({}, [key], guards={key: version})
        log.info("record of unresolved tasks deleted job=%s tasks=%d", job_id, len(unresolved.evidence))
        with self._cluster.lock:
            self._jobs.lost_spec_jobs -= {job_id}
        self._request_scheduling()

    async def _may_forget(self, job_id: str, unresolved: UnresolvedTasks) -> bool:
        """Returns whether a job that is not held here may be forgotten.

        A job without a specification has to stay known until an operator decides otherwise. Its record may also go once
        the job has ended: it may have been submitted again and have completed since the last poll.
        """
        if not unresolved.spec_lost or Decision.FORGET in unresolved.decisions.values():
            return True
        if self._integrity.outcome_of(job_id) is not None:
            return True
        return await self._store.client.lookup(records.final_key(job_id)) is not None

    def _apply_decisions(self, job: Job, unresolved: UnresolvedTasks) -> bool:
        """Applies the decisions to a job; returns whether all its tasks are decided and all its changes stored."""
        blocked_tasks = unresolved.blocked_tasks()
        for number, decision in unresolved.decisions.items():
            index = int(number)
            chunk = job.chunk_of(index)
            if decision is Decision.DONE and index not in chunk.done and not job.end_phase:
                log.info("task marked as done by an operator job=%s task=%s/%d", job.id, job.id, index)
                chunk.done.add(index)
                job.done += 1
                chunk.dirty = True
                self._cluster.mark_dirty(job)
        job.tasks_awaiting_operator = frozenset(blocked_tasks)
        job.refresh_counts()
        self._flush_timer.flush_within(0.0)
        decided = unresolved.decisions.keys() >= unresolved.evidence.keys()
        return decided and not job.write.dirty and not job.write.commit_in_flight
