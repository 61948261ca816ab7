"""What the store holds, and how it is keyed.

    leader               who leads; on a lease, and its version is the fencing token
    active/<job>         an accepted, unfinished job: description, finished chunks, counts
    tasks/<job>/<chunk>  placements and finished tasks of a run of task numbers
    final/<job>          how a job ended; kept for good
    settings             the operators' own settings
    images/<machine>     images that a machine is likely to have
    rented/<slot>        a rental carried out lately, whose machines the cloud's list may not show yet

Nothing is stored for a task that was never placed, so a job of 100,000 tasks is
one record until its tasks start.
"""

from typing import Any

LEADER = "leader"
SETTINGS = "settings"
RENTED = "rented/"
IMAGES = "images/"
ACTIVE = "active/"
TASKS = "tasks/"
FINAL = "final/"

# A placement is at most some 70 characters of JSON, a finished range 16.
BYTES_PER_TASK = 90


def chunk_size(value_kb: float) -> int:
    """Tasks per chunk such that a chunk's record stays within half of the limit."""
    return max(8, min(256, int(value_kb * 1024 / 2 / BYTES_PER_TASK)))


def rented_key(slot: int) -> str:
    return f"{RENTED}{slot:04d}"


def active_key(job: str) -> str:
    return ACTIVE + job


def final_key(job: str) -> str:
    return FINAL + job


def chunk_key(job: str, chunk: int) -> str:
    return f"{TASKS}{job}/{chunk:06d}"


def split_chunk_key(key: str) -> tuple[str, int]:
    job, _, chunk = key[len(TASKS):].rpartition("/")
    return job, int(chunk)


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


def final_record(phase: str, tasks: int) -> dict[str, Any]:
    return {"phase": phase, "n": tasks if phase == "done" else 0}
