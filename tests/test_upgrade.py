"""Upgrades: this version and the one in production on the same data, and upcoming limits of the state service."""

import json
from pathlib import Path
from typing import Any

import msgspec
import pytest

from stileloft.model import records
from stileloft.model.chunk_records import chunk_values
from stileloft.model.chunks import Chunk
from stileloft.model.job_records import apply_chunk_records, job_from_record
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import JobSpec, job_from_wire
from stileloft.protocol.peers import PeerView
from stileloft.settings import State, parse
from stileloft.store.limits import StoreLimits
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import crash_leader, crash_machines, outage, reclaim_spot_machines
from tests.simulation.workloads import run_until_jobs_end, submit_mixed_jobs
from tests.test_gangs import gang_job, submit_gangs
from tests.versions import CURRENT, LAST_LEGACY, Version, from_history, production

PRODUCTION_FIXTURE = Path(__file__).parent / "production.json"
"""Records and peer views of controllers of the version in production, written by `write_production_fixture`."""
LAST_LEGACY_FIXTURE = Path(__file__).parent / "stored_44d00d6.json"
"""Records of the last version before the change of names, written by `write_last_legacy_fixture`."""
LOWER_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 45.0}

needs_history = pytest.mark.skipif(
    production() is None, reason="the checkout lacks the history; the fixture replaces it"
)


def read_jobs(version: Version, items: dict[str, Any], value_kb: float) -> dict[str, Any]:
    """Returns jobs, placements, attempts and finished tasks, read from records by the code of a version."""
    size = version.records.chunk_size(value_kb)
    jobs: dict[str, Any] = {}
    for key, value in items.items():
        if key.startswith(records.ACTIVE):
            job = version.job_from_record(value, 1, size)
            chunks = [(k, v, 1) for k, v in sorted(items.items()) if k.startswith(f"{records.TASKS}{job.id}/")]
            if version is CURRENT:
                apply_chunk_records(job, chunks)
            elif hasattr(job, "load_chunks"):
                job.load_chunks(chunks)
            else:
                for chunk_key, chunk, _ in chunks:
                    number = version.records.split_chunk_key(chunk_key)[1]
                    if number not in job.done_chunks:
                        job.load_chunk(number, chunk, 1)
            version.attribute(job, "refresh_counts")()
            jobs[job.id] = {
                "spec": version.messages.job_to_wire(job.spec),
                "done": job.done,
                "size": version.attribute(job, "chunk_size"),
                "free": job.free_tasks(10_000),
                "attempts": {str(n): c.attempt for n, c in sorted(job.chunks.items())},
                "placed": sorted([p.index, p.attempt, p.machine, p.zone, p.spot] for p in job.placements()),
            }
    return jobs


def mixed_job_cluster(version: Version, **more: Any) -> SimulatedCluster:
    """Returns a cluster with controllers of one version, with 12 arrays and a job of 130 tasks to be submitted."""
    cluster = SimulatedCluster(seed=61, loss=0.002, value_kb=16.0, version=version, **more)
    submit_mixed_jobs(cluster, jobs=12, every=2.0)
    cluster.submit(cluster.job(700, pieces=130, vcpus=0.25, memGb=0.2, guessS=25.0, crew="edge"))
    return cluster


def write_production_fixture() -> None:
    """Writes the fixture of the version in production; was run once.

    `PYTHONPATH=.:target/deps python3 -c "from tests.test_upgrade import *; write_production_fixture()"`
    """
    version = production()
    assert version is not None
    cluster = mixed_job_cluster(version)
    cluster.run(48)
    items = {key: value for key, (value, _, _) in sorted(cluster.state.items.items())}
    views = [msgspec.to_builtins(version.peer_resources(node).view()) for node in cluster.nodes.values()]
    PRODUCTION_FIXTURE.write_text(
        json.dumps({"items": items, "contents": read_jobs(version, items, 16.0), "views": views}, indent=1) + "\n"
    )


def write_last_legacy_fixture() -> None:
    """Writes the fixture of the last legacy version; was run once.

    The value limit is reduced without notice, which gives records of all kinds.
    """
    version = from_history(LAST_LEGACY)
    assert version is not None
    cluster = mixed_job_cluster(version)
    cluster.submit(cluster.job(701, pieces=300, vcpus=0.25, memGb=0.1, guessS=8.0, crew="guest"))
    cluster.submit(cluster.job(702, pieces=90, vcpus=0.25, memGb=0.1, guessS=60.0, crew="edge"))
    cluster.run(30)
    cluster.state.value_bytes = 2048
    cluster.run(6)
    items = {key: value for key, (value, _, _) in sorted(cluster.state.items.items())}
    LAST_LEGACY_FIXTURE.write_text(
        json.dumps({"items": items, "contents": read_jobs(version, items, 16.0)}, separators=(",", ":")) + "\n"
    )


