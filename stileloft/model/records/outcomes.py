"""Outcomes of jobs."""

from typing import NamedTuple

from stileloft.model.records.forms import FinalPhase, FinalRecord, StoredValue, to_stored


class JobOutcome(NamedTuple):
    """How a job ended."""

    phase: str
    tasks: int
    """Number of the job's completed tasks, for display."""


def final_record(phase: str, tasks: int) -> StoredValue:
    """Returns the record of a job's end; it counts the tasks only if the job is done."""
    final = FinalPhase(phase)
    return to_stored(FinalRecord(final, tasks if final is FinalPhase.DONE else 0))
