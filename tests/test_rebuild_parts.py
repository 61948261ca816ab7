"""The parts of a rebuild, each by itself: replicas, snapshots, merging, reconstruction, ends, decisions."""

import json
from pathlib import Path
from typing import Any

import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st

from stileloft.features import FeaturesError, parse
from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.model.job_records import active_record
from stileloft.model.records import JobOutcome
from stileloft.protocol.messages import Heartbeat, JobSpec, TaskStatus, parse_job
from stileloft.rebuild import unresolved_tasks as undecided
from stileloft.rebuild.change_broadcast import InvalidNotesError, parse_notes, take_in
from stileloft.rebuild.job_outcomes import Ends, InvalidEndsError
from stileloft.rebuild.reconstruction import ATTEMPT_MARGIN, Evidence, Reconstruction, reconstruct
from stileloft.rebuild.replica import Replica
from stileloft.rebuild.replica_merge import Image, merge
from stileloft.rebuild.snapshot import Holder, InvalidSnapshotError, Snapshot, from_pieces, read_piece, to_pieces
from stileloft.rebuild.snapshot_directory import SnapshotDirectory
from stileloft.rebuild.unresolved_tasks import Decision, InvalidDecisionError, Undecided
from tests.simulation.world import World

DEPLOYMENT = "0123456789abcdef"


def spec(number: int, **changes: Any) -> JobSpec:
    return parse_job(World.job(None, number, **changes))  # type: ignore[arg-type]


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


def test_a_replica_takes_the_newest_of_a_key_whatever_comes_first() -> None:
    """What this controller wrote itself is known before the feed, which is behind, tells of what was before it."""
    replica = Replica(1)
    replica.apply("active/j-1", {"c": 2}, 12)
    replica.apply("active/j-1", {"c": 1}, 11)
    replica.apply("tasks/j-1/000000", None, 12)
    replica.apply("tasks/j-1/000000", {"p": {}}, 10)
    assert {key: record.value() for key, record in replica.records.items()} == {"active/j-1": {"c": 2}}
    replica.apply("images/n-1", ["img"], 13)
    replica.apply("final/j-2", {"phase": "done", "n": 3}, 13)
    assert set(replica.records) == {"active/j-1"} and replica.ends.get("j-2") == JobOutcome("done", 3)


def test_notes_of_another_store_change_nothing() -> None:
    replica = replica_of({"active/j-1": ({"c": 1}, 5)}, 6, generation=2)
    changes = [["active/j-1", None, 9], ["final/j-1", {"phase": "cancelled", "n": 0}, 9]]
    take_in(parse_notes({"deployment": DEPLOYMENT, "generation": 1, "changes": changes}), replica)
    assert "active/j-1" in replica.records and not len(replica.ends)
    take_in(parse_notes({"deployment": DEPLOYMENT, "generation": 2, "changes": changes}), replica)
    assert not replica.records and replica.ends.get("j-1") == JobOutcome("cancelled", 0)


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
def test_bad_notes_are_refused(changes: Any) -> None:
    with pytest.raises(InvalidNotesError):
        parse_notes({"deployment": DEPLOYMENT, "generation": 1, "changes": changes})


# -- ends ----------------------------------------------------------------------------------------------------------

JOBS = st.integers(1, 30).flatmap(lambda digits: st.text("0123456789", min_size=digits, max_size=digits))
ENDS = st.dictionaries(JOBS.map("j-{}".format), st.tuples(st.sampled_from(["done", "cancelled"]), st.integers(0, 9)))


@given(ENDS, st.integers(400, 4096))
def test_ends_are_what_was_added_after_any_encoding(ends: dict[str, tuple[str, int]], value_bytes: int) -> None:
    found = Ends()
    for job, end in ends.items():
        found.add(job, JobOutcome(*end))
    values = found.to_records(value_bytes)
    read = Ends()
    for value in json.loads(json.dumps(values)):
        read.load(value)
    assert dict(read.items()) == dict(found.items()) == {job: JobOutcome(*end) for job, end in ends.items()}
    assert all(records.json_bytes(value) <= value_bytes for value in values)


def test_the_first_end_of_a_job_stays() -> None:
    ends = Ends()
    ends.add("j-7", JobOutcome("cancelled", 0))
    ends.add("j-7", JobOutcome("done", 3))
    assert ends.get("j-7") == JobOutcome("cancelled", 0) and ends.get("j-07") is None and len(ends) == 1


@pytest.mark.parametrize("value", [None, {}, {"groups": [{"phase": "done"}]}, {"groups": 3}])
def test_unreadable_ends_are_refused(value: Any) -> None:
    with pytest.raises(InvalidEndsError):
        Ends().load(value)


