"""Commits the leader's picture to the store, and learns what became of a commit.

Every transaction is guarded on the leader key's version, on each job's record
and on each chunk it writes. A job has at most one transaction under way.
"""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.model import records
from stileloft.model.jobs import Job
from stileloft.model.placements import PlacementState
from stileloft.protocol.state import ConflictError, Item, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.store.job_transaction import COUNTS_S, LATE_S, JobTransaction, JobTransactionBuilder

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader

    pass

log = logging.getLogger(__name__)

# A transaction may hold 64 KiB; the rest is for its keys and guards.
TXN_BYTES = 40 * 1024
IN_FLIGHT = 3
# Conditions of a transaction, as a multiple of its changes.
GUARDS = 4
# A transaction is begun when this part of its most changes is within the budget.
LEAST_PART = 3
# Changes that a job may need at its end; a transaction with less room is not made longer.
JOB_END_CHANGES = 4
# How often a job is looked at of which nothing but the counts can have changed.
LOOK_S = 0.25
# The store is left alone for so long after it has not executed a commit.
REFUSED_S = 0.3
# The longest pause before a job that could not be read is read again; there may be many.
RELOAD_MOST_S = 2.4
# The budget is short when less than this part of a second's changes is left.
SHORT_PART = 0.5
# Completed tasks of a job are gathered for this long into one change; their room is free at once.
GATHER_S = 1.2


class TransactionBatch:
    """Entries that share a transaction."""

    def __init__(self, most_changes: int) -> None:
        self.entries: list[JobTransaction] = []
        self.most_changes = most_changes
        self.changes = 0
        self._bytes = 0
        self._guards = 1  # the leader key

    def is_full(self) -> bool:
        """Whether no further job is worth looking at."""
        return self.changes >= max(1, self.most_changes - JOB_END_CHANGES + 1)

    def add(self, entry: JobTransaction) -> bool:
        """Adds an entry, unless the transaction would become too large."""
        size = records.most_compact_bytes([entry.puts, entry.guards])
        guards = self._guards + len(entry.guards)
        if self.entries and (
            self.changes + entry.changes > self.most_changes
            or self._bytes + size > TXN_BYTES
            or guards > GUARDS * self.most_changes
        ):
            return False
        self.entries.append(entry)
        self.changes += entry.changes
        self._bytes += size
        self._guards = guards
        return True


