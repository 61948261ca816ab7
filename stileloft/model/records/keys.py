"""Keys of the store's records."""

from typing import NamedTuple

LEADER = "leader"
SETTINGS = "settings"
FORMAT = "format"
IDENTITY = "identity"
ACTIVE = "active/"
TASKS = "tasks/"
FINAL = "final/"
IMAGES = "images/"
PROVISIONED = "rented/"
ENDED = "ended/"
UNRESOLVED = "undecided/"


class ChunkKey(NamedTuple):
    """The parts of the key of a chunk's record."""

    job: str
    chunk: int
    overflow: int
    """Number of the overflow record; 0 for the main record."""


def active_key(job: str) -> str:
    """Returns the key of an unfinished job's record."""
    return ACTIVE + job


def final_key(job: str) -> str:
    """Returns the key of the record of a job's end."""
    return FINAL + job


def images_key(machine: str) -> str:
    """Returns the key of the record of a machine's images."""
    return IMAGES + machine


def provisioned_key(slot: int) -> str:
    """Returns the key of a record of recently provisioned machines."""
    return f"{PROVISIONED}{slot:04d}"


def chunk_key(job: str, chunk: int, overflow: int = 0) -> str:
    """Returns the key of a chunk's main record, or of an overflow record."""
    key = f"{TASKS}{job}/{chunk:06d}"
    return f"{key}+{overflow}" if overflow else key


def split_chunk_key(key: str) -> ChunkKey:
    """Splits a key made by `chunk_key`."""
    job, _, name = key[len(TASKS) :].rpartition("/")
    chunk, _, overflow = name.partition("+")
    return ChunkKey(job, int(chunk), int(overflow or 0))


def split_task(task: str) -> tuple[str, int]:
    """Splits a task's name: `j-000412/3` -> (`j-000412`, 3)."""
    job, _, index = task.rpartition("/")
    return job, int(index)