def test_many_ends_take_few_bytes() -> None:
    """Less than a quarter of what ranges take, for job numbers in no order."""
    numbers = [(7919 * n) % 1_000_003 for n in range(20_000)]
    ends = Ends()
    for number in numbers:
        ends.add(f"j-{number:06d}", JobOutcome("done", 3))
    size = sum(records.json_bytes(value) for value in ends.to_records(16 * 1024))
    assert size * 4 < records.json_bytes(records.to_ranges(set(numbers)))


# -- snapshots -----------------------------------------------------------------------------------------------------


def large_snapshot() -> Snapshot:
    values = {f"active/j-{n:06d}": ({"s": {"nameId": f"j-{n:06d}"}, "pad": "x" * 900}, n + 1) for n in range(300)}
    replica = replica_of(values, 400)
    replica.ends.add("j-999999", JobOutcome("done", 3))
    return snapshot_of("node-1", replica, led=9, highest=9)


def test_a_snapshot_comes_back_from_its_pieces() -> None:
    snapshot = large_snapshot()
    pieces = to_pieces(snapshot)
    assert len(pieces) > 4 and all(len(piece) < 64 * 1024 for piece in pieces)
    read = from_pieces([read_piece(piece, DEPLOYMENT) for piece in pieces])
    assert read.holder == snapshot.holder and read.replica.records == snapshot.replica.records
    assert read.replica.ends.get("j-999999") == JobOutcome("done", 3) and read.replica.revision == 400


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


