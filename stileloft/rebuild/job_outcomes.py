"""How jobs ended: compact enough to be kept for good, since users may ask at any later time.

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

# Numbers of more digits do not fit into 64 bits.
MAX_BITMAP_DIGITS = 18
JOB_PREFIX = "j-"
# The bytes that a group takes beside its bitmap.
GROUP_OVERHEAD_BYTES = 120


class _Group(NamedTuple):
    """Jobs that ended alike and whose numbers are written with the same count of digits."""

    phase: str
    tasks: int
    digits: int


class _EncodedJob(Struct, frozen=True):
    """The stored form of a single job's outcome."""

    phase: str
    tasks: int
    job: str


class _EncodedGroup(Struct, frozen=True):
    """The stored form of a group: `ids` is its bitmap, serialized and in base 64."""

    phase: str
    tasks: int
    digits: int
    ids: str


class JobOutcomes:
    """A set of jobs, each with its outcome."""

    def __init__(self) -> None:
        self._groups: dict[_Group, BitMap64] = {}
        self._long: dict[str, JobOutcome] = {}
        """Jobs whose numbers are too long for a bitmap."""

    def __len__(self) -> int:
        """How many jobs there are."""
        return len(self._long) + sum(len(numbers) for numbers in self._groups.values())

    def add(self, job: str, outcome: JobOutcome) -> None:
        """Records an outcome; the first one that is known of a job stays."""
        if self.get(job) is not None:
            return
        digits = job[len(JOB_PREFIX) :]
        if len(digits) > MAX_BITMAP_DIGITS:
            self._long[job] = outcome
        else:
            self._groups.setdefault(_Group(outcome.phase, outcome.tasks, len(digits)), BitMap64()).add(int(digits))

    def get(self, job: str) -> JobOutcome | None:
        """How a job ended; None if that is not known."""
        digits = job[len(JOB_PREFIX) :]
        if len(digits) > MAX_BITMAP_DIGITS:
            return self._long.get(job)
        number = int(digits)
        for group, numbers in self._groups.items():
            if group.digits == len(digits) and number in numbers:
                return JobOutcome(group.phase, group.tasks)
        return None

    def update(self, other: "JobOutcomes") -> None:
        """Adds the jobs of another set."""
        for job, outcome in other.items():
            self.add(job, outcome)

    def items(self) -> Iterator[tuple[str, JobOutcome]]:
        """All jobs with their outcomes."""
        yield from self._long.items()
        for group, numbers in self._groups.items():
            for number in numbers:
                yield f"{JOB_PREFIX}{number:0{group.digits}d}", JobOutcome(group.phase, group.tasks)

    def without(self, known: "JobOutcomes") -> "JobOutcomes":
        """The jobs that another set does not have."""
        rest = JobOutcomes()
        for job, outcome in self.items():
            if known.get(job) is None:
                rest.add(job, outcome)
        return rest

    # -- encoding ----------------------------------------------------------------

    def to_records(self, value_bytes: int) -> list[dict[str, Any]]:
        """The set as stored values of at most so many bytes each."""
        found: list[dict[str, Any]] = []
        room = 0
        for encoded in self._encoded_groups(value_bytes // 2):
            size = records.json_bytes(encoded) + 2
            if not found or size > room:
                found.append({"groups": []})
                room = value_bytes - records.json_bytes(found[-1])
            found[-1]["groups"].append(encoded)
            room -= size
        return found

    def _encoded_groups(self, max_bytes: int) -> Iterator[dict[str, Any]]:
        for job, outcome in self._long.items():
            yield msgspec.to_builtins(_EncodedJob(outcome.phase, outcome.tasks, job))
        for group, numbers in self._groups.items():
            for part in _split_bitmap(numbers, max_bytes):
                ids = base64.b64encode(part.serialize()).decode()
                yield msgspec.to_builtins(_EncodedGroup(group.phase, group.tasks, group.digits, ids))

    def load(self, value: Any) -> None:
        """Adds what a value of `to_records` holds; raises `InvalidOutcomesError` if it can't be read."""
        try:
            for encoded in value["groups"]:
                self._load_group(encoded)
        except (KeyError, TypeError, ValueError, binascii.Error) as error:
            raise InvalidOutcomesError(repr(error)) from None

    def _load_group(self, encoded: dict[str, Any]) -> None:
        outcome = JobOutcome(str(encoded["phase"]), int(encoded["tasks"]))
        if "job" in encoded:
            self._long[str(encoded["job"])] = outcome
            return
        numbers = BitMap64.deserialize(base64.b64decode(encoded["ids"], validate=True))
        group = _Group(outcome.phase, outcome.tasks, int(encoded["digits"]))
        self._groups[group] = self._groups.get(group, BitMap64()) | numbers


def _split_bitmap(numbers: BitMap64, max_bytes: int) -> Iterable[BitMap64]:
    """The numbers in bitmaps whose text is at most so long."""
    if len(base64.b64encode(numbers.serialize())) + GROUP_OVERHEAD_BYTES <= max_bytes or len(numbers) <= 1:
        return [numbers]
    ordered = list(numbers)
    middle = len(ordered) // 2
    return [
        *_split_bitmap(BitMap64(ordered[:middle]), max_bytes),
        *_split_bitmap(BitMap64(ordered[middle:]), max_bytes),
    ]
