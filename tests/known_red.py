"""The list of tests that fail for a known fault: `KNOWN-RED.txt` at the root.

A listed test has to fail: it is marked as an expected failure, and one that passes fails the run, for its line has
to go.
"""

from dataclasses import dataclass
from pathlib import Path

LIST = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_LISTED = 3
SEPARATOR = "|"


class InvalidListError(Exception):
    """The list cannot be used; the text says why."""


@dataclass(frozen=True)
class KnownFailure:
    """A listed test."""

    test: str
    """Its node id; without parameters all of its cases are meant."""
    cause: str
    issue: str

    def covers(self, node_id: str) -> bool:
        """Whether a collected test is the listed one, or a case of it."""
        return node_id == self.test or node_id.startswith(f"{self.test}[")


def parse(text: str) -> list[KnownFailure]:
    """The listed tests; raises `InvalidListError`."""
    lines = [line.strip() for line in text.splitlines()]
    lines = [line for line in lines if line and not line.startswith("#")]
    if len(lines) > MOST_LISTED:
        raise InvalidListError(f"{len(lines)} tests are listed; {MOST_LISTED} at most may be")
    return [_parse_line(line) for line in lines]


def _parse_line(line: str) -> KnownFailure:
    fields = [field.strip() for field in line.split(SEPARATOR)]
    if len(fields) != 3 or not all(fields):
        raise InvalidListError(f"not of the form 'test {SEPARATOR} cause {SEPARATOR} issue': {line}")
    return KnownFailure(*fields)


def read() -> list[KnownFailure]:
    """The listed tests; none if there is no list."""
    return parse(LIST.read_text()) if LIST.exists() else []


def unmatched(listed: list[KnownFailure], node_ids: list[str]) -> list[KnownFailure]:
    """Listed tests that are none of the collected ones, though their files were collected."""
    files = {node_id.partition("::")[0] for node_id in node_ids}
    return [
        known
        for known in listed
        if known.test.partition("::")[0] in files and not any(known.covers(node_id) for node_id in node_ids)
    ]
