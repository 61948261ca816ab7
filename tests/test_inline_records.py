"""Inline chunks: small jobs store their tasks in the job record, which saves changes of the store.

A cancellation, which deletes the job record, must not lose placements.
"""

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
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import crash_leader, outage
from tests.simulation.workloads import run_until_jobs_end, submit_mixed_jobs
from tests.test_upgrade import stored_spec
from tests.versions import CURRENT, LAST_FORMAT_1, from_history

needs_history = pytest.mark.skipif(from_history(LAST_FORMAT_1) is None, reason="the checkout lacks the history")


def count_changes(cluster: SimulatedCluster) -> Counter[str]:
    """Returns a counter of the store's changes from now on, by operation and first part of the key."""
    counts: Counter[str] = Counter()
    commit = cluster.state.commit

    def commit_and_count(body: Any) -> Reply:
        reply = commit(body)
        if reply.status == 200:
            for write in body["writes"]:
                operation = "set" if "set" in write else "delete"
                counts[f"{operation} {write[operation].partition('/')[0]}"] += 1
        return reply

    cluster.state.commit = commit_and_count  # type: ignore[method-assign]
    return counts


def cluster_in_newest_format(seed: int, **more: Any) -> SimulatedCluster:
    """Returns a cluster in which all controllers write the newest format."""
    cluster = SimulatedCluster(seed, loss=0.0, **more)
    cluster.run(15)
    assert {node.record_format.number for node in cluster.nodes.values() if node is not None} == {records.NEWEST_FORMAT}
    return cluster


def run_until_started(cluster: SimulatedCluster, tasks: int) -> None:
    """Runs the cluster until this number of tasks run; fails after 120 s."""
    for _ in range(120):
        if len(cluster.checker.machine_by_task) >= tasks:
            return
        cluster.run(1)
    raise AssertionError(f"{len(cluster.checker.machine_by_task)} of {tasks} tasks started within 120 s")


def test_a_one_task_job_takes_five_changes() -> None:
    """The changes: accepted, placed, running, and two at its end. With a chunk record of its own it takes six."""
    cluster = cluster_in_newest_format(101)
    counted = count_changes(cluster)
    for number in range(30):
        cluster.clock.callLater(number * 1.0, cluster.submit, cluster.job(number, pieces=1, vcpus=1.0, guessS=8.0))
    run_until_jobs_end(cluster)
    jobs = {kind: count for kind, count in counted.items() if "active" in kind or "final" in kind or "tasks" in kind}
    assert set(cluster.checker.last_phase.values()) == {"done"}
    assert cluster.checker.violations == []
    assert jobs["set final"] == jobs["delete active"] == 30
    assert jobs["set active"] <= 3 * 30
    assert set(jobs) == {"set active", "set final", "delete active"}


def test_cancelling_a_job_keeps_the_placements_of_its_running_tasks() -> None:
    """A cancellation deletes the job record. Without its placements, no leader would stop or account for the tasks."""
    cluster = cluster_in_newest_format(102)
    cluster.submit(cluster.job(1, pieces=3, guessS=200.0))
    run_until_started(cluster, 3)
    assert records.INLINE_CHUNK in cluster.state.items["active/j-000001"][0]
    leader = cluster.leader()
    assert leader is not None
    # The leader does not receive the cancellation before it is killed.
    cluster.state.refused_until[leader] = cluster.now + 60.0
    cluster.cancel("j-000001")
    while cluster.checker.last_phase.get("j-000001") != "aborted":
        cluster.run(0.1)
    kept = cluster.state.items[records.chunk_key("j-000001", 0)][0]
    assert len(kept["p"]) == 3
    assert kept["r"] == ["core", 4.0, 0.0, 4.0]
    cluster.kill(leader, 30.0)
    # Well within a worker's lease: the next leader found and stopped the tasks; their leases have not expired.
    cluster.run(7)
    assert cluster.leader() not in (None, leader)
    assert cluster.checker.machine_by_task == {}
    assert cluster.checker.violations == []
    cluster.run(20)
    assert [key for key in cluster.state.items if "j-000001" in key] == ["final/j-000001"]


