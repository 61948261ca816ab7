"""The state service loses its records in mid-batch: what was accepted runs once and ends with one answer."""

import json
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from stileloft.features import Features, RebuildFeature
from stileloft.rebuild.store_status import StorePhase
from tests.simulation.cluster import SimulatedCluster
from tests.test_overlapping_faults import FAULT_SCHEDULES, test_overlapping_faults

REBUILD_ENABLED = Features(rebuild=RebuildFeature(enabled=True))
JOBS = 14
ROOT = Path(__file__).parent.parent


def loaded_cluster(seed: int, features: Features = REBUILD_ENABLED, **more) -> SimulatedCluster:
    """A world with jobs of all kinds, in mid-batch when the loss comes."""
    cluster = SimulatedCluster(seed, features=features, **more)
    for number in range(JOBS):
        body = cluster.job(
            number,
            pieces=(1, 3, 12)[number % 3],
            vcpus=1.0,
            guessS=(6.0, 25.0)[number % 2],
            crew=("core", "edge")[number % 2],
            shape="gang" if number % 7 == 5 else "array",
            lane=("batch", "once")[number % 4 == 1],
        )
        cluster.clock.callLater(4.0 + 1.5 * number, cluster.submit, body)
    return cluster


def finish(cluster: SimulatedCluster, longest_s: float = 300.0) -> None:
    """Plays until all jobs have ended, and checks the rules."""
    end = cluster.now + longest_s
    while cluster.now < end and not all(cluster.checker.is_final(job) for job in cluster.jobs):
        cluster.run(2)
        cluster.checker.check_cancelled()
    assert cluster.checker.violations == []
    unfinished = {job: cluster.checker.last_phase.get(job) for job in cluster.jobs if not cluster.checker.is_final(job)}
    assert unfinished == {}


def phases(cluster: SimulatedCluster) -> set[StorePhase]:
    return {node.rebuild.store.phase for node in cluster.nodes.values() if node is not None}


# -- losses --------------------------------------------------------------------------------------------------------

Loss = Callable[[SimulatedCluster], None]


def wiped(cluster: SimulatedCluster) -> None:
    cluster.state.wipe()


def wiped_with_revision_kept(cluster: SimulatedCluster) -> None:
    cluster.state.wipe(keeps_counting=True)


def wiped_and_leader_killed(cluster: SimulatedCluster) -> None:
    name = cluster.leader()
    cluster.state.wipe()
    if name is not None:
        cluster.kill(name, restart_after_s=8.0)


def leader_killed_during_rebuild(cluster: SimulatedCluster) -> None:
    cluster.state.wipe()
    cluster.clock.callLater(
        1.05, lambda: [cluster.kill(name, 6.0) for name in cluster.names if is_rebuilding(cluster, name)]
    )


def is_rebuilding(cluster: SimulatedCluster, name: str) -> bool:
    node = cluster.nodes[name]
    return node is not None and node.rebuild.is_leading_rebuild()


def wiped_twice(cluster: SimulatedCluster) -> None:
    cluster.state.wipe()
    cluster.clock.callLater(1.1, cluster.state.wipe)


def wiped_during_an_outage(cluster: SimulatedCluster) -> None:
    cluster.state.outage(5.0)
    cluster.clock.callLater(2.0, cluster.state.wipe)


def wiped_with_machines_cut_off(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][::3]:
        for name in cluster.names:
            cluster.partition(machine.name, name, 25.0)
    cluster.state.wipe()


def wiped_with_machines_hung_and_leader_killed(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][::2]:
        machine.hung = True
        cluster.clock.callLater(9.0, setattr, machine, "hung", False)
    wiped_and_leader_killed(cluster)


def wiped_with_a_controller_cut_off(cluster: SimulatedCluster) -> None:
    name = next(n for n in cluster.names if n != cluster.leader())
    for other in (*cluster.names, "state"):
        if other != name:
            cluster.partition(name, other, 20.0)
    cluster.state.wipe()


def wiped_with_a_zone_cut_off(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.zone == "a"]:
        for name in cluster.names:
            cluster.partition(machine.name, name, 22.0, hold=True)
    cluster.state.wipe()


def wiped_just_after_cancellations(cluster: SimulatedCluster) -> None:
    """Confirmed by whichever node was asked, some tens of milliseconds before the loss."""
    running = [job for job in cluster.jobs if not cluster.checker.is_final(job)][:5]
    for job in running:
        cluster.cancel(job)
    cluster.clock.callLater(0.08, cluster.state.wipe)


