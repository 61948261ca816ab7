"""Starts of controllers with and without the rebuild feature, on stores that are in use, new or wiped."""

from typing import Any

import msgspec
import pytest

from stileloft.features import Features, RebuildFeature
from stileloft.model import records
from stileloft.rebuild.store_status import StorePhase
from tests.simulation.world import World
from tests.test_rebuild import REBUILD_ENABLED, finish, loaded_world, phases
from tests.test_rebuild_unresolved import unresolved_jobs
from tests.versions import NEW, production


def test_one_controller_without_the_feature_prevents_protection() -> None:
    """As long as one controller has no replica, the store gets no identity, so that no other relies on the feature.

    Jobs are served as without it.
    """
    world = loaded_world(7)
    world.features["node-2"] = None
    world.kill("node-2", back_after=0.1)
    world.run(30.0)
    assert records.IDENTITY not in world.state.items
    assert world.nodes["node-0"].rebuild.store.phase is StorePhase.UNPROTECTED
    finish(world)
    world.features["node-2"] = REBUILD_ENABLED
    world.kill("node-2", back_after=0.1)
    world.run(10.0)
    assert phases(world) == {StorePhase.SOUND}


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
def test_the_version_in_production_prevents_protection() -> None:
    world = World(8, version=production(), features=REBUILD_ENABLED)
    world.run(5.0)
    for name in ("node-0", "node-1"):
        world.kill(name, back_after=0.5, version=NEW)
        world.run(4.0)
    for number in range(6):
        world.submit(world.job(number, guessS=8.0))
    finish(world)
    assert records.IDENTITY not in world.state.items


def test_without_the_feature_no_records_or_requests_of_a_rebuild() -> None:
    world = loaded_world(9, features=Features())
    paths: list[str] = []
    original = world.state.ask

    def recording(caller: str, method: str, path: str, body: Any) -> Any:
        paths.append(path)
        return original(caller, method, path, body)

    world.state.ask = recording  # type: ignore[method-assign]
    finish(world)
    expected_keys = ("leader", "active/", "tasks/", "final/", "settings", "format", "images/", "rented/")
    assert all(key.startswith(expected_keys) for key in world.state.items)
    assert not any(word in path for path in paths for word in ("identity", "undecided", "ended", "under=&"))
    view = msgspec.to_builtins(world.nodes["node-0"].administration.view())
    assert view.keys() == {"served_ago_s", "machines", "member", "reads"}


def test_enabling_the_feature_on_a_store_in_use_is_not_a_loss() -> None:
    """The controllers are restarted with the feature on a store that has records but no identity.

    Neither this nor the first start on an empty store counts as a loss.
    """
    world = loaded_world(10, features=Features())
    world.run(20.0)
    for name in world.names:
        world.features[name] = REBUILD_ENABLED
        world.kill(name, back_after=0.5)
        world.run(4.0)
    world.run(8.0)
    assert phases(world) == {StorePhase.SOUND}
    finish(world)


def test_a_controller_that_starts_on_a_wiped_store_queries_its_peers() -> None:
    """A restarted controller has no replica and can't tell a wiped store from a new one."""
    world = loaded_world(11)
    world.run(24.0)
    name = next(n for n in world.names if n != world.leader())
    world.kill(name, back_after=0.05)
    world.state.wipe()
    world.run(0.3)
    assert world.nodes[name].rebuild.store.phase is not StorePhase.UNPROTECTED
    finish(world)


def test_a_snapshot_directory_survives_the_loss_of_all_controllers_and_the_store(tmp_path) -> None:
    """The rebuild relies on the snapshots in the directory and on the fencing tokens of the workers."""
    directory = Features(rebuild=RebuildFeature(enabled=True, directory=str(tmp_path), directory_s=1.0))
    world = loaded_world(12, features=directory)
    world.run(33.0)  # all jobs were accepted some seconds ago; records newer than the last snapshot are lost
    for name in world.names:
        world.kill(name, back_after=1.0)
    world.state.wipe()
    finish(world)
    assert phases(world) == {StorePhase.SOUND}


def test_workers_tokens_reveal_a_loss_after_a_restart_of_all_controllers() -> None:
    """Only workers have data of jobs. These jobs become unresolved, and new tokens are above the workers' tokens."""
    world = loaded_world(13)
    world.run(24.0)
    tokens = max(machine.token for machine in world.cloud.machines.values())
    world.state.revision = max(world.state.revision, 200)
    for name in world.names:
        world.kill(name, back_after=0.5)
    for machine in world.cloud.machines.values():
        machine.token = max(machine.token, 150)  # stands for many changes after the leader's election
    world.state.wipe()
    world.run(45.0)
    assert phases(world) == {StorePhase.SOUND}
    assert world.nodes[world.leader()].leader.tokens.first > max(150, tokens)
    assert unresolved_jobs(world)