def test_records_of_the_last_legacy_version_are_read() -> None:
    """The fixture has inline chunks, main and overflow records of chunks, and finished chunks."""
    stored = json.loads(LAST_LEGACY_FIXTURE.read_text())
    items, expected = stored["items"], stored["contents"]
    assert items[records.FORMAT]["format"] == 2
    assert any("+" in key for key in items)
    assert any(records.INLINE_CHUNK in value for value in items.values())
    assert any(value["f"] for key, value in items.items() if key.startswith(records.ACTIVE))
    read = json.loads(json.dumps(read_jobs(CURRENT, items, 16.0)))
    assert read == expected
    assert sum(len(job["placed"]) for job in read.values()) > 50
    assert any(job["done"] for job in read.values())
    version = from_history(LAST_LEGACY)
    if version is not None:
        assert json.loads(json.dumps(read_jobs(version, items, 16.0))) == expected


def test_records_and_views_of_production_are_read() -> None:
    stored = json.loads(PRODUCTION_FIXTURE.read_text())
    read = json.loads(json.dumps(read_jobs(CURRENT, stored["items"], 16.0)))
    assert read == stored["contents"]
    assert sum(len(job["placed"]) for job in read.values()) > 50
    for view in stored["views"]:
        assert msgspec.convert(view, PeerView).reads == 0  # so that no newer format is written while it runs


def record_kinds(items: dict[str, Any]) -> set[tuple]:
    """Returns the kinds of records, each with the names of its fields."""
    kinds = set()
    for key, value in items.items():
        fields = tuple(sorted(value)) if isinstance(value, dict) else ()
        kinds.add((key.split("/")[0], "+" in key, fields))
        if key.startswith(records.ACTIVE):
            assert all(len(item) == 2 for item in value["f"])
    return kinds


def test_records_keep_the_form_of_production_until_the_format_changes() -> None:
    """One controller is down and its version unknown, so that the form and the limits of production are kept."""
    cluster = mixed_job_cluster(CURRENT, upcoming_limits=LOWER_LIMITS)
    cluster.kill("node-2", None)
    cluster.apply_upcoming_limits()
    cluster.run(60)
    items = {key: value for key, (value, _, _) in sorted(cluster.state.items.items())}
    assert all(node is None or node.record_format.number == 0 for node in cluster.nodes.values())
    assert records.FORMAT not in items
    expected = record_kinds(json.loads(PRODUCTION_FIXTURE.read_text())["items"])
    # The record of a job's acceptance has no count of stopped tasks in either version.
    assert record_kinds(items) <= expected | {("active", False, ("c", "f", "s", "t"))}
    assert cluster.state.oversized_requests == 0
    read = read_jobs(CURRENT, items, 16.0)
    assert sum(len(job["placed"]) for job in read.values()) > 20
    version = production()
    if version is not None:
        assert read_jobs(version, items, 16.0) == read
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}


@needs_history
@pytest.mark.parametrize("seed", [1, 2])
def test_leaders_of_both_versions_alternate(seed: int) -> None:
    """Leaders change during placements, stops and completions; then all are upgraded, and the limits are reduced."""
    cluster = SimulatedCluster(
        seed=70 + seed, loss=0.004, value_kb=16.0, upcoming_limits=LOWER_LIMITS, version=production() or CURRENT
    )
    submit_mixed_jobs(cluster, jobs=30)
    cluster.submit(cluster.job(700, pieces=130, vcpus=0.25, memGb=0.2, guessS=20.0, crew="edge"))
    expected = [True, False, True, False]
    leaders: list[bool] = []

    def alternate_leaders() -> None:
        """Kills the controllers of the leader's version until a controller of the expected version leads."""
        name = cluster.leader()
        new = name is not None and cluster.versions[name] is CURRENT
        if name is not None and new is expected[len(leaders)]:
            leaders.append(new)
        elif name is not None:
            for other in cluster.names:
                if (cluster.versions[other] is CURRENT) is new and cluster.nodes[other] is not None:
                    cluster.kill(other, 2.5)
        if len(leaders) < len(expected):
            cluster.clock.callLater(3.0 if leaders and name and new is leaders[-1] else 0.5, alternate_leaders)

    cluster.clock.callLater(24.0, cluster.kill, "node-0", 0.5, CURRENT)
    cluster.clock.callLater(28.0, alternate_leaders)
    cluster.clock.callLater(33.0, reclaim_spot_machines, cluster)
    cluster.clock.callLater(46.0, crash_machines, cluster)
    for number in (2, 8, 15):
        cluster.clock.callLater(34.0 + number, cluster.cancel, f"j-{number:06d}")
    # node-1 is killed and restarts with the old version before it is upgraded; then the rollout continues.
    cluster.clock.callLater(58.0, cluster.kill, "node-1", 0.3)
    cluster.clock.callLater(62.0, cluster.kill, "node-1", 2.0, CURRENT)
    cluster.run(64)
    assert leaders == expected
    assert records.FORMAT not in cluster.state.items
    cluster.clock.callLater(4.0, cluster.kill, "node-2", 2.0, CURRENT)
    cluster.run(12)
    assert records.FORMAT in cluster.state.items
    cluster.apply_upcoming_limits()
    submit_gangs(cluster, count=6)
    cluster.clock.callLater(15.0, crash_leader, cluster)
    cluster.checker.faults_until = cluster.now + 20.0
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert cluster.state.oversized_requests == 0
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


