"""Nominations: room that is being made on a machine for a task."""

from dataclasses import dataclass

from stileloft.model.placements import TaskKey
from stileloft.protocol.messages import JobSpec

EXPECTED_JOB_ID = "expected"
"""Stands for the job id of tasks for which room is kept although their job has not been submitted yet."""


@dataclass(frozen=True, slots=True)
class Nomination:
    """Room that is being made on a machine for a task."""

    key: TaskKey
    machine_id: str
    rank: int
    spec: JobSpec
    expires_at: float
    """By the leader's clock; 0 in nominations that exist only within a scheduling cycle."""

    @property
    def is_expected(self) -> bool:
        """Whether the task belongs to a job that has not been submitted yet."""
        return self.key[0] == EXPECTED_JOB_ID
