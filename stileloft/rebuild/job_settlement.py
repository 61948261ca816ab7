"""Brings an unfinished job's records in line with the workers' heartbeats.

This is done where the merged replica may be behind, once everything that no heartbeat lists has surely ended: the
heartbeats are the truth, and the replica only says what there was.
"""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.chunks import separate_chunk
from stileloft.protocol.messages import job_from_wire
from stileloft.rebuild.evidence import ATTEMPT_MARGIN, Evidence, ReportedTask

NO_TASKS: dict[str, Any] = {"a": 0, "d": [], "p": {}}
"""The stored form of a chunk of which nothing is known."""


@dataclass(slots=True)
class StoredChunk:
    """A chunk's record: the highest attempt, its finished tasks, and placements by task number."""

    attempt: int
    done: set[int]
    placements: dict[str, list[Any]]

    @classmethod
    def from_value(cls, value: Mapping[str, Any]) -> "StoredChunk":
        """The chunk that a stored value holds."""
        return cls(value["a"], records.from_ranges(value["d"]), dict(value["p"]))

    def to_value(self) -> dict[str, Any]:
        """The chunk as it is stored."""
        return {"a": self.attempt, "d": records.to_ranges(self.done), "p": self.placements}


@dataclass(slots=True)
class SettledJob:
    """A job's records, with each task where a heartbeat says that it is."""

    value: dict[str, Any]
    """The job's own record."""
    chunks: dict[str, Any] = field(default_factory=dict)
    """Records of its chunks, by key."""
    unresolved: dict[str, str] = field(default_factory=dict)
    """By task number: tasks that may have completed unseen and must not run twice, with the evidence."""


class JobSettlement:
    """Settles one job."""

    def __init__(
        self,
        evidence: Evidence,
        job: str,
        value: dict[str, Any],
        chunks: Mapping[str, Any],
        reported: Mapping[int, ReportedTask],
    ) -> None:
        self._evidence = evidence
        self._job = job
        self._value = value
        self._chunks = chunks
        self._reported = reported
        self._spec = job_from_wire(value["s"])
        self._chunk_size: int = value.get("n", evidence.first_chunk_size)
        self._is_inline = records.INLINE_CHUNK in value
        self.runs_once = self._spec.job_class in evidence.run_once_classes
        """Whether its tasks are not repeated unless it is shown that they did not complete."""

    def settle(self, silent_machines: Sequence[str]) -> SettledJob:
        """The settled job; `silent_machines` may have run some of its tasks, and have not been heard since."""
        settled = SettledJob(self._value)
        for number in self._open_chunks():
            chunk = self._chunk(number)
            settled.unresolved |= self._settle_chunk(chunk, number)
            if self._is_inline:
                settled.value = settled.value | {records.INLINE_CHUNK: chunk.to_value()}
            else:
                length = self._chunk_size if "n" in self._value else None
                key = records.chunk_key(self._job, number)
                settled.chunks[key] = separate_chunk(self._spec, chunk.to_value(), length)
        if self.runs_once and silent_machines:
            settled.unresolved |= self._possibly_run_tasks(settled, silent_machines[0])
        return settled

    def _open_chunks(self) -> list[int]:
        """Numbers of the chunks of which something is known, and that are not finished."""
        numbers = {records.split_chunk_key(key)[1] for key in self._chunks}
        numbers |= {index // self._chunk_size for index in self._reported}
        if self._is_inline:
            numbers.add(0)
        return sorted(numbers - records.from_ranges(self._value["f"]))

    def _chunk(self, number: int) -> StoredChunk:
        """A chunk as the replica has it, its further records included."""
        if self._is_inline:
            own = self._value[records.INLINE_CHUNK]
        else:
            own = self._chunks.get(records.chunk_key(self._job, number), NO_TASKS)
        chunk = StoredChunk.from_value(own)
        for key, further in self._chunks.items():
            _, found, part = records.split_chunk_key(key)
            if found == number and part:
                chunk.placements |= further["p"]
        return chunk

    def _settle_chunk(self, chunk: StoredChunk, number: int) -> dict[str, str]:
        """Places the chunk's tasks where heartbeats list them; returns those that are unresolved."""
        before = chunk.placements
        tasks = range(number * self._chunk_size, (number + 1) * self._chunk_size)
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
        for text, (attempt, machine, *_) in before.items():
            if int(text) in self._reported or int(text) in chunk.done:
                continue
            heard = "reports without it" if machine in self._evidence.heartbeats else "was not heard again"
            unlisted[text] = f"attempt {attempt} was placed on {machine}, which {heard}"
        return unlisted

    def _possibly_run_tasks(self, settled: SettledJob, silent_machine: str) -> dict[str, str]:
        """Tasks that were waiting, but may have run since on a machine that is not heard any more."""
        known = {int(text) for text in settled.unresolved}
        for number in records.from_ranges(self._value["f"]):
            known |= set(range(number * self._chunk_size, (number + 1) * self._chunk_size))
        for chunk in (*settled.chunks.values(), settled.value.get(records.INLINE_CHUNK, NO_TASKS)):
            known |= records.from_ranges(chunk["d"]) | {int(text) for text in chunk["p"]}
        waiting = [str(index) for index in range(self._spec.tasks) if index not in known]
        evidence = f"it waited, and may have run on {silent_machine}, which was not heard again"
        return dict.fromkeys(waiting, evidence)
