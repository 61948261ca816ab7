"""Outages of the state service: what a controller continues, what it stops, and its request budgets."""

from twisted.internet import defer
from twisted.internet.task import Clock

from stileloft.protocol import messages
from stileloft.store.commit_queue import REFUSED_BACKOFF_S
from stileloft.transport.client import Reply
from stileloft.transport.rate_limit import TokenBucket
from tests.simulation.cluster import SimulatedCluster


def test_a_leader_in_an_outage_renews_leases_for_its_grace_and_starts_nothing() -> None:
    cluster = SimulatedCluster(8, loss=0.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=120.0))
    cluster.run(40)
    assert cluster.checker.starts == 2
    cluster.state.outage(24.0)
    cluster.submit(cluster.job(2, pieces=2))
    cluster.run(23)
    # The outage is longer than the workers' lease, and yet no task was lost.
    assert len([t for t in cluster.checker.machine_by_task if t.startswith("j-000001/")]) == 2
    assert cluster.checker.starts == 2
    cluster.run(240)
    assert cluster.checker.last_phase == {"j-000001": "done", "j-000002": "done"}
    assert cluster.checker.violations == []


def test_retries_during_an_outage_leave_request_budget_for_afterwards() -> None:
    cluster = SimulatedCluster(11, loss=0.0)
    cluster.run(5)
    admission = cluster.nodes["node-1"].admission
    cluster.state.outage(10.0)
    failures: list = []
    for number in range(100):
        spec = messages.parse_job(cluster.job(number))
        cluster.jobs[spec.id] = cluster.job(number)
        defer.ensureDeferred(admission.submit(spec)).addErrback(failures.append)
        cluster.run(0.05)
    cluster.run(6)
    assert len(failures) == 100
    accepted: list = []
    defer.ensureDeferred(admission.submit(messages.parse_job(cluster.job(1)))).addCallback(accepted.append)
    cluster.run(0.5)
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
    cluster = SimulatedCluster(seed=25, loss=0.0)
    for number in range(6):
        cluster.submit(cluster.job(number, pieces=6, vcpus=1.0, guessS=4.0))
    while not cluster.checker.machine_by_task:
        cluster.run(1)
    commits, handle = [], cluster.state.handle

    def refuse_commits(caller, method, path, body):
        if path == "/commit" and cluster.now < until:
            if any(write.get("set", "").startswith(("tasks/", "active/")) for write in body["writes"]):
                commits.append(cluster.now)  # provisioning and image records are written on their own schedule
            return Reply(503, {"error": "injected fault"})
        return handle(caller, method, path, body)

    until = cluster.now + 10.0
    cluster.state.handle = refuse_commits  # type: ignore[method-assign]
    leader = cluster.nodes[cluster.leader()].leader
    cluster.run(9.9)
    assert 10 <= len({round(at, 1) for at in commits}) < 1.2 * 10 / REFUSED_BACKOFF_S
    assert leader.store.write_budget.level() > leader.store.write_budget.rate_per_s - 1
    cluster.run(60)
    assert set(cluster.checker.last_phase.values()) == {"done"}
    assert cluster.checker.violations == []


def test_a_controller_is_unhealthy_if_it_alone_is_refused_but_not_in_a_general_outage() -> None:
    cluster = SimulatedCluster(12, loss=0.0)
    cluster.run(10)
    standby = next(name for name in cluster.names if name != cluster.leader())
    cluster.state.refused_until[standby] = cluster.now + 20.0
    cluster.run(8)
    assert {name: node.healthy() for name, node in cluster.nodes.items()} == {n: n != standby for n in cluster.names}
    cluster.run(20)
    assert all(node.healthy() for node in cluster.nodes.values())
    cluster.state.outage(10.0)
    cluster.run(9)
    assert all(node.healthy() for node in cluster.nodes.values())
