"""The status of jobs, as reported to users."""

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
"""While the read budget holds more than this fraction of a second's reads, each request has a read of its own."""


class JobOutcomes:
    """Final statuses of jobs. Only these may be answered from memory: they never become stale."""

    def __init__(self, integrity: StoreIntegrity) -> None:
        self._integrity = integrity
        self._cache: OrderedDict[str, dict[str, Any]] = OrderedDict()

    def get(self, job: str) -> dict[str, Any] | None:
        """Returns a job's final status if it is known without a read of the store, else None."""
        cached = self._cache.get(job)
        if cached is not None:
            return cached
        # A job that ended before a rebuild of the store has no record of its own there.
        outcome = self._integrity.outcome_of(job)
        return None if outcome is None else self.record(job, records.final_record(outcome.phase, outcome.tasks))

    def record(self, job: str, value: dict[str, Any]) -> dict[str, Any]:
        """Caches the final status given by the value of a job's final record, and returns it."""
        answer = job_status_message(job, JobPhase(value["phase"]), value["n"], 0)
        self._cache[job] = answer
        if len(self._cache) > MAX_CACHED_OUTCOMES:
            self._cache.popitem(last=False)
        return answer


class JobStatusReader:
    """Reads the status of jobs from the store.

    Records only move from `active/` to `final/`, so they are looked up in that order.
    """

    def __init__(self, store: UserStore, outcomes: JobOutcomes, clock: Clock) -> None:
        self._store = store
        self._outcomes = outcomes
        self._shared_scan = SharedJobScan(store, clock)

    async def status(self, job: str) -> dict[str, Any] | None:
        """Returns the job's status, or None if it was never accepted; raises `RetryLaterError`."""
        final_status = self._outcomes.get(job)
        if final_status is not None:
            return final_status
        self._store.require_intact()
        with self._store.refund_on_failure(self._store.read_budget, 1.0):
            value = await self._active_record(job)
            if value is None:
                return await self.final_status(job)
        done, running = value["c"]
        return job_status_message(job, JobPhase.RUNNING if running else JobPhase.QUEUED, done, running)

    async def final_status(self, job: str) -> dict[str, Any] | None:
        """Returns the status of a job without a record under `active/`, or None if it was never accepted.

        Raises the errors of the store.
        """
        found = await self._store.client.lookup(records.final_key(job))
        if found is not None:
            return self._outcomes.record(job, found[0])
        integrity = self._store.integrity
        await integrity.verify_absence()  # the missing record may have been lost
        final_status = self._outcomes.get(job)
        if final_status is not None:
            return final_status
        return job_status_message(job, JobPhase.QUEUED, 0, 0) if integrity.has_lost_spec(job) else None

    async def _active_record(self, job: str) -> dict[str, Any] | None:
        """Returns the record of an unfinished job, or None.

        Frequent requests share a scan, to leave the leader its share of reads.
        """
        key = records.active_key(job)
        read_budget = self._store.read_budget
        if read_budget.level() > SPARE_READS_FRACTION * read_budget.rate_per_s:
            self._store.take_reads()
            found = await self._store.client.lookup(key)
            return None if found is None else found[0]
        value: dict[str, Any] | None = (await self._shared_scan.read()).get(key)
        if value is None:
            self._store.take_reads()  # for the job's final record, which the caller looks up next
        return value
