"""Controllers that start: with and without the feature, on a store in use, a new one, and one that was lost."""

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


def test_a_controller_without_the_feature_holds_it_back() -> None:
    """The store gets no identity, so that nobody relies on what one controller does not do; all goes on as ever."""
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
def test_the_version_in_production_beside_it() -> None:
    world = World(8, version=production(), features=REBUILD_ENABLED)
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
    view = msgspec.to_builtins(world.nodes["node-0"].administration.view())
    assert view.keys() == {"served_ago_s", "machines", "member", "reads"}


def test_a_first_start_on_a_store_with_records_and_on_an_empty_one() -> None:
    """The one has been in use without the feature; neither is taken for a loss."""
    world = loaded_world(10, features=Features())
    world.run(20.0)
    for name in world.names:
        world.features[name] = REBUILD_ENABLED
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
    assert world.nodes[world.leader()].leader.tokens.first > max(150, tokens)
    assert unresolved_jobs(world)
