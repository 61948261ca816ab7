"""Tasks of which a rebuild could not tell whether they completed, kept until an operator decides."""

from enum import StrEnum
from typing import Any

import msgspec
from msgspec import Struct, field


class InvalidDecisionError(Exception):
    """A decision that can't be carried out; the text says why."""


class Decision(StrEnum):
    """What an operator may say of an undecided job."""

    RUN = "run"
    """It did not complete: it runs again."""
    DONE = "done"
    """It completed: it does not run again."""
    FORGET = "forget"
    """A job whose description is lost: it is known no longer."""


class Undecided(Struct, frozen=True, omit_defaults=True):
    """A job's undecided tasks, with the evidence for each."""

    evidence: dict[str, str]
    """By task number."""
    unknown: bool = False
    """No controller knows the job's description: only workers' reports tell of it."""
    decisions: dict[str, Decision] = field(default_factory=dict)
    """What an operator has decided of tasks, for the leader to carry out."""

    def open_tasks(self) -> set[int]:
        """Tasks that must not be started."""
        return {int(task) for task in self.evidence if self.decisions.get(task) is not Decision.RUN}

    def decide(self, task: int | None, decision: Decision) -> "Undecided":
        """The record with an operator's word on one task, or on all that are open."""
        if self.unknown != (decision is Decision.FORGET):
            known = "unknown" if self.unknown else "known"
            raise InvalidDecisionError(f"{decision.value!r} can't be said of a job whose description is {known}")
        if task is not None and str(task) not in self.evidence:
            raise InvalidDecisionError(f"task {task} of the job is not undecided")
        tasks = self.evidence.keys() - self.decisions.keys() if task is None else {str(task)}
        return msgspec.structs.replace(self, decisions=self.decisions | dict.fromkeys(tasks, decision))


def to_record(undecided: Undecided) -> dict[str, Any]:
    """The record as it is stored."""
    record: dict[str, Any] = msgspec.to_builtins(undecided)
    return record


def from_record(value: Any) -> Undecided:
    """What a stored record tells."""
    return msgspec.convert(value, Undecided)
