"""Reconciliation after a rebuild: adds changes of the lost store that the rebuild missed and this controller knows.

A rebuild misses them if the controller was down or unreachable while the records were written back.
"""

import logging
from collections.abc import Iterator
from typing import Any

import msgspec

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.protocol.state import ConflictError
from stileloft.rebuild import identity as identities
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.evidence import ATTEMPT_MARGIN
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.loss_detector import LossDetector
from stileloft.rebuild.replica import Replica
from stileloft.rebuild.store_status import StoreStatus
from stileloft.rebuild.stored_jobs import StoredJob

log = logging.getLogger(__name__)

# Pause after the write of a record, so that reconciliation uses little of the store's write limit.
RECORD_INTERVAL_S = 0.2


class MissedChangesReconciler:
    """Adds outcomes and accepted jobs that the rebuilt store lacks; overwrites nothing that was accepted since.

    Users were told of these outcomes and jobs, so an ended job must stay ended, and an accepted job must stay known.
    """

    def __init__(
        self, environment: RebuildEnvironment, store: StoreStatus, replicas: LocalReplicas, detector: LossDetector
    ) -> None:
        self._environment = environment
        self._state = environment.state
        self._store = store
        self._replicas = replicas
        self._detector = detector

    async def reconcile(self, loaded: Replica) -> None:
        """Adds to the store what the previous replica holds and the newly loaded one lacks."""
        previous = self._replicas.current
        if not 0 < previous.generation < loaded.generation:
            return
        active = {key: record for key, record in loaded.records.items() if key.startswith(records.ACTIVE)}
        for job, outcome in previous.outcomes.without(loaded.outcomes).items():
            record = active.get(records.active_key(job))
            await self._record_outcome(job, outcome, 0 if record is None else record.version)
            loaded.outcomes.add(job, outcome)
            await self._environment.sleep(RECORD_INTERVAL_S)
        for job, value in _accepted_jobs(previous):
            if records.active_key(job) not in active and loaded.outcomes.get(job) is None:
                await self._record_accepted_job(job, value)
                await self._environment.sleep(RECORD_INTERVAL_S)

    async def mark_reconciled(self) -> None:
        """Removes this controller from the unreconciled members in the store's identity record."""
        identity, member = self._store.identity, self._environment.member
        if identity is None or member not in identity.unreconciled_members:
            return
        remaining = tuple(other for other in identity.unreconciled_members if other != member)
        reconciled = msgspec.structs.replace(identity, unreconciled_members=remaining)
        puts = {records.IDENTITY: identities.to_record(reconciled)}
        self._store.accept_identity(reconciled, await self._state.commit(self._store.guards(), puts, []))

    async def _record_outcome(self, job: str, outcome: JobOutcome, active_version: int) -> None:
        """Records a job's outcome; the same transaction deletes its record as an unfinished job, if there is one."""
        active, final = records.active_key(job), records.final_key(job)
        guards = {active: active_version, final: 0, **self._store.guards()}
        value = records.final_record(outcome.phase, outcome.tasks)
        try:
            await self._state.commit(guards, {final: value}, [active] if active_version else [])
            log.info("missed outcome recorded job=%s phase=%s", job, outcome.phase)
        except ConflictError as conflict:
            if active in conflict.failed:
                self._detector.request_check()
                raise  # the job's record has changed: all records are read and compared again

    async def _record_accepted_job(self, job: str, value: dict[str, Any]) -> None:
        """Records an accepted job without placements, as it is not known where its tasks were placed."""
        active, final = records.active_key(job), records.final_key(job)
        stored = StoredJob(job, value)
        if stored.inline_chunk is not None:
            chunk = stored.chunk(0)
            chunk.attempt += ATTEMPT_MARGIN
            chunk.placements = {}
            stored.store_chunk(0, chunk)
        try:
            await self._state.commit({active: 0, final: 0, **self._store.guards()}, {active: stored.value}, [])
            log.info("missed job recorded job=%s", job)
        except ConflictError:
            return  # the job has been submitted again since


def _accepted_jobs(replica: Replica) -> Iterator[tuple[str, dict[str, Any]]]:
    for key, value in replica.values(records.ACTIVE):
        yield key[len(records.ACTIVE) :], value
