"""Fleets of thousands of machines, with some hundreds of sockets per controller: no fixed limit is exceeded."""

import resource

import pytest

from stileloft.protocol.cloud import PROVISION_LIMIT
from stileloft.scheduling.autoscaling import ScalingPlan
from stileloft.transport import sockets
from stileloft.transport.sockets import SocketUsage
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.fleet import JOBS, FleetCluster

MACHINES = 4000


def count_finished_jobs(cluster: SimulatedCluster) -> int:
    return sum(cluster.checker.last_phase.get(job) == "done" for job in cluster.jobs)


def machines_with_current_token(cluster: SimulatedCluster) -> int:
    """Returns the number of machines that have the current leader's token."""
    leader = cluster.nodes[cluster.leader()].leader
    return sum(1 for machine in leader.cluster.machines.values() if machine.has_current_token)


def run_until_done(cluster: SimulatedCluster, longest_s: float) -> None:
    end = cluster.now + longest_s
    while cluster.now < end and count_finished_jobs(cluster) < JOBS:
        cluster.run(5)
    cluster.checker.check_cancelled()
    assert cluster.checker.violations == []
    assert count_finished_jobs(cluster) == JOBS
    assert cluster.cloud.throttled_requests == 0


@pytest.mark.parametrize("keeps", [False, True])
def test_no_lease_runs_out_with_far_fewer_sockets_than_machines(keeps: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """With `keeps`, heartbeat connections stay open as in small fleets, so that other workers are refused.

    These workers lose their leases.
    """
    if keeps:
        monkeypatch.setattr(SocketUsage, "keeps_heartbeat_connections", lambda *_: True)
    cluster = FleetCluster(1, MACHINES // 2 if keeps else MACHINES)
    if keeps:
        cluster.run(1.5 * cluster.LEASE_S)
        assert cluster.expired_leases > 100
        return
    cluster.submit_batch(12.0)
    run_until_done(cluster, 90.0)
    assert cluster.expired_leases == 0
    assert machines_with_current_token(cluster) >= MACHINES
    assert all(cluster.sockets(name) <= cluster.SOCKETS for name in cluster.names)


def test_a_new_leader_takes_over_the_fleet_before_a_lease_ends() -> None:
    cluster = FleetCluster(2, MACHINES)
    cluster.submit_batch(8.0)
    cluster.run(20)
    cluster.kill(cluster.leader())
    cluster.run(cluster.LEASE_S / 2)
    assert machines_with_current_token(cluster) >= MACHINES
    run_until_done(cluster, 90.0)
    assert cluster.expired_leases == 0


def test_a_new_leader_does_not_mark_machines_as_slow(caplog: pytest.LogCaptureFixture) -> None:
    """A new leader sees tasks that already run for only a part of their run time.

    Tasks that are started later must not count as slow in comparison.
    """
    caplog.set_level("INFO")
    cluster = FleetCluster(6, 300)
    cluster.submit_batch(8.0)
    cluster.run(22)
    cluster.kill(cluster.leader())
    run_until_done(cluster, 90.0)
    assert "is slow" not in caplog.text


def test_the_fleet_recovers_after_all_controllers_were_down_for_longer_than_a_lease() -> None:
    """All workers end their tasks; all of them report to a leader again, and the jobs are completed."""
    cluster = FleetCluster(3, MACHINES)
    cluster.submit_batch(8.0)
    cluster.run(20)
    for name in cluster.names:
        cluster.kill(name, restart_after_s=1.3 * cluster.LEASE_S)
    cluster.run(1.3 * cluster.LEASE_S)
    assert cluster.expired_leases >= MACHINES
    cluster.run(cluster.LEASE_S)
    assert machines_with_current_token(cluster) >= MACHINES
    lost = cluster.expired_leases
    run_until_done(cluster, 120.0)
    assert cluster.expired_leases == lost


def test_a_machine_list_of_many_pages_is_read_within_the_rate_limit_of_the_cloud() -> None:
    """Without pauses between the pages the cloud would refuse the requests, and no machine would be known."""
    cluster = FleetCluster(4, 6000, booted=False)
    cluster.run(20)
    assert len(cluster.nodes[cluster.leader()].leader.cluster.machines) >= 6000
    assert cluster.cloud.throttled_requests == 0


def test_provisioning_more_machines_than_a_request_holds_takes_several_requests() -> None:
    """A single request would return fewer machines than requested, as if the cloud had no more capacity."""
    cluster = SimulatedCluster(seed=5, capacity=1000, loss=0.0)
    cluster.run(5)
    leader = cluster.nodes[cluster.leader()].leader
    before = len(cluster.cloud.machines)
    count = 2 * PROVISION_LIMIT + 20
    leader.scheduling._applier.apply_scaling(ScalingPlan(provision={("small", "a", True): count}))
    cluster.run(2)
    assert len(cluster.cloud.machines) - before >= count
    assert not leader.provisioner.offers_without_capacity()


@pytest.mark.parametrize(("soft", "hard", "expected"), [(1024, 4096, 2064), (1024, 1500, 1500), (4096, 4096, None)])
def test_the_limit_of_open_files_is_raised_for_the_sockets(
    soft: int, hard: int, expected: int | None, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    limits: list[tuple[int, int]] = []
    monkeypatch.setattr(resource, "getrlimit", lambda _: (soft, hard))
    monkeypatch.setattr(resource, "setrlimit", lambda _, limit: limits.append(limit))
    sockets.raise_open_files_limit(2000)
    assert limits == ([] if expected is None else [(expected, hard)])
    assert ("max_sockets=2000" in caplog.text) == (expected == 1500)
