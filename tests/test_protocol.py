"""Bodies of users: what is taken, and what is refused with a reason."""

import math

import pytest

from stileloft.protocol.messages import MalformedError, job_from_wire, job_to_wire, parse_job

GOOD = {
    "nameId": "j-000412",
    "lane": "train",
    "crew": "vision",
    "shape": "array",
    "urgency": "urgent",
    "pieces": 16,
    "vcpus": 8.0,
    "accelerators": 1.0,
    "memGb": 64.0,
    "bundle": "img-07",
    "imageGb": 6.2,
    "builds": ["g8"],
    "yard": None,
    "together": True,
    "spread": False,
    "loaner": True,
    "guessS": 240.0,
    "snapshotS": 30.0,
    "stashS": 4.0,
    "dueS": 900.0,
}


def test_a_job_survives_the_store() -> None:
    spec = parse_job(GOOD)
    assert job_from_wire(job_to_wire(spec)) == spec
    assert (spec.team, spec.tasks, spec.rank, spec.one_zone) == ("vision", 16, 2, True)


def test_null_is_absence_and_unknown_fields_are_ignored() -> None:
    spare = {k: v for k, v in GOOD.items() if v is not None} | {"colour": "blue"}
    assert parse_job(spare) == parse_job(GOOD)


@pytest.mark.parametrize(
    "change",
    [
        {"nameId": "x-1"},
        {"nameId": "j-1/2"},
        {"nameId": 7},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": 1.5},
        {"pieces": "3"},
        {"vcpus": -1.0},
        {"vcpus": math.nan},
        {"memGb": math.inf},
        {"guessS": -math.inf},
        {"urgency": "now"},
        {"shape": "ring"},
        {"builds": "g8"},
        {"builds": [1]},
        {"together": "yes"},
        {"crew": ""},
        {"crew": None},
        {"dueS": math.nan},
        {"bundle": "x" * 201},
    ],
)
def test_bad_fields_are_refused(change: dict) -> None:
    with pytest.raises(MalformedError):
        parse_job(GOOD | change)


@pytest.mark.parametrize("field", [name for name in GOOD if name not in ("builds", "yard", "dueS")])
def test_a_field_that_may_not_be_null_may_not_be_missing(field: str) -> None:
    for wrong in ({k: v for k, v in GOOD.items() if k != field}, GOOD | {field: None}):
        with pytest.raises(MalformedError, match=field):
            parse_job(wrong)


@pytest.mark.parametrize("body", [None, [], "job", 3])
def test_only_a_map_is_a_job(body: object) -> None:
    with pytest.raises(MalformedError):
        parse_job(body)
