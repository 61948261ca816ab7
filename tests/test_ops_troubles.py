"""Troubles that no brief named, each alone and together with one other, as whole days on the stand-ins."""

from collections.abc import Callable

import pytest

from stileloft.controller.controller import Controller
from tests.simulation.cluster import SimulatedCluster
from tests.test_inline_records import count_changes
from tests.test_overlapping_faults import (
    cancel_running_jobs,
    delay_writes,
    flood_with_queries,
    outage,
    query_all_after_answers,
    set_boot_failures,
    stop_all_controllers,
)
from tests.test_rules import crash_leader, reclaim_spot_machines, run_until_jobs_end, submit_mixed_jobs

Fault = Callable[[SimulatedCluster], None]


def submit_guest_work(cluster: SimulatedCluster) -> None:
    """A team without a guarantee: idle work, an array of thousands, and a swarm of one-task jobs."""
    few = {"crew": "guest", "urgency": "idle"}
    for number in range(3):
        idle = cluster.job(
            3000 + number, pieces=8, vcpus=4.0, guessS=60.0, snapshotS=10.0, stashS=1.0, lane="idle", **few
        )
        cluster.submit(idle)
    cluster.submit(cluster.job(3100, pieces=4000, vcpus=0.5, memGb=0.2, guessS=3.0, lane="giant", **few))
    for number in range(160):
        swarm = cluster.job(3200 + number, pieces=1, vcpus=1.0, memGb=0.5, guessS=8.0, lane="swarm", **few)
        cluster.clock.callLater(8.0 + number / 4, cluster.submit, swarm)


def freeze_leader(seconds: float) -> Fault:
    """The leader stands still while its clocks run on."""

    def start(cluster: SimulatedCluster) -> None:
        name = cluster.leader()
        if name is not None:
            cluster.freeze(name, seconds)

    return start


def freeze_during_elections(cluster: SimulatedCluster) -> None:
    """Whoever leads ends, and each node that may follow stands still for a moment of the election."""
    crash_leader(cluster)
    for number, name in enumerate(cluster.names):
        cluster.clock.callLater(0.3 + 0.7 * number, cluster.freeze, name, 3.0)


def freeze_leader_at_commits(cluster: SimulatedCluster) -> None:
    """The leader stands still just as its transactions are carried out: their answers wait, and others lead."""
    leader, ask, left = cluster.leader(), cluster.state.receive, [4]

    def asking(caller: str, method: str, path: str, body: object) -> object:
        answer = ask(caller, method, path, body)
        if path == "/commit" and caller == leader and left[0] and cluster.random.random() < 0.3:
            left[0] -= 1
            cluster.freeze(caller, 4.0)
        return answer

    cluster.state.receive = asking  # type: ignore[method-assign]


def freeze_leader_during_decisions(cluster: SimulatedCluster) -> None:
    """The leader stands still between a decision and what follows from it: it has been replaced meanwhile."""
    name = cluster.leader()
    node = cluster.nodes[name] if name is not None else None
    if name is None or node is None:
        return
    decide = node.in_thread

    def deciding(function: Callable[..., object], *arguments: object) -> object:
        outcome = decide(function, *arguments)
        if cluster.random.random() < 0.2:
            cluster.freeze(name, 4.0)
        return outcome

    node.in_thread = deciding  # type: ignore[method-assign]
    cluster.clock.callLater(12.0, setattr, node, "in_thread", decide)


def submit_failing_jobs(cluster: SimulatedCluster) -> None:
    """Jobs that fail on every machine, until their users cancel them."""
    for number in range(4):
        body = cluster.job(3500 + number, pieces=6, vcpus=2.0, urgency="urgent", guessS=3.0, lane="mistaken")
        cluster.failing_jobs.add(body["nameId"])
        cluster.submit(body)
        cluster.clock.callLater(50.0 + 3 * number, cluster.cancel, body["nameId"])


def make_machine_faulty(cluster: SimulatedCluster) -> None:
    up = [m for m in cluster.cloud.machines.values() if m.up]
    if up:
        cluster.faulty_machines.add(up[0].name)


FAULT_SCHEDULES: dict[str, list[tuple[float, Fault]]] = {
    "boots late or never": [(0.0, set_boot_failures(60.0, 0.3, 0.4, 0.0)), (1.0, reclaim_spot_machines)],
    "boots late or never, the leader ends": [
        (0.0, set_boot_failures(60.0, 0.3, 0.4, 0.0)),
        (1.0, reclaim_spot_machines),
        (20.0, crash_leader),
    ],
    "all silent for a minute": [(0.0, stop_all_controllers(65.0))],
    "cancelled, and all silent for a minute": [
        (0.0, cancel_running_jobs(4)),
        (0.4, stop_all_controllers(65.0)),
        (66.0, query_all_after_answers(20.0)),
    ],
    "stands still for seconds": [(0.0, freeze_leader(5.0)), (12.0, freeze_leader(3.0))],
    "stands still while jobs are cancelled": [
        (0.0, freeze_leader(5.0)),
        (0.5, cancel_running_jobs(5)),
        (9.0, cancel_running_jobs(2)),
    ],
    "stands still in elections": [(0.0, freeze_during_elections), (15.0, freeze_during_elections)],
    "stands still in elections, transactions late": [(0.0, delay_writes(25.0, 0.2)), (2.0, freeze_during_elections)],
    "stands still at its commits": [(0.0, freeze_leader_at_commits)],
    "stands still at its commits, jobs cancelled": [(0.0, freeze_leader_at_commits), (4.0, cancel_running_jobs(4))],
    "stands still while it decides": [(0.0, freeze_leader_during_decisions)],
    "stands still while it decides, machines taken": [
        (0.0, freeze_leader_during_decisions),
        (3.0, reclaim_spot_machines),
    ],
    "many questions": [(0.0, flood_with_queries)],
    "many questions, an outage": [(0.0, flood_with_queries), (20.0, outage(12.0))],
    "guests": [(0.0, submit_guest_work)],
    "guests, the leader ends": [(0.0, submit_guest_work), (25.0, crash_leader)],
    "guests, all silent for a minute": [(0.0, submit_guest_work), (30.0, stop_all_controllers(62.0))],
    "mistaken jobs": [(0.0, submit_failing_jobs)],
    "mistaken jobs, the leader ends": [(0.0, submit_failing_jobs), (15.0, crash_leader)],
    "mistaken jobs, a faulty machine": [(0.0, submit_failing_jobs), (2.0, make_machine_faulty)],
}


