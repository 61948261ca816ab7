"""Users' requests about jobs, which every controller answers from the store.

No status is reported to a user before it is committed.
"""

import logging
from collections.abc import Callable
from typing import Any

from stileloft.jobs.cancellation import JobCanceller
from stileloft.jobs.errors import InfeasibleJobError, RetryLaterError
from stileloft.jobs.feasibility import SPEC_TOO_LARGE, FeasibilityCheck
from stileloft.jobs.job_status import JobOutcomes, JobStatusReader
from stileloft.jobs.user_store import UserStore
from stileloft.model import records
from stileloft.model.job_records import active_record
from stileloft.protocol.messages import JobPhase, JobSpec, job_status_message
from stileloft.protocol.state import ConflictError, TooLargeError
from stileloft.store.record_format import RecordFormat
from stileloft.transport.clock import Clock, WallClock

log = logging.getLogger(__name__)

SUBMISSION_CHANGES = 1.0
"""Changes of the store that a submission takes."""


class Admission:
    """Submits jobs, reads their status and cancels them. Requests are idempotent: any controller may get a retry."""

    def __init__(
        self,
        store: UserStore,
        feasibility: FeasibilityCheck,
        record_format: RecordFormat,
        clock: Clock,
        wall_clock: WallClock,
        on_cancelled: Callable[[str, int], None],
    ) -> None:
        """`on_cancelled`: see `JobCanceller`."""
        self._store = store
        self._feasibility = feasibility
        self._format = record_format
        self._wall_clock = wall_clock
        self.outcomes = JobOutcomes(store.integrity)
        self._status = JobStatusReader(store, self.outcomes, clock)
        self._canceller = JobCanceller(store, self.outcomes, self._status, on_cancelled)

    async def submit(self, spec: JobSpec) -> tuple[bool, dict[str, Any]]:
        """Accepts a job; returns whether it is new, and its committed status.

        Raises `InfeasibleJobError` and `RetryLaterError`. A job that was accepted before keeps its status, even if it
        would be infeasible now.
        """
        existing = self.outcomes.get(spec.id)
        if existing is not None:
            return False, existing
        self._store.require_intact()
        reason = self._feasibility.infeasibility_reason(spec)
        if reason is not None:
            existing = await self.status(spec.id)
            if existing is not None:
                return False, existing
            raise InfeasibleJobError(reason)
        self._store.take_changes(SUBMISSION_CHANGES)
        try:
            await self._accept(spec)
        except ConflictError as conflict:
            self._store.check_identity(conflict)
            existing = await self.status(spec.id)
            if existing is None:
                raise RetryLaterError("the job's record is changing") from None
            return False, existing
        log.info("job accepted job=%s tasks=%d class=%s team=%s", spec.id, spec.tasks, spec.job_class, spec.team)
        return True, job_status_message(spec.id, JobPhase.QUEUED)

    async def _accept(self, spec: JobSpec) -> None:
        """Stores the record of a new job; raises `ConflictError` if the job was accepted before."""
        active, final = records.active_key(spec.id), records.final_key(spec.id)
        chunk_size = self._format.chunk_size if self._format.has_chunk_sizes else None
        value = active_record(spec, self._wall_clock(), chunk_size)
        integrity = self._store.integrity
        guards = {active: 0, final: 0, **integrity.guards()}
        with self._store.refund_on_failure(self._store.write_budget, SUBMISSION_CHANGES):
            try:
                revision = await self._store.client.commit(guards, {active: value}, [])
            except TooLargeError:
                raise InfeasibleJobError(SPEC_TOO_LARGE) from None
        integrity.record_commit({active: value}, [], revision)

    async def status(self, job: str) -> dict[str, Any] | None:
        """Returns the job's status, or None if it was never accepted; raises `RetryLaterError`."""
        return await self._status.status(job)

    async def cancel(self, job: str) -> dict[str, Any] | None:
        """Cancels a job; returns its final status, or None if it was never accepted; raises `RetryLaterError`."""
        return await self._canceller.cancel(job)
