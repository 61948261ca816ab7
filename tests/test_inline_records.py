"""Small jobs keep their tasks in their own record: fewer changes of the store, and nothing lost by a cancellation."""

import json
from collections import Counter
from typing import Any

import pytest
from hypothesis import example, given
from hypothesis import strategies as st

from stileloft.model import records
from stileloft.model.chunk_records import chunk_values
from stileloft.model.chunks import ChunkStorage
from stileloft.model.job_records import apply_chunk_records, job_from_record, job_record, max_inline_record_bytes
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement
from stileloft.transport.client import Reply
from tests.simulation.world import World
from tests.test_rules import crash_leader, outage, run_until_jobs_end, submit_mixed_jobs
from tests.test_upgrade import stored_spec
from tests.versions import LAST_FORMAT_1, NEW, from_history

needs_history = pytest.mark.skipif(from_history(LAST_FORMAT_1) is None, reason="the checkout lacks the history")


def count_changes(world: World) -> Counter[str]:
    """Counts the store's executed changes from now on, by their key's first part and what they do."""
    counted: Counter[str] = Counter()
    commit = world.state.commit

    def counting(body: Any) -> Reply:
        reply = commit(body)
        if reply.status == 200:
            for write in body["writes"]:
                what = "set" if "set" in write else "delete"
                counted[f"{what} {write[what].partition('/')[0]}"] += 1
        return reply

    world.state.commit = counting  # type: ignore[method-assign]
    return counted


def world_in_newest_format(seed: int, **more: Any) -> World:
    """A world whose controllers all write the newest format."""
    world = World(seed, loss=0.0, **more)
    world.run(15)
    assert {node.record_format.number for node in world.nodes.values() if node is not None} == {records.NEWEST_FORMAT}
    return world


def run_until_started(world: World, tasks: int) -> None:
    for _ in range(120):
        if len(world.rules.where) >= tasks:
            return
        world.run(1)
    raise AssertionError("the tasks did not start")


def test_a_one_task_job_takes_five_changes() -> None:
    """Accepted, placed, running, and the two of its end; six with a record for its chunk."""
    world = world_in_newest_format(101)
    counted = count_changes(world)
    for number in range(30):
        world.clock.callLater(number * 1.0, world.submit, world.job(number, pieces=1, vcpus=1.0, guessS=8.0))
    run_until_jobs_end(world)
    jobs = {kind: count for kind, count in counted.items() if "active" in kind or "final" in kind or "tasks" in kind}
    assert set(world.rules.last.values()) == {"done"}
    assert world.rules.broken == []
    assert jobs["set final"] == jobs["delete active"] == 30
    assert jobs["set active"] <= 3 * 30
    assert set(jobs) == {"set active", "set final", "delete active"}


def test_a_cancelled_job_keeps_what_may_still_run() -> None:
    """Its record goes with the cancellation. Were its placements gone with it, nobody would stop them or count them."""
    world = world_in_newest_format(102)
    world.submit(world.job(1, pieces=3, guessS=200.0))
    run_until_started(world, 3)
    assert records.INLINE_CHUNK in world.state.items["active/j-000001"][0]
    leader = world.leader()
    assert leader is not None
    # The leader hears nothing of it, and ends before it could.
    world.state.refuses[leader] = world.now + 60.0
    world.cancel("j-000001")
    while world.rules.last.get("j-000001") != "aborted":
        world.run(0.1)
    kept = world.state.items[records.chunk_key("j-000001", 0)][0]
    assert len(kept["p"]) == 3
    assert kept["r"] == ["core", 4.0, 0.0, 4.0]
    world.kill(leader, 30.0)
    # Well within a worker's lease: they are stopped by a successor that found them, and have not merely lapsed.
    world.run(7)
    assert world.leader() not in (None, leader)
    assert world.rules.where == {}
    assert world.rules.broken == []
    world.run(20)
    assert [key for key in world.state.items if "j-000001" in key] == ["final/j-000001"]


def test_a_job_cancelled_before_it_is_placed_leaves_no_chunk() -> None:
    world = world_in_newest_format(103)
    world.cloud.kinds.clear()  # there is nowhere to run
    world.submit(world.job(1, pieces=2))
    world.run(2)
    counted = count_changes(world)
    world.cancel("j-000001")
    world.run(4)
    assert world.rules.last["j-000001"] == "aborted"
    assert {kind: n for kind, n in counted.items() if "rented" not in kind} == {"set final": 1, "delete active": 1}


