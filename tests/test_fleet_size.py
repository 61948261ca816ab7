"""Fleets of thousands of machines, with some hundreds of sockets per controller: no fixed limit is exceeded."""

import resource

import pytest

from stileloft.protocol.cloud import PROVISION_LIMIT
from stileloft.scheduling.autoscaling import ScalingPlan
from stileloft.transport import sockets
from stileloft.transport.sockets import SocketUsage
from tests.simulation.fleet import JOBS, FleetWorld
from tests.simulation.world import World

MACHINES = 4000


def count_finished_jobs(world: World) -> int:
    return sum(world.rules.last.get(job) == "done" for job in world.jobs)


def machines_with_current_token(world: World) -> int:
    """Returns the number of machines that have the current leader's token."""
    term = world.nodes[world.leader()].leader
    return sum(1 for machine in term.cluster.machines.values() if machine.has_current_token)


def run_until_done(world: World, longest_s: float) -> None:
    end = world.now + longest_s
    while world.now < end and count_finished_jobs(world) < JOBS:
        world.run(5)
    world.rules.check_cancelled()
    assert world.rules.broken == []
    assert count_finished_jobs(world) == JOBS
    assert world.cloud.refused_rates == 0


@pytest.mark.parametrize("keeps", [False, True])
def test_no_lease_runs_out_with_far_fewer_sockets_than_machines(keeps: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    """With `keeps`, heartbeat connections stay open as in small fleets, so that other workers are refused.

    These workers lose their leases.
    """
    if keeps:
        monkeypatch.setattr(SocketUsage, "keeps_heartbeats", lambda *_: True)
    world = FleetWorld(1, MACHINES // 2 if keeps else MACHINES)
    if keeps:
        world.run(1.5 * world.LEASE_S)
        assert world.sessions_lost > 100
        return
    world.submit_batch(12.0)
    run_until_done(world, 90.0)
    assert world.sessions_lost == 0
    assert machines_with_current_token(world) >= MACHINES
    assert all(world.sockets(name) <= world.SOCKETS for name in world.names)


def test_a_new_leader_takes_over_the_fleet_before_a_lease_ends() -> None:
    world = FleetWorld(2, MACHINES)
    world.submit_batch(8.0)
    world.run(20)
    world.kill(world.leader())
    world.run(world.LEASE_S / 2)
    assert machines_with_current_token(world) >= MACHINES
    run_until_done(world, 90.0)
    assert world.sessions_lost == 0


def test_a_new_leader_does_not_mark_machines_as_slow(caplog: pytest.LogCaptureFixture) -> None:
    """A new leader sees tasks that already run for only a part of their run time.

    Tasks that are started later must not count as slow in comparison.
    """
    caplog.set_level("INFO")
    world = FleetWorld(6, 300)
    world.submit_batch(8.0)
    world.run(22)
    world.kill(world.leader())
    run_until_done(world, 90.0)
    assert "is slow" not in caplog.text


def test_the_fleet_recovers_after_all_controllers_were_down_for_longer_than_a_lease() -> None:
    """All workers end their tasks; all of them report to a leader again, and the jobs are completed."""
    world = FleetWorld(3, MACHINES)
    world.submit_batch(8.0)
    world.run(20)
    for name in world.names:
        world.kill(name, back_after=1.3 * world.LEASE_S)
    world.run(1.3 * world.LEASE_S)
    assert world.sessions_lost >= MACHINES
    world.run(world.LEASE_S)
    assert machines_with_current_token(world) >= MACHINES
    lost = world.sessions_lost
    run_until_done(world, 120.0)
    assert world.sessions_lost == lost


def test_a_machine_list_of_many_pages_is_read_within_the_rate_limit_of_the_cloud() -> None:
    """Without pauses between the pages the cloud would refuse the requests, and no machine would be known."""
    world = FleetWorld(4, 6000, booted=False)
    world.run(20)
    assert len(world.nodes[world.leader()].leader.cluster.machines) >= 6000
    assert world.cloud.refused_rates == 0


def test_provisioning_more_machines_than_a_request_holds_takes_several_requests() -> None:
    """A single request would return fewer machines than asked for, which looks as if the cloud had no more capacity."""
    world = World(seed=5, capacity=1000, loss=0.0)
    world.run(5)
    leader = world.nodes[world.leader()].leader
    before = len(world.cloud.machines)
    wanted = 2 * PROVISION_LIMIT + 20
    leader.scheduling._applier.apply_scaling(ScalingPlan(provision={("small", "a", True): wanted}))
    world.run(2)
    assert len(world.cloud.machines) - before >= wanted
    assert not leader.provisioner.offers_without_capacity()


@pytest.mark.parametrize(("soft", "hard", "expected"), [(1024, 4096, 2064), (1024, 1500, 1500), (4096, 4096, None)])
def test_the_limit_of_open_files_is_raised_for_the_sockets(
    soft: int, hard: int, expected: int | None, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    limits: list[tuple[int, int]] = []
    monkeypatch.setattr(resource, "getrlimit", lambda _: (soft, hard))
    monkeypatch.setattr(resource, "setrlimit", lambda _, wanted: limits.append(wanted))
    sockets.raise_open_files_limit(2000)
    assert limits == ([] if expected is None else [(expected, hard)])
    assert ("max_sockets=2000" in caplog.text) == (expected == 1500)
