"""Commits the leader's picture to the store, and learns what became of a commit.

Every transaction is guarded on the leader key's version, on each job's record
and on each chunk it writes. A job has at most one transaction under way.
"""

import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import defer

from stileloft.bookkeeping import records
from stileloft.bookkeeping.model import BOUND, ENDED, PLANNED, Job, Placement
from stileloft.coordination import gangs
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.settings import State

if TYPE_CHECKING:
    from stileloft.coordination.leader import Term

log = logging.getLogger(__name__)

# A transaction may hold 64 KiB; the rest is for its keys and guards.
TXN_BYTES = 40 * 1024
IN_FLIGHT = 3
# Conditions of a transaction, as a multiple of its changes.
GUARDS = 4
# The state that users see may lag by 3 s.
COUNTS_S = 1.2
LATE_S = 2.4
# How often a job is looked at of which nothing but the counts can have changed.
LOOK_S = 0.25
# The store is left alone for so long after it has not executed a commit.
REFUSED_S = 0.3
# The longest pause before a job that could not be read is read again; there may be many.
RELOAD_MOST_S = 2.4
# Completed tasks of a job are gathered for this long into one change; their room is free at once.
GATHER_S = 1.2
# What nothing waits for is written while so much of the budget is left.
LEISURE = 0.75
# Finished chunks are folded into the job's record without measuring it while it has at most so many ranges.
FEW_RANGES = 8
# Limits are not believed to be below these: a job's end takes two changes.
LEAST_OPS = 2
LEAST_VALUE_BYTES = 512


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
    parts: dict[int, list[Any]] = field(default_factory=dict)
    """The further records of chunks that are written."""
    final: bool = False
    active: bool = False
    counts: tuple[int, int] = (0, 0)
    size: int = 0

    @property
    def changes(self) -> int:
        return len(self.puts) + len(self.deletes)


