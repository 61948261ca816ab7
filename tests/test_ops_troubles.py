"""Further faults in operation, alone and in combination, in runs of the simulated cluster."""

from collections.abc import Callable

import pytest

from stileloft.controller.controller import Controller
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import crash_leader, reclaim_spot_machines
from tests.simulation.timed_faults import (
    cancel_running_jobs,
    delay_writes,
    flood_with_queries,
    outage,
    query_all_after_answers,
    set_boot_failures,
    stop_all_controllers,
)
from tests.simulation.workloads import run_until_jobs_end, submit_mixed_jobs
from tests.test_inline_records import count_changes

Fault = Callable[[SimulatedCluster], None]


def submit_guest_work(cluster: SimulatedCluster) -> None:
    """Submits work of a team without a guaranteed quota: idle jobs, an array of 4000 tasks, and 160 one-task jobs."""
    guest = {"crew": "guest", "urgency": "idle"}
    for number in range(3):
        idle = cluster.job(
            3000 + number, pieces=8, vcpus=4.0, guessS=60.0, snapshotS=10.0, stashS=1.0, lane="idle", **guest
        )
        cluster.submit(idle)
    cluster.submit(cluster.job(3100, pieces=4000, vcpus=0.5, memGb=0.2, guessS=3.0, lane="giant", **guest))
    for number in range(160):
        swarm = cluster.job(3200 + number, pieces=1, vcpus=1.0, memGb=0.5, guessS=8.0, lane="swarm", **guest)
        cluster.clock.callLater(8.0 + number / 4, cluster.submit, swarm)


def freeze_leader(seconds: float) -> Fault:
    """Returns a fault: the leader is frozen while its clocks run on."""

    def start(cluster: SimulatedCluster) -> None:
        name = cluster.leader()
        if name is not None:
            cluster.freeze(name, seconds)

    return start


def freeze_during_elections(cluster: SimulatedCluster) -> None:
    """Kills the leader, and freezes each controller for 3 s during the election that follows."""
    crash_leader(cluster)
    for number, name in enumerate(cluster.names):
        cluster.clock.callLater(0.3 + 0.7 * number, cluster.freeze, name, 3.0)


def freeze_leader_at_commits(cluster: SimulatedCluster) -> None:
    """Freezes the leader just as a commit is executed, so that another leader is elected before the answer is read."""
    leader, receive, freezes_left = cluster.leader(), cluster.state.receive, [4]

    def freeze_after_commit(caller: str, method: str, path: str, body: object) -> object:
        answer = receive(caller, method, path, body)
        if path == "/commit" and caller == leader and freezes_left[0] and cluster.random.random() < 0.3:
            freezes_left[0] -= 1
            cluster.freeze(caller, 4.0)
        return answer

    cluster.state.receive = freeze_after_commit  # type: ignore[method-assign]


def freeze_leader_during_decisions(cluster: SimulatedCluster) -> None:
    """Freezes the leader between a decision and its application, so that it has been replaced when it resumes."""
    name = cluster.leader()
    node = cluster.nodes[name] if name is not None else None
    if name is None or node is None:
        return
    run_in_thread = node.in_thread

    def freeze_after_decision(function: Callable[..., object], *arguments: object) -> object:
        outcome = run_in_thread(function, *arguments)
        if cluster.random.random() < 0.2:
            cluster.freeze(name, 4.0)
        return outcome

    node.in_thread = freeze_after_decision  # type: ignore[method-assign]
    cluster.clock.callLater(12.0, setattr, node, "in_thread", run_in_thread)


def submit_failing_jobs(cluster: SimulatedCluster) -> None:
    """Submits jobs that fail on every machine, until their users cancel them."""
    for number in range(4):
        body = cluster.job(3500 + number, pieces=6, vcpus=2.0, urgency="urgent", guessS=3.0, lane="mistaken")
        cluster.failing_jobs.add(body["nameId"])
        cluster.submit(body)
        cluster.clock.callLater(50.0 + 3 * number, cluster.cancel, body["nameId"])


