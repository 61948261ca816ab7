"""How jobs ended."""

from typing import NamedTuple

from stileloft.model.records.forms import FinalPhase, FinalRecord, StoredValue, to_stored


class JobOutcome(NamedTuple):
    """How a job ended."""

    phase: str
    tasks: int
    """Its tasks that were done, for display."""


def final_record(phase: str, tasks: int) -> StoredValue:
    """The record of a job's end; only a job that is done has its tasks counted."""
    final = FinalPhase(phase)
    return to_stored(FinalRecord(final, tasks if final is FinalPhase.DONE else 0))
