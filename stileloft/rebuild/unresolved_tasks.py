"""Tasks of which a rebuild could not tell whether they completed, kept until an operator decides."""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct, field

from stileloft.rebuild.errors import InvalidDecisionError


class Decision(StrEnum):
    """What an operator may decide about unresolved tasks."""

    RUN = "run"
    """They did not complete: they run again."""
    DONE = "done"
    """They completed: they do not run again."""
    FORGET = "forget"
    """The job's specification is lost: the job is known no longer."""


class UnresolvedTasks(Struct, frozen=True, omit_defaults=True):
    """A job's unresolved tasks, with the evidence for each."""

    evidence: dict[str, str]
    """By task number."""
    spec_lost: bool = field(default=False, name="unknown")
    """No controller knows the job's specification: only workers' heartbeats name it."""
    decisions: dict[str, Decision] = field(default_factory=dict)
    """What an operator has decided about tasks, for the leader to carry out."""

    def blocked_tasks(self) -> set[int]:
        """Tasks that must not be started."""
        return {int(task) for task in self.evidence if self.decisions.get(task) is not Decision.RUN}

    def decide(self, task: int | None, decision: Decision) -> "UnresolvedTasks":
        """The record with an operator's decision about one task, or about all that are open.

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
    """The record as it is stored."""
    record: dict[str, Any] = msgspec.to_builtins(unresolved)
    return record


def from_record(value: Any) -> UnresolvedTasks:
    """The unresolved tasks in a stored record."""
    return msgspec.convert(value, UnresolvedTasks)
