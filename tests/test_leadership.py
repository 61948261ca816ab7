"""Changes of leaders: restarts, higher tokens, leaders without heartbeats, and delayed heartbeats."""

import msgspec

from stileloft.protocol import messages
from tests.simulation.world import World


def test_a_restarted_leader_ends_its_former_lease_at_once() -> None:
    world = World(4, loss=0.0)
    world.run(10)
    name = world.leader()
    assert name is not None
    token = world.nodes[name].election.token
    others = [other for other in world.names if other != name]
    for other in others:
        world.kill(other, None)
    world.kill(name, 0.2)
    world.run(1.0)  # far less than the lease of 2 s
    assert world.leader() == name
    assert world.nodes[name].election.token > token


def test_a_leader_steps_down_when_a_worker_reports_a_higher_token() -> None:
    world = World(4, loss=0.0)
    world.run(10)
    name = world.leader()
    node = world.nodes[name]
    report = msgspec.convert(
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
    assert node.handle_heartbeat(report).status == 421
    assert not node.election.leading


def test_a_leader_that_receives_no_heartbeats_steps_down_before_most_leases_expire() -> None:
    """A worker that is partitioned just before its next heartbeat may find the new leader too late.

    A lease lasts for six heartbeats, which hardly suffices. That happens in one run of sixteen, with this version and
    the one before; so four are run, and one machine (two tasks) may be lost.
    """
    assert sum(tasks_lost_with_isolated_leader(seed) for seed in (13, 14, 15, 16)) <= 2


def tasks_lost_with_isolated_leader(seed: int) -> int:
    world = World(seed, loss=0.0)
    world.submit(world.job(1, pieces=8, guessS=100.0))
    while len(world.rules.where) < 8:
        world.run(1)
    before, running = world.leader(), set(world.rules.where)
    assert before is not None
    assert len(running) == 8
    for machine in world.cloud.machines:
        world.cut(before, machine, 30.0, hold=True)
    world.run(14)
    assert world.leader() not in (None, before)
    lost = len(running - set(world.rules.where))
    world.run(240)  # lost tasks restart, and take up to 150 s
    assert world.rules.broken == []
    assert world.rules.last["j-000001"] == "done"
    return lost


def test_a_delayed_heartbeat_does_not_restore_a_lost_machine() -> None:
    world = World(14, loss=0.0)
    world.submit(world.job(1, pieces=1, guessS=30.0))
    world.run(30)
    term = world.nodes[world.leader()].leader
    machine = next(m for m in world.cloud.machines.values() if m.up)
    late = messages.parse_heartbeat(machine.report())
    world.cloud.machines.pop(machine.name).die()
    world.run(20)
    assert machine.name in term.releaser.released
    assert term.on_heartbeat(late).commands == []
    assert machine.name not in term.cluster.machines
