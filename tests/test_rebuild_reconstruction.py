"""What a rebuild writes, as a function of what is known, and what operators may decide about the rest."""

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.model.job_records import active_record
from stileloft.model.records import JobOutcome
from stileloft.protocol.messages import Heartbeat, JobSpec, TaskStatus, parse_job
from stileloft.rebuild import unresolved_tasks
from stileloft.rebuild.errors import InvalidDecisionError
from stileloft.rebuild.evidence import ATTEMPT_MARGIN, Evidence
from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.reconstruction import Reconstruction, reconstruct
from stileloft.rebuild.replica_merge import MergedReplica
from stileloft.rebuild.unresolved_tasks import Decision, UnresolvedTasks
from tests.simulation.cluster import SimulatedCluster


def spec(number: int, **changes: Any) -> JobSpec:
    return parse_job(SimulatedCluster.job(None, number, **changes))  # type: ignore[arg-type]


def job_records(job: JobSpec, placed: dict[str, list[Any]], done: list[list[int]] | None = None) -> dict[str, Any]:
    """A job with a record for its only chunk."""
    chunk = {"a": max([p[0] for p in placed.values()], default=0), "d": done or [], "p": placed}
    return {
        records.active_key(job.id): active_record(job, 0.0, 24),
        records.chunk_key(job.id, 0): detached_chunk_record(job, chunk, 24),
    }


def heartbeat(machine: str, *tasks: TaskStatus, session: int = 1) -> Heartbeat:
    return Heartbeat(machine, f"{machine}:1", "small", "a", session, 5, 7, True, None, list(tasks))


def rebuilt(
    merged: MergedReplica,
    heartbeats: list[Heartbeat] | None = None,
    present: dict[str, Any] | None = None,
    once: frozenset[str] = frozenset(),
) -> Reconstruction:
    by_machine = {r.machine: r for r in heartbeats or []}
    return reconstruct(Evidence(merged, present or {}, by_machine, once, 24))


def test_with_the_last_leaders_replica_records_come_back_as_they_were() -> None:
    job = spec(1, pieces=3)
    values = job_records(job, {"0": [1, "n-1", "a", 1]}, [[1, 2]])
    merged = MergedReplica(values | {"settings": {"headroom": 2.0}}, JobOutcomes(), True)
    result = rebuilt(merged, [heartbeat("n-1")])
    assert result.puts == merged.records
    assert not result.deletes
    assert not result.unresolved
    # What is there already, after an attempt that was broken off, is not written again.
    again = rebuilt(merged, [heartbeat("n-1")], present=dict(result.puts))
    assert not again.puts
    assert not again.deletes


def test_without_it_tasks_are_where_heartbeats_list_them() -> None:
    """0 runs where the replica has it, 1 has moved on, 2 is nowhere any more, 3 was started since, 4 has completed."""
    job = spec(1, pieces=6)
    placed = {"0": [1, "n-1", "a", 1], "1": [2, "n-1", "a", 1], "2": [3, "n-1", "a", 1]}
    heartbeats = [
        heartbeat("n-1", TaskStatus("j-000001/0", 1, "running"), TaskStatus("j-000001/1", 2, "exited", "stopped")),
        heartbeat("n-2", TaskStatus("j-000001/1", 4, "running"), TaskStatus("j-000001/3", 5, "fetching")),
        heartbeat("n-3", TaskStatus("j-000001/4", 6, "exited", "done")),
    ]
    chunk = rebuilt(MergedReplica(job_records(job, placed)), heartbeats).puts[records.chunk_key(job.id, 0)]
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
    heartbeats = [heartbeat("n-1", TaskStatus("j-000001/2", 3, "exited", "error"))]
    result = rebuilt(MergedReplica(job_records(job, placed)), heartbeats, once=frozenset({"once"}))
    evidence = result.unresolved["j-000001"].evidence
    assert evidence.keys() == {"0", "1", "3"}
    assert "reports without it" in evidence["0"]
    assert "not heard again" in evidence["1"]
    assert "n-9" in evidence["3"]
    # With every machine heard, what was never placed is known not to have run.
    heard = rebuilt(MergedReplica(job_records(job, placed)), [*heartbeats, heartbeat("n-9")], once=frozenset({"once"}))
    assert heard.unresolved["j-000001"].evidence.keys() == {"0", "1"}
    assert not rebuilt(MergedReplica(job_records(job, placed)), heartbeats).unresolved


