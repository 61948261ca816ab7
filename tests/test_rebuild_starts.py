"""Starts of controllers with and without the rebuild feature, on stores that are in use, new or wiped."""

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


def test_one_controller_without_the_feature_prevents_protection() -> None:
    """As long as one controller has no replica, the store gets no identity, so that no other relies on the feature.

    Jobs are served as without the feature.
    """
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
def test_the_version_in_production_prevents_protection() -> None:
    cluster = SimulatedCluster(8, version=production(), features=REBUILD_ENABLED)
    cluster.run(5.0)
    for name in ("node-0", "node-1"):
        cluster.kill(name, restart_after_s=0.5, version=CURRENT)
        cluster.run(4.0)
    for number in range(6):
        cluster.submit(cluster.job(number, guessS=8.0))
    finish(cluster)
    assert records.IDENTITY not in cluster.state.items


def test_without_the_feature_no_records_or_requests_of_a_rebuild() -> None:
    cluster = loaded_cluster(9, features=Features())
    paths: list[str] = []
    original = cluster.state.receive

    def recording(caller: str, method: str, path: str, body: Any) -> Any:
        paths.append(path)
        return original(caller, method, path, body)

    cluster.state.receive = recording  # type: ignore[method-assign]
    finish(cluster)
    expected_keys = ("leader", "active/", "tasks/", "final/", "settings", "format", "images/", "rented/")
    assert all(key.startswith(expected_keys) for key in cluster.state.items)
    assert not any(word in path for path in paths for word in ("identity", "undecided", "ended", "under=&"))
    view = msgspec.to_builtins(cluster.nodes["node-0"].administration.view())
    assert view.keys() == {"served_ago_s", "machines", "member", "reads"}


def test_enabling_the_feature_on_a_store_in_use_is_not_a_loss() -> None:
    """The controllers are restarted with the feature on a store that has records but no identity.

    Neither this nor the first start on an empty store counts as a loss.
    """
    cluster = loaded_cluster(10, features=Features())
    cluster.run(20.0)
    for name in cluster.names:
        cluster.features[name] = REBUILD_ENABLED
        cluster.kill(name, restart_after_s=0.5)
        cluster.run(4.0)
    cluster.run(8.0)
    assert phases(cluster) == {StorePhase.SOUND}
    finish(cluster)


def test_a_controller_that_starts_on_a_wiped_store_queries_its_peers() -> None:
    """A restarted controller has no replica and can't tell a wiped store from a new one."""
    cluster = loaded_cluster(11)
    cluster.run(24.0)
    name = next(n for n in cluster.names if n != cluster.leader())
    cluster.kill(name, restart_after_s=0.05)
    cluster.state.wipe()
    cluster.run(0.3)
    assert cluster.nodes[name].rebuild.store.phase is not StorePhase.UNPROTECTED
    finish(cluster)


def test_a_snapshot_directory_survives_the_loss_of_all_controllers_and_the_store(tmp_path) -> None:
    """The rebuild relies on the snapshots in the directory and on the fencing tokens of the workers."""
    directory = Features(rebuild=RebuildFeature(enabled=True, directory=str(tmp_path), directory_s=1.0))
    cluster = loaded_cluster(12, features=directory)
    cluster.run(33.0)  # all jobs were accepted some seconds ago; records newer than the last snapshot are lost
    for name in cluster.names:
        cluster.kill(name, restart_after_s=1.0)
    cluster.state.wipe()
    finish(cluster)
    assert phases(cluster) == {StorePhase.SOUND}


def test_workers_tokens_reveal_a_loss_after_a_restart_of_all_controllers() -> None:
    """Only workers have data of jobs. These jobs become unresolved, and new tokens are above the workers' tokens."""
    cluster = loaded_cluster(13)
    cluster.run(24.0)
    tokens = max(machine.token for machine in cluster.cloud.machines.values())
    cluster.state.revision = max(cluster.state.revision, 200)
    for name in cluster.names:
        cluster.kill(name, restart_after_s=0.5)
    for machine in cluster.cloud.machines.values():
        machine.token = max(machine.token, 150)  # stands for many changes after the leader's election
    cluster.state.wipe()
    cluster.run(45.0)
    assert phases(cluster) == {StorePhase.SOUND}
    assert cluster.nodes[cluster.leader()].leader.tokens.first > max(150, tokens)
    assert unresolved_jobs(cluster)
