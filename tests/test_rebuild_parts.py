"""Units of a rebuild that store and transfer records: replicas, change notices, job outcomes, snapshots, merging."""

import json
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stileloft.features import FeaturesError, parse
from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.rebuild import identity as identities
from stileloft.rebuild import unresolved_tasks
from stileloft.rebuild.change_notice import parse_change_notice
from stileloft.rebuild.errors import (
    InvalidChangeNoticeError,
    InvalidOutcomesError,
    InvalidSnapshotError,
)
from stileloft.rebuild.identity import Identity
from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.replica import Replica
from stileloft.rebuild.replica_merge import merge
from stileloft.rebuild.snapshot import Holder, Snapshot, from_pieces, read_piece, to_pieces
from stileloft.rebuild.snapshot_directory import SnapshotDirectory
from stileloft.rebuild.unresolved_tasks import UnresolvedTasks

DEPLOYMENT = "0123456789abcdef"


def replica_of(values: dict[str, tuple[Any, int]], revision: int, generation: int = 1) -> Replica:
    replica = Replica(generation)
    for key, (value, version) in values.items():
        replica.apply(key, value, version)
    replica.advance(revision)
    replica.complete = True
    return replica


def snapshot_of(member: str, replica: Replica, led: int = 0, highest: int = 0) -> Snapshot:
    return Snapshot(Holder(member, DEPLOYMENT, led, replica.generation if led else 0, highest), replica)


# -- replica -------------------------------------------------------------------------------------------------------


def test_a_replica_keeps_the_newest_version_of_a_key_in_any_order_of_arrival() -> None:
    """A controller applies its own writes at once; the watch delivers older changes of the same keys later."""
    replica = Replica(1)
    replica.apply("active/j-1", {"c": 2}, 12)
    replica.apply("active/j-1", {"c": 1}, 11)
    replica.apply("tasks/j-1/000000", None, 12)
    replica.apply("tasks/j-1/000000", {"p": {}}, 10)
    assert {key: record.value() for key, record in replica.records.items()} == {"active/j-1": {"c": 2}}
    replica.apply("images/n-1", ["img"], 13)
    replica.apply("final/j-2", {"phase": "done", "n": 3}, 13)
    assert set(replica.records) == {"active/j-1"}
    assert replica.outcomes.get("j-2") == JobOutcome("done", 3)


def test_change_notices_of_another_generation_are_ignored() -> None:
    replica = replica_of({"active/j-1": ({"c": 1}, 5)}, 6, generation=2)
    changes = [["active/j-1", None, 9], ["final/j-1", {"phase": "cancelled", "n": 0}, 9]]
    parse_change_notice({"deployment": DEPLOYMENT, "generation": 1, "changes": changes}).apply_to(replica)
    assert "active/j-1" in replica.records
    assert not len(replica.outcomes)
    parse_change_notice({"deployment": DEPLOYMENT, "generation": 2, "changes": changes}).apply_to(replica)
    assert not replica.records
    assert replica.outcomes.get("j-1") == JobOutcome("cancelled", 0)


@pytest.mark.parametrize(
    "changes",
    [
        None,
        [["tasks/j-1/0", {}, 1]],
        [["active/j-1", "text", 1]],
        [["active/j-1", {}, "1"]],
        [["active/j-1", {}]],
        [["active/j-1", {}, 1]] * 501,
    ],
)
def test_bad_change_notices_are_refused(changes: Any) -> None:
    with pytest.raises(InvalidChangeNoticeError):
        parse_change_notice({"deployment": DEPLOYMENT, "generation": 1, "changes": changes})


# -- job outcomes -----------------------------------------------------------------------------------------------------

JOBS = st.integers(1, 30).flatmap(lambda digits: st.text("0123456789", min_size=digits, max_size=digits))
OUTCOMES = st.dictionaries(
    JOBS.map("j-{}".format), st.tuples(st.sampled_from(["done", "cancelled"]), st.integers(0, 9))
)


@given(OUTCOMES, st.integers(400, 4096))
def test_outcomes_survive_encoding(expected: dict[str, tuple[str, int]], value_bytes: int) -> None:
    outcomes = JobOutcomes()
    for job, outcome in expected.items():
        outcomes.add(job, JobOutcome(*outcome))
    values = outcomes.to_records(value_bytes)
    read = JobOutcomes()
    for value in json.loads(json.dumps(values)):
        read.load(value)
    assert (
        dict(read.items()) == dict(outcomes.items()) == {job: JobOutcome(*outcome) for job, outcome in expected.items()}
    )
    assert all(records.json_bytes(value) <= value_bytes for value in values)


