"""Reconciles an unfinished job's records with the workers' heartbeats.

Reconciliation is needed if the merged replica may be out of date. It begins once all machines without a heartbeat are
gone: the heartbeats then show where the tasks are, and the replica shows only which tasks existed.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from stileloft.rebuild.evidence import ATTEMPT_MARGIN, Evidence, ReportedTask
from stileloft.rebuild.stored_jobs import StoredChunk, StoredJob


@dataclass(slots=True)
class ReconciledJob:
    """A job whose tasks are placed where heartbeats list them."""

    job: StoredJob
    unresolved: dict[str, str] = field(default_factory=dict)
    """Evidence by task number, for tasks that may have completed unnoticed and must not run twice."""


class JobReconciler:
    """Reconciles one job."""

    def __init__(self, evidence: Evidence, job: StoredJob, reported: Mapping[int, ReportedTask]) -> None:
        self._evidence = evidence
        self._job = job
        self._reported = reported
        self._spec = job.spec
        self._chunk_size = job.chunk_size or evidence.legacy_chunk_size
        self.runs_once = self._spec.job_class in evidence.run_once_classes
        """Whether the job's tasks are not repeated unless it is shown that they did not complete."""

    def reconcile(self, silent_machines: Sequence[str]) -> ReconciledJob:
        """Returns the reconciled job.

        `silent_machines` have sent no heartbeat since the loss, and may have run some of the job's tasks.
        """
        reconciled = ReconciledJob(StoredJob(self._job.id, self._job.value))
        for number in self._unfinished_chunks():
            chunk = self._job.chunk(number)
            reconciled.unresolved |= self._reconcile_chunk(chunk, number)
            reconciled.job.store_chunk(number, chunk)
        if self.runs_once and silent_machines:
            reconciled.unresolved |= self._possibly_run_tasks(reconciled, silent_machines[0])
        return reconciled

    def _unfinished_chunks(self) -> list[int]:
        """Returns the numbers of the unfinished chunks that have a record or a reported task."""
        reported = {index // self._chunk_size for index in self._reported}
        return sorted((self._job.chunk_numbers() | reported) - self._job.finished_chunks)

    def _tasks_of_chunk(self, number: int) -> range:
        return range(number * self._chunk_size, (number + 1) * self._chunk_size)

    def _reconcile_chunk(self, chunk: StoredChunk, number: int) -> dict[str, str]:
        """Places the chunk's tasks where heartbeats list them; returns the evidence of unresolved tasks by number."""
        previous = chunk.placements
        tasks = self._tasks_of_chunk(number)
        chunk.placements = {
            str(index): reported.placement
            for index, reported in self._reported.items()
            if index in tasks and index not in chunk.done
        }
        attempts = [placement[0] for placement in (*previous.values(), *chunk.placements.values())]
        chunk.attempt = max([chunk.attempt, *attempts]) + ATTEMPT_MARGIN
        return self._unlisted_tasks(chunk, previous) if self.runs_once else {}

    def _unlisted_tasks(self, chunk: StoredChunk, previous: Mapping[str, list[Any]]) -> dict[str, str]:
        """Returns the evidence of tasks that were placed and that no heartbeat lists, by task number."""
        unlisted: dict[str, str] = {}
        for index, (attempt, machine, *_) in previous.items():
            if int(index) in self._reported or int(index) in chunk.done:
                continue
            observation = "reports without it" if machine in self._evidence.heartbeats else "was not heard again"
            unlisted[index] = f"attempt {attempt} was placed on {machine}, which {observation}"
        return unlisted

    def _possibly_run_tasks(self, reconciled: ReconciledJob, silent_machine: str) -> dict[str, str]:
        """Returns the evidence of tasks that wait in the replica but may have run on a silent machine, by number."""
        accounted_for = reconciled.job.recorded_tasks() | {int(index) for index in reconciled.unresolved}
        for number in self._job.finished_chunks:
            accounted_for |= set(self._tasks_of_chunk(number))
        waiting = [str(index) for index in range(self._spec.tasks) if index not in accounted_for]
        evidence = f"it waited, and may have run on {silent_machine}, which was not heard again"
        return dict.fromkeys(waiting, evidence)