class CommitQueue:
    """Writes what is dirty, within the leader's part of the store's limits."""

    def __init__(self, term: "Leader") -> None:
        self.term = term
        self.in_flight = 0
        self._builder = JobTransactionBuilder(term)
        self._timer: Any = None
        self.commits = 0
        self._refused_until = 0.0

    # -- writing --------------------------------------------------------------

    def flush(self) -> None:
        """Commits what is dirty, as far as the write budget and the limits allow."""
        term = self.term
        if not term.alive or not term.holds_lease():
            return
        now = term.clock.seconds()
        if now < self._refused_until:
            # Reports ask for a flush many times a second: in an outage each would be a request in vain.
            self.flush_within(self._refused_until - now)
            return
        if self.in_flight >= IN_FLIGHT or not self._budget_allows():
            return  # seen first: under a burst hundreds of jobs would be put in order with each report
        with term.lock:
            waiting = self._due(now)
            while waiting and self.in_flight < IN_FLIGHT and self._budget_allows():
                batch, waiting = self._gather(waiting, now)
                if not batch.entries or not self._pay(batch):
                    break
                self._start(batch)

    def _due(self, now: float) -> list[Job]:
        """The dirty jobs that can be written now, what something waits for first."""
        due = []
        for job in self.term.cluster.dirty_jobs():
            if not job.dirty and now < job.write_checked_at + LOOK_S:
                self.flush_within(job.write_checked_at + LOOK_S - now)  # only its counts may have changed
            elif job.coalescing_since is not None and not job.urgent and now < job.coalescing_since + GATHER_S:
                self.flush_within(job.coalescing_since + GATHER_S - now)
            elif self._is_paced(job) and now < job.commit_began_at + GATHER_S:
                self.flush_within(job.commit_began_at + GATHER_S - now)
            elif not job.commit_in_flight:
                due.append(job)
        # Under a burst the budget does not suffice for all. First what something waits for: placements, and
        # ends; completions and counts only until users would see them too late. Then each job in its turn: by their
        # age, an array of tens of thousands of tasks used up the budget, and small jobs waited until it was done.
        due.sort(key=lambda job: (not self._waited_for(job, now), -job.spec.rank, job.write_order))
        return due

    def _is_paced(self, job: Job) -> bool:
        """Whether a job of many chunks is to gather its changes, as the budget is short."""
        write_budget = self.term.write_budget
        return (
            job.chunk_count() > 1 and not job.end_phase and write_budget.level() < SHORT_PART * write_budget.rate_per_s
        )

    def _most_changes(self) -> int:
        return min(self.term.limits.ops, int(self.term.write_budget.rate_per_s))

    def _budget_allows(self) -> bool:
        """Whether a transaction may begin; seen before entries are made, which would be made in vain."""
        write_budget = self.term.write_budget
        least, level = self._most_changes() // LEAST_PART, write_budget.level()
        if level < least:
            self.flush_within((least - level) / write_budget.rate_per_s)
        return level >= least

    def _gather(self, waiting: list[Job], now: float) -> tuple[TransactionBatch, list[Job]]:
        """As many of the jobs as fit into a transaction, and those that are left."""
        most = self._most_changes()
        batch = TransactionBatch(max(min(JOB_END_CHANGES, most), min(most, int(self.term.write_budget.level()))))
        rest: list[Job] = []
        for job in waiting:
            if batch.is_full():
                rest.append(job)
                continue
            job.write_checked_at = now
            entry = self._builder.build(job, batch.most_changes - batch.changes)
            if entry is None:
                self._nothing_to_write(job)
            elif not batch.add(entry):
                rest.append(job)
        return batch, rest

    def _nothing_to_write(self, job: Job) -> None:
        job.dirty = any(chunk.dirty for chunk in job.chunks.values())
        if not job.dirty:
            self.term.cluster.dirty.pop(job.id, None)
            self._counts_later(job)

    def _pay(self, batch: TransactionBatch) -> bool:
        """Takes a transaction's changes from the budget."""
        write_budget = self.term.write_budget
        if batch.changes and not write_budget.try_take(min(batch.changes, write_budget.rate_per_s)):
            self.flush_within(min(1.0, batch.changes / write_budget.rate_per_s))
            return False
        return True

    def _start(self, batch: TransactionBatch) -> None:
        for entry in batch.entries:
            entry.job.commit_in_flight = True
            entry.job.commit_began_at = self.term.clock.seconds()
            entry.job.urgent, entry.job.coalescing_since = False, None
            for number in entry.chunks:
                entry.job.chunks[number].dirty = False
        self.in_flight += 1
        defer.ensureDeferred(self._commit(batch.entries))

    @staticmethod
    def _waited_for(job: Job, now: float) -> bool:
        return job.urgent or now > job.counts_stored_at + LATE_S

    def gather(self, job: Job, urgent: bool) -> None:
        """A task of the job is done. Many such share a change, unless it is the last or something else presses."""
        left = (
            job.spec.tasks - job.done - sum(1 for p in job.placements() if p.state == PlacementState.ENDED and p.done)
        )
        job.urgent = urgent or left <= 0
        if job.coalescing_since is None:
            job.coalescing_since = self.term.clock.seconds()

    def flush_within(self, seconds: float) -> None:
        """Has a flush made within so many seconds."""
        if self._timer is not None and self._timer.active():
            # What can wait must not hold back what can't.
            if self._timer.getTime() <= self.term.clock.seconds() + seconds:
                return
            self._timer.cancel()  # moving it would search all timers, of which a large fleet has thousands
        self._timer = self.term.clock.callLater(seconds, self.flush)

    def _counts_later(self, job: Job) -> None:
        if not job.end_phase and (job.done, job.running()) != job.stored_counts:
            self.term.cluster.mark_counts(job)
            self.flush_within(COUNTS_S / 2)

    async def _commit(self, batch: list[JobTransaction]) -> None:
        term = self.term
        guards = term.leader_guard()
        puts: dict[str, Any] = {}
        deletes: list[str] = []
        for entry in batch:
            guards.update(entry.guards)
            puts.update(entry.puts)
            deletes += entry.deletes
        revision = 0  # only forgotten chunks that were never stored
        try:
            if puts or deletes:
                revision = await term.state.commit(guards, puts, deletes)
            else:
                await term.sleep(0.0)  # whoever began this holds the lock, which is taken anew below
        except ConflictError as conflict:
            self._conflicted(batch, conflict)
        except TooLargeError as error:
            self._too_large(batch, error, puts, len(puts) + len(deletes))
        except UnavailableError as error:
            log.info("commit not executed: %s", error)
            self._not_executed(batch)
            term.write_budget.refund(len(puts) + len(deletes))
        except UnknownOutcomeError as error:
            self.in_flight -= 1
            log.info("commit without an answer: %s", error)
            for entry in batch:
                entry.job.has_unresolved_commit = True
                self.reload(entry.job)
        else:
            term.node.integrity.record_commit(puts, deletes, revision, announce_all=False)
            self._executed(batch, revision)

    def _conflicted(self, batch: list[JobTransaction], conflict: ConflictError) -> None:
        """A guard failed: the jobs whose records have changed are read again."""
        self.in_flight -= 1
        if records.LEADER in conflict.failed:
            self.term.node.election.suspect("the leader key has another version")
            return
        log.debug("conflict on %s", conflict)
        for entry in batch:
            if any(key in conflict.failed for key in entry.guards):
                self.reload(entry.job)
            else:
                self._again(entry)
        self.flush()

    def _too_large(self, batch: list[JobTransaction], error: TooLargeError, puts: dict[str, Any], changes: int) -> None:
        """The limits have become lower than was announced. Unchanged it would be refused for ever."""
        limits = self.term.limits
        limits.refused(puts.values(), changes)
        log.info(
            "commit too large: %s; from now on %d changes and %d bytes a value", error, limits.ops, limits.value_bytes
        )
        self._not_executed(batch)

    def _not_executed(self, batch: list[JobTransaction]) -> None:
        """Has everything tried again after a pause."""
        self.in_flight -= 1
        for entry in batch:
            self._again(entry)
        self._refused_until = self.term.clock.seconds() + REFUSED_S
        self.flush_within(REFUSED_S)

    def _executed(self, batch: list[JobTransaction], revision: int) -> None:
        self.in_flight -= 1
        if not self.term.alive:
            return
        self.commits += 1
        if revision:
            self.term.tokens.committed(revision)
        with self.term.lock:
            for entry in batch:
                self._committed(entry, revision)
        self.term.after_commit(batch)
        self.flush()

    def _again(self, entry: JobTransaction) -> None:
        """Nothing was written: what is in the entry is dirty still."""
        entry.job.commit_in_flight = False
        for number in entry.chunks:
            entry.job.chunks[number].dirty = True
        self.term.cluster.mark_dirty(entry.job)

    def _committed(self, entry: JobTransaction, revision: int) -> None:
        job, term = entry.job, self.term
        job.commit_in_flight = False
        self._settle_placements(entry)
        self._settle_chunks(entry, revision)
        if entry.final:
            job.done = job.spec.tasks
            term.tasks.end_job(job, "done")
        elif entry.active:
            job.chunk_size_stored = "n" in entry.puts[records.active_key(job.id)]
            job.version = revision
            job.stored_counts = entry.counts
            job.counts_stored_at = term.clock.seconds()
        if job.end_phase and not job.chunks:
            term.remove_job(job)

    def _settle_placements(self, entry: JobTransaction) -> None:
        """Planned placements are bound now, and ended ones are gone."""
        job, term = entry.job, self.term
        for placement in entry.bound:
            if placement.state == PlacementState.PLANNED:
                placement.state = PlacementState.BOUND
        for placement in entry.ended:
            chunk = job.chunk_of(placement.index)
            if placement.done and not job.end_phase and placement.index not in chunk.done:
                chunk.done.add(placement.index)
                job.done += 1
            if chunk.placements.get(placement.index) is placement:
                job.remove(placement)
            term.tasks.placement_cleared(placement)

    @staticmethod
    def _settle_chunks(entry: JobTransaction, revision: int) -> None:
        """Takes down where the store holds each chunk, and in which version."""
        job = entry.job
        for number in entry.written:
            chunk = job.chunks[number]
            chunk.inline, chunk.stored = entry.inline, not entry.inline
            if entry.inline:
                continue
            chunk.version = revision
            before = chunk.parts
            chunk.parts = {}
            for part, value in enumerate(entry.parts.get(number, ()), 1):
                version, stored = before.get(part, (0, None))
                chunk.parts[part] = (version if stored == value else revision, value)
        for number in entry.finished:
            del job.chunks[number]
            job.finished_chunks.add(number)
        for number in entry.dropped:
            del job.chunks[number]

    # -- learning what the store holds ------------------------------------------

    def reload(self, job: Job) -> None:
        """Has a job read from the store; until then nothing about it is written."""
        job.commit_in_flight = True
        if not job.reload_pending:
            job.reload_pending = True
            defer.ensureDeferred(self._reload(job))

    async def _reload(self, job: Job) -> None:
        term = self.term
        pause_s = REFUSED_S
        while term.alive:
            try:
                found, phase, chunks = await self._read(job)
                break
            except ConflictError as conflict:
                if records.LEADER in conflict.failed:
                    term.node.election.suspect("the leader key has another version")
                    return
                await term.sleep(REFUSED_S / 3)  # it was cancelled, or what got no answer is executed by now
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("reading %s again: %s", job.id, error)
                await term.sleep(pause_s)
                pause_s = min(2 * pause_s, RELOAD_MOST_S)
        if not term.alive:
            return
        with term.lock:
            self._take_in(job, found, phase, chunks)
        log.debug("read %s again: %s", job.id, phase or "active")
        self.flush()
        term.request_scheduling()

    async def _read(self, job: Job) -> tuple[tuple[Any, int] | None, str | None, list[Item]]:
        """The job's record and version, or how it ended; and its chunks."""
        term, key = self.term, records.active_key(job.id)
        found = await term.state.get(key)
        phase = None
        if found is None:
            final = await term.state.get(records.final_key(job.id))
            phase = final[0]["phase"] if final else "cancelled"
        record = None if found is None else found[:2]
        if record is not None and job.has_unresolved_commit:
            # What got no answer may be executed seconds later, when its placements would come on top of
            # what was given to others meanwhile. It is guarded on this version of the job's record: written
            # once more, the record bars it for good.
            while not term.write_budget.try_take(1.0):
                await term.sleep(REFUSED_S)
            value, version = record
            record = value, await term.state.commit({**term.leader_guard(), key: version}, {key: value}, [])
        chunks, _ = await term.state.scan(f"{records.TASKS}{job.id}/")
        return record, phase, chunks

    def _take_in(self, job: Job, found: tuple[Any, int] | None, phase: str | None, chunks: list[Item]) -> None:
        """Takes the store's word for a job."""
        term = self.term
        before = list(job.placements())
        if found is not None:
            job.load_active(*found)
        else:
            job.inline_value = None  # whoever removed the record gave its chunk one of its own
        job.load_chunks(chunks)
        job.recount()
        job.commit_in_flight = job.reload_pending = job.has_unresolved_commit = False
        kept = {id(p) for p in job.placements()}
        for placement in before:
            if id(placement) not in kept:
                term.tasks.placement_cleared(placement)
        for placement in job.placements():
            term.tasks.attach(placement)
            if placement.state == PlacementState.ENDED:
                job.chunk_of(placement.index).dirty = True
        if any(chunk.dirty for chunk in job.chunks.values()):
            term.cluster.mark_dirty(job)
        if phase is not None:
            term.tasks.end_job(job, phase)
            if not job.chunks:
                term.remove_job(job)
        elif job.spec.is_gang:
            term.tasks.reconcile_gang(job)
