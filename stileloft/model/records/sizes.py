"""Sizes of stored values, exact or as upper bounds without encoding, and the chunk sizes that follow from them."""

import json
from typing import Any

import orjson

MIN_TASKS_PER_CHUNK = 8
MAX_TASKS_PER_FORMAT_0_CHUNK = 256
"""Most tasks of a chunk in format 0, whose records do not state the number of tasks per chunk."""
MAX_TASKS_PER_CHUNK = 96
FORMAT_0_BYTES_PER_TASK = 90
"""Bytes assumed per task in format 0, for its placement and ranges; fixed, because stored chunks depend on it."""
TYPICAL_PLACEMENT_BYTES = 42
"""Bytes of a placement with names of the usual length."""
LONG_PLACEMENT_BYTES = 56
"""Bytes of a placement with long names of machine and zone."""
CHUNK_OVERHEAD_BYTES = 450
"""Typical bytes of a chunk's record besides its placements."""
MAX_PLACEMENT_OVERHEAD_BYTES = 40
"""Most bytes of a placement besides the names in it."""
MAX_RANGE_BYTES = 18
"""Most bytes of a range."""
MAX_BYTES_PER_UTF16_UNIT = 6
"""Most bytes of a UTF-16 code unit in JSON, as an escape sequence."""
MAX_ESCAPED_GROWTH = 3
"""Largest ratio of a text's size with all non-ASCII characters escaped to its size in UTF-8."""
JOB_PROGRESS_BYTES = 256
"""Bytes of a job's record that the job's specification must leave free for the progress."""


def chunk_size(value_kb: float) -> int:
    """Returns the tasks per chunk in format 0: a chunk's record then takes at most half of the limit on values."""
    tasks = int(value_kb * 1024 / 2 / FORMAT_0_BYTES_PER_TASK)
    return max(MIN_TASKS_PER_CHUNK, min(MAX_TASKS_PER_FORMAT_0_CHUNK, tasks))


def recorded_chunk_size(value_bytes: int) -> int:
    """Returns the tasks per chunk in formats whose records state it: as many as a record has room for, with a margin.

    Each chunk that is written is one change of the store, however many of its tasks have changed. But a chunk must not
    need more records than a transaction has changes, even if the store's limits become lower than announced.
    """
    return min(MAX_TASKS_PER_CHUNK, _placements_within(value_bytes, LONG_PLACEMENT_BYTES))


def max_placements_per_record(value_bytes: int) -> int:
    """Returns how many placements of the usual length fit into a chunk's record."""
    return _placements_within(value_bytes, TYPICAL_PLACEMENT_BYTES)


def _placements_within(value_bytes: int, bytes_per_task: int) -> int:
    return max(MIN_TASKS_PER_CHUNK, (value_bytes - CHUNK_OVERHEAD_BYTES) // bytes_per_task)


def json_bytes(value: Any) -> int:
    """Returns the bytes of a value as JSON in its longest form: with spaces, and all non-ASCII characters escaped."""
    return len(json.dumps(value))


def max_text_bytes(text: str) -> int:
    """Returns an upper bound of the bytes of a text as JSON, without its quotes.

    A character beyond the basic multilingual plane takes two escape sequences.
    """
    units = len(text) if text.isascii() else len(text.encode("utf-16-le", "surrogatepass")) // 2
    return MAX_BYTES_PER_UTF16_UNIT * units


def max_compact_bytes(value: Any) -> int:
    """Returns an upper bound of the bytes of a value as JSON without spaces and with non-ASCII characters escaped.

    This is faster than encoding the value in that form.
    """
    data = orjson.dumps(value)
    return len(data) if data.isascii() else MAX_ESCAPED_GROWTH * len(data)
