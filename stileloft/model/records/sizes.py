"""Sizes of stored values, exact or as bounds that are found without encoding, and the chunk sizes that follow."""

import json
from typing import Any

import orjson

MIN_TASKS_PER_CHUNK = 8
MAX_TASKS_PER_FORMAT_0_CHUNK = 256
"""The most tasks of a chunk whose record does not say how many it has (format 0)."""
MAX_TASKS_PER_CHUNK = 96
FORMAT_0_BYTES_PER_TASK = 90
"""Bytes reckoned for a task in format 0: a placement and its share of the ranges. The size follows from it for good."""
TYPICAL_PLACEMENT_BYTES = 42
"""Bytes of a placement with names of the usual length."""
LONG_PLACEMENT_BYTES = 56
"""Bytes of a placement with rather long names of machines and zones."""
CHUNK_OVERHEAD_BYTES = 450
"""Bytes of a chunk's record beside its placements, usually."""
MAX_PLACEMENT_OVERHEAD_BYTES = 40
"""The most bytes of a placement beside the names in it."""
MAX_RANGE_BYTES = 18
"""The most bytes of a range."""
MAX_BYTES_PER_UTF16_UNIT = 6
"""The most bytes of a UTF-16 unit in JSON: an escape."""
MAX_ESCAPED_GROWTH = 3
"""How many times as long as in UTF-8 a text can be with all but ASCII escaped."""
JOB_PROGRESS_BYTES = 256
"""Bytes of a value that a job's description must leave for what is recorded of its progress."""


def chunk_size(value_kb: float) -> int:
    """Tasks per chunk in format 0: a chunk's record stays within half of the limit."""
    fitting = int(value_kb * 1024 / 2 / FORMAT_0_BYTES_PER_TASK)
    return max(MIN_TASKS_PER_CHUNK, min(MAX_TASKS_PER_FORMAT_0_CHUNK, fitting))


def recorded_chunk_size(value_bytes: int) -> int:
    """Tasks per chunk where the records say how many: as many as a record has room for, and some to spare.

    Each chunk that is written is a change of the store, however many of its tasks have changed. But it must not take
    more records than a transaction has changes if the store's limits become lower than was announced.
    """
    return min(MAX_TASKS_PER_CHUNK, _placements_within(value_bytes, LONG_PLACEMENT_BYTES))


def max_placements_per_record(value_bytes: int) -> int:
    """Placements of the usual length that a chunk's record has room for."""
    return _placements_within(value_bytes, TYPICAL_PLACEMENT_BYTES)


def _placements_within(value_bytes: int, bytes_per_task: int) -> int:
    return max(MIN_TASKS_PER_CHUNK, (value_bytes - CHUNK_OVERHEAD_BYTES) // bytes_per_task)


def json_bytes(value: Any) -> int:
    """Bytes of a value as JSON, in its longest form: with spaces, and all but ASCII escaped."""
    return len(json.dumps(value))


def max_text_bytes(text: str) -> int:
    """No less than a text takes as JSON, without its quotes. A character beyond the basic plane takes two escapes."""
    units = len(text) if text.isascii() else len(text.encode("utf-16-le", "surrogatepass")) // 2
    return MAX_BYTES_PER_UTF16_UNIT * units


def max_compact_bytes(value: Any) -> int:
    """No less than a value takes as JSON without spaces, with all but ASCII escaped; faster than encoding it so."""
    data = orjson.dumps(value)
    return len(data) if data.isascii() else MAX_ESCAPED_GROWTH * len(data)
