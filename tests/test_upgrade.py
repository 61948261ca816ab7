"""The version in production and this one side by side, on each other's data, and the store's limits to come."""

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
from tests.test_gangs import gang_job, submit_gangs
from tests.test_rules import (
    crash_leader,
    crash_machines,
    outage,
    reclaim_spot_machines,
    run_until_jobs_end,
    submit_mixed_jobs,
)
from tests.versions import CURRENT, LAST_LEGACY, Version, from_history, production

PRODUCTION_DAY = Path(__file__).parent / "production.json"
"""What controllers of the version in production had stored and told each other: `write_production_day`."""
LAST_LEGACY_DAY = Path(__file__).parent / "stored_44d00d6.json"
"""What the last version before the change of names had stored: `write_last_legacy_day`."""
LOWER_LIMITS = {"value_kb": 2.0, "txn_ops": 4, "write_rps": 45.0}

needs_history = pytest.mark.skipif(
    production() is None, reason="the checkout lacks the history: the fixture stands in for it"
)


def read_jobs(version: Version, items: dict[str, Any], value_kb: float) -> dict[str, Any]:
    """Jobs, placements, attempts and finished tasks, as a version's own code reads them from the store's items."""
    size = version.records.chunk_size(value_kb)
    found: dict[str, Any] = {}
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
            found[job.id] = {
                "spec": version.messages.job_to_wire(job.spec),
                "done": job.done,
                "size": version.attribute(job, "chunk_size"),
                "free": job.free_tasks(10_000),
                "attempts": {str(n): c.attempt for n, c in sorted(job.chunks.items())},
                "placed": sorted([p.index, p.attempt, p.machine, p.zone, p.spot] for p in job.placements()),
            }
    return found


def play_day(version: Version, **more: Any) -> SimulatedCluster:
    """A day of arrays, with one job of many tasks, on controllers of one version."""
    cluster = SimulatedCluster(seed=61, loss=0.002, value_kb=16.0, version=version, **more)
    submit_mixed_jobs(cluster, jobs=12, every=2.0)
    cluster.submit(cluster.job(700, pieces=130, vcpus=0.25, memGb=0.2, guessS=25.0, crew="edge"))
    return cluster


def write_production_day() -> None:
    """Run once: `PYTHONPATH=.:target/deps python3 -c "from tests.test_upgrade import *; write_production_day()"`."""
    version = production()
    assert version is not None
    cluster = play_day(version)
    cluster.run(48)
    items = {key: value for key, (value, _, _) in sorted(cluster.state.items.items())}
    views = [msgspec.to_builtins(version.peer_resources(node).view()) for node in cluster.nodes.values()]
    PRODUCTION_DAY.write_text(
        json.dumps({"items": items, "contents": read_jobs(version, items, 16.0), "views": views}, indent=1) + "\n"
    )


def write_last_legacy_day() -> None:
    """Run once: a day with records of all kinds; the limit of a value becomes lower without notice."""
    version = from_history(LAST_LEGACY)
    assert version is not None
    cluster = play_day(version)
    cluster.submit(cluster.job(701, pieces=300, vcpus=0.25, memGb=0.1, guessS=8.0, crew="guest"))
    cluster.submit(cluster.job(702, pieces=90, vcpus=0.25, memGb=0.1, guessS=60.0, crew="edge"))
    cluster.run(30)
    cluster.state.value_bytes = 2048
    cluster.run(6)
    items = {key: value for key, (value, _, _) in sorted(cluster.state.items.items())}
    LAST_LEGACY_DAY.write_text(
        json.dumps({"items": items, "contents": read_jobs(version, items, 16.0)}, separators=(",", ":")) + "\n"
    )


def test_what_the_last_legacy_version_stored_is_read() -> None:
    """Chunks in jobs' own records, main and overflow records, finished chunks."""
    stored = json.loads(LAST_LEGACY_DAY.read_text())
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


def test_what_production_stored_and_told_is_read() -> None:
    stored = json.loads(PRODUCTION_DAY.read_text())
    read = json.loads(json.dumps(read_jobs(CURRENT, stored["items"], 16.0)))
    assert read == stored["contents"]
    assert sum(len(job["placed"]) for job in read.values()) > 50
    for view in stored["views"]:
        assert msgspec.convert(view, PeerView).reads == 0  # so no new format is written beside it


def record_kinds(items: dict[str, Any]) -> set[tuple]:
    """Kinds of records with their fields."""
    found = set()
    for key, value in items.items():
        fields = tuple(sorted(value)) if isinstance(value, dict) else ()
        found.add((key.split("/")[0], "+" in key, fields))
        if key.startswith(records.ACTIVE):
            assert all(len(item) == 2 for item in value["f"])
    return found


