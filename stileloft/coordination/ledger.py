"""Commits the leader's picture to the store, and learns what became of a commit.

Every transaction is guarded on the leader key's version, on each job's record
and on each chunk it writes. A job has at most one transaction under way.
"""

import logging
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import defer

from stileloft.bookkeeping import records
from stileloft.bookkeeping.model import BOUND, ENDED, PLANNED, Job, Placement
from stileloft.protocol.state import Conflict, Unavailable, Unknown

if TYPE_CHECKING:
    from stileloft.coordination.leader import Term

log = logging.getLogger(__name__)

# A transaction may hold 64 KiB; the rest is for its keys and guards.
TXN_BYTES = 40 * 1024
IN_FLIGHT = 3
# The state that users see may lag by 3 s.
COUNTS_S = 1.2
LATE_S = 2.4
# How often a job is looked at of which nothing but the counts can have changed.
LOOK_S = 0.25
# The store is left alone for so long after it has not executed a commit.
REFUSED_S = 0.3
# Completed tasks of a job are gathered for this long into one change; their room is free at once.
GATHER_S = 1.2


@dataclass(slots=True)
class Entry:
    """A job's part of a transaction."""

    job: Job
    guards: dict[str, int] = field(default_factory=dict)
    puts: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    bound: list[Placement] = field(default_factory=list)
    ended: list[Placement] = field(default_factory=list)
    written: list[int] = field(default_factory=list)
    finished: list[int] = field(default_factory=list)
    dropped: list[int] = field(default_factory=list)
    final: bool = False
    active: bool = False
    counts: tuple[int, int] = (0, 0)
    size: int = 0


