"""The state service loses its records during a batch: each accepted job completes once and has one final phase."""

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from stileloft.features import Features, RebuildFeature
from stileloft.rebuild.store_status import StorePhase
from tests.simulation.world import World
from tests.test_overlapping_faults import DAYS, test_overlapping_faults

REBUILD_ENABLED = Features(rebuild=RebuildFeature(enabled=True))
JOBS = 14
ROOT = Path(__file__).parent.parent


def loaded_world(seed: int, features: Features = REBUILD_ENABLED, **more) -> World:
    """Returns a world with arrays and gangs, of the classes `batch` and `once`, submitted from 4 s on every 1.5 s."""
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
    """Runs the world until all jobs have ended, and checks that no rule was broken."""
    end = world.now + longest_s
    while world.now < end and not all(world.rules.is_final(job) for job in world.jobs):
        world.run(2)
        world.rules.check_cancelled()
    assert world.rules.broken == []
    unfinished = {job: world.rules.last.get(job) for job in world.jobs if not world.rules.is_final(job)}
    assert unfinished == {}


def phases(world: World) -> set[StorePhase]:
    """Returns the phases of the store as the running controllers see them."""
    return {node.rebuild.store.phase for node in world.nodes.values() if node is not None}


# -- losses of the records -----------------------------------------------------------------------------------------

Loss = Callable[[World], None]


def wiped(world: World) -> None:
    world.state.wipe()


def wiped_with_revision_kept(world: World) -> None:
    world.state.wipe(keeps_counting=True)


def wiped_and_leader_killed(world: World) -> None:
    name = world.leader()
    world.state.wipe()
    if name is not None:
        world.kill(name, back_after=8.0)


def leader_killed_during_rebuild(world: World) -> None:
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


def wiped_with_machines_cut_off(world: World) -> None:
    for machine in [m for m in world.cloud.machines.values() if m.up][::3]:
        for name in world.names:
            world.cut(machine.name, name, 25.0)
    world.state.wipe()


def wiped_with_machines_hung_and_leader_killed(world: World) -> None:
    for machine in [m for m in world.cloud.machines.values() if m.up][::2]:
        machine.hung = True
        world.clock.callLater(9.0, setattr, machine, "hung", False)
    wiped_and_leader_killed(world)


def wiped_with_a_controller_cut_off(world: World) -> None:
    name = next(n for n in world.names if n != world.leader())
    for other in (*world.names, "state"):
        if other != name:
            world.cut(name, other, 20.0)
    world.state.wipe()


def wiped_with_a_zone_cut_off(world: World) -> None:
    for machine in [m for m in world.cloud.machines.values() if m.zone == "a"]:
        for name in world.names:
            world.cut(machine.name, name, 22.0, hold=True)
    world.state.wipe()


def wiped_just_after_cancellations(world: World) -> None:
    """Any controller may confirm a cancellation; the loss follows 80 ms after the requests."""
    unfinished = [job for job in world.jobs if not world.rules.is_final(job)][:5]
    for job in unfinished:
        world.cancel(job)
    world.clock.callLater(0.08, world.state.wipe)


def wiped_and_leader_frozen(world: World) -> None:
    name = world.leader()
    world.state.wipe()
    if name is not None:
        world.freeze(name, 9.0)


def wiped_with_late_duplicates(world: World) -> None:
    world.copies = 0.1
    world.clock.callLater(60.0, setattr, world, "copies", 0.0)
    world.state.wipe()


