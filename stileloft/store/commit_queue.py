"""The queue of commits: which jobs' changes are written to the store, when, and in which transaction.

Every transaction is guarded on the leader key's version, on each job's record and on each chunk it writes. A job has at
most one transaction in flight.
"""

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.lease import LeaderLease
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.records.forms import StoredCounts
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.store.commit_applier import CommitApplier
from stileloft.store.flush_timer import FlushTimer
from stileloft.store.integrity import StoreIntegrity
from stileloft.store.job_record_policy import COUNTS_INTERVAL_S, MAX_COUNTS_DELAY_S
from stileloft.store.job_transaction import JobTransaction
from stileloft.store.job_transaction_builder import JobTransactionBuilder
from stileloft.store.leader_store import LeaderStore
from stileloft.store.transaction_batch import JOB_END_CHANGES, TransactionBatch
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

MAX_IN_FLIGHT = 3
"""Transactions in flight at once."""
MIN_BATCH_FRACTION = 3
"""A transaction is begun when one part in so many of its most changes is within the budget."""
COUNTS_CHECK_S = 0.25
"""How often a job is checked of which nothing but the counts can have changed, in seconds."""
REFUSED_BACKOFF_S = 0.3
"""The store is left alone for so long after it has not executed a commit, in seconds."""
LOW_BUDGET_PART = 0.5
"""The budget is low when less than this part of a second's changes is left."""
COALESCE_S = 1.2
"""Completed tasks of a job are gathered for this long into one change; their room is free at once."""