class Ledger:
    def __init__(self, term: "Term") -> None:
        self.term = term
        self.in_flight = 0
        self._timer: Any = None
        self.commits = 0
        self._refused_until = 0.0

    # -- what to write --------------------------------------------------------

    def entry(self, job: Job, room: int) -> Entry | None:
        """What is to be written about a job, in at most `room` puts and deletes."""
        entry = Entry(job)
        now = self.term.clock.seconds()
        done_after = job.done
        active_changes = False
        for number in [n for n, chunk in job.chunks.items() if chunk.dirty][: max(1, room - 2)]:
            chunk = job.chunks[number]
            ended = [p for p in chunk.placements.values() if p.state == ENDED]
            live = [p for p in chunk.placements.values() if p.state != ENDED]
            key = records.chunk_key(job.id, number)
            entry.guards[key] = chunk.version
            entry.ended += ended
            completed = {p.index for p in ended if p.done}
            done_after += len(completed - chunk.done)
            if job.over:
                # What is left of a cancelled job is recorded until it is gone.
                if live:
                    entry.puts[key] = chunk.record(job.spec)
                    entry.written.append(number)
                else:
                    if chunk.stored:
                        entry.deletes.append(key)
                    entry.dropped.append(number)
            elif not live and len(chunk.done | completed) == job.chunk_length(number):
                if chunk.stored:
                    entry.deletes.append(key)
                entry.finished.append(number)
                active_changes = True
            else:
                entry.puts[key] = chunk.record(job.spec)
                entry.written.append(number)
                entry.bound += [p for p in live if p.state == PLANNED]
        active = records.active_key(job.id)
        if job.over:
            if not entry.puts and not entry.deletes:
                if not entry.dropped:
                    return None
            return entry
        entry.guards[active] = job.version
        entry.counts = (done_after, job.running())
        if done_after >= job.spec.tasks:
            entry.final = True
            entry.puts[records.final_key(job.id)] = records.final_record("done", job.spec.tasks)
            entry.deletes.append(active)
        else:
            phase_changes = (entry.counts[1] > 0) != (job.counts_stored[1] > 0)
            # Each time the counts are told is a change more, so less often while the budget is short.
            every_s = COUNTS_S if self.term.writes.level() > self.term.writes.per_s / 2 else LATE_S
            stale = entry.counts != job.counts_stored and (phase_changes or now - job.counts_at > every_s)
            if active_changes or stale:
                record = job.record()
                record["f"] = records.to_ranges(job.done_chunks | set(entry.finished))
                record["c"] = list(entry.counts)
                entry.puts[active] = record
                entry.active = True
            elif not entry.puts and not entry.deletes:
                return None
        return entry

    # -- writing --------------------------------------------------------------

    def flush(self) -> None:
        """Commits what is dirty, as far as the write budget and the limits allow."""
        term = self.term
        if not term.alive or not term.confirmed():
            return
        most = min(term.settings.state.txn_ops, int(term.writes.per_s))
        now = term.clock.seconds()
        if now < self._refused_until:
            # Reports ask for a flush many times a second: in an outage each would be a request in vain.
            self.later(self._refused_until - now)
            return
        with term.lock:
            waiting = []
            for job in term.dirty_jobs():
                if not job.dirty and now < job.looked_at + LOOK_S:
                    self.later(job.looked_at + LOOK_S - now)  # only its counts may have changed
                elif job.gathering_since is not None and not job.pressing and now < job.gathering_since + GATHER_S:
                    self.later(job.gathering_since + GATHER_S - now)
                elif not job.busy:
                    waiting.append(job)
            # Under a burst the budget does not suffice for all. First what something waits for: placements, and
            # ends; completions and counts only until users would see them too late.
            waiting.sort(key=lambda job: (not self._waited_for(job, now), -job.spec.rank, job.submitted))
            while waiting and self.in_flight < IN_FLIGHT:
                # Seen before the entries are made: under a burst they would be made in vain with each report.
                least, level = most // 3, term.writes.level()
                if level < least:
                    self.later((least - level) / term.writes.per_s)
                    break
                limit = max(4, min(most, int(level)))  # what ends a job takes four
                batch: list[Entry] = []
                ops = size = 0
                rest: list[Job] = []
                for job in waiting:
                    if ops >= limit - 3:
                        rest.append(job)
                        continue
                    job.looked_at = now
                    entry = self.entry(job, limit - ops)
                    if entry is None:
                        job.dirty = any(chunk.dirty for chunk in job.chunks.values())
                        if not job.dirty:
                            term.dirty.pop(job.id, None)
                            self._counts_later(job)
                        continue
                    entry.size = len(orjson.dumps([entry.puts, entry.guards]))
                    more = len(entry.puts) + len(entry.deletes)
                    if batch and (ops + more > limit or size + entry.size > TXN_BYTES):
                        rest.append(job)
                        continue
                    batch.append(entry)
                    ops += more
                    size += entry.size
                if not batch:
                    break
                if ops and not term.writes.take(min(ops, term.writes.per_s)):
                    self.later(min(1.0, ops / term.writes.per_s))
                    break
                for entry in batch:
                    entry.job.busy = True
                    entry.job.pressing, entry.job.gathering_since = False, None
                    for number in entry.written + entry.finished + entry.dropped:
                        entry.job.chunks[number].dirty = False
                self.in_flight += 1
                defer.ensureDeferred(self._commit(batch))
                waiting = rest

    @staticmethod
    def _waited_for(job: Job, now: float) -> bool:
        return job.pressing or now > job.counts_at + LATE_S

    def gather(self, job: Job, pressing: bool) -> None:
        """A task of the job is done. Many such share a change, unless it is the last or something else presses."""
        left = job.spec.tasks - job.done - sum(1 for p in job.placements() if p.state == ENDED and p.done)
        job.pressing = pressing or left <= 0
        if job.gathering_since is None:
            job.gathering_since = self.term.clock.seconds()

    def later(self, seconds: float) -> None:
        if self._timer is not None and self._timer.active():
            # What can wait must not hold back what can't.
            if self._timer.getTime() <= self.term.clock.seconds() + seconds:
                return
            self._timer.cancel()  # moving it would search all timers, of which a large fleet has thousands
        self._timer = self.term.clock.callLater(seconds, self.flush)

    def _counts_later(self, job: Job) -> None:
        if not job.over and (job.done, job.running()) != job.counts_stored:
            self.term.dirty[job.id] = None
            self.later(COUNTS_S / 2)

    async def _commit(self, batch: list[Entry]) -> None:
        term = self.term
        guards = {records.LEADER: term.token}
        puts: dict[str, Any] = {}
        deletes: list[str] = []
        for entry in batch:
            guards.update(entry.guards)
            puts.update(entry.puts)
            deletes += entry.deletes
        try:
            if puts or deletes:
                revision = await term.state.commit(guards, puts, deletes)
            else:
                revision = 0  # only forgotten chunks that were never stored
        except Conflict as conflict:
            self.in_flight -= 1
            if records.LEADER in conflict.failed:
                term.depose("the leader key has another version")
                return
            log.debug("conflict on %s", conflict)
            for entry in batch:
                if any(key in conflict.failed for key in entry.guards):
                    self.start_reload(entry.job)
                else:
                    self._again(entry)
            self.flush()
            return
        except Unavailable as error:
            self.in_flight -= 1
            log.info("commit not executed: %s", error)
            for entry in batch:
                self._again(entry)
            term.writes.give_back(len(puts) + len(deletes))
            self._refused_until = term.clock.seconds() + REFUSED_S
            self.later(REFUSED_S)
            return
        except Unknown as error:
            self.in_flight -= 1
            log.info("commit without an answer: %s", error)
            for entry in batch:
                self.start_reload(entry.job)
            return
        self.in_flight -= 1
        if not term.alive:
            return
        self.commits += 1
        with term.lock:
            for entry in batch:
                self._committed(entry, revision)
        term.after_commit(batch)
        self.flush()

    def _again(self, entry: Entry) -> None:
        """Nothing was written: what is in the entry is dirty still."""
        entry.job.busy = False
        for number in entry.written + entry.finished + entry.dropped:
            entry.job.chunks[number].dirty = True
        entry.job.dirty = entry.job.pressing = True
        self.term.dirty[entry.job.id] = None

    def _committed(self, entry: Entry, revision: int) -> None:
        job, term = entry.job, self.term
        job.busy = False
        now = term.clock.seconds()
        for placement in entry.bound:
            if placement.state == PLANNED:
                placement.state = BOUND
                placement.bound_at = now
        for placement in entry.ended:
            chunk = job.chunk_of(placement.index)
            if placement.done and not job.over and placement.index not in chunk.done:
                chunk.done.add(placement.index)
                job.done += 1
            if chunk.placements.get(placement.index) is placement:
                job.remove(placement)
            term.cleared(placement)
        for number in entry.written:
            job.chunks[number].version = revision
            job.chunks[number].stored = True
        for number in entry.finished:
            del job.chunks[number]
            job.done_chunks.add(number)
        for number in entry.dropped:
            del job.chunks[number]
        if entry.final:
            term.job_over(job, "done")
            term.drop_job(job)
            return
        if entry.active:
            job.version = revision
            job.counts_stored = entry.counts
            job.counts_at = now
        if job.over and not job.chunks:
            term.drop_job(job)

    # -- learning what the store holds ------------------------------------------

    def start_reload(self, job: Job) -> None:
        job.busy = True
        if not job.reload:
            job.reload = True
            defer.ensureDeferred(self._reload(job))

    async def _reload(self, job: Job) -> None:
        term = self.term
        while term.alive:
            try:
                found = await term.state.get(records.active_key(job.id))
                phase = None
                if found is None:
                    final = await term.state.get(records.final_key(job.id))
                    phase = final[0]["phase"] if final else "cancelled"
                chunks, _ = await term.state.scan(f"{records.TASKS}{job.id}/")
                break
            except (Unavailable, Unknown) as error:
                log.debug("reading %s again: %s", job.id, error)
                await term.sleep(0.3)
        if not term.alive:
            return
        with term.lock:
            before = list(job.placements())
            old = job.chunks
            stored = {records.split_chunk_key(key)[1]: (value, version) for key, value, version in chunks}
            if found is not None:
                job.load_active(found[0], found[1])
            job.chunks = {}
            for number, (value, version) in stored.items():
                if number in old:
                    job.chunks[number] = old[number]
                job.load_chunk(number, value, version)
            job.recount()
            job.busy = job.reload = False
            kept = {id(p) for p in job.placements()}
            for placement in before:
                if id(placement) not in kept:
                    term.cleared(placement)
            for placement in job.placements():
                term.attach(placement)
                if placement.state == ENDED:
                    job.chunk_of(placement.index).dirty = True
            if any(chunk.dirty for chunk in job.chunks.values()):
                term.touch(job)
            if phase is not None:
                term.job_over(job, phase)
                if not job.chunks:
                    term.drop_job(job)
        log.debug("read %s again: %s", job.id, phase or "active")
        self.flush()
        term.poke()