def test_cancelling_an_unplaced_job_leaves_no_chunk() -> None:
    cluster = cluster_in_newest_format(103)
    cluster.cloud.available_types.clear()  # no machine can be rented
    cluster.submit(cluster.job(1, pieces=2))
    cluster.run(2)
    counted = count_changes(cluster)
    cluster.cancel("j-000001")
    cluster.run(4)
    assert cluster.checker.last_phase["j-000001"] == "aborted"
    assert {kind: n for kind, n in counted.items() if "rented" not in kind} == {"set final": 1, "delete active": 1}


def test_a_new_leader_reads_placements_from_the_job_record() -> None:
    cluster = cluster_in_newest_format(104)
    for number in range(4):
        cluster.submit(cluster.job(number, pieces=3, vcpus=1.0, guessS=60.0))
    run_until_started(cluster, 12)
    starts = cluster.checker.starts
    crash_leader(cluster)
    cluster.run(8)
    assert cluster.checker.starts == starts
    assert len(cluster.checker.machine_by_task) == 12
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}


def test_a_chunk_that_exceeds_the_job_record_gets_its_own_record() -> None:
    """The value limit is reduced without notice while 40 tasks are placed."""
    cluster = cluster_in_newest_format(105, value_kb=16.0)
    cluster.submit(cluster.job(1, pieces=40, vcpus=0.5, memGb=0.2, guessS=60.0))
    run_until_started(cluster, 40)
    assert records.INLINE_CHUNK in cluster.state.items["active/j-000001"][0]
    cluster.state.value_bytes = 1024
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase == {"j-000001": "done"}
    cluster.run(20)
    assert [key for key in cluster.state.items if key.startswith(("active/", "tasks/"))] == []


@needs_history
@pytest.mark.parametrize("seed", [1, 2])
def test_rolling_upgrade_from_the_last_version_of_format_1(seed: int) -> None:
    """Leaders of both versions alternate; no chunk is stored inline before all controllers have the new version."""
    cluster = SimulatedCluster(seed=110 + seed, loss=0.004, version=from_history(LAST_FORMAT_1) or CURRENT)
    submit_mixed_jobs(cluster, jobs=24)
    for number in range(200, 240):
        cluster.clock.callLater(
            0.8 * number - 150, cluster.submit, cluster.job(number, pieces=1, vcpus=1.0, guessS=12.0)
        )
    for number in (205, 212, 219, 226, 233):
        cluster.clock.callLater(0.8 * number - 146, cluster.cancel, f"j-{number:06d}")
    cluster.clock.callLater(18.0, cluster.kill, "node-0", 1.0, CURRENT)
    cluster.clock.callLater(26.0, cluster.kill, "node-1", 0.3)  # restarts with the old version before it is upgraded
    cluster.clock.callLater(32.0, cluster.kill, "node-1", 1.0, CURRENT)
    for seconds in range(40):
        cluster.run(1)
        inline = [key for key, item in cluster.state.items.items() if records.INLINE_CHUNK in item[0]]
        assert inline == [], f"after {seconds} s"
    cluster.kill("node-2", 1.0, CURRENT)
    cluster.run(12)
    assert cluster.state.items[records.FORMAT][0]["format"] == 2
    cluster.clock.callLater(3.0, crash_leader, cluster)
    cluster.clock.callLater(14.0, outage, cluster)
    cluster.checker.faults_until = cluster.now + 40.0
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_an_inline_chunk_survives_encoding() -> None:
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
    # A chunk record, as a cancellation writes it, takes precedence over the inline chunk.
    apply_chunk_records(again, [(records.chunk_key("j-1", 0), {"a": 4, "d": [[0, 5]], "p": {}}, 12)])
    read = again.chunks[0]
    assert (read.attempt, read.storage, read.version) == (4, ChunkStorage.OWN_RECORDS, 12)


