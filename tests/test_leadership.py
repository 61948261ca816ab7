"""Changes of leaders: restarts, higher tokens, leaders without heartbeats, and delayed heartbeats."""

import msgspec

from stileloft.protocol import messages
from tests.simulation.cluster import SimulatedCluster


def test_a_restarted_leader_ends_its_former_lease_at_once() -> None:
    cluster = SimulatedCluster(4, loss=0.0)
    cluster.run(10)
    name = cluster.leader()
    assert name is not None
    token = cluster.nodes[name].election.token
    others = [other for other in cluster.names if other != name]
    for other in others:
        cluster.kill(other, None)
    cluster.kill(name, 0.2)
    cluster.run(1.0)  # far less than the lease of 2 s
    assert cluster.leader() == name
    assert cluster.nodes[name].election.token > token


def test_a_leader_steps_down_when_a_worker_reports_a_higher_token() -> None:
    cluster = SimulatedCluster(4, loss=0.0)
    cluster.run(10)
    name = cluster.leader()
    node = cluster.nodes[name]
    heartbeat = msgspec.convert(
        {
            "host": "n-1",
            "endpoint": "1:1",
            "build": "small",
            "yard": "a",
            "stint": 1,
            "tick": 1,
            "baton": node.election.token + 1,
            "pieces": [],
        },
        messages.Heartbeat,
    )
    assert node.handle_heartbeat(heartbeat).status == 421
    assert not node.election.leading


def test_a_leader_that_receives_no_heartbeats_steps_down_before_most_leases_expire() -> None:
    """A worker that is partitioned just before its next heartbeat may find the new leader too late.

    A lease lasts for six heartbeats, which hardly suffices. A worker finds the new leader too late in one run of
    sixteen, with this version and the one before; so four are run, and one machine (two tasks) may be lost.
    """
    assert sum(tasks_lost_with_isolated_leader(seed) for seed in (13, 14, 15, 16)) <= 2


def tasks_lost_with_isolated_leader(seed: int) -> int:
    cluster = SimulatedCluster(seed, loss=0.0)
    cluster.submit(cluster.job(1, pieces=8, guessS=100.0))
    while len(cluster.checker.machine_by_task) < 8:
        cluster.run(1)
    before, running = cluster.leader(), set(cluster.checker.machine_by_task)
    assert before is not None
    assert len(running) == 8
    for machine in cluster.cloud.machines:
        cluster.partition(before, machine, 30.0, hold=True)
    cluster.run(14)
    assert cluster.leader() not in (None, before)
    lost = len(running - set(cluster.checker.machine_by_task))
    cluster.run(240)  # lost tasks restart, and take up to 150 s
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase["j-000001"] == "done"
    return lost


def test_a_delayed_heartbeat_does_not_restore_a_lost_machine() -> None:
    cluster = SimulatedCluster(14, loss=0.0)
    cluster.submit(cluster.job(1, pieces=1, guessS=30.0))
    cluster.run(30)
    leader = cluster.nodes[cluster.leader()].leader
    machine = next(m for m in cluster.cloud.machines.values() if m.up)
    delayed_heartbeat = messages.parse_heartbeat(machine.heartbeat())
    cluster.cloud.machines.pop(machine.name).die()
    cluster.run(20)
    assert machine.name in leader.releaser.released
    assert leader.on_heartbeat(delayed_heartbeat).commands == []
    assert machine.name not in leader.cluster.machines
