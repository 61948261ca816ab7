"""The state service loses its records in mid-batch: what was accepted runs once and ends with one answer."""

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from twisted.internet import defer
from twisted.python.failure import Failure

from stileloft.features import Features, RebuildFeature
from stileloft.model import records
from stileloft.model.records import split_task
from stileloft.protocol.admin_errors import InvalidSettingsError
from stileloft.rebuild.store_status import StorePhase
from tests.simulation.world import World
from tests.test_overlapping_faults import DAYS, test_overlapping_faults
from tests.versions import NEW, production

ON = Features(rebuild=RebuildFeature(enabled=True))
JOBS = 14
ROOT = Path(__file__).parent.parent


def loaded_world(seed: int, features: Features = ON, **more) -> World:
    """A world with jobs of all kinds, in mid-batch when the loss comes."""
    world = World(seed, features=features, **more)
    for number in range(JOBS):
        body = world.job(
            number,
            pieces=(1, 3, 12)[number % 3],
            vcpus=1.0,
            guessS=(6.0, 25.0)[number % 2],
            crew=("core", "edge")[number % 2],
            shape="gang" if number % 7 == 5 else "array",
            lane=("batch", "once")[number % 4 == 1],
        )
        world.clock.callLater(4.0 + 1.5 * number, world.submit, body)
    return world


def finish(world: World, longest_s: float = 300.0) -> None:
    """Plays until all jobs have ended, and checks the rules."""
    end = world.now + longest_s
    while world.now < end and not all(world.rules.is_final(job) for job in world.jobs):
        world.run(2)
        world.rules.check_cancelled()
    assert world.rules.broken == []
    unfinished = {job: world.rules.last.get(job) for job in world.jobs if not world.rules.is_final(job)}
    assert unfinished == {}


def phases(world: World) -> set[StorePhase]:
    return {node.rebuild.store.phase for node in world.nodes.values() if node is not None}


# -- losses --------------------------------------------------------------------------------------------------------

Loss = Callable[[World], None]


def wiped(world: World) -> None:
    world.state.wipe()


def wiped_but_counting(world: World) -> None:
    world.state.wipe(keeps_counting=True)


def leader_lost_with_it(world: World) -> None:
    name = world.leader()
    world.state.wipe()
    if name is not None:
        world.kill(name, back_after=8.0)


def leader_killed_in_the_rebuild(world: World) -> None:
    world.state.wipe()
    world.clock.callLater(1.05, lambda: [world.kill(name, 6.0) for name in world.names if is_rebuilding(world, name)])


def is_rebuilding(world: World, name: str) -> bool:
    node = world.nodes[name]
    return node is not None and node.rebuild.is_leading_rebuild()


def wiped_twice(world: World) -> None:
    world.state.wipe()
    world.clock.callLater(1.1, world.state.wipe)


def wiped_during_an_outage(world: World) -> None:
    world.state.outage(5.0)
    world.clock.callLater(2.0, world.state.wipe)


def machines_silent(world: World) -> None:
    for machine in [m for m in world.cloud.machines.values() if m.up][::3]:
        for name in world.names:
            world.cut(machine.name, name, 25.0)
    world.state.wipe()


def all_machines_hang_and_leader_lost(world: World) -> None:
    for machine in [m for m in world.cloud.machines.values() if m.up][::2]:
        machine.hung = True
        world.clock.callLater(9.0, setattr, machine, "hung", False)
    leader_lost_with_it(world)


def one_controller_cut_off(world: World) -> None:
    name = next(n for n in world.names if n != world.leader())
    for other in (*world.names, "state"):
        if other != name:
            world.cut(name, other, 20.0)
    world.state.wipe()


def zone_cut(world: World) -> None:
    for machine in [m for m in world.cloud.machines.values() if m.zone == "a"]:
        for name in world.names:
            world.cut(machine.name, name, 22.0, hold=True)
    world.state.wipe()


def cancelled_just_before(world: World) -> None:
    """Confirmed by whichever node was asked, some tens of milliseconds before the loss."""
    running = [job for job in world.jobs if not world.rules.is_final(job)][:5]
    for job in running:
        world.cancel(job)
    world.clock.callLater(0.08, world.state.wipe)


def leader_frozen(world: World) -> None:
    name = world.leader()
    world.state.wipe()
    if name is not None:
        world.freeze(name, 9.0)


def late_copies(world: World) -> None:
    world.copies = 0.1
    world.clock.callLater(60.0, setattr, world, "copies", 0.0)
    world.state.wipe()