@needs_history
def test_large_records_of_production_are_split() -> None:
    """A leader of production has stored more placements in a value than the upcoming limit allows."""
    cluster = SimulatedCluster(
        seed=81, loss=0.0, value_kb=16.0, upcoming_limits=LOWER_LIMITS, version=production() or CURRENT
    )
    cluster.submit(cluster.job(700, pieces=90, vcpus=0.5, memGb=0.2, guessS=200.0))
    cluster.submit(cluster.job(701, pieces=70, vcpus=0.5, memGb=0.2, guessS=200.0, crew="edge"))
    while len(cluster.checker.machine_by_task) < 160:
        cluster.run(1)
    large = [key for key, item in cluster.state.items.items() if len(json.dumps(item[0])) > 2048]
    assert len(large) == 2
    for number, name in enumerate(cluster.names):
        cluster.clock.callLater(2.0 * number, cluster.kill, name, 0.5, CURRENT)
    cluster.run(20)
    cluster.apply_upcoming_limits()
    assert [key for key, item in cluster.state.items.items() if len(json.dumps(item[0])) > 2048] == []
    cluster.run(5)
    crash_leader(cluster)
    cluster.cancel("j-000701")
    run_until_jobs_end(cluster, 400)
    assert cluster.checker.violations == []
    assert cluster.state.oversized_requests == 0
    assert cluster.checker.last_phase == {"j-000700": "done", "j-000701": "aborted"}
    cluster.run(20)
    assert [key for key in cluster.state.items if key.startswith(("tasks/", "active/"))] == []


def test_the_format_changes_only_after_all_controllers_have_answered() -> None:
    cluster = SimulatedCluster(seed=91, loss=0.0)
    cluster.kill("node-1", None)
    cluster.run(20)
    assert records.FORMAT not in cluster.state.items
    cluster.start("node-1")
    cluster.run(5)
    assert cluster.state.items[records.FORMAT][0]["members"] == cluster.names
    assert [node.record_format.number for node in cluster.nodes.values()] == [2, 2, 2]
    # From this format on, job records contain the chunk size; another limit in the settings does not change it.
    cluster.submit(cluster.job(1, pieces=30, vcpus=0.5))
    cluster.run(20)
    record = cluster.state.items["active/j-000001"][0]
    assert record["n"] == 65
    assert job_from_record(record, 1, 5).chunk_size == 65


def test_limits_reduced_without_notice_during_a_run() -> None:
    """From 30 s on, the limits are 4 changes per transaction and 2 KiB per value.

    The run has gangs, a job of many chunks, cancellations and crashes.
    """
    cluster = SimulatedCluster(seed=92, loss=0.004, value_kb=16.0, upcoming_limits=LOWER_LIMITS)
    submit_mixed_jobs(cluster, jobs=18)
    submit_gangs(cluster, count=8)
    cluster.submit(cluster.job(700, pieces=400, vcpus=0.25, memGb=0.2, guessS=8.0, crew="edge"))
    cluster.submit(gang_job(cluster, 701, pieces=60, vcpus=0.25, memGb=0.1, guessS=15.0))
    cluster.clock.callLater(30.0, cluster.apply_upcoming_limits)
    for at_s, fault in ((40.0, crash_leader), (50.0, outage), (75.0, crash_machines), (80.0, crash_leader)):
        cluster.clock.callLater(at_s, fault, cluster)
    for number in (2, 8, 15):
        cluster.clock.callLater(45.0 + number, cluster.cancel, f"j-{number:06d}")
    cluster.checker.faults_until = 110.0
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert cluster.state.oversized_requests == 0
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_a_transaction_refused_for_its_size_is_split_and_retried() -> None:
    """The limits are reduced below the announced ones."""
    cluster = SimulatedCluster(seed=93, loss=0.0, value_kb=16.0)
    submit_mixed_jobs(cluster, jobs=12)
    cluster.submit(cluster.job(700, pieces=130, vcpus=0.25, memGb=0.2, guessS=25.0, crew="edge"))
    cluster.upcoming_limits = LOWER_LIMITS
    cluster.clock.callLater(30.0, cluster.apply_upcoming_limits)
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}
    assert 0 < cluster.state.oversized_requests < 20