def test_chunk_records_contain_the_chunk_size_before_the_leader_has_read_the_format() -> None:
    """All controllers restart, and reads of the format fail for 12 s; a job is cancelled, and the leader is killed.

    The next leader knows the job only from its chunk record. Without the chunk size in that record, it attributed the
    tasks to other chunks and failed to release them.
    """
    cluster = cluster_in_newest_format(106)
    cluster.submit(cluster.job(1, pieces=40, vcpus=0.5, memGb=0.2, guessS=200.0))
    run_until_started(cluster, 40)
    assert cluster.state.items["active/j-000001"][0]["n"] > records.chunk_size(cluster.value_kb) > 20
    original, until = cluster.state.receive, cluster.now + 12.0

    def fail_reads_of_the_format(caller: str, method: str, path: str, body: Any) -> Any:
        if path == f"/kv/{records.FORMAT}" and cluster.now < until:
            return Reply(503, {"error": "unavailable"})
        return original(caller, method, path, body)

    cluster.state.receive = fail_reads_of_the_format  # type: ignore[method-assign]
    for name in cluster.names:
        cluster.kill(name, 0.2)
    cluster.run(6)
    leader = cluster.leader()
    assert leader is not None
    assert cluster.nodes[leader].record_format.number == 0
    cluster.submit(cluster.job(2, pieces=2))  # so that the counts of the first job are written too
    for machine in list({m.name: m for task, m in cluster.checker.machine_by_task.items()}.values())[:1]:
        machine.die()
    while records.chunk_key("j-000001", 0) not in cluster.state.items and cluster.now < until:
        cluster.run(0.1)
    assert cluster.state.items[records.chunk_key("j-000001", 0)][0]["n"] == 65
    cluster.cancel("j-000001")
    cluster.run(0.5)
    crash_leader(cluster)
    run_until_jobs_end(cluster)
    cluster.run(30)
    assert cluster.checker.machine_by_task == {}
    assert cluster.checker.violations == []
    assert [key for key in cluster.state.items if "j-000001" in key] == ["final/j-000001"]


@example(
    spec={"pieces": 20, "bundle": "0"}, names=["\U00010000" * 4], done=set(), attempts=0
)  # was stored too large before
@given(
    spec=st.fixed_dictionaries({"pieces": st.integers(1, 96), "bundle": st.text(min_size=1, max_size=40)}),
    names=st.lists(st.text(max_size=30), min_size=1, max_size=3),
    done=st.sets(st.integers(0, 95)),
    attempts=st.integers(0, 10**9),
)
def test_the_estimated_size_of_an_inline_record_is_an_upper_bound(
    spec: dict[str, Any], names: list[str], done: set[int], attempts: int
) -> None:
    """The estimate decides whether a chunk is stored inline; if it is too low, the record may exceed the limit."""
    body = SimulatedCluster.job(None, 1, **spec)  # type: ignore[arg-type]
    job = Job(CURRENT.messages.parse_job(body), 1e9, 96)
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
)  # was estimated by the number of placements, and stored too large
@given(names=st.lists(NAMES, min_size=1, max_size=3), placed=st.integers(0, 96), value_bytes=st.integers(2048, 16384))
def test_chunk_records_are_within_the_value_limit_for_any_names(
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
def test_the_estimated_size_of_a_transaction_is_an_upper_bound(value: Any) -> None:
    """The estimate covers JSON with non-ASCII characters escaped, which takes up to three times the size in UTF-8."""
    escaped = json.dumps(value, separators=(",", ":"))
    assert len(escaped) <= records.max_compact_bytes(value)
    assert records.json_bytes(value) <= 2 * records.max_compact_bytes(value)
