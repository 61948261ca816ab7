"""The queue of commits: which jobs' changes are written to the store, when, and in which transaction.

Every transaction is guarded on the versions of the leader key, of its jobs' records and of the chunks that it writes.
A job has at most one transaction in flight.
"""

import logging
from collections.abc import Callable
from typing import Any

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
from stileloft.store.job_write_set import JobWriteSet
from stileloft.store.job_write_set_builder import JobWriteSetBuilder
from stileloft.store.leader_store import LeaderStore
from stileloft.store.transaction_batch import JOB_END_CHANGES, TransactionBatch
from stileloft.transport import background
from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

MAX_IN_FLIGHT = 3
"""The most transactions in flight at once."""
MIN_BATCH_DIVISOR = 3
"""A transaction begins only if the write budget covers the limit on its changes, divided by this number."""
COUNTS_CHECK_S = 0.25
"""Interval between checks of a job if only its counts can have changed, in seconds."""
REFUSED_BACKOFF_S = 0.3
"""Pause of all commits after the store did not execute a transaction, in seconds."""
LOW_BUDGET_FRACTION = 0.5
"""The write budget is low when it holds less than this fraction of a second's changes."""
COALESCE_INTERVAL_S = 1.2
"""How long a job's task completions are coalesced before a commit, in seconds; the resources are free at once."""


