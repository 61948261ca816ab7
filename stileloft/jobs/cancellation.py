"""Cancellation of jobs by users."""

import logging
from collections.abc import Callable
from typing import Any

from stileloft.jobs.errors import RetryLaterError
from stileloft.jobs.job_status import JobOutcomes, JobStatusReader
from stileloft.jobs.user_store import UserStore
from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.model.records.forms import FinalPhase
from stileloft.protocol.messages import job_from_wire
from stileloft.protocol.state import ConflictError

log = logging.getLogger(__name__)

CANCELLATION_CHANGES = 2.0
"""Changes of the store that a cancellation usually takes: the job's record is deleted, its final record written."""
MAX_ATTEMPTS = 4
"""Attempts at a cancellation: the leader may rewrite the job's record between the read and the commit."""


class JobCanceller:
    """Cancels jobs directly in the store; the leader learns of it from its watch."""

    def __init__(
        self,
        store: UserStore,
        outcomes: JobOutcomes,
        status: JobStatusReader,
        on_cancelled: Callable[[str, int], None],
    ) -> None:
        """`on_cancelled` is called with each cancelled job and the store's revision, before the user is answered."""
        self._store = store
        self._outcomes = outcomes
        self._status = status
        self._on_cancelled = on_cancelled

    async def cancel(self, job: str) -> dict[str, Any] | None:
        """Cancels a job; returns its final status, or None if it was never accepted.

        Raises `RetryLaterError`. The request is idempotent: a job that has ended keeps its final status.
        """
        final_status = self._outcomes.get(job)
        if final_status is not None:
            return final_status
        self._store.require_intact()
        self._store.take_changes(CANCELLATION_CHANGES)
        with self._store.refund_on_failure(self._store.write_budget, CANCELLATION_CHANGES):
            for _ in range(MAX_ATTEMPTS):
                found = await self._store.client.lookup(records.active_key(job))
                if found is None:
                    return await self._status.final_status(job)
                try:
                    return await self._replace_record(job, found[0], found[1])
                except ConflictError as conflict:
                    self._store.check_identity(conflict)
        raise RetryLaterError("the job's record keeps changing")

    async def _replace_record(self, job: str, value: dict[str, Any], version: int) -> dict[str, Any]:
        """Replaces a job's record, which has this value and version, by its final record; returns the final status."""
        active, final = records.active_key(job), records.final_key(job)
        final_value = records.final_record(FinalPhase.CANCELLED, 0)
        puts = {final: final_value}
        inline = value.get(records.INLINE_CHUNK)
        if inline is not None and inline["p"]:
            # Tasks that may still run stay recorded until they end: they use resources, and have to be stopped.
            puts[records.chunk_key(job, 0)] = detached_chunk_record(job_from_wire(value["s"]), inline, value["n"])
            self._store.write_budget.overdraw(1.0)
        integrity = self._store.integrity
        guards = {active: version, final: 0, **integrity.guards()}
        revision = await self._store.client.commit(guards, puts, [active])
        integrity.record_commit(puts, [active], revision)
        log.info("job cancelled job=%s revision=%d", job, revision)
        self._on_cancelled(job, revision)
        return self._outcomes.record(job, final_value)