def run_schedule(name: str, seed: int) -> SimulatedCluster:
    cluster = SimulatedCluster(seed=seed, loss=0.002, capacity=6)
    submit_mixed_jobs(cluster, jobs=18)
    for at, trouble in FAULT_SCHEDULES[name]:
        cluster.clock.callLater(35.0 + at, trouble, cluster)
    cluster.checker.faults_until = 35.0 + 100.0
    run_until_jobs_end(cluster)
    return cluster


@pytest.mark.parametrize("name", FAULT_SCHEDULES)
def test_rules_hold_under_a_fault_schedule(name: str) -> None:
    cluster = run_schedule(name, seed=len(name))
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_a_team_without_a_guarantee_delays_other_teams_little() -> None:
    """The same day without them, and with them: how long the other teams' jobs take in all."""
    taken: list[float] = []
    for trouble in ([], [(0.0, submit_guest_work)]):
        cluster = SimulatedCluster(seed=17, loss=0.0, capacity=6)
        submit_mixed_jobs(cluster, jobs=18)
        for at, start in trouble:
            cluster.clock.callLater(20.0 + at, start, cluster)
        run_until_jobs_end(cluster)
        assert cluster.checker.violations == []
        others = [job for job in cluster.jobs if cluster.jobs[job]["crew"] != "guest"]
        taken.append(
            sum(cluster.checker.final_at[job] - cluster.checker.submitted_at[job] for job in others) / len(others)
        )
    assert taken[1] < 1.25 * taken[0]


def test_a_job_that_always_fails_writes_to_the_store_at_a_falling_rate() -> None:
    """It is tried one task at a time, at growing intervals, and no machine is blamed for it."""
    cluster = SimulatedCluster(seed=18, loss=0.0)
    cluster.run(15)
    cluster.failing_jobs.add("j-000900")
    cluster.submit(cluster.job(900, pieces=50, vcpus=1.0, guessS=2.0))
    cluster.run(30)
    counted = count_changes(cluster)
    before = cluster.checker.starts
    cluster.run(120)
    tries = cluster.checker.starts - before
    assert 1 <= tries <= 8
    changes = sum(count for kind, count in counted.items() if "active" in kind or "tasks" in kind)
    assert changes <= 6 * tries
    term = cluster.nodes[cluster.leader()].leader
    assert [m.id for m in term.cluster.machines.values() if m.drain_reason] == []
    cluster.cancel("j-000900")
    run_until_jobs_end(cluster, 60)
    assert cluster.checker.last_phase["j-000900"] == "aborted"
    assert cluster.checker.violations == []


def test_status_queries_do_not_starve_the_leader_or_submissions() -> None:
    """Users ask forty times a second; what they submit meanwhile is accepted, and begins."""
    cluster = SimulatedCluster(seed=19, loss=0.0)
    submit_mixed_jobs(cluster, jobs=8, every=1.0)
    cluster.run(30)
    flood_with_queries(cluster)
    for number in range(100, 110):
        cluster.clock.callLater(
            2.0 * (number - 99), cluster.submit, cluster.job(number, pieces=1, vcpus=1.0, guessS=2.0)
        )
    cluster.run(40)
    late = [f"j-{n:06d}" for n in range(100, 110)]
    assert all(cluster.checker.accepted_at[job] - cluster.checker.submitted_at[job] < 2.0 for job in late)
    assert all(cluster.checker.started_at[job] - cluster.checker.submitted_at[job] < 20.0 for job in late)
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []


def test_a_leader_that_was_frozen_past_its_lease_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """What was checked before is not acted on afterwards. Without the check of its lease, the day shows it."""
    cluster = SimulatedCluster(seed=20, loss=0.0)
    cluster.run(15)
    name = cluster.leader()
    assert name is not None
    node = cluster.nodes[name]
    assert isinstance(node, Controller)
    term = node.leader
    assert term is not None
    cluster.freeze(name, 6.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=4.0))
    cluster.run(5.9)
    assert cluster.leader() not in (None, name)
    sent: list[object] = []
    command = node.clients.workers.command

    def commanding(*arguments: object) -> object:
        sent.append(arguments)
        return command(*arguments)

    monkeypatch.setattr(node.clients.workers, "command", commanding)
    cluster.run(2)
    assert not term.lease.active
    assert sent == []
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase == {"j-000001": "done"}