LOSSES: dict[str, Loss] = {
    loss.__name__: loss
    for loss in (
        wiped,
        wiped_with_revision_kept,
        wiped_and_leader_killed,
        leader_killed_during_rebuild,
        wiped_twice,
        wiped_during_an_outage,
        wiped_with_machines_cut_off,
        wiped_with_machines_hung_and_leader_killed,
        wiped_with_a_controller_cut_off,
        wiped_with_a_zone_cut_off,
        wiped_just_after_cancellations,
        wiped_and_leader_frozen,
        wiped_with_late_duplicates,
    )
}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", LOSSES)
def test_jobs_complete_once_after_a_loss(name: str, seed: int) -> None:
    world = loaded_world(seed)
    for number in (2, 7, 11):
        # Requested 5.5 s before the loss, 0.5 s before it, and 3.5 s after it.
        world.clock.callLater(16.5 + number, world.cancel, f"j-{number:06d}")
    world.run(24.0)
    assert phases(world) == {StorePhase.SOUND}
    LOSSES[name](world)
    finish(world)
    assert phases(world) == {StorePhase.SOUND}


@pytest.mark.parametrize("name", DAYS)
def test_other_faults_are_not_taken_for_a_loss(
    name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Outages, refusals, slow or lost responses, cut links, pauses and leader changes, alone and combined."""
    monkeypatch.setattr(World, "FEATURES", REBUILD_ENABLED)
    test_overlapping_faults(name, 0)
    assert "lost records" not in caplog.text


def test_without_the_feature_a_loss_forgets_jobs() -> None:
    """Shows that the checker of the rules detects a loss that the service does not handle."""
    world = loaded_world(3, features=Features())
    world.run(24.0)
    world.state.wipe()
    world.run(60.0)
    assert any("forgotten" in broken for broken in world.rules.broken)


def test_an_older_state_is_restored() -> None:
    """Completions, cancellations and acceptances that are newer than the restored state are kept."""
    world = loaded_world(4)
    world.run(14.0)
    older = world.state.copy()
    world.cancel("j-000001")
    world.run(14.0)
    assert world.rules.is_final("j-000001")
    world.state.restore(*older)
    finish(world)


@pytest.mark.parametrize("loss", [wiped, wiped_and_leader_killed, wiped_with_a_zone_cut_off])
def test_a_standing_service_survives_a_loss_and_can_be_cancelled(loss: Loss) -> None:
    world = World(14, features=REBUILD_ENABLED)
    service = world.job(1, shape="standing", pieces=3, vcpus=1.0, guessS=5000.0, crew="edge")
    world.submit(service)
    world.run(30.0)
    assert len(world.rules.where) == 3
    loss(world)
    world.run(70.0)
    assert len(world.rules.where) == 3
    assert world.rules.broken == []
    world.cancel(service["nameId"])
    world.run(10.0)
    world.rules.check_cancelled()
    assert not world.rules.where
    assert world.rules.last[service["nameId"]] == "aborted"
    assert world.rules.broken == []


# -- real processes --------------------------------------------------------------------------------------------------


def run_on_loopback(*options: str) -> dict[str, Any]:
    """Returns the result of a batch on real controller processes."""
    command = [sys.executable, "-m", "tests.loopback_cluster", "--jobs", "14", *options]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT, check=True)
    return json.loads(completed.stdout)


def test_real_processes_give_the_same_final_phases_with_and_without_a_loss() -> None:
    """One seed without a loss, with the state service wiped at 4 s, and with the leader and 2 machines lost too."""
    undisturbed = run_on_loopback("--seed", "3")
    with_wipe = run_on_loopback("--seed", "3", "--wipe-at", "4.0")
    with_wipe_and_kills = run_on_loopback("--seed", "3", "--wipe-at", "4.0", "--kill-leader", "--lose-machines", "2")
    for result in (undisturbed, with_wipe, with_wipe_and_kills):
        assert result["broken"] == []
        assert result["answers"] == undisturbed["answers"]
    assert set(undisturbed["answers"].values()) == {"done", "aborted"}
    assert not undisturbed["rebuilt"]
    assert with_wipe["rebuilt"]
    assert with_wipe_and_kills["rebuilt"]
    # With the replica of the last leader no task is repeated.
    assert with_wipe["repeated"] == undisturbed["repeated"] == []
