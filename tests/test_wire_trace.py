"""The controllers send, answer and store what the committed digests say."""

import os
import subprocess
import sys
from pathlib import Path

import pytest

from tests.versions import production
from tests.wire_trace import SEEDS, Trace, read_digests

ROOT = Path(__file__).parent.parent
DAYS = {"limits to come": 2, "lost records are rebuilt": 3, "the version in production beside it": 5, "rebuild on": 12}


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
def test_all_that_is_sent_and_stored_is_as_recorded() -> None:
    """In a process of its own, as the order of sets of text is settled when a process starts."""
    command = [sys.executable, "-m", "tests.wire_trace", "--processes", "2"]
    for seed in DAYS.values():
        command += ["--seed", str(seed)]
    done = subprocess.run(
        command, cwd=ROOT, env=os.environ | {"PYTHONHASHSEED": "0"}, capture_output=True, text=True, check=False
    )
    assert done.returncode == 0, done.stdout
    assert f"{len(DAYS)} of {len(DAYS)} days as recorded" in done.stdout


def test_no_recorded_day_breaks_a_rule() -> None:
    recorded = read_digests()
    assert list(recorded) == list(SEEDS)
    assert all(day.broken == [] and day.events > 4000 for day in recorded.values())


def test_a_digest_depends_on_each_part_of_each_event() -> None:
    events = [
        ("request", 1.0, {"a": 1, "b": 2}),
        ("request", 1.000001, {"a": 1, "b": 2}),
        ("request", 1.0, {"b": 2, "a": 1}),
    ]
    digests = set()
    for event in events:
        trace = Trace()
        trace.add(*event)
        digests.add(trace.digest())
    assert len(digests) == len(events)
