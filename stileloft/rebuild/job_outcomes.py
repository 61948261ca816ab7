"""Outcomes of jobs in a compact form, because they are never deleted: users may request them at any later time.

Job numbers with the same outcome share a bitmap, so that a job takes a few bytes rather than a record.
"""

import base64
import binascii
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec
from msgspec import Struct
from pyroaring import BitMap64

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.rebuild.errors import InvalidOutcomesError

# Numbers with more digits may not fit into 64 bits.
MAX_BITMAP_DIGITS = 18
JOB_PREFIX = "j-"
# Bytes that an encoded group takes beside its bitmap.
GROUP_OVERHEAD_BYTES = 120


class _Group(NamedTuple):
    """What the jobs that share a bitmap have in common: the outcome, and the number of digits of the job number."""

    phase: str
    tasks: int
    digits: int


class _EncodedJob(Struct, frozen=True):
    """The stored form of a single job's outcome."""

    phase: str
    tasks: int
    job: str


class _EncodedGroup(Struct, frozen=True):
    """The stored form of a group; `ids` is its serialized bitmap in base 64."""

    phase: str
    tasks: int
    digits: int
    ids: str


class JobOutcomes:
    """A set of jobs with their outcomes."""

    def __init__(self) -> None:
        self._groups: dict[_Group, BitMap64] = {}
        self._long_numbered: dict[str, JobOutcome] = {}
        """Outcomes of jobs whose numbers are too long for a bitmap."""

    def __len__(self) -> int:
        """Returns the number of jobs."""
        return len(self._long_numbered) + sum(len(numbers) for numbers in self._groups.values())

    def add(self, job: str, outcome: JobOutcome) -> None:
        """Adds a job's outcome, unless the job already has one."""
        if self.get(job) is not None:
            return
        digits = job[len(JOB_PREFIX) :]
        if len(digits) > MAX_BITMAP_DIGITS:
            self._long_numbered[job] = outcome
        else:
            self._groups.setdefault(_Group(outcome.phase, outcome.tasks, len(digits)), BitMap64()).add(int(digits))

    def get(self, job: str) -> JobOutcome | None:
        """Returns a job's outcome; None if it is not known."""
        digits = job[len(JOB_PREFIX) :]
        if len(digits) > MAX_BITMAP_DIGITS:
            return self._long_numbered.get(job)
        number = int(digits)
        for group, numbers in self._groups.items():
            if group.digits == len(digits) and number in numbers:
                return JobOutcome(group.phase, group.tasks)
        return None

    def update(self, other: "JobOutcomes") -> None:
        """Adds the jobs of another set that this one lacks."""
        for job, outcome in other.items():
            self.add(job, outcome)

    def items(self) -> Iterator[tuple[str, JobOutcome]]:
        """Yields all jobs with their outcomes."""
        yield from self._long_numbered.items()
        for group, numbers in self._groups.items():
            for number in numbers:
                yield f"{JOB_PREFIX}{number:0{group.digits}d}", JobOutcome(group.phase, group.tasks)

    def without(self, other: "JobOutcomes") -> "JobOutcomes":
        """Returns the jobs that another set lacks."""
        remaining = JobOutcomes()
        for job, outcome in self.items():
            if other.get(job) is None:
                remaining.add(job, outcome)
        return remaining

    # -- encoding ----------------------------------------------------------------

    def to_records(self, value_bytes: int) -> list[dict[str, Any]]:
        """Returns the set as stored values of at most `value_bytes` bytes each."""
        values: list[dict[str, Any]] = []
        remaining_bytes = 0
        for encoded in self._encoded_groups(value_bytes // 2):
            size = records.json_bytes(encoded) + 2
            if not values or size > remaining_bytes:
                values.append({"groups": []})
                remaining_bytes = value_bytes - records.json_bytes(values[-1])
            values[-1]["groups"].append(encoded)
            remaining_bytes -= size
        return values

    def _encoded_groups(self, max_bytes: int) -> Iterator[dict[str, Any]]:
        for job, outcome in self._long_numbered.items():
            yield msgspec.to_builtins(_EncodedJob(outcome.phase, outcome.tasks, job))
        for group, numbers in self._groups.items():
            for part in _split_bitmap(numbers, max_bytes):
                ids = base64.b64encode(part.serialize()).decode()
                yield msgspec.to_builtins(_EncodedGroup(group.phase, group.tasks, group.digits, ids))

    def load(self, value: Any) -> None:
        """Adds the outcomes in a value of `to_records`; raises `InvalidOutcomesError` if the value is invalid."""
        try:
            for encoded in value["groups"]:
                self._load_group(encoded)
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise InvalidOutcomesError(repr(error)) from None

    def _load_group(self, encoded: dict[str, Any]) -> None:
        outcome = JobOutcome(str(encoded["phase"]), int(encoded["tasks"]))
        if "job" in encoded:
            self._long_numbered[str(encoded["job"])] = outcome
            return
        numbers = BitMap64.deserialize(base64.b64decode(encoded["ids"], validate=True))
        group = _Group(outcome.phase, outcome.tasks, int(encoded["digits"]))
        self._groups[group] = self._groups.get(group, BitMap64()) | numbers


def _split_bitmap(numbers: BitMap64, max_bytes: int) -> Iterable[BitMap64]:
    """Splits a bitmap into bitmaps whose encoded groups take at most `max_bytes` each, or hold a single number."""
    if len(base64.b64encode(numbers.serialize())) + GROUP_OVERHEAD_BYTES <= max_bytes or len(numbers) <= 1:
        return [numbers]
    ordered = list(numbers)
    middle = len(ordered) // 2
    return [
        *_split_bitmap(BitMap64(ordered[:middle]), max_bytes),
        *_split_bitmap(BitMap64(ordered[middle:]), max_bytes),
    ]
