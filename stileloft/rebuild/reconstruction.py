"""Computes the records to write into a store that has lost its records, from the evidence and without I/O."""

import functools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.model.records import JobOutcome
from stileloft.rebuild import unresolved_tasks
from stileloft.rebuild.evidence import Evidence, locate_tasks
from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.job_reconciler import JobReconciler
from stileloft.rebuild.silent_machines import machines_named_in
from stileloft.rebuild.stored_jobs import StoredJob
from stileloft.rebuild.unresolved_tasks import UnresolvedTasks


@dataclass(slots=True)
class Reconstruction:
    """Changes to make in the store, and a summary for operators."""

    puts: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    unresolved: dict[str, UnresolvedTasks] = field(default_factory=dict)
    """Unresolved tasks, by job."""
    new_outcomes: JobOutcomes = field(default_factory=JobOutcomes)
    """Outcomes that the store does not hold yet."""
    running: int = 0
    """Number of unfinished jobs with placed tasks."""
    pending: int = 0
    """Number of unfinished jobs without placed tasks."""
    ended: int = 0
    """Number of jobs with a known outcome."""


def reconstruct(evidence: Evidence) -> Reconstruction:
    """Returns the changes that bring the store in line with the evidence."""
    return _Reconstructor(evidence).run()


class _Reconstructor:
    """Collects the records that the store should hold, then compares them with the records in the store."""

    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence
        self._replica = evidence.replica
        self._result = Reconstruction()
        self._target_records: dict[str, Any] = {}
        self._reported = locate_tasks(evidence.heartbeats)
        self._stored_outcomes = _stored_outcomes(evidence.stored_records)
        self._outcomes = JobOutcomes()
        self._outcomes.update(evidence.replica.outcomes)
        # Outcomes stored since the loss are kept, as users may have been told of them.
        self._outcomes.update(self._stored_outcomes)

    def run(self) -> Reconstruction:
        self._result.new_outcomes = self._outcomes.without(self._stored_outcomes)
        self._result.ended = len(self._outcomes)
        self._restore_jobs()
        self._restore_chunks_of_ended_jobs()
        self._restore_other_records()
        self._keep_jobs_without_spec()
        self._compare()
        return self._result

    def _records(self, prefix: str) -> Iterator[tuple[str, Any]]:
        for key, value in sorted(self._replica.records.items()):
            if key.startswith(prefix):
                yield key, value

    def _chunks_by_job(self) -> dict[str, dict[str, Any]]:
        found: dict[str, dict[str, Any]] = {}
        for key, value in self._records(records.TASKS):
            found.setdefault(records.split_chunk_key(key)[0], {})[key] = value
        return found

    def _has_ended(self, job: str) -> bool:
        return self._outcomes.get(job) is not None

    # -- records from the replica -------------------------------------------------

    def _restore_jobs(self) -> None:
        chunks = self._chunks_by_job()
        for key, value in self._records(records.ACTIVE):
            job_id = key[len(records.ACTIVE) :]
            job = StoredJob(job_id, value, chunks.get(job_id, {}))
            if self._has_ended(job_id):
                self._restore_inline_chunk(job)
            else:
                self._restore_job(job)

    def _restore_job(self, job: StoredJob) -> None:
        """Restores an unfinished job, reconciled with the heartbeats if the replica may be out of date."""
        if not self._replica.has_last_leader:
            job = self._reconcile_job(job)
        self._target_records[records.active_key(job.id)] = job.value
        self._target_records.update(job.chunks)
        if job.has_placements():
            self._result.running += 1
        else:
            self._result.pending += 1

    def _reconcile_job(self, job: StoredJob) -> StoredJob:
        reconciler = JobReconciler(self._evidence, job, self._reported.get(job.id, {}))
        reconciled = reconciler.reconcile(self._silent_machines if reconciler.runs_once else [])
        if reconciled.unresolved:
            self._add_unresolved(job.id, UnresolvedTasks(reconciled.unresolved))
        return reconciled.job

    def _restore_inline_chunk(self, job: StoredJob) -> None:
        """Keeps the placements of an ended job's inline chunk, so that tasks that still run are stopped and counted."""
        if job.inline_chunk is not None and job.inline_chunk["p"]:
            self._target_records[records.chunk_key(job.id, 0)] = detached_chunk_record(
                job.spec, job.inline_chunk, job.chunk_size
            )

    def _restore_chunks_of_ended_jobs(self) -> None:
        for key, value in self._records(records.TASKS):
            if self._has_ended(records.split_chunk_key(key)[0]):
                self._target_records.setdefault(key, value)

    def _restore_other_records(self) -> None:
        for key, value in self._replica.records.items():
            if key in (records.SETTINGS, records.FORMAT) or key.startswith((records.PROVISIONED, records.UNRESOLVED)):
                self._target_records.setdefault(key, value)

    @functools.cached_property
    def _silent_machines(self) -> list[str]:
        """Returns the machines that the replica names and that have sent no heartbeat since the loss.

        The cloud has confirmed that they are gone, but tasks may have completed on them.
        """
        return sorted(machines_named_in(self._replica.records) - set(self._evidence.heartbeats))

    # -- unresolved tasks -----------------------------------------------------------

    def _add_unresolved(self, job: str, unresolved: UnresolvedTasks) -> None:
        self._result.unresolved[job] = unresolved
        self._target_records[records.UNRESOLVED + job] = unresolved_tasks.to_record(unresolved)

    def _keep_jobs_without_spec(self) -> None:
        """Keeps jobs that only heartbeats name: workers have tasks only of accepted jobs, which must stay known."""
        for job, reported in self._reported.items():
            active = records.active_key(job)
            if active in self._target_records or active in self._evidence.stored_records or self._has_ended(job):
                continue
            evidence = {
                str(index): f"attempt {found.task.attempt} is {found.task.state} on {found.heartbeat.machine}"
                for index, found in reported.items()
            }
            self._add_unresolved(job, UnresolvedTasks(evidence, spec_lost=True))

    # -- comparison with the store --------------------------------------------------

    def _compare(self) -> None:
        """Determines the records to write and the stale ones to delete; jobs accepted since the loss are kept."""
        stored = self._evidence.stored_records
        self._result.puts = {key: value for key, value in self._target_records.items() if stored.get(key) != value}
        self._result.deletes = [key for key in stored if key not in self._target_records and self._is_stale(key)]

    def _is_stale(self, key: str) -> bool:
        """Whether a record in the store is from an older state than the evidence."""
        if key.startswith(records.ACTIVE):
            return self._has_ended(key[len(records.ACTIVE) :])
        if key.startswith(records.TASKS):
            job = records.split_chunk_key(key)[0]
            return records.active_key(job) in self._target_records or self._has_ended(job)
        return False


def _stored_outcomes(stored_records: Mapping[str, Any]) -> JobOutcomes:
    """Returns the outcomes in the store's records."""
    found = JobOutcomes()
    for key, value in stored_records.items():
        if key.startswith(records.FINAL):
            found.add(key[len(records.FINAL) :], JobOutcome(value["phase"], value["n"]))
        elif key.startswith(records.ENDED):
            found.load(value)
    return found