def wiped_and_leader_frozen(cluster: SimulatedCluster) -> None:
    name = cluster.leader()
    cluster.state.wipe()
    if name is not None:
        cluster.freeze(name, 9.0)


def wiped_with_late_duplicates(cluster: SimulatedCluster) -> None:
    cluster.duplicate_share = 0.1
    cluster.clock.callLater(60.0, setattr, cluster, "duplicate_share", 0.0)
    cluster.state.wipe()


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
def test_a_loss_in_mid_batch(name: str, seed: int) -> None:
    cluster = loaded_cluster(seed)
    for number in (2, 7, 11):
        # Confirmed shortly before the loss, at it, and after it.
        cluster.clock.callLater(16.5 + number, cluster.cancel, f"j-{number:06d}")
    cluster.run(24.0)
    assert phases(cluster) == {StorePhase.SOUND}
    LOSSES[name](cluster)
    finish(cluster)
    assert phases(cluster) == {StorePhase.SOUND}


@pytest.mark.parametrize("name", FAULT_SCHEDULES)
def test_no_other_trouble_looks_like_a_loss(
    name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    """Outages, refusals, slow answers, lost answers, cuts, pauses and changes of leader, alone and together."""
    monkeypatch.setattr(SimulatedCluster, "FEATURES", REBUILD_ENABLED)
    test_overlapping_faults(name, 0)
    assert "lost records" not in caplog.text


def test_without_the_feature_jobs_are_forgotten() -> None:
    """The checker sees what a loss does to a service that does not notice it."""
    cluster = loaded_cluster(3, features=Features())
    cluster.run(24.0)
    cluster.state.wipe()
    cluster.run(60.0)
    assert any("forgotten" in broken for broken in cluster.checker.violations)


def test_an_older_state_comes_back() -> None:
    """Ends and cancellations that it does not know stay; so do jobs that were accepted since."""
    cluster = loaded_cluster(4)
    cluster.run(14.0)
    older = cluster.state.backup()
    cluster.cancel("j-000001")
    cluster.run(14.0)
    assert cluster.checker.is_final("j-000001")
    cluster.state.restore(*older)
    finish(cluster)


@pytest.mark.parametrize("loss", [wiped, wiped_and_leader_killed, wiped_with_a_zone_cut_off])
def test_a_standing_service_goes_on_until_it_is_cancelled(loss: Loss) -> None:
    cluster = SimulatedCluster(14, features=REBUILD_ENABLED)
    service = cluster.job(1, shape="standing", pieces=3, vcpus=1.0, guessS=5000.0, crew="edge")
    cluster.submit(service)
    cluster.run(30.0)
    assert len(cluster.checker.machine_by_task) == 3
    loss(cluster)
    cluster.run(70.0)
    assert len(cluster.checker.machine_by_task) == 3
    assert cluster.checker.violations == []
    cluster.cancel(service["nameId"])
    cluster.run(10.0)
    cluster.checker.check_cancelled()
    assert not cluster.checker.machine_by_task
    assert cluster.checker.last_phase[service["nameId"]] == "aborted"
    assert cluster.checker.violations == []


# -- real processes --------------------------------------------------------------------------------------------------


def run_on_loopback(*options: str) -> dict[str, Any]:
    """What became of a batch that real processes served."""
    command = [sys.executable, "-m", "tests.loopback_cluster", "--jobs", "14", *options]
    done = subprocess.run(command, capture_output=True, text=True, timeout=120, cwd=ROOT, check=True)
    return json.loads(done.stdout)


def test_real_processes_end_all_jobs_as_without_the_loss() -> None:
    """The state service is wiped in mid-batch, also with the leader and machines lost; the same seed each time."""
    undisturbed = run_on_loopback("--seed", "3")
    wiped_once = run_on_loopback("--seed", "3", "--wipe-at", "4.0")
    all_at_once = run_on_loopback("--seed", "3", "--wipe-at", "4.0", "--kill-leader", "--lose-machines", "2")
    for played in (undisturbed, wiped_once, all_at_once):
        assert played["broken"] == []
        assert played["answers"] == undisturbed["answers"]
    assert set(undisturbed["answers"].values()) == {"done", "aborted"}
    assert not undisturbed["rebuilt"]
    assert wiped_once["rebuilt"]
    assert all_at_once["rebuilt"]
    # With the last leader's word nothing is run again.
    assert wiped_once["repeated"] == undisturbed["repeated"] == []