def make_machine_faulty(cluster: SimulatedCluster) -> None:
    up = [m for m in cluster.cloud.machines.values() if m.up]
    if up:
        cluster.faulty_machines.add(up[0].name)


FAULT_SCHEDULES: dict[str, tuple[int, list[tuple[float, Fault]]]] = {
    "boots late or never": (19, [(0.0, set_boot_failures(60.0, 0.3, 0.4, 0.0)), (1.0, reclaim_spot_machines)]),
    "boots late or never, leader crashes": (
        36,
        [
            (0.0, set_boot_failures(60.0, 0.3, 0.4, 0.0)),
            (1.0, reclaim_spot_machines),
            (20.0, crash_leader),
        ],
    ),
    "all controllers down for a minute": (23, [(0.0, stop_all_controllers(65.0))]),
    "cancellations, then all controllers down for a minute": (
        38,
        [
            (0.0, cancel_running_jobs(4)),
            (0.4, stop_all_controllers(65.0)),
            (66.0, query_all_after_answers(20.0)),
        ],
    ),
    "leader frozen for seconds": (24, [(0.0, freeze_leader(5.0)), (12.0, freeze_leader(3.0))]),
    "leader frozen during cancellations": (
        37,
        [
            (0.0, freeze_leader(5.0)),
            (0.5, cancel_running_jobs(5)),
            (9.0, cancel_running_jobs(2)),
        ],
    ),
    "controllers frozen during elections": (25, [(0.0, freeze_during_elections), (15.0, freeze_during_elections)]),
    "controllers frozen during elections, transactions delayed": (
        44,
        [(0.0, delay_writes(25.0, 0.2)), (2.0, freeze_during_elections)],
    ),
    "leader frozen at its commits": (27, [(0.0, freeze_leader_at_commits)]),
    "leader frozen at its commits, cancellations": (
        43,
        [(0.0, freeze_leader_at_commits), (4.0, cancel_running_jobs(4))],
    ),
    "leader frozen during its decisions": (29, [(0.0, freeze_leader_during_decisions)]),
    "leader frozen during its decisions, spot machines reclaimed": (
        45,
        [
            (0.0, freeze_leader_during_decisions),
            (3.0, reclaim_spot_machines),
        ],
    ),
    "query flood": (14, [(0.0, flood_with_queries)]),
    "query flood with an outage": (25, [(0.0, flood_with_queries), (20.0, outage(12.0))]),
    "guest work": (6, [(0.0, submit_guest_work)]),
    "guest work, leader crashes": (23, [(0.0, submit_guest_work), (25.0, crash_leader)]),
    "guest work, all controllers down for a minute": (
        31,
        [(0.0, submit_guest_work), (30.0, stop_all_controllers(62.0))],
    ),
    "failing jobs": (13, [(0.0, submit_failing_jobs)]),
    "failing jobs, leader crashes": (30, [(0.0, submit_failing_jobs), (15.0, crash_leader)]),
    "failing jobs, a faulty machine": (31, [(0.0, submit_failing_jobs), (2.0, make_machine_faulty)]),
}
"""The seed of each run, and its faults, each with its time in seconds."""


def run_schedule(name: str) -> SimulatedCluster:
    seed, faults = FAULT_SCHEDULES[name]
    cluster = SimulatedCluster(seed=seed, loss=0.002, capacity=6)
    submit_mixed_jobs(cluster, jobs=18)
    for at_s, fault in faults:
        cluster.clock.callLater(35.0 + at_s, fault, cluster)
    cluster.checker.faults_until = 35.0 + 100.0
    run_until_jobs_end(cluster)
    return cluster