def test_before_the_change_of_format_records_look_as_production_writes_them() -> None:
    """One node is missing, so nobody knows which version it is: production's form is kept, and its limits."""
    cluster = play_day(CURRENT, upcoming_limits=LOWER_LIMITS)
    cluster.kill("node-2", None)
    cluster.apply_upcoming_limits()
    cluster.run(60)
    items = {key: value for key, (value, _, _) in sorted(cluster.state.items.items())}
    assert all(node is None or node.record_format.number == 0 for node in cluster.nodes.values())
    assert records.FORMAT not in items
    expected = record_kinds(json.loads(PRODUCTION_DAY.read_text())["items"])
    # A job's first record, of its acceptance, has no count of stopped tasks in either version.
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
def test_old_and_new_lead_in_turn(seed: int) -> None:
    """Take-overs in the middle of placements, stops and completions; then all are new, and the limits come."""
    cluster = SimulatedCluster(
        seed=70 + seed, loss=0.004, value_kb=16.0, upcoming_limits=LOWER_LIMITS, version=production() or CURRENT
    )
    submit_mixed_jobs(cluster, jobs=30)
    cluster.submit(cluster.job(700, pieces=130, vcpus=0.25, memGb=0.2, guessS=20.0, crew="edge"))
    wanted = [True, False, True, False]
    leaders: list[bool] = []

    def turn() -> None:
        """All of the other kind die while one of them leads, until one of this kind does; then the next is wanted."""
        name = cluster.leader()
        new = name is not None and cluster.versions[name] is CURRENT
        if name is not None and new is wanted[len(leaders)]:
            leaders.append(new)
        elif name is not None:
            for other in cluster.names:
                if (cluster.versions[other] is CURRENT) is new and cluster.nodes[other] is not None:
                    cluster.kill(other, 2.5)
        if len(leaders) < len(wanted):
            cluster.clock.callLater(3.0 if leaders and name and new is leaders[-1] else 0.5, turn)

    cluster.clock.callLater(24.0, cluster.kill, "node-0", 0.5, CURRENT)
    cluster.clock.callLater(28.0, turn)
    cluster.clock.callLater(33.0, reclaim_spot_machines, cluster)
    cluster.clock.callLater(46.0, crash_machines, cluster)
    for number in (2, 8, 15):
        cluster.clock.callLater(34.0 + number, cluster.cancel, f"j-{number:06d}")
    # One dies and comes back old before its turn, then the rest of the roll.
    cluster.clock.callLater(58.0, cluster.kill, "node-1", 0.3)
    cluster.clock.callLater(62.0, cluster.kill, "node-1", 2.0, CURRENT)
    cluster.run(64)
    assert leaders == wanted
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
def test_large_records_of_production_are_brought_into_small_pieces() -> None:
    """Its leader had stored more placements in one value than the limit to come allows."""
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


def test_the_format_changes_when_all_say_so_and_not_from_silence() -> None:
    cluster = SimulatedCluster(seed=91, loss=0.0)
    cluster.kill("node-1", None)
    cluster.run(20)
    assert records.FORMAT not in cluster.state.items
    cluster.start("node-1")
    cluster.run(5)
    assert cluster.state.items[records.FORMAT][0]["members"] == cluster.names
    assert [node.record_format.number for node in cluster.nodes.values()] == [2, 2, 2]
    # Jobs say from now on how long their chunks are; another limit in the settings does not change that.
    cluster.submit(cluster.job(1, pieces=30, vcpus=0.5))
    cluster.run(20)
    record = cluster.state.items["active/j-000001"][0]
    assert record["n"] == 65
    assert job_from_record(record, 1, 5).chunk_size == 65


def test_a_day_under_limits_that_come_without_notice() -> None:
    """4 changes a transaction and 2 KiB, in mid-day; gangs, a job in many chunks, cancellations and crashes."""
    cluster = SimulatedCluster(seed=92, loss=0.004, value_kb=16.0, upcoming_limits=LOWER_LIMITS)
    submit_mixed_jobs(cluster, jobs=18)
    submit_gangs(cluster, count=8)
    cluster.submit(cluster.job(700, pieces=400, vcpus=0.25, memGb=0.2, guessS=8.0, crew="edge"))
    cluster.submit(gang_job(cluster, 701, pieces=60, vcpus=0.25, memGb=0.1, guessS=15.0))
    cluster.clock.callLater(30.0, cluster.apply_upcoming_limits)
    for at, trouble in ((40.0, crash_leader), (50.0, outage), (75.0, crash_machines), (80.0, crash_leader)):
        cluster.clock.callLater(at, trouble, cluster)
    for number in (2, 8, 15):
        cluster.clock.callLater(45.0 + number, cluster.cancel, f"j-{number:06d}")
    cluster.checker.faults_until = 110.0
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert cluster.state.oversized_requests == 0
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_a_change_that_is_refused_for_its_size_is_split_and_repeated() -> None:
    """The limits become lower than was announced."""
    cluster = SimulatedCluster(seed=93, loss=0.0, value_kb=16.0)
    submit_mixed_jobs(cluster, jobs=12)
    cluster.submit(cluster.job(700, pieces=130, vcpus=0.25, memGb=0.2, guessS=25.0, crew="edge"))
    cluster.upcoming_limits = LOWER_LIMITS
    cluster.clock.callLater(30.0, cluster.apply_upcoming_limits)
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}
    assert 0 < cluster.state.oversized_requests < 20


def test_limits_are_the_least_known_and_go_down_when_refused() -> None:
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
    # Of large values too fewer changes are tried first: smaller values would make more of them.
    limits = StoreLimits(State(100.0, 50.0, 4.0, 12))
    limits.reduce_after_refusal(["x" * 3000] * 6, 6)
    assert (limits.max_changes, limits.max_value_bytes) == (3, 4096)
    for _ in range(3):
        limits.reduce_after_refusal(["x" * 3000] * 3, 3)
    assert limits.max_changes == 2
    assert limits.max_value_bytes < 4096


def stored_spec(pieces: int) -> JobSpec:
    """A job as its record describes it."""
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
def test_a_chunk_with_overflow_records_is_read_as_it_was(placed: int, done: int, name: str) -> None:
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