def test_a_job_that_only_a_worker_knows_stays_known() -> None:
    result = rebuilt(MergedReplica(has_last_leader=True), [heartbeat("n-1", TaskStatus("j-000005/2", 1, "running"))])
    assert result.unresolved["j-000005"].spec_lost
    assert "n-1" in result.unresolved["j-000005"].evidence["2"]
    over = MergedReplica(has_last_leader=True)
    over.outcomes.add("j-000005", JobOutcome("cancelled", 0))
    assert not rebuilt(over, [heartbeat("n-1", TaskStatus("j-000005/2", 1, "running"))]).unresolved


def test_what_is_over_stays_over_in_an_older_state() -> None:
    """Its old records go; what may still run of it is kept to be stopped; what was accepted since stays."""
    done, cancelled, accepted = spec(1), spec(2), spec(3)
    merged = MergedReplica(job_records(cancelled, {"0": [1, "n-1", "a", 1]}), JobOutcomes(), True)
    merged.outcomes.add(done.id, JobOutcome("done", 3))
    merged.outcomes.add(cancelled.id, JobOutcome("cancelled", 0))
    present = job_records(done, {"0": [1, "n-1", "a", 1]}) | job_records(accepted, {})
    result = rebuilt(merged, present=present)
    assert sorted(result.deletes) == [records.active_key(done.id), records.chunk_key(done.id, 0)]
    assert list(result.puts) == [records.chunk_key(cancelled.id, 0)]
    assert dict(result.new_outcomes.items()).keys() == {done.id, cancelled.id}


def test_a_job_that_ended_since_the_loss_is_not_brought_back() -> None:
    job = spec(1)
    merged = MergedReplica(job_records(job, {}), JobOutcomes(), True)
    result = rebuilt(merged, present={records.final_key(job.id): {"phase": "cancelled", "n": 0}})
    assert not result.puts.keys() & {records.active_key(job.id)}
    assert not list(result.new_outcomes.items())


MACHINES = st.sampled_from(["n-1", "n-2", "n-3", "n-4"])
REPORTED = st.tuples(
    st.integers(0, 7), st.integers(1, 6), st.sampled_from(["fetching", "running", "saving", "done", "stopped"])
)


def reported_task(index: int, attempt: int, what: str) -> TaskStatus:
    exited = what in ("done", "stopped")
    return TaskStatus(f"j-000001/{index}", attempt, "exited" if exited else what, what if exited else None)


def plain_place(index: int, heartbeats: list[Heartbeat]) -> list[Any] | None:
    """Where a task is, by a plain search: where it completed, else where it is, else where it ended last."""
    name = f"j-000001/{index}"
    listed = [(r, task) for r in heartbeats for task in r.tasks if task.task == name]
    for wanted in (
        [(r, task) for r, task in listed if task.exit_reason == "done"],
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
def test_tasks_are_where_a_plain_search_of_the_heartbeats_finds_them(
    placed: dict[int, tuple[int, str]], done: set[int], reported: dict[str, list[tuple[int, int, str]]]
) -> None:
    """And what is written for it needs nothing more to be written."""
    job = spec(1, pieces=8)
    heartbeats = [heartbeat(machine, *(reported_task(*task) for task in tasks)) for machine, tasks in reported.items()]
    placements = {str(i): [a, m, "a", 1] for i, (a, m) in placed.items() if i not in done}
    merged = MergedReplica(job_records(job, placements, records.to_ranges(done)))
    result = rebuilt(merged, heartbeats)
    chunk = result.puts[records.chunk_key(job.id, 0)]
    expected = {str(i): plain_place(i, heartbeats) for i in range(8) if i not in done}
    assert chunk["p"] == {text: place for text, place in expected.items() if place is not None}
    assert chunk["a"] > max([p[0] for p in (*placements.values(), *chunk["p"].values())], default=0)
    again = rebuilt(merged, heartbeats, present=dict(result.puts))
    assert not again.puts
    assert not again.deletes


# -- unresolved tasks -------------------------------------------------------------------------------------------------


def test_an_operator_decides_tasks_one_by_one_or_together() -> None:
    found = UnresolvedTasks({"0": "placed", "1": "placed"})
    one = found.decide(1, Decision.RUN)
    assert one.blocked_tasks() == {0}
    assert found.blocked_tasks() == {0, 1}
    every = unresolved_tasks.from_record(unresolved_tasks.to_record(one.decide(None, Decision.DONE)))
    assert every.decisions == {"0": "done", "1": "run"}
    assert every.blocked_tasks() == {0}
    for task, decision in ((5, Decision.RUN), (None, Decision.FORGET)):
        with pytest.raises(InvalidDecisionError):
            found.decide(task, decision)
    with pytest.raises(InvalidDecisionError, match="unknown"):
        UnresolvedTasks({"0": "reported"}, spec_lost=True).decide(None, Decision.RUN)
