"""Controllers that start: with and without the feature, on a store in use, a new one, and one that was lost."""

from typing import Any

import msgspec
import pytest

from stileloft.features import Features, RebuildFeature
from stileloft.model import records
from stileloft.rebuild.store_status import StorePhase
from tests.simulation.cluster import SimulatedCluster
from tests.test_rebuild import REBUILD_ENABLED, finish, loaded_cluster, phases
from tests.test_rebuild_unresolved import unresolved_jobs
from tests.versions import CURRENT, production


def test_a_controller_without_the_feature_holds_it_back() -> None:
    """The store gets no identity, so that nobody relies on what one controller does not do; all goes on as ever."""
    cluster = loaded_cluster(7)
    cluster.features["node-2"] = None
    cluster.kill("node-2", restart_after_s=0.1)
    cluster.run(30.0)
    assert records.IDENTITY not in cluster.state.items
    assert cluster.nodes["node-0"].rebuild.store.phase is StorePhase.UNPROTECTED
    finish(cluster)
    cluster.features["node-2"] = REBUILD_ENABLED
    cluster.kill("node-2", restart_after_s=0.1)
    cluster.run(10.0)
    assert phases(cluster) == {StorePhase.SOUND}


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
def test_the_version_in_production_beside_it() -> None:
    cluster = SimulatedCluster(8, version=production(), features=REBUILD_ENABLED)
    cluster.run(5.0)
    for name in ("node-0", "node-1"):
        cluster.kill(name, restart_after_s=0.5, version=CURRENT)
        cluster.run(4.0)
    for number in range(6):
        cluster.submit(cluster.job(number, guessS=8.0))
    finish(cluster)
    assert records.IDENTITY not in cluster.state.items


def test_without_the_feature_nothing_new_is_stored_or_sent() -> None:
    cluster = loaded_cluster(9, features=Features())
    asked: list[str] = []
    ask = cluster.state.receive

    def listening(caller: str, method: str, path: str, body: Any) -> Any:
        asked.append(path)
        return ask(caller, method, path, body)

    cluster.state.receive = listening  # type: ignore[method-assign]
    finish(cluster)
    known = ("leader", "active/", "tasks/", "final/", "settings", "format", "images/", "rented/")
    assert all(key.startswith(known) for key in cluster.state.items)
    assert not any(word in path for path in asked for word in ("identity", "undecided", "ended", "under=&"))
    view = msgspec.to_builtins(cluster.nodes["node-0"].administration.view())
    assert view.keys() == {"served_ago_s", "machines", "member", "reads"}


def test_a_first_start_on_a_store_with_records_and_on_an_empty_one() -> None:
    """The one has been in use without the feature; neither is taken for a loss."""
    cluster = loaded_cluster(10, features=Features())
    cluster.run(20.0)
    for name in cluster.names:
        cluster.features[name] = REBUILD_ENABLED
        cluster.kill(name, restart_after_s=0.5)
        cluster.run(4.0)
    cluster.run(8.0)
    assert phases(cluster) == {StorePhase.SOUND}
    finish(cluster)


def test_a_controller_that_starts_on_a_wiped_store_asks_the_others() -> None:
    """It knows nothing itself, and an empty store looks like a new one."""
    cluster = loaded_cluster(11)
    cluster.run(24.0)
    name = next(n for n in cluster.names if n != cluster.leader())
    cluster.kill(name, restart_after_s=0.05)
    cluster.state.wipe()
    cluster.run(0.3)
    assert cluster.nodes[name].rebuild.store.phase is not StorePhase.UNPROTECTED
    finish(cluster)


def test_all_controllers_and_the_store_are_lost_but_a_directory_is_left(tmp_path) -> None:
    """A small site's directory, and workers' tokens, tell what no process knows any more."""
    directory = Features(rebuild=RebuildFeature(enabled=True, directory=str(tmp_path), directory_s=1.0))
    cluster = loaded_cluster(12, features=directory)
    cluster.run(33.0)  # all were accepted some seconds ago: what is newer than the directory is lost with the processes
    for name in cluster.names:
        cluster.kill(name, restart_after_s=1.0)
    cluster.state.wipe()
    finish(cluster)
    assert phases(cluster) == {StorePhase.SOUND}


def test_tokens_of_workers_show_a_loss_that_no_process_remembers() -> None:
    """All is lost but what workers run: it stays known, and the new tokens are above theirs."""
    cluster = loaded_cluster(13)
    cluster.run(24.0)
    tokens = max(machine.token for machine in cluster.cloud.machines.values())
    cluster.state.revision = max(cluster.state.revision, 200)
    for name in cluster.names:
        cluster.kill(name, restart_after_s=0.5)
    for machine in cluster.cloud.machines.values():
        machine.token = max(machine.token, 150)  # many changes were made since the leader was elected
    cluster.state.wipe()
    cluster.run(45.0)
    assert phases(cluster) == {StorePhase.SOUND}
    assert cluster.nodes[cluster.leader()].leader.tokens.first > max(150, tokens)
    assert unresolved_jobs(cluster)