class CommitQueue:
    """Commits the changes of dirty jobs, within the leader's share of the store's limits."""

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
        on_committed: Callable[[list[JobWriteSet]], None],
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
        self._builder = JobWriteSetBuilder(store, clock)
        self._in_flight = 0
        self._refused_until = 0.0
        self.commits = 0
        """Transactions executed under this leadership."""
        flush_timer.flush = self.flush

    # -- which jobs are written, and when -----------------------------------------

    def flush(self) -> None:
        """Commits the changes of dirty jobs that the write budget and the limits allow now."""
        if not self._lease.is_held():
            return
        now = self._clock.seconds()
        if now < self._refused_until:
            # Heartbeats request a flush many times a second: in an outage each would send a request that fails.
            self._flush_timer.flush_within(self._refused_until - now)
            return
        if self._in_flight >= MAX_IN_FLIGHT or not self._budget_allows():
            return  # checked before the jobs are sorted: in a burst, each heartbeat would sort hundreds of them
        with self._cluster.lock:
            waiting = self._due_jobs(now)
            while waiting and self._in_flight < MAX_IN_FLIGHT and self._budget_allows():
                batch, waiting = self._build_batch(waiting, now)
                if not batch.write_sets or not self._take_budget(batch):
                    break
                self._begin(batch)

    def _due_jobs(self, now: float) -> list[Job]:
        """Returns the dirty jobs that can be written now; those that must not wait come first."""
        due = []
        for job in self._cluster.dirty_jobs():
            if not job.write.dirty and now < job.write.checked_at + COUNTS_CHECK_S:
                # Only the job's counts can have changed.
                self._flush_timer.flush_within(job.write.checked_at + COUNTS_CHECK_S - now)
            elif (
                job.write.coalescing_since is not None
                and not job.write.flush_now
                and now < job.write.coalescing_since + COALESCE_INTERVAL_S
            ):
                self._flush_timer.flush_within(job.write.coalescing_since + COALESCE_INTERVAL_S - now)
            elif self._must_coalesce(job) and now < job.write.commit_began_at + COALESCE_INTERVAL_S:
                self._flush_timer.flush_within(job.write.commit_began_at + COALESCE_INTERVAL_S - now)
            elif not job.write.commit_in_flight:
                due.append(job)
        # In a burst the budget does not cover all jobs. First come those with placements or ends to write, and those
        # whose counts users would otherwise see too late. Jobs of the same priority take turns: if the oldest came
        # first, an array of tens of thousands of tasks would use up the budget until it is done, and small jobs would
        # wait.
        due.sort(key=lambda job: (not _needs_prompt_write(job, now), -job.spec.rank, job.write.order))
        return due

    def _must_coalesce(self, job: Job) -> bool:
        """Whether a job of several chunks has to coalesce its changes because the write budget is low."""
        if job.chunk_count() <= 1 or job.end_phase:
            return False
        write_budget = self._store.write_budget
        return write_budget.level() < LOW_BUDGET_FRACTION * write_budget.rate_per_s

    # -- transactions ---------------------------------------------------------------

    def _max_changes(self) -> int:
        return min(self._store.limits.max_changes, int(self._store.write_budget.rate_per_s))

    def _budget_allows(self) -> bool:
        """Whether the write budget allows a transaction.

        Checked first, so that no write sets are built that could not be committed.
        """
        write_budget = self._store.write_budget
        min_level, level = self._max_changes() // MIN_BATCH_DIVISOR, write_budget.level()
        if level < min_level:
            self._flush_timer.flush_within((min_level - level) / write_budget.rate_per_s)
        return level >= min_level

    def _build_batch(self, waiting: list[Job], now: float) -> tuple[TransactionBatch, list[Job]]:
        """Returns a batch of as many jobs as fit into a transaction, and the remaining jobs."""
        max_changes = self._max_changes()
        batch = TransactionBatch(
            max(min(JOB_END_CHANGES, max_changes), min(max_changes, int(self._store.write_budget.level())))
        )
        remaining: list[Job] = []
        for job in waiting:
            if batch.is_full():
                remaining.append(job)
                continue
            job.write.checked_at = now
            write_set = self._builder.build(job, batch.remaining_changes)
            if write_set is None:
                self._record_unchanged(job)
            elif not batch.add(write_set):
                remaining.append(job)
        return batch, remaining

    def _record_unchanged(self, job: Job) -> None:
        """Marks a job with nothing to write as clean; counts that differ from the stored ones are checked later."""
        job.write.dirty = any(chunk.dirty for chunk in job.chunks.values())
        if job.write.dirty:
            return
        self._cluster.dirty.pop(job.id, None)
        if not job.end_phase and StoredCounts(job.done, job.running()) != job.write.stored_counts:
            self._cluster.mark_counts_dirty(job)
            self._flush_timer.flush_within(COUNTS_INTERVAL_S / 2)

    def _take_budget(self, batch: TransactionBatch) -> bool:
        """Takes a transaction's changes from the write budget; returns whether it covered them."""
        write_budget = self._store.write_budget
        if batch.changes and not write_budget.try_take(min(batch.changes, write_budget.rate_per_s)):
            self._flush_timer.flush_within(min(1.0, batch.changes / write_budget.rate_per_s))
            return False
        return True

    def _begin(self, batch: TransactionBatch) -> None:
        for write_set in batch.write_sets:
            write_set.job.write.commit_in_flight = True
            write_set.job.write.commit_began_at = self._clock.seconds()
            write_set.job.write.flush_now, write_set.job.write.coalescing_since = False, None
            for number in write_set.chunks:
                write_set.job.chunks[number].dirty = False
        self._in_flight += 1
        background.start_without(self._cluster.lock, "commit", self._commit, batch.write_sets)

    async def _commit(self, write_sets: list[JobWriteSet]) -> None:
        guards = self._lease.guard()
        puts: dict[str, Any] = {}
        deletes: list[str] = []
        for write_set in write_sets:
            guards.update(write_set.guards)
            puts.update(write_set.puts)
            deletes += write_set.deletes
        try:
            revision = await self._execute(guards, puts, deletes)
            self._integrity.record_commit(puts, deletes, revision, announce_all=False)
            self._record_executed(write_sets, revision)
        except ConflictError as conflict:
            self._resolve_conflict(write_sets, conflict)
        except TooLargeError as error:
            self._reduce_limits(write_sets, error, puts, len(puts) + len(deletes))
        except UnavailableError as error:
            log.info(
                "commit not executed jobs=%d changes=%d error=%s", len(write_sets), len(puts) + len(deletes), error
            )
            self._retry_later(write_sets)
            self._store.write_budget.refund(len(puts) + len(deletes))
        except UnknownOutcomeError as error:
            log.info("commit outcome unknown jobs=%d error=%s", len(write_sets), error)
            self._reload_all(write_sets)
        except Exception:
            # Without a reload, none of these jobs would ever be written again.
            log.exception("commit failed jobs=%d", len(write_sets))
            self._reload_all(write_sets)

    async def _execute(self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str]) -> int:
        """Executes a transaction; returns its revision, or 0 if only chunks that were never stored are removed."""
        try:
            return await self._store.client.commit(guards, puts, deletes) if puts or deletes else 0
        finally:
            self._in_flight -= 1

    # -- outcomes -------------------------------------------------------------------

    def _record_executed(self, write_sets: list[JobWriteSet], revision: int) -> None:
        if not self._lease.active:
            return
        self.commits += 1
        if revision:
            self._tokens.record_commit(revision)
        with self._cluster.lock:
            for write_set in write_sets:
                self._applier.apply(write_set, revision)
        self._on_committed(write_sets)
        self.flush()

    def _resolve_conflict(self, write_sets: list[JobWriteSet], conflict: ConflictError) -> None:
        """Reloads the jobs whose guards failed, and queues the others again.

        If the guard on the leader key failed, the leadership itself is suspect, and no job is queued again.
        """
        if records.LEADER in conflict.failed:
            self._lease.suspect("the leader key has another version")
            return
        log.debug("commit conflict jobs=%d keys=%s", len(write_sets), conflict)
        for write_set in write_sets:
            if any(key in conflict.failed for key in write_set.guards):
                self._reload(write_set.job)
            else:
                self._requeue(write_set)
        self.flush()

    def _reduce_limits(
        self, write_sets: list[JobWriteSet], error: TooLargeError, puts: dict[str, Any], changes: int
    ) -> None:
        """Lowers a limit that was announced too high: the store would always refuse the unchanged transaction."""
        limits = self._store.limits
        limits.reduce_after_refusal(puts.values(), changes)
        log.info(
            "commit too large jobs=%d changes=%d max_changes=%d max_value_bytes=%d error=%s",
            len(write_sets),
            changes,
            limits.max_changes,
            limits.max_value_bytes,
            error,
        )
        self._retry_later(write_sets)

    def _reload_all(self, write_sets: list[JobWriteSet]) -> None:
        """Reloads the jobs of a commit that may still be executed; the reload fences the commit."""
        for write_set in write_sets:
            write_set.job.write.has_unresolved_commit = True
            self._reload(write_set.job)

    def _retry_later(self, write_sets: list[JobWriteSet]) -> None:
        """Queues the jobs again, and pauses all commits."""
        for write_set in write_sets:
            self._requeue(write_set)
        self._refused_until = self._clock.seconds() + REFUSED_BACKOFF_S
        self._flush_timer.flush_within(REFUSED_BACKOFF_S)

    def _requeue(self, write_set: JobWriteSet) -> None:
        """Marks the job and the chunks of an unexecuted write set as dirty again."""
        write_set.job.write.commit_in_flight = False
        for number in write_set.chunks:
            write_set.job.chunks[number].dirty = True
        self._cluster.mark_dirty(write_set.job)


def _needs_prompt_write(job: Job, now: float) -> bool:
    """Whether the job has changes that must not wait, or counts that users would otherwise see too late."""
    return job.write.flush_now or now > job.write.counts_stored_at + MAX_COUNTS_DELAY_S
