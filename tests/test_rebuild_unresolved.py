"""What a rebuild can't tell by itself: tasks that wait for an operator, and jobs that only their workers know."""

import pytest
from twisted.internet import defer
from twisted.python.failure import Failure

from stileloft.features import Features, RebuildFeature
from stileloft.model import records
from stileloft.model.records import split_task
from stileloft.protocol.admin_errors import InvalidSettingsError
from tests.simulation.world import World
from tests.test_rebuild import finish, loaded_world, wiped_and_leader_killed

ONCE = Features(rebuild=RebuildFeature(enabled=True, run_once_classes=["once"]))


def unresolved_jobs(world: World) -> dict[str, dict]:
    node = next(node for node in world.nodes.values() if node is not None)
    return node.rebuild.status()["undecided"]


def decide(world: World, job: str, task: int | None, decision: str) -> dict | None:
    """What an operator is told by the node that is asked."""
    told: list = []
    node = next(node for node in world.nodes.values() if node is not None)
    defer.ensureDeferred(node.administration.decide(job, task, decision)).addBoth(told.append)
    world.run(1.0)
    if isinstance(told[0], Failure):
        told[0].raiseException()
    return told[0]


def test_a_class_that_runs_once_waits_for_an_operator() -> None:
    """The last leader and some machines are lost with the store; what may have run on them is not run again."""
    world = loaded_world(5, features=ONCE)
    world.run(24.0)
    once = {job for job, body in world.jobs.items() if body["lane"] == "once"}
    begun = {task for task in world.rules.where if split_task(task)[0] in once}
    assert begun
    for machine in {world.rules.where[task] for task in begun}:
        machine.die()
    wiped_and_leader_killed(world)
    world.run(90.0)
    found = unresolved_jobs(world)
    assert {f"{job}/{task}" for job, record in found.items() for task in record["evidence"]} >= begun
    started = world.rules.starts_of(begun)
    world.run(40.0)
    assert world.rules.starts_of(begun) == started
    assert not any(world.rules.is_final(split_task(task)[0]) for task in begun)
    first, *others = sorted(found)
    for task in found[first]["evidence"]:
        world.rules.done.add(f"{first}/{task}")  # the operator has looked: it did complete
    decide(world, first, None, "done")
    for job in others:
        decide(world, job, None, "run")
    finish(world)
    assert unresolved_jobs(world) == {}


def test_impossible_decisions_change_nothing() -> None:
    world = loaded_world(5, features=ONCE)
    world.run(24.0)
    key = f"{records.UNRESOLVED}j-000001"
    world.state.items[key] = {"evidence": {"0": "placed"}}, world.state.revision, None
    before = dict(world.state.items)
    assert decide(world, "j-000002", None, "run") is None
    for task, decision in ((7, "run"), (0, "forget"), (0, "perhaps")):
        with pytest.raises(InvalidSettingsError, match="decision"):
            decide(world, "j-000001", task, decision)
    assert world.state.items[key] == before[key]


def test_a_job_that_only_its_worker_knows_goes_on_and_stays_known() -> None:
    """Every replica has lost it; its user who submits it again is served, and nobody is told that it never was."""
    world = loaded_world(6)
    world.run(24.0)
    job = split_task(next(task for task in sorted(world.rules.where) if world.rules.job_of(task)["guessS"] > 20))[0]
    for task in [task for task in world.rules.where if split_task(task)[0] == job]:
        world.lengths[task] = 200.0
    for node in world.nodes.values():
        replica = node.rebuild.replicas.current
        for key in [key for key in replica.records if job in key]:
            del replica.records[key]
    wiped_and_leader_killed(world)  # it would know what it has placed
    world.run(45.0)
    assert unresolved_jobs(world)[job]["unknown"]
    assert world.rules.last[job] != "missing"
    assert world.rules.broken == []
    world.submit(world.jobs[job])
    finish(world)
    assert job not in unresolved_jobs(world)