def test_the_first_outcome_of_a_job_is_kept() -> None:
    outcomes = JobOutcomes()
    outcomes.add("j-7", JobOutcome("cancelled", 0))
    outcomes.add("j-7", JobOutcome("done", 3))
    assert outcomes.get("j-7") == JobOutcome("cancelled", 0)
    assert outcomes.get("j-07") is None
    assert len(outcomes) == 1


@pytest.mark.parametrize("value", [None, {}, {"groups": [{"phase": "done"}]}, {"groups": 3}])
def test_invalid_outcome_records_are_refused(value: Any) -> None:
    with pytest.raises(InvalidOutcomesError):
        JobOutcomes().load(value)


def test_outcomes_are_encoded_compactly() -> None:
    """Outcomes take less than a quarter of the size of ranges if job numbers are not consecutive."""
    numbers = [(7919 * n) % 1_000_003 for n in range(20_000)]
    outcomes = JobOutcomes()
    for number in numbers:
        outcomes.add(f"j-{number:06d}", JobOutcome("done", 3))
    size = sum(records.json_bytes(value) for value in outcomes.to_records(16 * 1024))
    assert size * 4 < records.json_bytes(records.to_ranges(set(numbers)))


# -- snapshots -----------------------------------------------------------------------------------------------------


def large_snapshot() -> Snapshot:
    values = {f"active/j-{n:06d}": ({"s": {"nameId": f"j-{n:06d}"}, "pad": "x" * 900}, n + 1) for n in range(300)}
    replica = replica_of(values, 400)
    replica.outcomes.add("j-999999", JobOutcome("done", 3))
    return snapshot_of("node-1", replica, led=9, highest=9)


def test_a_snapshot_is_restored_from_its_pieces() -> None:
    snapshot = large_snapshot()
    pieces = to_pieces(snapshot)
    assert len(pieces) > 4
    assert all(len(piece) < 64 * 1024 for piece in pieces)
    read = from_pieces([read_piece(piece, DEPLOYMENT) for piece in pieces])
    assert read.holder == snapshot.holder
    assert read.replica.records == snapshot.replica.records
    assert read.replica.outcomes.get("j-999999") == JobOutcome("done", 3)
    assert read.replica.revision == 400


def damaged(piece: bytes, **changes: Any) -> bytes:
    return orjson.dumps(orjson.loads(piece) | changes)


@pytest.mark.parametrize(
    ("pieces", "reason"),
    [
        (lambda p: p[:-1], "truncated"),
        (lambda p: p[1:], "truncated"),
        (lambda p: [p[0][:-20], *p[1:]], "cannot be read"),
        (lambda p: [damaged(p[0], records=[]), *p[1:]], "damaged"),
        (lambda p: [damaged(p[0], format=2), *p[1:]], "format"),
        (lambda p: [damaged(p[0], holder={"member": "x", "deployment": "another one"}), *p[1:]], "another deployment"),
        (lambda p: [damaged(p[0], revision=7), *p[1:]], "different snapshots"),
        (lambda _: [b"[]"], "cannot be read"),
        (lambda _: [b"\xff"], "cannot be read"),
    ],
)
def test_a_bad_snapshot_is_refused(pieces: Any, reason: str) -> None:
    with pytest.raises(InvalidSnapshotError, match=reason):
        from_pieces([read_piece(piece, DEPLOYMENT) for piece in pieces(to_pieces(large_snapshot()))])


def test_field_names_of_snapshots_identity_and_unresolved_tasks() -> None:
    piece = orjson.loads(to_pieces(large_snapshot())[-1])
    header = ("format", "holder", "generation", "revision", "complete", "number", "pieces")
    assert list(piece) == [*header, "records", "ends", "digest"]
    assert list(piece["holder"]) == ["member", "deployment", "led_token", "led_generation", "highest_token"]
    identity = Identity(DEPLOYMENT, 2, 7, True, ("node-2",))
    stored = {"deployment": DEPLOYMENT, "generation": 2, "token_base": 7, "rebuilding": True, "unheard": ["node-2"]}
    assert orjson.loads(orjson.dumps(identities.to_record(identity))) == stored
    assert identities.from_record(stored) == identity
    unresolved = UnresolvedTasks({"0": "reported"}, spec_lost=True)
    assert unresolved_tasks.to_record(unresolved) == {"evidence": {"0": "reported"}, "unknown": True}


