"""What users ask for, straight on the store, on every node alike."""

import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from stileloft.machines.catalog import MachineCatalog
from stileloft.model import records
from stileloft.model.chunks import separate_chunk
from stileloft.model.jobs import active_record
from stileloft.model.machines import fits_type
from stileloft.protocol.messages import JobSpec, MachineType, job_from_wire, job_status_message
from stileloft.protocol.state import (
    PAGE,
    ConflictError,
    StateClient,
    ThrottledError,
    TooLargeError,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.settings import Team
from stileloft.store.integrity import StoreIntegrity
from stileloft.store.record_format import RecordFormat
from stileloft.transport.clock import Clock
from stileloft.transport.rate_limit import TokenBucket

log = logging.getLogger(__name__)

MAX_CACHED_OUTCOMES = 5000
# What a cancellation usually changes: the job's record goes, and one of its end comes.
CANCELLATION_CHANGES = 2.0
MAX_CANCEL_ATTEMPTS = 4
# While more than this part of the read budget is left, each question has a read of its own; below it, all that come
# within so many seconds share one that begins after the last of them came.
SHARED_READS_BELOW = 0.5
SHARED_READ_DELAY_S = 0.25
# When users are to come back while lost records are rebuilt.
REBUILD_RETRY_S = 2.0


class RetryLaterError(Exception):
    """The request cannot be taken now; the user is to come back."""

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class InfeasibleJobError(Exception):
    """The job can never run; the text says why."""


def infeasibility_reason(
    spec: JobSpec, teams: dict[str, Team], types: dict[str, MachineType], value_bytes: int
) -> str | None:
    team = teams.get(spec.team)
    if team is None:
        return f"unknown team {spec.team!r}"
    if not any(fits_type(spec, kind) for kind in types.values()):
        return "a task fits no allowed machine type"
    at_once = 1 if spec.kind == "array" else spec.tasks
    if (team.cpus_max and at_once * spec.cpus > team.cpus_max) or (
        team.gpus_max and at_once * (spec.gpus or 0) > team.gpus_max
    ):
        return "what has to run at once needs more than the team's limit"
    if spec.is_gang and spec.spread and spec.tasks > 1:
        zones = {zone for kind in types.values() if fits_type(spec, kind) for zone in kind.zones}
        if spec.one_zone or spec.zone is not None or len(zones) < 2:
            return "half of its tasks would have to be in another zone, and all of them run at once"
    if records.size_of(active_record(spec, 0.0, spec.tasks)) + records.COURSE_BYTES > value_bytes:
        return "its description is too long to be stored"
    return None


class Admission:
    """Submissions, states and cancellations.

    Records only move from `active/` to `final/`, so readers look in that order;
    whatever is told to a user has been committed before.
    """

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        teams: dict[str, Team],
        catalog: MachineCatalog,
        record_format: RecordFormat,
        read_budget: TokenBucket,
        write_budget: TokenBucket,
        wall_clock: Any,
        value_bytes: int,
        integrity: StoreIntegrity,
    ) -> None:
        self._clock = clock
        self._integrity = integrity
        self._state = state
        self._teams = teams
        self._catalog = catalog
        self._format = record_format
        self._read_budget = read_budget
        self._write_budget = write_budget
        self._wall_clock = wall_clock
        self._value_bytes = value_bytes
        self.cancellation_listener: Callable[[str, int], None] = lambda _job, _revision: None
        """Called with each job that a user of this node has cancelled, and the store's revision, before the answer."""
        # Only final answers may come from memory: nothing can make them older.
        self._final: OrderedDict[str, dict[str, Any]] = OrderedDict()
        self._pending_reads: list[defer.Deferred[dict[str, Any]]] = []
        """Questions that wait for the next read that is shared."""

    async def submit(self, spec: JobSpec) -> tuple[bool, dict[str, Any]]:
        """Whether the job is new, and its state. Returns only after the commit."""
        known = self._final.get(spec.id)
        if known is not None:
            return False, known
        if self._cache_known_outcome(spec.id) is not None:
            # It ended before the store was rebuilt, and may have no record of its own there.
            return False, self._final[spec.id]
        self._require_sound_store()
        if not self._catalog.types:
            raise RetryLaterError("the machine types are not known yet")
        reason = infeasibility_reason(spec, self._teams, self._catalog.types, self._value_bytes)
        if reason is not None:
            # A known job is told its state, whatever has changed since it was accepted.
            known = await self.status(spec.id)
            if known is not None:
                return False, known
            raise InfeasibleJobError(reason)
        self._take_budget(self._write_budget, 1.0)
        active, final = records.active_key(spec.id), records.final_key(spec.id)
        chunk_size = self._format.chunk_size if self._format.has_chunk_sizes else None
        value = active_record(spec, self._wall_clock(), chunk_size)
        try:
            revision = await self._state.commit({active: 0, final: 0, **self._integrity.guards()}, {active: value}, [])
        except ConflictError as conflict:
            self._check_store_identity(conflict)
            known = await self.status(spec.id)
            if known is None:
                raise RetryLaterError("the job's record is changing") from None
            return False, known
        except TooLargeError:
            raise InfeasibleJobError("its description is too long to be stored") from None
        except (UnavailableError, UnknownOutcomeError) as error:
            raise self._retry_after_failure(error, self._write_budget, 1.0) from None
        self._integrity.record_commit({active: value}, [], revision)
        log.info("job %s accepted: %d tasks of class %s for %s", spec.id, spec.tasks, spec.job_class, spec.team)
        return True, job_status_message(spec.id, "queued")

    async def status(self, job: str) -> dict[str, Any] | None:
        """The job's state, or None if the store says that it was never accepted."""
        known = self._final.get(job) or self._cache_known_outcome(job)
        if known is not None:
            return known
        self._require_sound_store()
        try:
            if self._read_budget.level() > SHARED_READS_BELOW * self._read_budget.rate_per_s:
                self._take_budget(self._read_budget, 1.0)
                found = await self._state.lookup(records.active_key(job))
                value = found[0] if found is not None else None
            else:
                value = (await self._shared_read()).get(records.active_key(job))
                if value is None:
                    self._take_budget(self._read_budget, 1.0)
            if value is not None:
                done, running = value["c"]
                return job_status_message(job, "running" if running else "queued", done, running)
            return await self._ended(job)
        except (UnavailableError, UnknownOutcomeError) as error:
            raise self._retry_after_failure(error, self._read_budget, 1.0) from None

    def _shared_read(self) -> defer.Deferred[dict[str, Any]]:
        """All unfinished jobs, as read after now. Many users asking often must not take what the leader needs."""
        waiting: defer.Deferred[dict[str, Any]] = defer.Deferred()
        self._pending_reads.append(waiting)
        if len(self._pending_reads) == 1:
            self._clock.callLater(SHARED_READ_DELAY_S, lambda: defer.ensureDeferred(self._read_all()))
        return waiting

    async def _read_all(self) -> None:
        # Who asks from now on is not among them: the read may begin before that question.
        asked, self._pending_reads = self._pending_reads, []
        try:
            self._take_budget(self._read_budget, 1.0)
            items, _ = await self._state.scan(records.ACTIVE)
            self._read_budget.overdraw(len(items) // PAGE)
        except Exception as error:
            for waiting in asked:
                waiting.errback(error)
            return
        found = {key: value for key, value, _ in items}
        for waiting in asked:
            waiting.callback(found)

    async def _ended(self, job: str) -> dict[str, Any] | None:
        found = await self._state.lookup(records.final_key(job))
        if found is not None:
            return self._cache_outcome(job, found[0])
        # What is missing may have been lost.
        await self._integrity.verify_absence()
        known = self._cache_known_outcome(job)
        if known is not None:
            return known
        return job_status_message(job, "queued", 0, 0) if self._integrity.is_unknown_job(job) else None

    def _require_sound_store(self) -> None:
        if not self._integrity.is_sound() or not self._integrity.knows_outcomes():
            raise RetryLaterError("the state service has lost records, which are being rebuilt", REBUILD_RETRY_S)

    def _cache_known_outcome(self, job: str) -> dict[str, Any] | None:
        end = self._integrity.outcome_of(job)
        return None if end is None else self._cache_outcome(job, records.final_record(end.phase, end.tasks))

    def _check_store_identity(self, conflict: ConflictError) -> None:
        """A transaction that failed on the store's identity was one on a store that is not the known one."""
        if records.IDENTITY in conflict.failed:
            self._integrity.suspect()
            raise RetryLaterError("the state service is being verified", 1.0)

    def _cache_outcome(self, job: str, value: dict[str, Any]) -> dict[str, Any]:
        answer = job_status_message(job, value["phase"], value["n"], 0)
        self._final[job] = answer
        if len(self._final) > MAX_CACHED_OUTCOMES:
            self._final.popitem(last=False)
        return answer

    async def cancel(self, job: str) -> dict[str, Any] | None:
        """The final state after the cancellation, or None for a job that was never accepted."""
        known = self._final.get(job) or self._cache_known_outcome(job)
        if known is not None:
            return known
        self._require_sound_store()
        self._take_budget(self._write_budget, CANCELLATION_CHANGES)
        try:
            # The leader may rewrite the record between the read and the commit.
            for _ in range(MAX_CANCEL_ATTEMPTS):
                found = await self._state.lookup(records.active_key(job))
                if found is None:
                    return await self._ended(job)
                try:
                    return await self._cancel_record(job, found[0], found[1])
                except ConflictError as conflict:
                    self._check_store_identity(conflict)
        except (UnavailableError, UnknownOutcomeError) as error:
            raise self._retry_after_failure(error, self._write_budget, CANCELLATION_CHANGES) from None
        raise RetryLaterError("the job's record keeps changing")

    async def _cancel_record(self, job: str, value: dict[str, Any], version: int) -> dict[str, Any]:
        """Replaces a job's record, of this value and version, by the one of its cancellation."""
        active, final = records.active_key(job), records.final_key(job)
        ended = records.final_record("cancelled", 0)
        puts = {final: ended}
        inline = value.get(records.INLINE_CHUNK)
        if inline is not None and inline["p"]:
            # What may still run somewhere stays known until it is gone: it takes room, and has to be stopped.
            puts[records.chunk_key(job, 0)] = separate_chunk(job_from_wire(value["s"]), inline, value["n"])
            self._write_budget.overdraw(1.0)
        guards = {active: version, final: 0, **self._integrity.guards()}
        revision = await self._state.commit(guards, puts, [active])
        self._integrity.record_commit(puts, [active], revision)
        log.info("job %s cancelled, revision %d", job, revision)
        self.cancellation_listener(job, revision)
        return self._cache_outcome(job, ended)

    @staticmethod
    def _retry_after_failure(error: Exception, budget: TokenBucket, amount: float) -> RetryLaterError:
        # Otherwise the repeats during an outage would leave nothing for those after it.
        # What was refused because there was too much of it counts: else the repeats starve the leader.
        if isinstance(error, UnavailableError) and not isinstance(error, ThrottledError):
            budget.refund(amount)
        return RetryLaterError(f"state service: {error}")

    @staticmethod
    def _take_budget(budget: TokenBucket, amount: float) -> None:
        if not budget.try_take(amount):
            raise RetryLaterError("too many requests", 1.0)