@pytest.mark.parametrize("name", FAULT_SCHEDULES)
def test_rules_hold_under_a_fault_schedule(name: str) -> None:
    cluster = run_schedule(name)
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_a_team_without_a_guarantee_delays_other_teams_little() -> None:
    """Compares the mean time to the end of the other teams' jobs in a run without guest work and one with it."""
    mean_s: list[float] = []
    for faults in ([], [(0.0, submit_guest_work)]):
        cluster = SimulatedCluster(seed=17, loss=0.0, capacity=6)
        submit_mixed_jobs(cluster, jobs=18)
        for at_s, fault in faults:
            cluster.clock.callLater(20.0 + at_s, fault, cluster)
        run_until_jobs_end(cluster)
        assert cluster.checker.violations == []
        others = [job for job in cluster.jobs if cluster.jobs[job]["crew"] != "guest"]
        mean_s.append(
            sum(cluster.checker.final_at[job] - cluster.checker.submitted_at[job] for job in others) / len(others)
        )
    assert mean_s[1] < 1.25 * mean_s[0]


def test_a_job_that_always_fails_writes_to_the_store_at_a_falling_rate() -> None:
    """A job that always fails is retried one task at a time at growing intervals; no machine is drained for it."""
    cluster = SimulatedCluster(seed=18, loss=0.0)
    cluster.run(15)
    cluster.failing_jobs.add("j-000900")
    cluster.submit(cluster.job(900, pieces=50, vcpus=1.0, guessS=2.0))
    cluster.run(30)
    change_counts = count_changes(cluster)
    before = cluster.checker.starts
    cluster.run(120)
    attempts = cluster.checker.starts - before
    assert 1 <= attempts <= 8
    changes = sum(count for kind, count in change_counts.items() if "active" in kind or "tasks" in kind)
    assert changes <= 6 * attempts
    leader = cluster.nodes[cluster.leader()].leader
    assert [m.id for m in leader.cluster.machines.values() if m.drain_reason] == []
    cluster.cancel("j-000900")
    run_until_jobs_end(cluster, 60)
    assert cluster.checker.last_phase["j-000900"] == "aborted"
    assert cluster.checker.violations == []


def test_status_queries_do_not_starve_the_leader_or_submissions() -> None:
    """Jobs submitted during 40 status queries a second are accepted and started in time."""
    cluster = SimulatedCluster(seed=19, loss=0.0)
    submit_mixed_jobs(cluster, jobs=8, every=1.0)
    cluster.run(30)
    flood_with_queries(cluster)
    for number in range(100, 110):
        cluster.clock.callLater(
            2.0 * (number - 99), cluster.submit, cluster.job(number, pieces=1, vcpus=1.0, guessS=2.0)
        )
    cluster.run(40)
    submitted = [f"j-{n:06d}" for n in range(100, 110)]
    assert all(cluster.checker.accepted_at[job] - cluster.checker.submitted_at[job] < 2.0 for job in submitted)
    assert all(cluster.checker.started_at[job] - cluster.checker.submitted_at[job] < 20.0 for job in submitted)
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []


def test_a_leader_that_was_frozen_past_its_lease_starts_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    """A leader checks its lease again after a pause before it acts on earlier checks.

    Without that check of the lease, this run fails.
    """
    cluster = SimulatedCluster(seed=20, loss=0.0)
    cluster.run(15)
    name = cluster.leader()
    assert name is not None
    node = cluster.nodes[name]
    assert isinstance(node, Controller)
    leader = node.leader
    assert leader is not None
    cluster.freeze(name, 6.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=4.0))
    cluster.run(5.9)
    assert cluster.leader() not in (None, name)
    sent: list[object] = []
    command = node.clients.workers.command

    def record_command(*arguments: object) -> object:
        sent.append(arguments)
        return command(*arguments)

    monkeypatch.setattr(node.clients.workers, "command", record_command)
    cluster.run(2)
    assert not leader.lease.active
    assert sent == []
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase == {"j-000001": "done"}
