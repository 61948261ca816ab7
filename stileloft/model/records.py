"""What the store holds, and how it is keyed.

    leader               who leads; on a lease, and its version is the fencing token
    active/<job>         an accepted, unfinished job: description, finished chunks, counts
    tasks/<job>/<chunk>  placements and finished tasks of a run of task numbers
    tasks/<job>/<chunk>+<part>   placements that the chunk's own record has no room for
    final/<job>          how a job ended; kept for good
    settings             the operators' own settings
    format               the format that may be written, once all controllers are known to read it
    images/<machine>     images that a machine is likely to have
    rented/<slot>        a rental carried out lately, whose machines the cloud's list may not show yet

With the feature `rebuild` also:

    identity             whose store it is, and how often it was rebuilt
    ended/<number>       how jobs ended that a rebuild found, many to a record; kept for good
    undecided/<job>      tasks of which a rebuild could not tell whether they completed

Nothing is stored for a task that was never placed, so a job of 100,000 tasks is
one record until its tasks start.

Format 0 is what the version before gangs reads: a chunk's length follows from
`value_kb`, and a chunk has one record. Format 1 says the length in the job's
record and in the chunk's (`n`), and has parts. From format 2 on the only chunk
of a small job is part of the job's own record (`k`), so that a placement and a
change of the counts are one change of the store; a cancellation moves it to
`tasks/`, in the same transaction. All three are read for good.
"""

import json
from typing import Any, NamedTuple

import orjson

LEADER = "leader"
SETTINGS = "settings"
FORMAT = "format"
# What this version reads, and writes once all others do.
NEWEST_FORMAT = 2
# The first formats in which records say how long chunks are, and in which a chunk may be in its job's record.
SIZED_FORMAT = 1
INLINE_FORMAT = 2
INLINE_CHUNK = "k"
PROVISIONED = "rented/"
IMAGES = "images/"
IDENTITY = "identity"
ENDED = "ended/"
UNDECIDED = "undecided/"
ACTIVE = "active/"
TASKS = "tasks/"
FINAL = "final/"

# A placement is at most some 70 characters of JSON, a finished range 16.
BYTES_PER_TASK = 90
MIN_TASKS_PER_CHUNK = 8
MAX_TASKS_PER_UNSIZED_CHUNK = 256
MAX_TASKS_PER_CHUNK = 96


def chunk_size(value_kb: float) -> int:
    """Tasks per chunk such that a chunk's record stays within half of the limit."""
    return max(MIN_TASKS_PER_CHUNK, min(MAX_TASKS_PER_UNSIZED_CHUNK, int(value_kb * 1024 / 2 / BYTES_PER_TASK)))


# The same as seen, and what a chunk's record usually takes beside its placements.
USUAL_BYTES_PER_TASK = 42
# The same of machines and zones with rather long names.
LONG_BYTES_PER_TASK = 56
CHUNK_BYTES = 450
# The most that a placement takes beside the names in it, and that a range takes.
PLACEMENT_BYTES = 40
RANGE_BYTES = 18
# The most that a unit of UTF-16 takes in JSON, and how much longer than in UTF-8 a text can be with all but ASCII
# escaped.
ESCAPED_BYTES = 6
ESCAPED_GROWTH = 3
# A job's description must leave so much of a value for what is recorded of its course.
COURSE_BYTES = 256


def max_placements_in(value_bytes: int) -> int:
    """Placements of the usual length that a chunk's record has room for."""
    return _placements_in(value_bytes, USUAL_BYTES_PER_TASK)


def _placements_in(value_bytes: int, bytes_per_task: int) -> int:
    return max(MIN_TASKS_PER_CHUNK, (value_bytes - CHUNK_BYTES) // bytes_per_task)


def sized_chunk_size(value_bytes: int) -> int:
    """Tasks per chunk where the records say how many: as many as a record has room for, and some to spare.

    Each chunk that is written is a change of the store, however many of its tasks have changed. But it must not take
    more records than a transaction has changes if the store's limits become lower than was announced.
    """
    return min(MAX_TASKS_PER_CHUNK, _placements_in(value_bytes, LONG_BYTES_PER_TASK))


def json_bytes(value: Any) -> int:
    """Bytes of a value as JSON, in its longest form: with spaces, and all but ASCII escaped."""
    return len(json.dumps(value))


def max_text_bytes(text: str) -> int:
    """No less than a text takes as JSON, without its quotes. A character beyond the basic plane takes two escapes."""
    units = len(text) if text.isascii() else len(text.encode("utf-16-le", "surrogatepass")) // 2
    return ESCAPED_BYTES * units


def max_compact_bytes(value: Any) -> int:
    """No less than a value takes as JSON without spaces, with all but ASCII escaped; faster than encoding it so."""
    data = orjson.dumps(value)
    return len(data) if data.isascii() else ESCAPED_GROWTH * len(data)


def provisioned_key(slot: int) -> str:
    return f"{PROVISIONED}{slot:04d}"


def active_key(job: str) -> str:
    return ACTIVE + job


def final_key(job: str) -> str:
    return FINAL + job


def chunk_key(job: str, chunk: int, overflow: int = 0) -> str:
    """The key of a chunk's main record, or of an overflow record."""
    key = f"{TASKS}{job}/{chunk:06d}"
    return f"{key}+{overflow}" if overflow else key


def split_chunk_key(key: str) -> tuple[str, int, int]:
    """Job, chunk and part."""
    job, _, name = key[len(TASKS) :].rpartition("/")
    chunk, _, part = name.partition("+")
    return job, int(chunk), int(part or 0)


def split_task(task: str) -> tuple[str, int]:
    """`j-000412/3` -> (`j-000412`, 3)."""
    job, _, index = task.rpartition("/")
    return job, int(index)


def to_ranges(numbers: set[int]) -> list[list[int]]:
    """Sorted, half-open ranges that cover just these numbers."""
    ranges: list[list[int]] = []
    for number in sorted(numbers):
        if ranges and ranges[-1][1] == number:
            ranges[-1][1] = number + 1
        else:
            ranges.append([number, number + 1])
    return ranges


def from_ranges(ranges: list[list[int]]) -> set[int]:
    return {number for low, high in ranges for number in range(low, high)}


class JobOutcome(NamedTuple):
    """How a job ended."""

    phase: str
    tasks: int
    """Its tasks that were done, for display."""


def final_record(phase: str, tasks: int) -> dict[str, Any]:
    return {"phase": phase, "n": tasks if phase == "done" else 0}
