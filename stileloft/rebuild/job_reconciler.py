"""Brings an unfinished job's records in line with the workers' heartbeats.

This is done where the merged replica may be behind, once everything that no heartbeat lists has surely ended: the
heartbeats are the truth, and the replica only says what there was.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from stileloft.rebuild.evidence import ATTEMPT_MARGIN, Evidence, ReportedTask
from stileloft.rebuild.stored_jobs import StoredChunk, StoredJob


@dataclass(slots=True)
class ReconciledJob:
    """A job, with each task where a heartbeat lists it."""

    job: StoredJob
    unresolved: dict[str, str] = field(default_factory=dict)
    """By task number: tasks that may have completed unseen and must not run twice, with the evidence."""


class JobReconciler:
    """Settles one job."""

    def __init__(self, evidence: Evidence, job: StoredJob, reported: Mapping[int, ReportedTask]) -> None:
        self._evidence = evidence
        self._job = job
        self._reported = reported
        self._spec = job.spec
        self._chunk_size = job.chunk_size or evidence.first_chunk_size
        self.runs_once = self._spec.job_class in evidence.run_once_classes
        """Whether its tasks are not repeated unless it is shown that they did not complete."""

    def reconcile(self, silent_machines: Sequence[str]) -> ReconciledJob:
        """The reconciled job; `silent_machines` may have run some of its tasks, and have sent no heartbeat since."""
        reconciled = ReconciledJob(StoredJob(self._job.id, self._job.value))
        for number in self._open_chunks():
            chunk = self._job.chunk(number)
            reconciled.unresolved |= self._reconcile_chunk(chunk, number)
            reconciled.job.store_chunk(number, chunk)
        if self.runs_once and silent_machines:
            reconciled.unresolved |= self._possibly_run_tasks(reconciled, silent_machines[0])
        return reconciled

    def _open_chunks(self) -> list[int]:
        """Numbers of the chunks of which something is known, and that are not finished."""
        reported = {index // self._chunk_size for index in self._reported}
        return sorted((self._job.chunk_numbers() | reported) - self._job.finished_chunks)

    def _tasks_of_chunk(self, number: int) -> range:
        return range(number * self._chunk_size, (number + 1) * self._chunk_size)

    def _reconcile_chunk(self, chunk: StoredChunk, number: int) -> dict[str, str]:
        """Places the chunk's tasks where heartbeats list them; returns those that are unresolved."""
        before = chunk.placements
        tasks = self._tasks_of_chunk(number)
        chunk.placements = {
            str(index): reported.placement
            for index, reported in self._reported.items()
            if index in tasks and index not in chunk.done
        }
        attempts = [placement[0] for placement in (*before.values(), *chunk.placements.values())]
        chunk.attempt = max([chunk.attempt, *attempts]) + ATTEMPT_MARGIN
        return self._unlisted_tasks(chunk, before) if self.runs_once else {}

    def _unlisted_tasks(self, chunk: StoredChunk, before: Mapping[str, list[Any]]) -> dict[str, str]:
        """Tasks that were placed, and that no heartbeat lists."""
        unlisted: dict[str, str] = {}
        for index, (attempt, machine, *_) in before.items():
            if int(index) in self._reported or int(index) in chunk.done:
                continue
            heard = "reports without it" if machine in self._evidence.heartbeats else "was not heard again"
            unlisted[index] = f"attempt {attempt} was placed on {machine}, which {heard}"
        return unlisted

    def _possibly_run_tasks(self, reconciled: ReconciledJob, silent_machine: str) -> dict[str, str]:
        """Tasks that were waiting, but may have run since on a machine that sends no heartbeat any more."""
        known = reconciled.job.recorded_tasks() | {int(index) for index in reconciled.unresolved}
        for number in self._job.finished_chunks:
            known |= set(self._tasks_of_chunk(number))
        waiting = [str(index) for index in range(self._spec.tasks) if index not in known]
        evidence = f"it waited, and may have run on {silent_machine}, which was not heard again"
        return dict.fromkeys(waiting, evidence)
