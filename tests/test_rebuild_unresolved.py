"""Unresolved tasks of a rebuild: tasks that wait for an operator's decision, and jobs known only to workers."""

import pytest
from twisted.internet import defer
from twisted.python.failure import Failure

from stileloft.features import Features, RebuildFeature
from stileloft.model import records
from stileloft.model.records import split_task
from stileloft.protocol.admin_errors import InvalidSettingsError
from tests.simulation.cluster import SimulatedCluster
from tests.test_rebuild import finish, loaded_cluster, wiped_and_leader_killed

ONCE = Features(rebuild=RebuildFeature(enabled=True, run_once_classes=["once"]))


def unresolved_jobs(cluster: SimulatedCluster) -> dict[str, dict]:
    """Returns the unresolved jobs from the rebuild status of a running controller."""
    node = next(node for node in cluster.nodes.values() if node is not None)
    return node.rebuild.status()["undecided"]


def decide(cluster: SimulatedCluster, job: str, task: int | None, decision: str) -> dict | None:
    """Sends a decision to a running controller; returns the answer or raises the error."""
    results: list = []
    node = next(node for node in cluster.nodes.values() if node is not None)
    defer.ensureDeferred(node.administration.decide(job, task, decision)).addBoth(results.append)
    cluster.run(1.0)
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


def test_tasks_of_a_run_once_class_wait_for_a_decision() -> None:
    """The leader and some machines are lost with the store; tasks that may have run there are not started again."""
    cluster = loaded_cluster(5, features=ONCE)
    cluster.run(24.0)
    once = {job for job, body in cluster.jobs.items() if body["lane"] == "once"}
    started = {task for task in cluster.checker.machine_by_task if split_task(task)[0] in once}
    assert started
    for machine in {cluster.checker.machine_by_task[task] for task in started}:
        machine.die()
    wiped_and_leader_killed(cluster)
    cluster.run(90.0)
    unresolved = unresolved_jobs(cluster)
    assert {f"{job}/{task}" for job, record in unresolved.items() for task in record["evidence"]} >= started
    starts = cluster.checker.count_starts(started)
    cluster.run(40.0)
    assert cluster.checker.count_starts(started) == starts
    assert not any(cluster.checker.is_final(split_task(task)[0]) for task in started)
    first, *others = sorted(unresolved)
    for task in unresolved[first]["evidence"]:
        cluster.checker.completed_tasks.add(f"{first}/{task}")  # the operator found that the task had completed
    decide(cluster, first, None, "done")
    for job in others:
        decide(cluster, job, None, "run")
    finish(cluster)
    assert unresolved_jobs(cluster) == {}


def test_invalid_decisions_are_refused() -> None:
    cluster = loaded_cluster(5, features=ONCE)
    cluster.run(24.0)
    key = f"{records.UNRESOLVED}j-000001"
    cluster.state.items[key] = {"evidence": {"0": "placed"}}, cluster.state.revision, None
    before = dict(cluster.state.items)
    assert decide(cluster, "j-000002", None, "run") is None
    for task, decision in ((7, "run"), (0, "forget"), (0, "perhaps")):
        with pytest.raises(InvalidSettingsError, match="decision"):
            decide(cluster, "j-000001", task, decision)
    assert cluster.state.items[key] == before[key]


def test_a_job_known_only_to_its_workers_continues_and_is_not_forgotten() -> None:
    """The job's records are in no replica. Status requests never answer that the job does not exist.

    A repeated submission restores the specification, and the job completes.
    """
    cluster = loaded_cluster(6)
    cluster.run(24.0)
    job = split_task(
        next(task for task in sorted(cluster.checker.machine_by_task) if cluster.checker.job_of(task)["guessS"] > 20)
    )[0]
    for task in [task for task in cluster.checker.machine_by_task if split_task(task)[0] == job]:
        cluster.run_times[task] = 200.0
    for node in cluster.nodes.values():
        replica = node.rebuild.replicas.current
        for key in [key for key in replica.records if job in key]:
            del replica.records[key]
    wiped_and_leader_killed(cluster)  # also kills the leader, whose process has the job's placements
    cluster.run(45.0)
    assert unresolved_jobs(cluster)[job]["unknown"]
    assert cluster.checker.last_phase[job] != "missing"
    assert cluster.checker.violations == []
    cluster.submit(cluster.jobs[job])
    finish(cluster)
    assert job not in unresolved_jobs(cluster)


def test_a_job_known_only_to_its_workers_is_resolved_if_it_ends_between_two_polls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # Guards against a record that stays forever because the job was submitted again and completed within one interval.
    monkeypatch.setattr("stileloft.rebuild.unresolved_task_manager.DECISION_POLL_S", 15.0)
    cluster = loaded_cluster(6)
    cluster.run(24.0)
    job = "j-000001"
    assert any(split_task(task)[0] == job for task in cluster.checker.machine_by_task)
    for node in cluster.nodes.values():
        replica = node.rebuild.replicas.current
        for key in [key for key in replica.records if job in key]:
            del replica.records[key]
    wiped_and_leader_killed(cluster)
    cluster.run(45.0)
    assert unresolved_jobs(cluster)[job]["unknown"]
    cluster.submit(cluster.jobs[job])
    finish(cluster)
    cluster.run(20.0)
    assert job not in unresolved_jobs(cluster)
    assert cluster.checker.violations == []