class CommitQueue:
    """Writes what is dirty, within the leader's part of the store's limits."""

    def __init__(
        self,
        store: LeaderStore,
        cluster: ClusterState,
        lease: LeaderLease,
        tokens: FencingTokens,
        integrity: StoreIntegrity,
        applier: CommitApplier,
        flush_timer: FlushTimer,
        clock: Clock,
        reload: Callable[[Job], None],
        on_committed: Callable[[list[JobTransaction]], None],
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._lease = lease
        self._tokens = tokens
        self._integrity = integrity
        self._applier = applier
        self._flush_timer = flush_timer
        self._clock = clock
        self._reload = reload
        self._on_committed = on_committed
        self._builder = JobTransactionBuilder(store, clock)
        self._in_flight = 0
        self._refused_until = 0.0
        self.commits = 0
        """Transactions executed under this leadership."""
        flush_timer.flush = self.flush

    # -- which jobs are written, and when -----------------------------------------

    def flush(self) -> None:
        """Commits what is dirty, as far as the write budget and the limits allow."""
        if not self._lease.is_held():
            return
        now = self._clock.seconds()
        if now < self._refused_until:
            # Heartbeats ask for a flush many times a second: in an outage each would be a request in vain.
            self._flush_timer.flush_within(self._refused_until - now)
            return
        if self._in_flight >= MAX_IN_FLIGHT or not self._budget_allows():
            return  # seen first: under a burst hundreds of jobs would be put in order with each heartbeat
        with self._cluster.lock:
            waiting = self._due_jobs(now)
            while waiting and self._in_flight < MAX_IN_FLIGHT and self._budget_allows():
                batch, waiting = self._build_batch(waiting, now)
                if not batch.parts or not self._take_budget(batch):
                    break
                self._begin(batch)

    def _due_jobs(self, now: float) -> list[Job]:
        """The dirty jobs that can be written now, what something waits for first."""
        due = []
        for job in self._cluster.dirty_jobs():
            if not job.write.dirty and now < job.write.checked_at + COUNTS_CHECK_S:
                self._flush_timer.flush_within(
                    job.write.checked_at + COUNTS_CHECK_S - now
                )  # only its counts can differ
            elif (
                job.write.coalescing_since is not None
                and not job.write.flush_now
                and now < job.write.coalescing_since + COALESCE_S
            ):
                self._flush_timer.flush_within(job.write.coalescing_since + COALESCE_S - now)
            elif self._is_paced(job) and now < job.write.commit_began_at + COALESCE_S:
                self._flush_timer.flush_within(job.write.commit_began_at + COALESCE_S - now)
            elif not job.write.commit_in_flight:
                due.append(job)
        # Under a burst the budget does not suffice for all. First what something waits for: placements, and
        # ends; completions and counts only until users would see them too late. Then each job in its turn: by their
        # age, an array of tens of thousands of tasks would use up the budget, and small jobs wait until it is done.
        due.sort(key=lambda job: (not _is_waited_for(job, now), -job.spec.rank, job.write.order))
        return due

    def _is_paced(self, job: Job) -> bool:
        """Whether a job of many chunks is to gather its changes, as the budget is low."""
        if job.chunk_count() <= 1 or job.end_phase:
            return False
        write_budget = self._store.write_budget
        return write_budget.level() < LOW_BUDGET_PART * write_budget.rate_per_s

    # -- transactions ---------------------------------------------------------------

    def _max_changes(self) -> int:
        return min(self._store.limits.max_changes, int(self._store.write_budget.rate_per_s))

    def _budget_allows(self) -> bool:
        """Whether a transaction may begin; seen before parts are built, which would be in vain."""
        write_budget = self._store.write_budget
        least, level = self._max_changes() // MIN_BATCH_FRACTION, write_budget.level()
        if level < least:
            self._flush_timer.flush_within((least - level) / write_budget.rate_per_s)
        return level >= least

    def _build_batch(self, waiting: list[Job], now: float) -> tuple[TransactionBatch, list[Job]]:
        """As many of the jobs as fit into a transaction, and those that are left."""
        most = self._max_changes()
        batch = TransactionBatch(max(min(JOB_END_CHANGES, most), min(most, int(self._store.write_budget.level()))))
        rest: list[Job] = []
        for job in waiting:
            if batch.is_full():
                rest.append(job)
                continue
            job.write.checked_at = now
            part = self._builder.build(job, batch.room)
            if part is None:
                self._record_unchanged(job)
            elif not batch.add(part):
                rest.append(job)
        return batch, rest

    def _record_unchanged(self, job: Job) -> None:
        """Nothing of the job has to be written, unless its counts change."""
        job.write.dirty = any(chunk.dirty for chunk in job.chunks.values())
        if job.write.dirty:
            return
        self._cluster.dirty.pop(job.id, None)
        if not job.end_phase and StoredCounts(job.done, job.running()) != job.write.stored_counts:
            self._cluster.mark_counts_dirty(job)
            self._flush_timer.flush_within(COUNTS_INTERVAL_S / 2)

    def _take_budget(self, batch: TransactionBatch) -> bool:
        """Takes a transaction's changes from the budget; returns whether they were there."""
        write_budget = self._store.write_budget
        if batch.changes and not write_budget.try_take(min(batch.changes, write_budget.rate_per_s)):
            self._flush_timer.flush_within(min(1.0, batch.changes / write_budget.rate_per_s))
            return False
        return True

    def _begin(self, batch: TransactionBatch) -> None:
        for part in batch.parts:
            part.job.write.commit_in_flight = True
            part.job.write.commit_began_at = self._clock.seconds()
            part.job.write.flush_now, part.job.write.coalescing_since = False, None
            for number in part.chunks:
                part.job.chunks[number].dirty = False
        self._in_flight += 1
        defer.ensureDeferred(self._commit(batch.parts))

    async def _commit(self, parts: list[JobTransaction]) -> None:
        guards = self._lease.guard()
        puts: dict[str, Any] = {}
        deletes: list[str] = []
        for part in parts:
            guards.update(part.guards)
            puts.update(part.puts)
            deletes += part.deletes
        revision = 0  # only forgotten chunks that were never stored
        try:
            if puts or deletes:
                revision = await self._store.client.commit(guards, puts, deletes)
            else:
                await sleep(self._clock, 0.0)  # whoever began this holds the lock, which is taken anew below
        except ConflictError as conflict:
            self._resolve_conflict(parts, conflict)
        except TooLargeError as error:
            self._reduce_limits(parts, error, puts, len(puts) + len(deletes))
        except UnavailableError as error:
            log.info("commit not executed jobs=%d: %s", len(parts), error)
            self._retry_later(parts)
            self._store.write_budget.refund(len(puts) + len(deletes))
        except UnknownOutcomeError as error:
            self._reload_all(parts, error)
        else:
            self._integrity.record_commit(puts, deletes, revision, announce_all=False)
            self._record_executed(parts, revision)

    # -- outcomes -------------------------------------------------------------------

    def _record_executed(self, parts: list[JobTransaction], revision: int) -> None:
        self._in_flight -= 1
        if not self._lease.active:
            return
        self.commits += 1
        if revision:
            self._tokens.record_commit(revision)
        with self._cluster.lock:
            for part in parts:
                self._applier.apply(part, revision)
        self._on_committed(parts)
        self.flush()

    def _resolve_conflict(self, parts: list[JobTransaction], conflict: ConflictError) -> None:
        """A guard failed: the jobs whose records have changed are read again."""
        self._in_flight -= 1
        if records.LEADER in conflict.failed:
            self._lease.suspect("the leader key has another version")
            return
        log.debug("commit conflict keys=%s", conflict)
        for part in parts:
            if any(key in conflict.failed for key in part.guards):
                self._reload(part.job)
            else:
                self._requeue(part)
        self.flush()

    def _reduce_limits(
        self, parts: list[JobTransaction], error: TooLargeError, puts: dict[str, Any], changes: int
    ) -> None:
        """The limits have become lower than was announced. Unchanged it would be refused for ever."""
        limits = self._store.limits
        limits.reduce_after_refusal(puts.values(), changes)
        log.info(
            "commit too large max_changes=%d max_value_bytes=%d: %s", limits.max_changes, limits.max_value_bytes, error
        )
        self._retry_later(parts)

    def _reload_all(self, parts: list[JobTransaction], error: UnknownOutcomeError) -> None:
        """The commit may still be executed: the jobs are read once it can't be any more."""
        self._in_flight -= 1
        log.info("commit outcome unknown jobs=%d: %s", len(parts), error)
        for part in parts:
            part.job.write.has_unresolved_commit = True
            self._reload(part.job)

    def _retry_later(self, parts: list[JobTransaction]) -> None:
        """Has everything tried again after a pause."""
        self._in_flight -= 1
        for part in parts:
            self._requeue(part)
        self._refused_until = self._clock.seconds() + REFUSED_BACKOFF_S
        self._flush_timer.flush_within(REFUSED_BACKOFF_S)

    def _requeue(self, part: JobTransaction) -> None:
        """Nothing was written: what the part is about is dirty still."""
        part.job.write.commit_in_flight = False
        for number in part.chunks:
            part.job.chunks[number].dirty = True
        self._cluster.mark_dirty(part.job)


def _is_waited_for(job: Job, now: float) -> bool:
    """Whether something waits for the job's changes, or users would see them too late."""
    return job.write.flush_now or now > job.write.counts_stored_at + MAX_COUNTS_DELAY_S