def test_a_new_leader_finds_placements_in_the_jobs_record() -> None:
    world = world_in_newest_format(104)
    for number in range(4):
        world.submit(world.job(number, pieces=3, vcpus=1.0, guessS=60.0))
    run_until_started(world, 12)
    starts = world.rules.starts
    crash_leader(world)
    world.run(8)
    assert world.rules.starts == starts
    assert len(world.rules.where) == 12
    run_until_jobs_end(world)
    assert world.rules.broken == []
    assert set(world.rules.last.values()) == {"done"}


def test_a_chunk_that_the_record_has_no_room_for_gets_one_of_its_own() -> None:
    """The limit of a value becomes lower without notice, while many tasks are placed."""
    world = world_in_newest_format(105, value_kb=16.0)
    world.submit(world.job(1, pieces=40, vcpus=0.5, memGb=0.2, guessS=60.0))
    run_until_started(world, 40)
    assert records.INLINE_CHUNK in world.state.items["active/j-000001"][0]
    world.state.value_bytes = 1024
    run_until_jobs_end(world)
    assert world.rules.broken == []
    assert world.rules.last == {"j-000001": "done"}
    world.run(20)
    assert [key for key in world.state.items if key.startswith(("active/", "tasks/"))] == []


@needs_history
@pytest.mark.parametrize("seed", [1, 2])
def test_the_last_version_of_format_1_and_this_one_in_turn(seed: int) -> None:
    """The roll, with leaders of both versions; nothing is written inline before all have the new version."""
    world = World(seed=110 + seed, loss=0.004, version=from_history(LAST_FORMAT_1) or NEW)
    submit_mixed_jobs(world, jobs=24)
    for number in range(200, 240):
        world.clock.callLater(0.8 * number - 150, world.submit, world.job(number, pieces=1, vcpus=1.0, guessS=12.0))
    for number in (205, 212, 219, 226, 233):
        world.clock.callLater(0.8 * number - 146, world.cancel, f"j-{number:06d}")
    world.clock.callLater(18.0, world.kill, "node-0", 1.0, NEW)
    world.clock.callLater(26.0, world.kill, "node-1", 0.3)  # comes back old before its turn
    world.clock.callLater(32.0, world.kill, "node-1", 1.0, NEW)
    for seconds in range(40):
        world.run(1)
        inline = [key for key, item in world.state.items.items() if records.INLINE_CHUNK in item[0]]
        assert inline == [], f"after {seconds} s"
    world.kill("node-2", 1.0, NEW)
    world.run(12)
    assert world.state.items[records.FORMAT][0]["format"] == 2
    world.clock.callLater(3.0, crash_leader, world)
    world.clock.callLater(14.0, outage, world)
    world.rules.troubled_until = world.now + 40.0
    run_until_jobs_end(world)
    assert world.rules.broken == []
    assert [job for job in world.jobs if not world.rules.is_final(job)] == []


def test_an_inline_chunk_is_read_as_it_was_written() -> None:
    job = Job(stored_spec(pieces=5), 7.0, 22)
    chunk = job.chunk_of(0)
    chunk.attempt, chunk.done = 3, {0, 4}
    job.add_placement(Placement("j-1", 1, 2, "n-000001", "a", True))
    job.add_placement(Placement("j-1", 2, 3, "n-000002", "b", False))
    value = records.to_stored(job_record(job, True, with_chunk=True))
    again = job_from_record(json.loads(json.dumps(value)), 9, 5)
    assert (again.done, again.placed, again.version, again.chunk_size) == (2, 2, 9, 22)
    read = again.chunks[0]
    assert (read.attempt, read.done, read.storage) == (3, {0, 4}, ChunkStorage.INLINE)
    assert [(p.index, p.attempt, p.machine, p.zone, p.spot) for p in again.placements()] == [
        (1, 2, "n-000001", "a", True),
        (2, 3, "n-000002", "b", False),
    ]
    # A record of its own, as a cancellation leaves it, counts for more than what the job's record said before.
    apply_chunk_records(again, [(records.chunk_key("j-1", 0), {"a": 4, "d": [[0, 5]], "p": {}}, 12)])
    read = again.chunks[0]
    assert (read.attempt, read.storage, read.version) == (4, ChunkStorage.OWN_RECORDS, 12)


