"""Outages of the state service: what a controller continues, what it stops, and its request budgets."""

from twisted.internet import defer
from twisted.internet.task import Clock

from stileloft.protocol import messages
from stileloft.store.commit_queue import REFUSED_BACKOFF_S
from stileloft.transport.client import Reply
from stileloft.transport.rate_limit import TokenBucket
from tests.simulation.world import World


def test_a_leader_in_an_outage_renews_leases_for_its_grace_and_starts_nothing() -> None:
    world = World(8, loss=0.0)
    world.submit(world.job(1, pieces=2, guessS=120.0))
    world.run(40)
    assert world.rules.starts == 2
    world.state.outage(24.0)
    world.submit(world.job(2, pieces=2))
    world.run(23)
    # The outage is longer than the workers' lease, and yet no task was lost.
    assert len([t for t in world.rules.where if t.startswith("j-000001/")]) == 2
    assert world.rules.starts == 2
    world.run(240)
    assert world.rules.last == {"j-000001": "done", "j-000002": "done"}
    assert world.rules.broken == []


def test_retries_during_an_outage_leave_request_budget_for_afterwards() -> None:
    world = World(11, loss=0.0)
    world.run(5)
    admission = world.nodes["node-1"].admission
    world.state.outage(10.0)
    failures: list = []
    for number in range(100):
        spec = messages.parse_job(world.job(number))
        world.jobs[spec.id] = world.job(number)
        defer.ensureDeferred(admission.submit(spec)).addErrback(failures.append)
        world.run(0.05)
    world.run(6)
    assert len(failures) == 100
    accepted: list = []
    defer.ensureDeferred(admission.submit(messages.parse_job(world.job(1)))).addCallback(accepted.append)
    world.run(0.5)
    assert accepted
    assert accepted[0][0]


def test_a_token_bucket_holds_at_most_its_burst() -> None:
    clock = Clock()
    budget = TokenBucket(clock, 2.5, burst_s=2.0)
    assert [budget.try_take() for _ in range(6)] == [True] * 5 + [False]
    clock.advance(0.4)
    assert [budget.try_take(), budget.try_take()] == [True, False]
    clock.advance(60.0)
    assert budget.level() == 5.0
    budget.refund(3.0)
    assert budget.level() == 5.0


def test_commits_back_off_while_the_state_service_refuses_them() -> None:
    """Commits retried with each heartbeat, many times a second, used up the budget needed after the outage."""
    world = World(seed=25, loss=0.0)
    for number in range(6):
        world.submit(world.job(number, pieces=6, vcpus=1.0, guessS=4.0))
    while not world.rules.where:
        world.run(1)
    commits, handle = [], world.state.handle

    def refuse_commits(caller, method, path, body):
        if path == "/commit" and world.now < until:
            if any(write.get("set", "").startswith(("tasks/", "active/")) for write in body["writes"]):
                commits.append(world.now)  # provisioning and image records are written on their own schedule
            return Reply(503, {"error": "trouble"})
        return handle(caller, method, path, body)

    until = world.now + 10.0
    world.state.handle = refuse_commits  # type: ignore[method-assign]
    term = world.nodes[world.leader()].leader
    world.run(9.9)
    assert 10 <= len({round(at, 1) for at in commits}) < 1.2 * 10 / REFUSED_BACKOFF_S
    assert term.store.write_budget.level() > term.store.write_budget.rate_per_s - 1
    world.run(60)
    assert set(world.rules.last.values()) == {"done"}
    assert world.rules.broken == []


def test_a_controller_is_unhealthy_if_it_alone_is_refused_but_not_in_a_general_outage() -> None:
    world = World(12, loss=0.0)
    world.run(10)
    standby = next(name for name in world.names if name != world.leader())
    world.state.refuses[standby] = world.now + 20.0
    world.run(8)
    assert {name: node.healthy() for name, node in world.nodes.items()} == {n: n != standby for n in world.names}
    world.run(20)
    assert all(node.healthy() for node in world.nodes.values())
    world.state.outage(10.0)
    world.run(9)
    assert all(node.healthy() for node in world.nodes.values())
