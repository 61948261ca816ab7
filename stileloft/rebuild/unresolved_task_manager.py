"""Unresolved tasks: held back by the leader until an operator has decided."""

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

LOOK_S = 1.0
"""How often the leader looks for decisions, while anything is unresolved, in seconds."""
RETRY = RetryPolicy((ConflictError, UnavailableError, UnknownOutcomeError), LOOK_S, LOOK_S)

Stored = dict[str, tuple[UnresolvedTasks, int]]
"""By job: its unresolved tasks, and the version of their record."""


class UnresolvedTaskManager:
    """Holds unresolved tasks back from being started, and carries out what operators decide of them."""

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

    async def read(self) -> Stored:
        """All that is unresolved; nothing is asked without the feature."""
        if not self._integrity.detects_loss:
            return {}
        items, _ = await self._store.client.scan(records.UNRESOLVED)
        return {
            key[len(records.UNRESOLVED) :]: (unresolved_tasks.from_record(value), version)
            for key, value, version in items
        }

    def apply(self, stored: Stored) -> None:
        """Has no unresolved task started; called with the cluster's lock held."""
        self._jobs.lost_spec_jobs = frozenset(job for job, (found, _) in stored.items() if found.spec_lost)
        for job_id, (found, _) in stored.items():
            job = self._cluster.jobs.get(job_id)
            if job is not None:
                job.tasks_awaiting_operator = frozenset(found.blocked_tasks())

    async def run(self) -> None:
        """Does what operators decide, for as long as the leadership lasts."""
        lease = self._store.lease
        await sleep(self._clock, LOOK_S)
        await repeat("unresolved tasks", self._carry_out, RETRY, self._clock, lambda: lease.active)

    async def _carry_out(self) -> None:
        if self._store.lease.is_held() and self._anything_unresolved():
            stored = await self.read()
            for job_id, (found, version) in stored.items():
                await self._carry_out_one(job_id, found, version)
        await sleep(self._clock, LOOK_S)

    def _anything_unresolved(self) -> bool:
        jobs = list(self._cluster.jobs.values())
        return bool(self._jobs.lost_spec_jobs) or any(job.tasks_awaiting_operator for job in jobs)

    async def _carry_out_one(self, job_id: str, found: UnresolvedTasks, version: int) -> None:
        job = self._cluster.jobs.get(job_id)
        if job is not None and not found.spec_lost:
            with self._cluster.lock:
                if not self._apply_decisions(job, found):
                    return
        elif found.spec_lost and Decision.FORGET not in found.decisions.values() and job is None:
            return
        # Nothing of it is unresolved any more, or the job has ended or was submitted once more.
        key = records.UNRESOLVED + job_id
        await self._store.commit({}, [key], guards={key: version})
        log.info("unresolved tasks settled job=%s", job_id)
        with self._cluster.lock:
            self._jobs.lost_spec_jobs -= {job_id}
        self._request_scheduling()

    def _apply_decisions(self, job: Job, found: UnresolvedTasks) -> bool:
        """Brings the job in line with the decisions; returns whether all are carried out and stored."""
        blocked_tasks = found.blocked_tasks()
        for text, decision in found.decisions.items():
            index = int(text)
            chunk = job.chunk_of(index)
            if decision is Decision.DONE and index not in chunk.done and not job.end_phase:
                log.info("task counted as done by an operator job=%s task=%s/%d", job.id, job.id, index)
                chunk.done.add(index)
                job.done += 1
                chunk.dirty = True
                self._cluster.mark_dirty(job)
        job.tasks_awaiting_operator = frozenset(blocked_tasks)
        job.refresh_counts()
        self._flush_timer.flush_within(0.0)
        decided = found.decisions.keys() >= found.evidence.keys()
        return decided and not job.write.dirty and not job.write.commit_in_flight
