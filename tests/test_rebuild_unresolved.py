"""What a rebuild can't tell by itself: tasks that wait for an operator, and jobs that only their workers know."""

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
    node = next(node for node in cluster.nodes.values() if node is not None)
    return node.rebuild.status()["undecided"]


def decide(cluster: SimulatedCluster, job: str, task: int | None, decision: str) -> dict | None:
    """What an operator is told by the node that is asked."""
    told: list = []
    node = next(node for node in cluster.nodes.values() if node is not None)
    defer.ensureDeferred(node.administration.decide(job, task, decision)).addBoth(told.append)
    cluster.run(1.0)
    if isinstance(told[0], Failure):
        told[0].raiseException()
    return told[0]


def test_a_class_that_runs_once_waits_for_an_operator() -> None:
    """The last leader and some machines are lost with the store; what may have run on them is not run again."""
    cluster = loaded_cluster(5, features=ONCE)
    cluster.run(24.0)
    once = {job for job, body in cluster.jobs.items() if body["lane"] == "once"}
    begun = {task for task in cluster.checker.machine_by_task if split_task(task)[0] in once}
    assert begun
    for machine in {cluster.checker.machine_by_task[task] for task in begun}:
        machine.die()
    wiped_and_leader_killed(cluster)
    cluster.run(90.0)
    found = unresolved_jobs(cluster)
    assert {f"{job}/{task}" for job, record in found.items() for task in record["evidence"]} >= begun
    started = cluster.checker.count_starts(begun)
    cluster.run(40.0)
    assert cluster.checker.count_starts(begun) == started
    assert not any(cluster.checker.is_final(split_task(task)[0]) for task in begun)
    first, *others = sorted(found)
    for task in found[first]["evidence"]:
        cluster.checker.completed_tasks.add(f"{first}/{task}")  # the operator has looked: it did complete
    decide(cluster, first, None, "done")
    for job in others:
        decide(cluster, job, None, "run")
    finish(cluster)
    assert unresolved_jobs(cluster) == {}


def test_impossible_decisions_change_nothing() -> None:
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


def test_a_job_that_only_its_worker_knows_goes_on_and_stays_known() -> None:
    """Every replica has lost it; its user who submits it again is served, and nobody is told that it never was."""
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
    wiped_and_leader_killed(cluster)  # it would know what it has placed
    cluster.run(45.0)
    assert unresolved_jobs(cluster)[job]["unknown"]
    assert cluster.checker.last_phase[job] != "missing"
    assert cluster.checker.violations == []
    cluster.submit(cluster.jobs[job])
    finish(cluster)
    assert job not in unresolved_jobs(cluster)