class Limits:
    """What the store takes in a transaction and a value: the least of the limits known, or less if it refused that."""

    def __init__(self, state: State) -> None:
        least = state.least()
        self.ops = least.txn_ops
        self.value_bytes = least.value_bytes

    def refused(self, values: Iterable[Any], changes: int) -> None:
        """A transaction of these values, and so many changes in all, was too large; which of the two is not said."""
        largest = max((records.size_of(value) for value in values), default=0)
        if largest > self.value_bytes // 2 or changes <= LEAST_OPS:
            self.value_bytes = max(LEAST_VALUE_BYTES, self.value_bytes // 2)
        else:
            self.ops = max(LEAST_OPS, min(self.ops, changes) // 2)


class Ledger:
    def __init__(self, term: "Term") -> None:
        self.term = term
        self.in_flight = 0
        self._timer: Any = None
        self.commits = 0
        self._refused_until = 0.0

    # -- what to write --------------------------------------------------------

    def entry(self, job: Job, room: int) -> Entry | None:
        """What is to be written about a job, in at most `room` puts and deletes if they suffice for one chunk."""
        entry = Entry(job)
        now = self.term.clock.seconds()
        ended_gang = job.spec.is_gang and not job.over and gangs.completed(job)
        done_after = job.done
        for number in [n for n, chunk in job.chunks.items() if chunk.dirty]:
            if entry.guards and entry.changes >= max(1, room - 2):
                break
            done_after += self._enter_chunk(entry, number, room)
        active = records.active_key(job.id)
        if job.over:
            return entry if entry.puts or entry.deletes or entry.dropped else None
        entry.guards[active] = job.version
        entry.counts = (done_after, job.running())
        if ended_gang or done_after >= job.spec.tasks:
            # One that completed means that all of a gang have. It is told in one step, whatever it is stored in;
            # chunks that have no room beside it are dropped later, as are those of a cancelled job.
            entry.final = True
            entry.puts = {records.final_key(job.id): records.final_record("done", job.spec.tasks)}
            entry.deletes = [active]
            for number in entry.written + entry.finished:
                keys = self._keys(job, number) if job.chunks[number].stored else []
                if entry.changes + len(keys) <= room or not keys:
                    entry.deletes += keys
                    entry.dropped.append(number)
            entry.written, entry.finished = [], []
            return entry
        phase_changes = (entry.counts[1] > 0) != (job.counts_stored[1] > 0)
        # Each time the counts are told is a change more, so less often while the budget is short.
        every_s = COUNTS_S if self.term.writes.level() > self.term.writes.per_s / 2 else LATE_S
        stale = entry.counts != job.counts_stored and (phase_changes or now - job.counts_at > every_s)
        sized = self.term.node.format >= 1
        if entry.finished or stale or (sized and not job.size_stored and self._at_leisure()):
            record = job.record(sized)
            record["f"] = records.to_ranges(job.done_chunks | set(entry.finished))
            record["c"] = list(entry.counts)
            entry.puts[active] = record
            entry.active = True
        elif not entry.puts and not entry.deletes:
            return None
        return entry

    def _at_leisure(self) -> bool:
        """Whether there are changes to spare for what nothing waits for."""
        return self.term.writes.level() > LEISURE * self.term.writes.per_s

    def _enter_chunk(self, entry: Entry, number: int, room: int) -> int:
        """Adds a chunk to a job's part of a transaction; returns how many tasks of it are newly done."""
        job = entry.job
        chunk = job.chunks[number]
        key = records.chunk_key(job.id, number)
        ended = [p for p in chunk.placements.values() if p.state == ENDED]
        live = [p for p in chunk.placements.values() if p.state != ENDED]
        completed = {p.index for p in ended if p.done}
        entry.guards[key] = chunk.version
        entry.ended += ended
        if job.over and not live:
            if chunk.stored:
                entry.deletes += self._keys(job, number)
            entry.dropped.append(number)
            return 0
        # What is left of a cancelled job is recorded until it is gone.
        if (
            not job.over
            and not live
            and len(chunk.done | completed) == job.chunk_length(number)
            and self._foldable(job, {*entry.finished, number})
        ):
            if chunk.stored:
                entry.deletes += self._keys(job, number)
            entry.finished.append(number)
        else:
            entry.written.append(number)
            entry.bound += [p for p in live if p.state == PLANNED]
            self._put_chunk(entry, number)
        return len(completed - chunk.done)

    def _put_chunk(self, entry: Entry, number: int) -> None:
        job, chunk = entry.job, entry.job.chunks[number]
        if self.term.node.format < 1:
            entry.puts[records.chunk_key(job.id, number)] = chunk.record(job.spec)
            return
        values = chunk.records(job.spec, job.size, self.term.limits.value_bytes)
        entry.puts[records.chunk_key(job.id, number)] = values[0]
        entry.parts[number] = values[1:]
        for part, value in enumerate(values[1:], 1):
            version, stored = chunk.parts.get(part, (0, None))
            key = records.part_key(job.id, number, part)
            entry.guards[key] = version
            if value != stored:
                entry.puts[key] = value
        for part in chunk.parts:
            if part >= len(values):
                entry.deletes.append(records.part_key(job.id, number, part))

    @staticmethod
    def _keys(job: Job, number: int) -> list[str]:
        return [records.part_key(job.id, number, part) for part in (0, *job.chunks[number].parts)]

    def _foldable(self, job: Job, finished: set[int]) -> bool:
        """Whether the job's record has room for one more finished chunk; if not, the chunk's own record stays."""
        ranges = records.to_ranges(job.done_chunks | finished)
        if len(ranges) <= FEW_RANGES:
            return True
        return records.size_of(job.record(True) | {"f": ranges}) <= self.term.limits.value_bytes

    # -- writing --------------------------------------------------------------

    def flush(self) -> None:
        """Commits what is dirty, as far as the write budget and the limits allow."""
        term = self.term
        if not term.alive or not term.confirmed():
            return
        most = min(term.limits.ops, int(term.writes.per_s))
        now = term.clock.seconds()
        if now < self._refused_until:
            # Reports ask for a flush many times a second: in an outage each would be a request in vain.
            self.later(self._refused_until - now)
            return
        with term.lock:
            waiting = []
            for job in term.cluster.dirty_jobs():
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
                limit = max(min(4, most), min(most, int(level)))  # what ends a job takes four
                batch: list[Entry] = []
                ops = size = 0
                guards = 1
                rest: list[Job] = []
                for job in waiting:
                    if ops >= max(1, limit - 3):
                        rest.append(job)
                        continue
                    job.looked_at = now
                    entry = self.entry(job, limit - ops)
                    if entry is None:
                        job.dirty = any(chunk.dirty for chunk in job.chunks.values())
                        if not job.dirty:
                            term.cluster.dirty.pop(job.id, None)
                            self._counts_later(job)
                        continue
                    entry.size = len(orjson.dumps([entry.puts, entry.guards]))
                    more = entry.changes
                    guards += len(entry.guards)
                    if batch and (ops + more > limit or size + entry.size > TXN_BYTES or guards > GUARDS * limit):
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
            self.term.cluster.dirty[job.id] = None
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
        except ConflictError as conflict:
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
        except TooLargeError as error:
            # The limits have become lower than was announced. Unchanged it would be refused for ever.
            self.in_flight -= 1
            term.limits.refused(puts.values(), len(puts) + len(deletes))
            log.info(
                "commit too large: %s; from now on %d changes and %d bytes a value",
                error,
                term.limits.ops,
                term.limits.value_bytes,
            )
            for entry in batch:
                self._again(entry)
            self._refused_until = term.clock.seconds() + REFUSED_S
            self.later(REFUSED_S)
            return
        except UnavailableError as error:
            self.in_flight -= 1
            log.info("commit not executed: %s", error)
            for entry in batch:
                self._again(entry)
            term.writes.give_back(len(puts) + len(deletes))
            self._refused_until = term.clock.seconds() + REFUSED_S
            self.later(REFUSED_S)
            return
        except UnknownOutcomeError as error:
            self.in_flight -= 1
            log.info("commit without an answer: %s", error)
            for entry in batch:
                entry.job.late_copy = True
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
        self.term.cluster.dirty[entry.job.id] = None

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
            term.tasks.placement_cleared(placement)
        for number in entry.written:
            chunk = job.chunks[number]
            chunk.version, chunk.stored = revision, True
            chunk.parts = {
                part: (chunk.parts[part][0] if chunk.parts.get(part, (0, None))[1] == value else revision, value)
                for part, value in enumerate(entry.parts.get(number, ()), 1)
            }
        for number in entry.finished:
            del job.chunks[number]
            job.done_chunks.add(number)
        for number in entry.dropped:
            del job.chunks[number]
        if entry.final:
            job.done = job.spec.tasks
            term.tasks.close_job(job, "done")
            if not job.chunks:
                term.remove_job(job)
            return
        if entry.active:
            job.size_stored = "n" in entry.puts[records.active_key(job.id)]
            job.version = revision
            job.counts_stored = entry.counts
            job.counts_at = now
        if job.over and not job.chunks:
            term.remove_job(job)

    # -- learning what the store holds ------------------------------------------

    def start_reload(self, job: Job) -> None:
        job.busy = True
        if not job.reload:
            job.reload = True
            defer.ensureDeferred(self._reload(job))

    async def _reload(self, job: Job) -> None:
        term = self.term
        pause_s = REFUSED_S
        while term.alive:
            try:
                found = await term.state.get(records.active_key(job.id))
                if found is not None and job.late_copy:
                    # What got no answer may be executed seconds later, when its placements would come on top of
                    # what was given to others meanwhile. It is guarded on this version of the job's record: written
                    # once more, the record bars it for good.
                    if not term.writes.take(1.0):
                        await term.sleep(REFUSED_S)
                        continue
                    barred = await term.state.commit(
                        {records.LEADER: term.token, records.active_key(job.id): found[1]},
                        {records.active_key(job.id): found[0]},
                        [],
                    )
                    found = found[0], barred, None
                phase = None
                if found is None:
                    final = await term.state.get(records.final_key(job.id))
                    phase = final[0]["phase"] if final else "cancelled"
                chunks, _ = await term.state.scan(f"{records.TASKS}{job.id}/")
                break
            except ConflictError as conflict:
                if records.LEADER in conflict.failed:
                    term.depose("the leader key has another version")
                    return
                await term.sleep(REFUSED_S / 3)  # it was cancelled, or what got no answer is executed by now
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("reading %s again: %s", job.id, error)
                await term.sleep(pause_s)
                pause_s = min(2 * pause_s, RELOAD_MOST_S)
        if not term.alive:
            return
        with term.lock:
            before = list(job.placements())
            if found is not None:
                job.load_active(found[0], found[1])
            job.load_chunks(chunks)
            job.recount()
            job.busy = job.reload = job.late_copy = False
            kept = {id(p) for p in job.placements()}
            for placement in before:
                if id(placement) not in kept:
                    term.tasks.placement_cleared(placement)
            for placement in job.placements():
                term.tasks.attach(placement)
                if placement.state == ENDED:
                    job.chunk_of(placement.index).dirty = True
            if any(chunk.dirty for chunk in job.chunks.values()):
                term.cluster.mark_dirty(job)
            if phase is not None:
                term.tasks.close_job(job, phase)
                if not job.chunks:
                    term.remove_job(job)
            elif job.spec.is_gang:
                term.tasks.review_gang(job)
        log.debug("read %s again: %s", job.id, phase or "active")
        self.flush()
        term.request_round()
