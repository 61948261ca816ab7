"""Unresolved tasks: a rebuild could not determine whether they completed, and an operator has to decide."""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct, field

from stileloft.rebuild.errors import InvalidDecisionError


class Decision(StrEnum):
    """An operator's decision about unresolved tasks."""

    RUN = "run"
    """The tasks did not complete, and run again."""
    DONE = "done"
    """The tasks completed, and do not run again."""
    FORGET = "forget"
    """The job, whose specification is lost, is forgotten."""


class UnresolvedTasks(Struct, frozen=True, omit_defaults=True):
    """A job's unresolved tasks, with the evidence for each."""

    evidence: dict[str, str]
    """What is known of each task, by task number."""
    spec_lost: bool = field(default=False, name="unknown")
    """Whether no controller knows the job's specification, and only workers' heartbeats name the job."""
    decisions: dict[str, Decision] = field(default_factory=dict)
    """Operators' decisions by task number, which the leader applies."""

    def blocked_tasks(self) -> set[int]:
        """Returns the numbers of the tasks that must not be started."""
        return {int(task) for task in self.evidence if self.decisions.get(task) is not Decision.RUN}

    def decide(self, task: int | None, decision: Decision) -> "UnresolvedTasks":
        """Returns the record with an operator's decision about a task; about all undecided tasks if `task` is None.

        Raises `InvalidDecisionError` if the decision does not fit the job.
        """
        if self.spec_lost != (decision is Decision.FORGET):
            state = "unknown" if self.spec_lost else "known"
            raise InvalidDecisionError(
                f"{decision.value!r} is impossible for a job whose specification is {state}", decision, task
            )
        if task is not None and str(task) not in self.evidence:
            raise InvalidDecisionError(f"task {task} of the job is not unresolved", decision, task)
        tasks = self.evidence.keys() - self.decisions.keys() if task is None else {str(task)}
        return msgspec.structs.replace(self, decisions=self.decisions | dict.fromkeys(tasks, decision))


def to_record(unresolved: UnresolvedTasks) -> dict[str, Any]:
    """Returns the stored form of a job's unresolved tasks."""
    record: dict[str, Any] = msgspec.to_builtins(unresolved)
    return record


def from_record(value: Any) -> UnresolvedTasks:
    """Returns the unresolved tasks in a stored record."""
    return msgspec.convert(value, UnresolvedTasks)