def test_the_newest_readable_snapshot_of_a_directory_is_loaded(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    directory = SnapshotDirectory(str(tmp_path), "node-1")
    assert directory.load() is None
    for revision in (400, 500, 600):
        snapshot = large_snapshot()
        snapshot.replica.advance(revision)
        directory.save(snapshot)
    files = sorted(tmp_path.iterdir())
    assert len(files) == 2  # the oldest is deleted
    files[-1].write_bytes(files[-1].read_bytes()[:-500])
    found = directory.load()
    assert found is not None
    assert found.replica.revision == 500
    assert "snapshot skipped" in caplog.text


def test_a_missing_snapshot_directory_is_logged(tmp_path: Path, caplog: pytest.LogCaptureFixture) -> None:
    directory = SnapshotDirectory(str(tmp_path / "none"), "node-1")
    directory.save(large_snapshot())
    assert directory.load() is None
    assert "cannot be written" in caplog.text
    assert "cannot be read" in caplog.text


# -- merging -------------------------------------------------------------------------------------------------------


def test_merging_keeps_the_newest_version_of_each_record() -> None:
    behind = replica_of({"active/j-1": ({"c": 1}, 5), "active/j-2": ({"c": 1}, 6), "active/j-4": ({}, 31)}, 20)
    ahead = replica_of({"active/j-1": ({"c": 2}, 25), "active/j-3": ({}, 28)}, 30)
    behind.outcomes.add("j-9", JobOutcome("cancelled", 0))
    merged = merge([snapshot_of("a", behind, highest=3), snapshot_of("b", ahead, led=4, highest=4)], DEPLOYMENT, 0, 9)
    # j-2 was deleted before revision 30; j-4 was accepted after revision 30 by the controller whose replica is behind.
    assert merged.records == {"active/j-1": {"c": 2}, "active/j-3": {}, "active/j-4": {}}
    assert merged.outcomes.get("j-9") == JobOutcome("cancelled", 0)
    assert merged.has_last_leader
    assert merged.highest_token == 4
    assert merged.sources == ["b", "a"]


def test_merging_uses_only_the_newest_generation_of_the_same_deployment() -> None:
    older = replica_of({"active/j-1": ({"c": 1}, 500)}, 600, generation=1)
    newer = replica_of({"active/j-2": ({}, 5)}, 6, generation=2)
    other_deployment = snapshot_of("c", replica_of({"active/j-3": ({}, 5)}, 900, generation=3))
    other_deployment.holder = Holder("c", "fedcba9876543210")
    merged = merge(
        [snapshot_of("a", older, led=9, highest=9), snapshot_of("b", newer), other_deployment], DEPLOYMENT, 12, 20
    )
    assert merged.records == {"active/j-2": {}}
    assert not merged.has_last_leader
    assert merged.highest_token == 12


def test_a_leader_with_a_replica_of_an_earlier_generation_is_not_taken_for_the_last_leader() -> None:
    """The leader led in generation 2, which was lost before the leader had read a replica of it."""
    replica = replica_of({"active/j-1": ({}, 5)}, 6, generation=1)
    snapshot = Snapshot(Holder("a", DEPLOYMENT, 9, 2, 9), replica)
    assert not merge([snapshot], DEPLOYMENT, 9, 20).has_last_leader


# -- features ------------------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("text", "field"),
    [
        ("[rebuild]\nenabled = 1", "rebuild.enabled"),
        ("[rebuild]\nfollow_s = 0.0", "rebuild.follow_s"),
        ("[rebuild]\nfollow = 1.0", "follow"),
        ("[zone]\nenabled = true", "zone"),
        ("[rebuild]\nrun_once_classes = ['']", "run_once_classes"),
        ("[rebuild", "TOML"),
    ],
)
def test_errors_of_the_features_file_name_the_field(text: str, field: str) -> None:
    with pytest.raises(FeaturesError, match=field):
        parse(text)


def test_the_deployed_features_file_is_valid() -> None:
    assert parse((Path(__file__).parent.parent / "deploy/features.toml").read_text()).rebuild.enabled
    assert not parse("").rebuild.enabled
