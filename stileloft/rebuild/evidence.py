"""Everything that a rebuild knows: the merged replica, the records in the store, and the workers' heartbeats."""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from stileloft.model import records
from stileloft.protocol.messages import ExitReason, Heartbeat, TaskState, TaskStatus
from stileloft.rebuild.replica_merge import MergedReplica

# Attempts are counted on from so much above the highest known one: some may have been made that nobody reports.
ATTEMPT_MARGIN = 1000


@dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that a rebuild knows."""

    replica: MergedReplica
    stored_records: Mapping[str, Any]
    """Records that are in the store now: of an older state, of a rebuild that was broken off, or accepted since."""
    heartbeats: Mapping[str, Heartbeat]
    """The newest heartbeat of each machine that has sent one since the loss."""
    run_once_classes: frozenset[str]
    first_chunk_size: int
    """Tasks per chunk of jobs whose records don't say."""


@dataclass(frozen=True, slots=True)
class ReportedTask:
    """A task in a machine's heartbeat."""

    heartbeat: Heartbeat
    task: TaskStatus

    @property
    def placement(self) -> list[Any]:
        """Its placement, as it is stored."""
        heartbeat = self.heartbeat
        return [self.task.attempt, heartbeat.machine, heartbeat.zone, 1 if heartbeat.spot else 0]

    @property
    def precedence(self) -> tuple[bool, bool, int]:
        """Of several attempts of a task, the one that counts has the highest: done, else not exited, else newest."""
        task = self.task
        return (
            task.state == TaskState.EXITED and task.exit_reason == ExitReason.DONE,
            task.state != TaskState.EXITED,
            task.attempt,
        )


def locate_tasks(heartbeats: Mapping[str, Heartbeat]) -> dict[str, dict[int, ReportedTask]]:
    """By job and task number, the attempt that counts of each task in the heartbeats."""
    found: dict[str, dict[int, ReportedTask]] = {}
    for heartbeat in heartbeats.values():
        for task in heartbeat.tasks:
            job, index = records.split_task(task.task)
            reported = ReportedTask(heartbeat, task)
            tasks = found.setdefault(job, {})
            if index not in tasks or reported.precedence > tasks[index].precedence:
                tasks[index] = reported
    return found
