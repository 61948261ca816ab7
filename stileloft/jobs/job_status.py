"""The states of jobs, as users are told them."""

from collections import OrderedDict
from typing import Any

from stileloft.jobs.shared_scan import SharedJobScan
from stileloft.jobs.user_store import UserStore
from stileloft.model import records
from stileloft.protocol.messages import JobPhase, job_status_message
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.clock import Clock

MAX_CACHED_OUTCOMES = 5000
SPARE_READS_FRACTION = 0.5
"""While more than this part of a second's reads is left, each question has a read of its own; then they share one."""


class JobOutcomes:
    """Final states of jobs, as told to users. Only these may come from memory: nothing can make them older."""

    def __init__(self, integrity: StoreIntegrity) -> None:
        self._integrity = integrity
        self._cache: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def get(self, job: str) -> dict[str, Any] | None:
        """A job's final state, if it is known without asking the store."""
        cached = self._cache.get(job)
        if cached is not None:
            return cached
        # It may have ended before the store was rebuilt, and then has no record of its own there.
        outcome = self._integrity.outcome_of(job)
        return None if outcome is None else self.record(job, records.final_record(outcome.phase, outcome.tasks))

    def record(self, job: str, value: dict[str, Any]) -> dict[str, Any]:
        """Keeps the final state that the value of a job's final record tells, and returns it."""
        answer = job_status_message(job, JobPhase(value["phase"]), value["n"], 0)
        self._cache[job] = answer
        if len(self._cache) > MAX_CACHED_OUTCOMES:
            self._cache.popitem(last=False)
        return answer


class JobStatusReader:
    """Reads states of jobs from the store.

    Records only move from `active/` to `final/`, so they are looked for in that order.
    """

    def __init__(self, store: UserStore, outcomes: JobOutcomes, clock: Clock) -> None:
        self._store = store
        self._outcomes = outcomes
        self._shared_scan = SharedJobScan(store, clock)

    async def status(self, job: str) -> dict[str, Any] | None:
        """The job's state, or None if the store says that it was never accepted; raises `RetryLaterError`."""
        known = self._outcomes.get(job)
        if known is not None:
            return known
        self._store.require_intact()
        with self._store.refund_on_failure(self._store.read_budget, 1.0):
            value = await self._active_record(job)
            if value is None:
                return await self.final_status(job)
        done, running = value["c"]
        return job_status_message(job, JobPhase.RUNNING if running else JobPhase.QUEUED, done, running)

    async def final_status(self, job: str) -> dict[str, Any] | None:
        """The state of a job that is not among the unfinished ones; None if it was never accepted.

        Raises the errors of the store.
        """
        found = await self._store.client.lookup(records.final_key(job))
        if found is not None:
            return self._outcomes.record(job, found[0])
        integrity = self._store.integrity
        await integrity.verify_absence()  # what is missing may have been lost
        known = self._outcomes.get(job)
        if known is not None:
            return known
        return job_status_message(job, JobPhase.QUEUED, 0, 0) if integrity.has_lost_spec(job) else None

    async def _active_record(self, job: str) -> dict[str, Any] | None:
        """The record of an unfinished job. Many users asking often must not take what the leader needs."""
        key = records.active_key(job)
        read_budget = self._store.read_budget
        if read_budget.level() > SPARE_READS_FRACTION * read_budget.rate_per_s:
            self._store.take_reads()
            found = await self._store.client.lookup(key)
            return None if found is None else found[0]
        value: dict[str, Any] | None = (await self._shared_scan.read()).get(key)
        if value is None:
            self._store.take_reads()  # its final record is looked up next
        return value