def test_limits_are_the_lowest_announced_and_decrease_after_a_refusal() -> None:
    state = parse(SimulatedCluster(1, upcoming_limits=LOWER_LIMITS).settings("node-0")).deployment.state
    assert (
        state.strictest().txn_ops,
        state.strictest().value_bytes,
        state.strictest().write_rps,
        state.strictest().rps,
    ) == (
        4,
        2048,
        45.0,
        200.0,
    )
    limits = StoreLimits(State(100.0, 50.0, 4.0, 12))
    limits.reduce_after_refusal(["small"] * 8, 10)
    assert (limits.max_changes, limits.max_value_bytes) == (5, 4096)
    limits.reduce_after_refusal(["small", "x" * 3000], 2)
    assert (limits.max_changes, limits.max_value_bytes) == (5, 2048)
    for _ in range(40):
        limits.reduce_after_refusal(["small"], 1)
    assert limits.max_changes == 5
    assert limits.max_value_bytes == 512
    # Large values also reduce the number of changes first: smaller values would need more changes.
    limits = StoreLimits(State(100.0, 50.0, 4.0, 12))
    limits.reduce_after_refusal(["x" * 3000] * 6, 6)
    assert (limits.max_changes, limits.max_value_bytes) == (3, 4096)
    for _ in range(3):
        limits.reduce_after_refusal(["x" * 3000] * 3, 3)
    assert limits.max_changes == 2
    assert limits.max_value_bytes < 4096


def stored_spec(pieces: int) -> JobSpec:
    """Returns a job's specification in the form of its record."""
    return job_from_wire(
        {
            "nameId": "j-1",
            "lane": "batch",
            "crew": "core",
            "shape": "array",
            "urgency": "standard",
            "pieces": pieces,
            "vcpus": 1.0,
            "memGb": 1.0,
            "bundle": "img",
            "imageGb": 1.0,
            "guessS": 1.0,
        }
    )


def chunk_with(placed: int, done: int = 0, name: str = "n-000123") -> tuple[Job, Chunk]:
    """Returns a job of two chunks and its first chunk, with placements on a machine of this name."""
    spec = stored_spec(pieces=300)
    job = Job(spec, 0.0, 256)
    chunk = job.chunk_of(0)
    chunk.attempt, chunk.done = 999, set(range(0, 2 * done, 2))
    for index in range(2 * done, 2 * done + placed):
        job.add_placement(Placement("j-1", index, 999, name, "zone-with-a-long-name", True, PlacementState.PLANNED))
    return job, chunk


@pytest.mark.parametrize(
    ("placed", "done", "name"), [(0, 0, "n"), (10, 0, "n"), (91, 0, "n"), (120, 60, "n"), (90, 0, "é" * 20)]
)
def test_a_chunk_survives_encoding_in_overflow_records(placed: int, done: int, name: str) -> None:
    job, chunk = chunk_with(placed, done, name)
    values = chunk_values(chunk, job.spec, job.chunk_size, 2048)
    assert all(records.json_bytes(value) <= 2048 for value in values)
    assert len(values) == 1 or placed > 30
    again = Job(job.spec, 0.0, 256)
    apply_chunk_records(
        again,
        [
            (records.chunk_key("j-1", 0, part), json.loads(json.dumps(value)), part + 5)
            for part, value in enumerate(values)
        ],
    )
    assert again.chunks[0].done == chunk.done
    assert again.chunks[0].attempt == 999
    assert [(p.index, p.attempt, p.machine) for p in again.placements()] == [
        (p.index, p.attempt, p.machine) for p in job.placements()
    ]
    assert {part: stored.version for part, stored in again.chunks[0].overflow.items()} == {
        part: part + 5 for part in range(1, len(values))
    }
    assert all(p.state != PlacementState.ENDED for p in again.placements())