def test_the_next_snapshot_of_a_folder_is_taken_if_one_is_damaged(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    folder = SnapshotDirectory(str(tmp_path), "node-1")
    assert folder.load() is None
    for revision in (400, 500, 600):
        snapshot = large_snapshot()
        snapshot.replica.advance(revision)
        folder.save(snapshot)
    files = sorted(tmp_path.iterdir())
    assert len(files) == 2  # the oldest is gone
    files[-1].write_bytes(files[-1].read_bytes()[:-500])
    found = folder.load()
    assert found is not None and found.replica.revision == 500
    assert "is passed over" in caplog.text


def test_a_folder_that_cannot_be_used_is_said_and_changes_nothing(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    folder = SnapshotDirectory(str(tmp_path / "none"), "node-1")
    folder.save(large_snapshot())
    assert folder.load() is None
    assert "cannot be written" in caplog.text and "cannot be read" in caplog.text


# -- merging -------------------------------------------------------------------------------------------------------


def test_two_replicas_that_differ_give_the_newest_of_each_record() -> None:
    behind = replica_of({"active/j-1": ({"c": 1}, 5), "active/j-2": ({"c": 1}, 6), "active/j-4": ({}, 31)}, 20)
    ahead = replica_of({"active/j-1": ({"c": 2}, 25), "active/j-3": ({}, 28)}, 30)
    behind.ends.add("j-9", JobOutcome("cancelled", 0))
    image = merge([snapshot_of("a", behind, highest=3), snapshot_of("b", ahead, led=4, highest=4)], DEPLOYMENT, 0, 9)
    # j-2 was deleted before revision 30, and j-4 was accepted after it by the controller that is behind.
    assert image.records == {"active/j-1": {"c": 2}, "active/j-3": {}, "active/j-4": {}}
    assert image.ends.get("j-9") == JobOutcome("cancelled", 0)
    assert image.leader_heard and image.token == 4 and image.sources == ["b", "a"]


def test_only_the_newest_generation_and_the_same_deployment_count() -> None:
    older = replica_of({"active/j-1": ({"c": 1}, 500)}, 600, generation=1)
    newer = replica_of({"active/j-2": ({}, 5)}, 6, generation=2)
    stranger = snapshot_of("c", replica_of({"active/j-3": ({}, 5)}, 900, generation=3))
    stranger.holder = Holder("c", "fedcba9876543210")
    image = merge([snapshot_of("a", older, led=9, highest=9), snapshot_of("b", newer), stranger], DEPLOYMENT, 12, 20)
    assert image.records == {"active/j-2": {}} and not image.leader_heard and image.token == 12


def test_a_leader_whose_replica_is_of_an_earlier_store_does_not_know_what_it_placed() -> None:
    """It led in the store that was rebuilt last, and was lost again before its replica was read."""
    replica = replica_of({"active/j-1": ({}, 5)}, 6, generation=1)
    snapshot = Snapshot(Holder("a", DEPLOYMENT, 9, 2, 9), replica)
    assert not merge([snapshot], DEPLOYMENT, 9, 20).leader_heard


# -- reconstruction ------------------------------------------------------------------------------------------------


def job_records(job: JobSpec, placed: dict[str, list[Any]], done: list[list[int]] | None = None) -> dict[str, Any]:
    """A job with a record for its only chunk."""
    chunk = {"a": max([p[0] for p in placed.values()], default=0), "d": done or [], "p": placed}
    return {
        records.active_key(job.id): active_record(job, 0.0, 24),
        records.chunk_key(job.id, 0): detached_chunk_record(job, chunk, 24),
    }


def report(machine: str, *tasks: TaskStatus, session: int = 1) -> Heartbeat:
    return Heartbeat(machine, f"{machine}:1", "small", "a", session, 5, 7, True, None, list(tasks))


def rebuilt(
    image: Image,
    reports: list[Heartbeat] | None = None,
    present: dict[str, Any] | None = None,
    once: frozenset[str] = frozenset(),
) -> Reconstruction:
    by_machine = {r.machine: r for r in reports or []}
    return reconstruct(Evidence(image, present or {}, by_machine, once, 24))


def test_with_the_last_leaders_word_records_come_back_as_they_were() -> None:
    job = spec(1, pieces=3)
    values = job_records(job, {"0": [1, "n-1", "a", 1]}, [[1, 2]])
    image = Image(values | {"settings": {"headroom": 2.0}}, Ends(), True)
    result = rebuilt(image, [report("n-1")])
    assert result.puts == image.records and not result.deletes and not result.undecided
    # What is there already, after an attempt that was broken off, is not written again.
    again = rebuilt(image, [report("n-1")], present=dict(result.puts))
    assert not again.puts and not again.deletes


def test_without_it_tasks_are_where_reports_tell_that_they_are() -> None:
    """0 runs where the image has it, 1 has moved on, 2 is nowhere any more, 3 was started since, 4 has completed."""
    job = spec(1, pieces=6)
    placed = {"0": [1, "n-1", "a", 1], "1": [2, "n-1", "a", 1], "2": [3, "n-1", "a", 1]}
    reports = [
        report("n-1", TaskStatus("j-000001/0", 1, "running"), TaskStatus("j-000001/1", 2, "exited", "stopped")),
        report("n-2", TaskStatus("j-000001/1", 4, "running"), TaskStatus("j-000001/3", 5, "fetching")),
        report("n-3", TaskStatus("j-000001/4", 6, "exited", "done")),
    ]
    chunk = rebuilt(Image(job_records(job, placed)), reports).puts[records.chunk_key(job.id, 0)]
    assert chunk["p"] == {
        "0": [1, "n-1", "a", 1],
        "1": [4, "n-2", "a", 1],
        "3": [5, "n-2", "a", 1],
        "4": [6, "n-3", "a", 1],
    }
    assert chunk["a"] == 6 + ATTEMPT_MARGIN


def test_a_class_that_runs_once_starts_again_only_what_is_shown_not_to_have_completed() -> None:
    job = spec(1, pieces=4, lane="once")
    placed = {"0": [1, "n-1", "a", 1], "1": [2, "n-9", "a", 1], "2": [3, "n-1", "a", 1]}
    reports = [report("n-1", TaskStatus("j-000001/2", 3, "exited", "error"))]
    result = rebuilt(Image(job_records(job, placed)), reports, once=frozenset({"once"}))
    evidence = result.undecided["j-000001"].evidence
    assert evidence.keys() == {"0", "1", "3"}
    assert "reports without it" in evidence["0"] and "not heard again" in evidence["1"] and "n-9" in evidence["3"]
    # With every machine heard, what was never placed is known not to have run.
    heard = rebuilt(Image(job_records(job, placed)), [*reports, report("n-9")], once=frozenset({"once"}))
    assert heard.undecided["j-000001"].evidence.keys() == {"0", "1"}
    assert not rebuilt(Image(job_records(job, placed)), reports).undecided


def test_a_job_that_only_a_worker_knows_stays_known() -> None:
    result = rebuilt(Image(leader_heard=True), [report("n-1", TaskStatus("j-000005/2", 1, "running"))])
    assert result.undecided["j-000005"].unknown and "n-1" in result.undecided["j-000005"].evidence["2"]
    over = Image(leader_heard=True)
    over.ends.add("j-000005", JobOutcome("cancelled", 0))
    assert not rebuilt(over, [report("n-1", TaskStatus("j-000005/2", 1, "running"))]).undecided


def test_what_is_over_stays_over_in_an_older_state() -> None:
    """Its old records go; what may still run of it is kept to be stopped; what was accepted since stays."""
    done, cancelled, accepted = spec(1), spec(2), spec(3)
    image = Image(job_records(cancelled, {"0": [1, "n-1", "a", 1]}), Ends(), True)
    image.ends.add(done.id, JobOutcome("done", 3))
    image.ends.add(cancelled.id, JobOutcome("cancelled", 0))
    present = job_records(done, {"0": [1, "n-1", "a", 1]}) | job_records(accepted, {})
    result = rebuilt(image, present=present)
    assert sorted(result.deletes) == [records.active_key(done.id), records.chunk_key(done.id, 0)]
    assert list(result.puts) == [records.chunk_key(cancelled.id, 0)]
    assert dict(result.new_ends.items()).keys() == {done.id, cancelled.id}


def test_a_job_that_ended_since_the_loss_is_not_brought_back() -> None:
    job = spec(1)
    image = Image(job_records(job, {}), Ends(), True)
    result = rebuilt(image, present={records.final_key(job.id): {"phase": "cancelled", "n": 0}})
    assert not result.puts.keys() & {records.active_key(job.id)} and not list(result.new_ends.items())


MACHINES = st.sampled_from(["n-1", "n-2", "n-3", "n-4"])
REPORTED = st.tuples(
    st.integers(0, 7), st.integers(1, 6), st.sampled_from(["fetching", "running", "saving", "done", "stopped"])
)


def reported_task(index: int, attempt: int, what: str) -> TaskStatus:
    exited = what in ("done", "stopped")
    return TaskStatus(f"j-000001/{index}", attempt, "exited" if exited else what, what if exited else None)


def plain_place(index: int, reports: list[Heartbeat]) -> list[Any] | None:
    """Where a task is, by a plain search: where it completed, else where it is, else where it ended last."""
    name = f"j-000001/{index}"
    listed = [(r, task) for r in reports for task in r.tasks if task.task == name]
    for wanted in (
        [(r, task) for r, task in listed if task.why == "done"],
        [(r, task) for r, task in listed if task.state != "exited"],
        listed,
    ):
        if wanted:
            newest = max(task.attempt for _, task in wanted)
            found, task = next((r, task) for r, task in wanted if task.attempt == newest)
            return [task.attempt, found.machine, found.zone, 1]
    return None


@given(
    st.dictionaries(st.integers(0, 7), st.tuples(st.integers(1, 6), MACHINES)),
    st.sets(st.integers(0, 7)),
    st.dictionaries(MACHINES, st.lists(REPORTED, max_size=6, unique_by=lambda task: task[0])),
)
def test_tasks_are_where_a_plain_search_of_the_reports_finds_them(
    placed: dict[int, tuple[int, str]], done: set[int], reported: dict[str, list[tuple[int, int, str]]]
) -> None:
    """And what is written for it needs nothing more to be written."""
    job = spec(1, pieces=8)
    reports = [report(machine, *(reported_task(*task) for task in tasks)) for machine, tasks in reported.items()]
    placements = {str(i): [a, m, "a", 1] for i, (a, m) in placed.items() if i not in done}
    image = Image(job_records(job, placements, records.to_ranges(done)))
    result = rebuilt(image, reports)
    chunk = result.puts[records.chunk_key(job.id, 0)]
    expected = {str(i): plain_place(i, reports) for i in range(8) if i not in done}
    assert chunk["p"] == {text: place for text, place in expected.items() if place is not None}
    assert chunk["a"] > max([p[0] for p in (*placements.values(), *chunk["p"].values())], default=0)
    again = rebuilt(image, reports, present=dict(result.puts))
    assert not again.puts and not again.deletes


# -- undecided tasks -----------------------------------------------------------------------------------------------


def test_an_operator_decides_tasks_one_by_one_or_together() -> None:
    found = Undecided({"0": "placed", "1": "placed"})
    one = found.decide(1, Decision.RUN)
    assert one.open_tasks() == {0} and found.open_tasks() == {0, 1}
    every = undecided.from_record(undecided.to_record(one.decide(None, Decision.DONE)))
    assert every.decisions == {"0": "done", "1": "run"} and every.open_tasks() == {0}
    for task, decision in ((5, Decision.RUN), (None, Decision.FORGET)):
        with pytest.raises(InvalidDecisionError):
            found.decide(task, decision)
    with pytest.raises(InvalidDecisionError, match="unknown"):
        Undecided({"0": "reported"}, unknown=True).decide(None, Decision.RUN)


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
def test_wrong_features_name_the_field(text: str, field: str) -> None:
    with pytest.raises(FeaturesError, match=field):
        parse(text)


def test_the_features_file_that_is_deployed_can_be_used() -> None:
    assert parse((Path(__file__).parent.parent / "deploy/features.toml").read_text()).rebuild.enabled
    assert not parse("").rebuild.enabled