LOSSES: dict[str, Loss] = {
    loss.__name__: loss
    for loss in (
        wiped,
        wiped_but_counting,
        leader_lost_with_it,
        leader_killed_in_the_rebuild,
        wiped_twice,
        wiped_during_an_outage,
        machines_silent,
        all_machines_hang_and_leader_lost,
        one_controller_cut_off,
        zone_cut,
        cancelled_just_before,
        leader_frozen,
        late_copies,
    )
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", LOSSES)
def test_a_loss_in_mid_batch(name: str, seed: int) -> None:
    world = loaded_world(seed)
    for number in (2, 7, 11):
        # Confirmed shortly before the loss, at it, and after it.
        world.clock.callLater(16.5 + number, world.cancel, f"j-{number:06d}")
    world.run(24.0)
    assert phases(world) == {StorePhase.SOUND}
    LOSSES[name](world)
    finish(world)
    assert phases(world) == {StorePhase.SOUND}


@pytest.mark.parametrize("name", DAYS)
def test_no_other_trouble_looks_like_a_loss(
    name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Outages, refusals, slow answers, lost answers, cuts, pauses and changes of leader, alone and together."""
    monkeypatch.setattr(World, "FEATURES", ON)
    test_overlapping_faults(name, 0)
    assert "lost records" not in caplog.text


def test_without_the_feature_jobs_are_forgotten() -> None:
    """The checker sees what a loss does to a service that does not notice it."""
    world = loaded_world(3, features=Features())
    world.run(24.0)
    world.state.wipe()
    world.run(60.0)
    assert any("forgotten" in broken for broken in world.rules.broken)


def test_an_older_state_comes_back() -> None:
    """Ends and cancellations that it does not know stay; so do jobs that were accepted since."""
    world = loaded_world(4)
    world.run(14.0)
    older = world.state.copy()
    world.cancel("j-000001")
    world.run(14.0)
    assert world.rules.is_final("j-000001")
    world.state.restore(*older)
    finish(world)


@pytest.mark.parametrize("loss", [wiped, leader_lost_with_it, zone_cut])
def test_a_standing_service_goes_on_until_it_is_cancelled(loss: Loss) -> None:
    world = World(14, features=ON)
    service = world.job(1, shape="standing", pieces=3, vcpus=1.0, guessS=5000.0, crew="edge")
    world.submit(service)
    world.run(30.0)
    assert len(world.rules.where) == 3
    loss(world)
    world.run(70.0)
    assert len(world.rules.where) == 3 and world.rules.broken == []
    world.cancel(service["nameId"])
    world.run(10.0)
    world.rules.check_cancelled()
    assert not world.rules.where and world.rules.last[service["nameId"]] == "aborted" and world.rules.broken == []


# -- what can't be told ----------------------------------------------------------------------------------------------

ONCE = Features(rebuild=RebuildFeature(enabled=True, run_once_classes=["once"]))


def unresolved_jobs(world: World) -> dict[str, dict]:
    node = next(node for node in world.nodes.values() if node is not None)
    return node.rebuild.status()["undecided"]


def decide(world: World, job: str, task: int | None, decision: str) -> dict | None:
    """What an operator is told by the node that is asked."""
    told: list = []
    node = next(node for node in world.nodes.values() if node is not None)
    defer.ensureDeferred(node.decide(job, task, decision)).addBoth(told.append)
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
    leader_lost_with_it(world)
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
    key = f"{records.UNDECIDED}j-000001"
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
    leader_lost_with_it(world)  # it would know what it has placed
    world.run(45.0)
    assert unresolved_jobs(world)[job]["unknown"]
    assert world.rules.last[job] != "missing" and world.rules.broken == []
    world.submit(world.jobs[job])
    finish(world)
    assert job not in unresolved_jobs(world)


# -- who takes part --------------------------------------------------------------------------------------------------


def test_a_controller_without_the_feature_holds_it_back() -> None:
    """The store gets no identity, so that nobody relies on what one controller does not do; all goes on as ever."""
    world = loaded_world(7)
    world.features["node-2"] = None
    world.kill("node-2", back_after=0.1)
    world.run(30.0)
    assert records.IDENTITY not in world.state.items
    assert world.nodes["node-0"].rebuild.store.phase is StorePhase.UNPROTECTED
    finish(world)
    world.features["node-2"] = ON
    world.kill("node-2", back_after=0.1)
    world.run(10.0)
    assert phases(world) == {StorePhase.SOUND}


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
def test_the_version_in_production_beside_it() -> None:
    world = World(8, version=production(), features=ON)
    world.run(5.0)
    for name in ("node-0", "node-1"):
        world.kill(name, back_after=0.5, version=NEW)
        world.run(4.0)
    for number in range(6):
        world.submit(world.job(number, guessS=8.0))
    finish(world)
    assert records.IDENTITY not in world.state.items


def test_without_the_feature_nothing_new_is_stored_or_sent() -> None:
    world = loaded_world(9, features=Features())
    asked: list[str] = []
    ask = world.state.ask

    def listening(caller: str, method: str, path: str, body: Any) -> Any:
        asked.append(path)
        return ask(caller, method, path, body)

    world.state.ask = listening  # type: ignore[method-assign]
    finish(world)
    known = ("leader", "active/", "tasks/", "final/", "settings", "format", "images/", "rented/")
    assert all(key.startswith(known) for key in world.state.items)
    assert not any(word in path for path in asked for word in ("identity", "undecided", "ended", "under=&"))
    view = msgspec.to_builtins(world.nodes["node-0"].view())
    assert view.keys() == {"served_ago_s", "machines", "member", "reads"}


def test_a_first_start_on_a_store_with_records_and_on_an_empty_one() -> None:
    """The one has been in use without the feature; neither is taken for a loss."""
    world = loaded_world(10, features=Features())
    world.run(20.0)
    for name in world.names:
        world.features[name] = ON
        world.kill(name, back_after=0.5)
        world.run(4.0)
    world.run(8.0)
    assert phases(world) == {StorePhase.SOUND}
    finish(world)


def test_a_controller_that_starts_on_a_wiped_store_asks_the_others() -> None:
    """It knows nothing itself, and an empty store looks like a new one."""
    world = loaded_world(11)
    world.run(24.0)
    name = next(n for n in world.names if n != world.leader())
    world.kill(name, back_after=0.05)
    world.state.wipe()
    world.run(0.3)
    assert world.nodes[name].rebuild.store.phase is not StorePhase.UNPROTECTED
    finish(world)


def test_all_controllers_and_the_store_are_lost_but_a_directory_is_left(tmp_path) -> None:
    """A small site's directory, and workers' tokens, tell what no process knows any more."""
    directory = Features(rebuild=RebuildFeature(enabled=True, directory=str(tmp_path), directory_s=1.0))
    world = loaded_world(12, features=directory)
    world.run(33.0)  # all were accepted some seconds ago: what is newer than the directory is lost with the processes
    for name in world.names:
        world.kill(name, back_after=1.0)
    world.state.wipe()
    finish(world)
    assert phases(world) == {StorePhase.SOUND}


def test_tokens_of_workers_show_a_loss_that_no_process_remembers() -> None:
    """All is lost but what workers run: it stays known, and the new tokens are above theirs."""
    world = loaded_world(13)
    world.run(24.0)
    tokens = max(machine.token for machine in world.cloud.machines.values())
    world.state.revision = max(world.state.revision, 200)
    for name in world.names:
        world.kill(name, back_after=0.5)
    for machine in world.cloud.machines.values():
        machine.token = max(machine.token, 150)  # many changes were made since the leader was elected
    world.state.wipe()
    world.run(45.0)
    assert phases(world) == {StorePhase.SOUND}
    assert world.nodes[world.leader()].term.token > max(150, tokens)
    assert unresolved_jobs(world)


# -- real processes --------------------------------------------------------------------------------------------------


def play_on_loopback(*options: str) -> dict[str, Any]:
    """What became of a batch that real processes served."""
    command = [sys.executable, "-m", "tests.loopback_cluster", "--jobs", "14", *options]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT, check=True)
    return json.loads(done.stdout)


def test_real_processes_end_all_jobs_as_without_the_loss() -> None:
    """The state service is wiped in mid-batch, also with the leader and machines lost; the same seed each time."""
    undisturbed = play_on_loopback("--seed", "3")
    wiped_once = play_on_loopback("--seed", "3", "--wipe-at", "4.0")
    all_at_once = play_on_loopback("--seed", "3", "--wipe-at", "4.0", "--kill-leader", "--lose-machines", "2")
    for played in (undisturbed, wiped_once, all_at_once):
        assert played["broken"] == []
        assert played["answers"] == undisturbed["answers"]
    assert set(undisturbed["answers"].values()) == {"done", "aborted"}
    assert not undisturbed["rebuilt"] and wiped_once["rebuilt"] and all_at_once["rebuilt"]
    # With the last leader's word nothing is run again.
    assert wiped_once["repeated"] == undisturbed["repeated"] == []
