"""Input of a reconstruction: the merged replica, the records in the store, and the workers' heartbeats."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stileloft.model import records
from stileloft.protocol.messages import ExitReason, Heartbeat, TaskState, TaskStatus
from stileloft.rebuild.replica_merge import MergedReplica

# Gap between the highest known attempt of a chunk and the next one: there may have been attempts that no heartbeat
# reports.
ATTEMPT_MARGIN = 1000


@dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that a rebuild knows about the records to be written."""

    replica: MergedReplica
    stored_records: Mapping[str, Any]
    """Records in the store: from an older state or an interrupted rebuild, or of jobs accepted since the loss."""
    heartbeats: Mapping[str, Heartbeat]
    """Newest heartbeat of each machine that has sent one since the loss."""
    run_once_classes: frozenset[str]
    """Classes of jobs whose tasks are not repeated unless it is shown that they did not complete."""
    legacy_chunk_size: int
    """Tasks per chunk of jobs whose records do not hold a chunk size."""


@dataclass(frozen=True, slots=True)
class ReportedTask:
    """A task that a machine's heartbeat lists."""

    heartbeat: Heartbeat
    task: TaskStatus

    @property
    def placement(self) -> list[Any]:
        """Stored form of the task's placement."""
        heartbeat = self.heartbeat
        return [self.task.attempt, heartbeat.machine, heartbeat.zone, 1 if heartbeat.spot else 0]

    @property
    def precedence(self) -> tuple[bool, bool, int]:
        """Sort key of a task's attempts: a completed one counts most, then one that has not exited, then the newest."""
        task = self.task
        return (
            task.state == TaskState.EXITED and task.exit_reason == ExitReason.DONE,
            task.state != TaskState.EXITED,
            task.attempt,
        )


def locate_tasks(heartbeats: Mapping[str, Heartbeat]) -> dict[str, dict[int, ReportedTask]]:
    """Returns, for each task in the heartbeats, the attempt that takes precedence, by job and task number."""
    found: dict[str, dict[int, ReportedTask]] = {}
    for heartbeat in heartbeats.values():
        for task in heartbeat.tasks:
            job, index = records.split_task(task.task)
            reported = ReportedTask(heartbeat, task)
            tasks = found.setdefault(job, {})
            if index not in tasks or reported.precedence > tasks[index].precedence:
                tasks[index] = reported
    return found