def test_a_leader_that_has_not_read_the_format_tells_the_length_of_chunks() -> None:
    """All begin anew, and reads of the format fail for a while; then a job is cancelled, and the leader ends.

    Its successor knows the job by its chunk's record alone. Without the length there it took the tasks for those of
    other chunks, and failed to let go of them.
    """
    world = world_in_newest_format(106)
    world.submit(world.job(1, pieces=40, vcpus=0.5, memGb=0.2, guessS=200.0))
    run_until_started(world, 40)
    assert world.state.items["active/j-000001"][0]["n"] > records.chunk_size(world.value_kb) > 20
    ask, until = world.state.ask, world.now + 12.0

    def asking(caller: str, method: str, path: str, body: Any) -> Any:
        if path == f"/kv/{records.FORMAT}" and world.now < until:
            return Reply(503, {"error": "trouble"})
        return ask(caller, method, path, body)

    world.state.ask = asking  # type: ignore[method-assign]
    for name in world.names:
        world.kill(name, 0.2)
    world.run(6)
    leader = world.leader()
    assert leader is not None
    assert world.nodes[leader].record_format.number == 0
    world.submit(world.job(2, pieces=2))  # some change of the first job is written too: its counts
    for machine in list({m.name: m for task, m in world.rules.where.items()}.values())[:1]:
        machine.die()
    while records.chunk_key("j-000001", 0) not in world.state.items and world.now < until:
        world.run(0.1)
    assert world.state.items[records.chunk_key("j-000001", 0)][0]["n"] == 65
    world.cancel("j-000001")
    world.run(0.5)
    crash_leader(world)
    run_until_jobs_end(world)
    world.run(30)
    assert world.rules.where == {}
    assert world.rules.broken == []
    assert [key for key in world.state.items if "j-000001" in key] == ["final/j-000001"]


@example(spec={"pieces": 20, "bundle": "0"}, names=["\U00010000" * 4], done=set(), attempts=0)  # once too large
@given(
    spec=st.fixed_dictionaries({"pieces": st.integers(1, 96), "bundle": st.text(min_size=1, max_size=40)}),
    names=st.lists(st.text(max_size=30), min_size=1, max_size=3),
    done=st.sets(st.integers(0, 95)),
    attempts=st.integers(0, 10**9),
)
def test_a_small_jobs_record_takes_no_more_than_is_reckoned(
    spec: dict[str, Any], names: list[str], done: set[int], attempts: int
) -> None:
    """What is reckoned without encoding decides that a chunk is put into it: less than the truth could be too large."""
    body = World.job(None, 1, **spec)  # type: ignore[arg-type]
    job = Job(NEW.messages.parse_job(body), 1e9, 96)
    chunk = job.chunk_of(0)
    chunk.done, chunk.attempt = {i for i in done if i < job.spec.tasks}, attempts
    for index in set(range(job.spec.tasks)) - chunk.done:
        name = names[index % len(names)]
        job.add_placement(Placement(job.id, index, attempts, name, name[::-1], index % 2 == 0))
    record = records.to_stored(job_record(job, True, with_chunk=True))
    assert records.INLINE_CHUNK in record
    assert records.json_bytes(record) <= max_inline_record_bytes(job)


NAMES = st.text(min_size=1, max_size=60)


@example(
    names=["\U00010000" * 40], placed=20, value_bytes=4096
)  # taken for small by their number, and stored too large
@given(names=st.lists(NAMES, min_size=1, max_size=3), placed=st.integers(0, 96), value_bytes=st.integers(2048, 16384))
def test_a_chunks_records_are_within_the_limit_whatever_its_names(
    names: list[str], placed: int, value_bytes: int
) -> None:
    job = Job(stored_spec(pieces=96), 1e9, 96)
    for index in range(placed):
        name = names[index % len(names)]
        job.add_placement(Placement("j-1", index, 10**6, name, name[::-1], index % 2 == 0))
    values = chunk_values(job.chunk_of(0), job.spec, job.chunk_size, value_bytes)
    assert all(records.json_bytes(value) <= value_bytes for value in values)
    assert sum(len(value["p"]) for value in values) == placed


@example(value="\U00010000" * 1000)
@given(
    value=st.recursive(
        st.text() | st.integers(0, 10**9), lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner)
    )
)
def test_a_transactions_size_is_not_reckoned_too_small(value: Any) -> None:
    """In UTF-8 a text takes a third of what it takes with all but ASCII escaped."""
    escaped = json.dumps(value, separators=(",", ":"))
    assert len(escaped) <= records.max_compact_bytes(value)
    assert records.json_bytes(value) <= 2 * records.max_compact_bytes(value)
