"""Runs under two or more overlapping faults: one for each combination that once broke a rule."""

import pytest

from stileloft.leadership.leader import Leader
from stileloft.model import records
from stileloft.model.machines import Machine as LeaderMachine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol import messages
from stileloft.scheduling.decision_applier import DecisionApplier
from stileloft.transport.client import NoResponseError, Reply
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.deployment import MACHINE_TYPES
from tests.simulation.faults import crash_leader, reclaim_spot_machines
from tests.simulation.timed_faults import (
    Fault,
    block_one_direction,
    cancel_at_completion,
    cancel_running_jobs,
    crash_machines,
    delay_commands,
    delay_writes,
    exhaust_team_quotas,
    flood_with_queries,
    hang_every_nth_machine,
    isolate_leader_with_workers,
    no_fault,
    outage,
    partition_every_nth_machine,
    partition_zone,
    query_all_after_answers,
    refuse_leader,
    refuse_leader_for,
    replay_heartbeats_to_next_leader,
    restart_controllers_one_by_one,
    restart_leaders,
    run_checking_cancellations,
    set_boot_failures,
    slow_state_service,
    stop_all_controllers,
    submit_infeasible_and_repeated_jobs,
    submit_long_jobs,
    submit_one_task_jobs,
    submit_zone_bound_jobs,
)
from tests.simulation.workers import Machine
from tests.simulation.workloads import run_until_jobs_end, submit_mixed_jobs

CANCEL_S = SimulatedCluster.CANCEL_S


# -- only the leader is refused, others confirm cancellations, then the state service is down for all ------------


def run_outage_after_cancellations(
    seed: int, apart_s: float, fault: Fault, outage_s: float = CANCEL_S + 12.0, twice: bool = False
) -> SimulatedCluster:
    cluster = SimulatedCluster(seed=seed, loss=0.002)
    submit_long_jobs(cluster)
    cluster.run(40)
    assert len(cluster.checker.machine_by_task) > 15
    for first in (0,) if not twice else (0, 4):
        refuse_leader(cluster)
        fault(cluster)
        for number in range(first, first + 4):
            cluster.clock.callLater(apart_s * (0.1 + 0.25 * (number - first)), cluster.cancel, f"j-{number:06d}")
        cluster.clock.callLater(apart_s, cluster.state.outage, outage_s)
        run_checking_cancellations(cluster, apart_s + outage_s + 25.0)
    return cluster


@pytest.mark.parametrize(
    "fault",
    [
        no_fault,
        hang_every_nth_machine(9.0),
        partition_every_nth_machine(9.0, 2),
        block_one_direction("inbound_blocked", 9.0),
        block_one_direction("outbound_blocked", 9.0),
    ],
    ids=["no other fault", "machines hang", "machines partitioned", "to machines blocked", "from machines blocked"],
)
@pytest.mark.parametrize("apart_s", [0.24, 0.8, 1.3, 1.6, 2.4, 3.6])
def test_cancellations_unseen_by_the_leader_end_tasks_in_time_despite_an_outage(apart_s: float, fault: Fault) -> None:
    """Cancelled tasks end within the bound, though their leader learns nothing of the cancellation.

    The leader renews worker leases for its grace, but cannot read the cancellations that other controllers confirmed.
    """
    cluster = run_outage_after_cancellations(int(apart_s * 10), apart_s, fault)
    assert cluster.checker.cancelled_at
    assert cluster.checker.violations == []


def test_cancellations_unseen_by_the_leader_and_an_outage_twice_in_a_row() -> None:
    cluster = run_outage_after_cancellations(5, 1.0, no_fault, twice=True)
    assert len(cluster.checker.cancelled_at) >= 4
    assert cluster.checker.violations == []


def run_short_leaderships_before_outage(seed: int, wait_s: float) -> SimulatedCluster:
    """Kills the first three leaders at their election; the outage begins `wait_s` after the fourth is elected."""
    cluster = SimulatedCluster(seed=seed, loss=0.0)
    submit_long_jobs(cluster)
    cluster.run(40)
    refuse_leader(cluster)
    for number in range(4):
        cluster.clock.callLater(0.1 + 0.1 * number, cluster.cancel, f"j-{number:06d}")
    elected = []

    def on_leader(name: str) -> None:
        elected.append(name)
        if len(elected) <= 3:
            cluster.clock.callLater(0.0, cluster.kill, name, 0.2)
        else:
            cluster.clock.callLater(wait_s, cluster.state.outage, CANCEL_S + 12.0)

    cluster.leader_listeners.append(on_leader)
    run_checking_cancellations(cluster, CANCEL_S + 40.0)
    assert len(elected) >= 4
    return cluster


@pytest.mark.parametrize("wait_s", [0.012, 0.4])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_renewal_graces_of_successive_leaders_do_not_add_up(seed: int, wait_s: float) -> None:
    """Workers go from one leader that cannot read the store to the next, each with a renewal grace of its own.

    The last leader has read the store before the outage, or has not.
    """
    cluster = run_short_leaderships_before_outage(seed, wait_s)
    assert len(cluster.checker.cancelled_at) == 4
    assert cluster.checker.violations == []


def test_a_leader_with_a_failed_watch_renews_leases_only_for_its_grace() -> None:
    """The leader keeps its own lease, but receives no cancellations."""
    cluster = SimulatedCluster(seed=4, loss=0.0)
    submit_long_jobs(cluster)
    cluster.run(40)
    leader, receive = cluster.leader(), cluster.state.receive

    def refuse_watch(caller: str, method: str, path: str, body: object) -> object:
        if caller == leader and path.startswith("/watch?under=active/"):
            return Reply(503, {"error": "injected fault"})
        return receive(caller, method, path, body)

    cluster.state.receive = refuse_watch  # type: ignore[method-assign]
    cluster.run(6)  # until the watch that was already open has ended
    for number in range(4):
        cluster.cancel(f"j-{number:06d}")
    run_checking_cancellations(cluster, CANCEL_S + 30.0)
    assert len(cluster.checker.cancelled_at) == 4
    assert cluster.checker.violations == []


def test_the_checker_detects_unbounded_lease_renewal(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(Leader, "may_renew_worker_leases", lambda _: True)
    broken = [
        line for seed in (1, 2, 3) for line in run_short_leaderships_before_outage(seed, 0.012).checker.violations
    ]
    assert any("ran_cancelled" in line for line in broken)


# -- other combinations of faults --------------------------------------------------------------------------------

FaultSchedule = tuple[list[tuple[float, Fault]], float]
"""Faults, each with its time in seconds, and the time at which all are over."""

FAULT_SCHEDULES: dict[str, FaultSchedule] = {
    "all controllers down for longer than a lease": (
        [(0.0, stop_all_controllers(15.0)), (2.0, exhaust_team_quotas)],
        60.0,
    ),
    "more work than capacity over slow links": (
        [
            (0.0, exhaust_team_quotas),
            (1.0, slow_state_service(40.0)),
            (2.0, delay_commands(30.0, 3.0)),
            (10.0, crash_leader),
        ],
        60.0,
    ),
    "heartbeats replayed to new leaders": (
        [
            (0.0, replay_heartbeats_to_next_leader(20.0)),
            (1.0, partition_every_nth_machine(9.0)),
            (8.0, crash_leader),
            (16.0, crash_leader),
        ],
        50.0,
    ),
    "slow state service during cancellations and queries": (
        [
            (0.0, slow_state_service(50.0, 1.2)),
            (1.0, query_all_after_answers(60.0)),
            (5.0, cancel_running_jobs(3)),
            (20.0, cancel_running_jobs(3)),
        ],
        70.0,
    ),
    "state service slow, then refuses the leader, then down": (
        [
            (0.0, slow_state_service(10.0, 1.2)),
            (4.0, refuse_leader_for(12.0)),
            (4.4, cancel_running_jobs(4)),
            (5.6, outage(34.0)),
            (0.0, query_all_after_answers(60.0)),
        ],
        70.0,
    ),
    "quotas exhausted, machines hang, failover": (
        [
            (0.0, exhaust_team_quotas),
            (12.0, hang_every_nth_machine(10.0)),
            (12.5, cancel_running_jobs(5)),
            (13.0, crash_leader),
        ],
        60.0,
    ),
    "quotas exhausted, machines partitioned, failover": (
        [
            (0.0, exhaust_team_quotas),
            (12.0, partition_every_nth_machine(20.0, 2)),
            (12.5, crash_leader),
            (12.7, cancel_running_jobs(6)),
        ],
        70.0,
    ),
    "zone with workers and controllers partitioned": (
        [(0.0, partition_zone(25.0)), (3.0, cancel_running_jobs(4)), (20.0, cancel_running_jobs(2))],
        70.0,
    ),
    "ten failovers": (
        [
            (0.0, restart_leaders(10, 4.0)),
            (1.0, cancel_running_jobs(2)),
            (9.0, cancel_running_jobs(2)),
            (18.0, cancel_running_jobs(3)),
        ],
        80.0,
    ),
    "failovers during an outage": (
        [
            (0.0, outage(20.0)),
            (1.0, restart_leaders(5, 4.0)),
            (19.0, restart_leaders(5, 1.0)),
            (19.5, cancel_running_jobs(4)),
        ],
        70.0,
    ),
    "failovers within a second of each other": (
        [
            (0.0, restart_leaders(12, 0.7)),
            (0.5, cancel_running_jobs(3)),
            (3.0, query_all_after_answers(20.0)),
            (4.0, cancel_running_jobs(3)),
        ],
        60.0,
    ),
    "old heartbeats reach all controllers as a new leader starts": (
        [
            (0.0, replay_heartbeats_to_next_leader(30.0)),
            (6.0, refuse_leader_for(20.0)),
            (6.5, block_one_direction("outbound_blocked", 6.0)),
            (20.0, hang_every_nth_machine(8.0)),
            (21.0, crash_leader),
        ],
        60.0,
    ),
    "leader isolated with its workers, cancellations elsewhere": (
        [(0.0, isolate_leader_with_workers(40.0)), (2.0, cancel_running_jobs(4)), (10.0, cancel_running_jobs(3))],
        80.0,
    ),
    "answers of commits lost while others read": (
        [
            (0.0, delay_writes(40.0, 0.3, at_once=True)),
            (0.0, query_all_after_answers(40.0)),
            (8.0, cancel_running_jobs(4)),
        ],
        70.0,
    ),
    "queries at all controllers after each answer": (
        [
            (0.0, query_all_after_answers(60.0)),
            (5.0, exhaust_team_quotas),
            (9.0, cancel_running_jobs(5)),
            (10.0, crash_leader),
        ],
        70.0,
    ),
    "zone-bound jobs lose machines": (
        [(0.0, submit_zone_bound_jobs), (20.0, crash_machines), (26.0, crash_machines)],
        50.0,
    ),
    "zone-bound jobs, a zone partitioned": (
        [(0.0, submit_zone_bound_jobs), (18.0, partition_zone(15.0, "b")), (22.0, crash_machines)],
        60.0,
    ),
    "commands or their answers delayed": (
        [
            (0.0, delay_commands(40.0)),
            (3.0, cancel_running_jobs(4)),
            (12.0, exhaust_team_quotas),
            (20.0, crash_leader),
            (22.0, cancel_running_jobs(4)),
        ],
        70.0,
    ),
    "cancellations at the end of the last task": (
        [(0.0, cancel_at_completion), (0.0, query_all_after_answers(60.0)), (2.0, exhaust_team_quotas)],
        70.0,
    ),
    "one-task jobs, four per second": ([(0.0, submit_one_task_jobs), (30.0, crash_leader)], 80.0),
    "quotas exhausted, machines unreachable, cancellations, failover": (
        [
            (0.0, exhaust_team_quotas),
            (14.0, block_one_direction("inbound_blocked", 15.0)),
            (15.0, crash_leader),
            (15.3, cancel_running_jobs(5)),
            (24.0, crash_leader),
        ],
        70.0,
    ),
    "boots within two seconds, writes delayed, leader crashes": (
        [
            (0.0, set_boot_failures(40.0, 0.0, 0.0, 1.2)),
            (0.5, delay_writes(30.0, 0.3)),
            (1.0, exhaust_team_quotas),
            (3.5, crash_leader),
            (8.0, crash_leader),
            (12.0, crash_machines),
        ],
        70.0,
    ),
    "boots that are late or never complete": (
        [(0.0, set_boot_failures(60.0, 0.25, 0.25, 0.0)), (1.0, exhaust_team_quotas), (10.0, crash_machines)],
        90.0,
    ),
    "transactions delayed": (
        [
            (0.0, delay_writes(40.0, 0.25)),
            (3.0, exhaust_team_quotas),
            (8.0, cancel_running_jobs(3)),
            (16.0, crash_leader),
            (24.0, cancel_running_jobs(3)),
        ],
        80.0,
    ),
    "transactions delayed, zone-bound jobs": (
        [
            (0.0, submit_zone_bound_jobs),
            (0.2, delay_writes(40.0, 0.3)),
            (8.0, crash_machines),
            (20.0, cancel_running_jobs(3)),
            (20.0, query_all_after_answers(30.0)),
        ],
        80.0,
    ),
    "leader crashes while machines are unreachable": (
        [
            (0.0, partition_every_nth_machine(14.0, 2)),
            (1.0, crash_leader),
            (20.0, block_one_direction("inbound_blocked", 14.0)),
            (21.0, crash_leader),
        ],
        60.0,
    ),
    "old heartbeats of an earlier epoch after newer ones": (
        [
            (0.0, lambda cluster: setattr(cluster, "duplicate_share", 0.3)),
            (4.0, hang_every_nth_machine(14.0)),
            (10.0, crash_leader),
            (30.0, lambda cluster: setattr(cluster, "duplicate_share", 0.0)),
        ],
        80.0,
    ),
    "all controllers crash and one returns first": (
        [
            (0.0, restart_controllers_one_by_one),
            (8.0, restart_controllers_one_by_one),
            (8.4, cancel_running_jobs(3)),
            (12.0, crash_leader),
        ],
        60.0,
    ),
    "heartbeats of machines blocked while commands reach them": (
        [(0.0, block_one_direction("outbound_blocked", 18.0)), (2.0, cancel_running_jobs(4)), (6.0, crash_leader)],
        60.0,
    ),
    "cancellations during a failover": (
        [
            (0.0, crash_leader),
            *((0.2 + 0.35 * n, cancel_running_jobs(1)) for n in range(9)),
            (2.0, query_all_after_answers(20.0)),
        ],
        50.0,
    ),
    "infeasible and repeated jobs during failovers": (
        [
            (0.0, submit_infeasible_and_repeated_jobs),
            (1.0, restart_leaders(3, 2.0)),
            (2.0, submit_infeasible_and_repeated_jobs),
            (5.0, submit_infeasible_and_repeated_jobs),
        ],
        40.0,
    ),
    "query flood with an outage": (
        [(0.0, flood_with_queries), (20.0, outage(8.0)), (30.0, cancel_running_jobs(3))],
        70.0,
    ),
    "machines hang within the lease during cancellations": (
        [(0.0, cancel_running_jobs(6, hang_s=9.0)), (3.0, crash_leader), (20.0, cancel_running_jobs(6, hang_s=16.0))],
        60.0,
    ),
}


def run_schedule(name: str, seed: int) -> SimulatedCluster:
    faults, faults_end_s = FAULT_SCHEDULES[name]
    cluster = SimulatedCluster(seed=seed, loss=0.003)
    submit_mixed_jobs(cluster)
    for seconds, fault in faults:
        cluster.clock.callLater(34.0 + seconds, fault, cluster)
    cluster.checker.faults_until = 34.0 + faults_end_s
    run_until_jobs_end(cluster)
    return cluster


# Two seeds for each schedule, and the seeds that once broke a rule.
CASES = [(name, seed) for name in FAULT_SCHEDULES for seed in (1, 2)] + [
    ("one-task jobs, four per second", 4),
]


@pytest.mark.parametrize(("name", "seed"), CASES)
def test_overlapping_faults(name: str, seed: int) -> None:
    cluster = run_schedule(name, seed)
    assert cluster.checker.violations == []
    feasible = [job for job in cluster.jobs if job not in cluster.checker.infeasible_jobs]
    assert [job for job in feasible if not cluster.checker.is_final(job)] == []


# -- concurrent queries --------------------------------------------------------------------------------------------


def test_many_queries_share_reads_of_the_state_service() -> None:
    """200 queries a second share reads, so that most of the request limit is left to the leader.

    Each read begins after the queries that it answers have arrived.
    """
    cluster = SimulatedCluster(seed=3, loss=0.0)
    submit_mixed_jobs(cluster, jobs=12, every=0.5)
    cluster.run(20)
    receive, requests, answers = cluster.state.receive, [0], []
    observe_status = cluster.checker.observe_status

    def count_requests(caller: str, method: str, path: str, body: object) -> object:
        requests[0] += 1
        return receive(caller, method, path, body)

    def record_answer(job: str, answer: dict | None, requested_at: float) -> None:
        answers.append(job)
        observe_status(job, answer, requested_at)

    cluster.state.receive = count_requests  # type: ignore[method-assign]
    cluster.checker.observe_status = record_answer  # type: ignore[method-assign]
    for number in range(2000):
        job = f"j-{number % 12:06d}"
        cluster.clock.callLater(
            number / 200, cluster._request_once, cluster.names[number % 3], cluster._status_request(job), job
        )
    cluster.run(11)
    assert len(answers) >= 0.99 * 2000
    assert cluster.state.throttled_requests == 0
    assert requests[0] < 11 * 0.75 * cluster.state.rps
    assert cluster.checker.violations == []


@pytest.mark.parametrize("inline", [True, False])
def test_a_delayed_transaction_is_rejected_after_the_job_was_reloaded(
    monkeypatch: pytest.MonkeyPatch, inline: bool
) -> None:
    """A transaction that got no answer is executed after its job was reloaded, and must be rejected.

    Otherwise its placements would come on top of others that have taken their room since.
    """
    if not inline:
        monkeypatch.setattr(records, "INLINE_FORMAT", records.NEWEST_FORMAT + 1)
    cluster = SimulatedCluster(seed=5, loss=0.0)
    cluster.run(5)
    handle, delayed = cluster.state.handle, []

    def has_placements(write: dict) -> bool:
        key = write.get("set", "")
        if inline:
            return key.startswith("active/") and bool(write["v"].get(records.INLINE_CHUNK, {}).get("p"))
        return key.startswith("tasks/")

    def delay_first_placement(caller: str, method: str, path: str, body: dict) -> object:
        if path == "/commit" and not delayed and any(has_placements(write) for write in body["writes"]):
            delayed.append((caller, method, path, body))
            raise NoResponseError("nothing comes back")
        return handle(caller, method, path, body)

    cluster.state.handle = delay_first_placement  # type: ignore[method-assign]
    cluster.submit(cluster.job(1, pieces=12, vcpus=4.0, guessS=30.0))  # exhausts the quota of its team
    while not delayed and cluster.now < 60:
        cluster.run(0.1)
    job = cluster.nodes[cluster.leader()].leader.cluster.jobs["j-000001"]
    for reload_done in (False, True):
        while job.reload_pending != (not reload_done) and cluster.now < 70:
            cluster.clock.advance(0.01)
    # The job has been reloaded; its guards must reject the delayed transaction.
    assert handle(*delayed[0]).status == 409
    run_until_jobs_end(cluster, 120)
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase["j-000001"] == "done"


# -- old heartbeats and a new leader ---------------------------------------------------------------------------------


def bound_placements(machine: LeaderMachine) -> list[Placement]:
    return [placement for placement in machine.placements.values() if placement.state is PlacementState.BOUND]


def check_that_only_a_release_ends_the_tasks(cluster: SimulatedCluster, machine: LeaderMachine) -> None:
    """Checks that a machine's tasks outlast every lease while the cloud is out, and end with the release."""
    leader = cluster.nodes[cluster.leader()].leader
    placed = bound_placements(machine)
    assert placed
    cloud_back_at = cluster.now + leader.lease.renewal_grace_s + 2.0 * cluster.LEASE_S
    cluster.cloud.down_until = cloud_back_at
    while cluster.now < cloud_back_at:
        cluster.run(1.0)
        assert bound_placements(machine) == placed
    cluster.run(8.0)
    assert machine.id in leader.releaser.released
    assert bound_placements(machine) == []
    assert cluster.checker.violations == []


def test_an_old_heartbeat_does_not_shorten_the_wait_for_a_former_leader() -> None:
    """A new leader answers old heartbeats, but they do not prove that the worker has left the former leader.

    The former leader may still renew the worker's lease for its grace.
    """
    cluster = SimulatedCluster(seed=8, loss=0.0)
    submit_long_jobs(cluster)
    cluster.run(40)
    machine = next(iter(cluster.checker.machine_by_task.values()))
    old = [machine.heartbeat() for _ in range(2)]
    for name in cluster.names:
        cluster.partition(name, machine.name, 90.0)
    cluster.kill(cluster.leader(), None)
    cluster.run(4)
    leader_name = cluster.leader()
    leader = cluster.nodes[leader_name].leader
    for body in old:
        assert cluster.deliver_heartbeat(leader_name, body).status == 200
    leader_machine = leader.cluster.machines[machine.name]
    assert leader_machine.placements
    assert not leader_machine.claimed
    assert not leader.dispatcher.is_reachable(leader_machine, cluster.now)
    check_that_only_a_release_ends_the_tasks(cluster, leader_machine)


def test_tasks_of_a_new_epoch_end_only_with_the_release_of_a_silent_machine() -> None:
    """Tasks that were started in a new epoch outlive the leases of both epochs."""
    cluster = SimulatedCluster(seed=8, loss=0.0)
    submit_long_jobs(cluster)
    cluster.run(40)
    machine = next(iter(cluster.checker.machine_by_task.values()))
    leader = cluster.nodes[cluster.leader()].leader
    leader_machine = leader.cluster.machines[machine.name]
    for name in cluster.names:
        cluster.partition(machine.name, name, 90.0)
    machine.epoch += 1
    leader.heartbeats.process(messages.parse_heartbeat(machine.heartbeat()))
    check_that_only_a_release_ends_the_tasks(cluster, leader_machine)


def test_no_lease_is_renewed_before_the_store_is_read() -> None:
    cluster = SimulatedCluster(seed=8, loss=0.0)
    submit_long_jobs(cluster)
    cluster.run(40)
    machine = next(iter(cluster.checker.machine_by_task.values()))
    handle = cluster.state.handle

    def refuse_reads(caller: str, method: str, path: str, body: object) -> object:
        if path.startswith("/kv?under=active/"):
            return Reply(503, {"error": "injected fault"})
        return handle(caller, method, path, body)

    cluster.state.handle = refuse_reads  # type: ignore[method-assign]
    cluster.kill(cluster.leader(), None)
    cluster.run(4)
    leader = cluster.leader()
    assert cluster.deliver_heartbeat(leader, machine.heartbeat()).status == 503
    cluster.state.handle = handle  # type: ignore[method-assign]
    cluster.run(2)
    answer = cluster.deliver_heartbeat(leader, machine.heartbeat())
    assert answer.status == 200
    assert answer.body["baton"] == cluster.nodes[leader].leader.tokens.first


def test_a_worker_with_an_older_token_receives_stops_of_cancelled_jobs() -> None:
    """The answer that renews a worker's lease carries the stops, also while an outage delays a reload of the job."""
    cluster = SimulatedCluster(seed=8, loss=0.0)
    submit_long_jobs(cluster)
    cluster.run(40)
    (task, machine), *_ = cluster.checker.machine_by_task.items()
    job = task.rpartition("/")[0]
    cluster.inbound_blocked[machine.name] = cluster.now + 30.0
    cluster.kill(cluster.leader(), None)
    cluster.run(4)
    leader_name = cluster.leader()
    leader = cluster.nodes[leader_name].leader
    leader.reloader.reload(leader.cluster.jobs[job])
    refuse_leader(cluster)
    cluster.cancel(job)
    cluster.run(0.01)
    leader.watch.on_change(job, None, cluster.state.revision)
    assert leader.cluster.jobs[job].reload_pending
    assert not leader.cluster.machines[machine.name].claimed
    orders = cluster.deliver_heartbeat(leader_name, machine.heartbeat()).body["orders"]
    assert {order["piece"] for order in orders if order["verb"] == "stop"} >= {
        name for name, host in cluster.checker.machine_by_task.items() if host is machine and name.startswith(job)
    }


# -- the checker ---------------------------------------------------------------------------------------------------


def cluster_with_one_job() -> SimulatedCluster:
    cluster = SimulatedCluster(seed=1)
    cluster.jobs["j-000001"] = cluster.job(1, pieces=1)
    return cluster


def test_the_checker_detects_a_stale_answer_of_another_controller() -> None:
    """A query must not get an older answer than any controller had given before the query was sent.

    A query that was sent earlier may still get the older answer.
    """
    checker = cluster_with_one_job().checker
    checker.cancel_requested("j-000001")
    checker.observe_status("j-000001", {"phase": "aborted"}, -1.0)
    checker.observe_status("j-000001", {"phase": "running"}, -0.5)
    checker.observe_status("j-000001", None, -0.5)
    assert checker.violations == []
    checker.observe_status("j-000001", {"phase": "running"}, 0.5)
    checker.observe_status("j-000001", None, 0.5)
    assert [line.split()[1] for line in checker.violations] == ["went_back:", "forgotten:"]


def test_the_checker_detects_an_accepted_infeasible_job(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("stileloft.jobs.feasibility.infeasibility_reason", lambda *_: None)
    cluster = SimulatedCluster(seed=1)
    cluster.run(5)
    submit_infeasible_and_repeated_jobs(cluster)
    cluster.run(5)
    assert any("accepted" in line for line in cluster.checker.violations)


def test_the_checker_detects_a_job_that_waits_despite_free_capacity(monkeypatch: pytest.MonkeyPatch) -> None:
    place = DecisionApplier._place
    monkeypatch.setattr(
        DecisionApplier, "_place", lambda applier, key, *more: key[0] != "j-000001" and place(applier, key, *more)
    )
    cluster = SimulatedCluster(seed=1, loss=0.0)
    for number in (1, 2):
        cluster.submit(cluster.job(number, pieces=1, guessS=60.0))
    for _ in range(30):
        cluster.run(5)
        cluster.checker.check_waiting()
    assert {line.split()[2] for line in cluster.checker.violations if "left_waiting" in line} == {"j-000001"}


def test_the_checker_detects_a_start_after_a_cancellation() -> None:
    cluster = cluster_with_one_job()
    checker = cluster.checker
    checker.cancel_requested("j-000001")
    checker.observe_status("j-000001", {"phase": "aborted"})
    machine = cluster.cloud.add(MACHINE_TYPES[1], "a", True)
    checker.task_started("j-000001/0", machine, 2.0)
    assert checker.late_starts == []
    checker.task_started("j-000001/0", machine, 10.0)
    assert len(checker.late_starts) == 1


@pytest.mark.parametrize(
    "name",
    [
        "slow state service during cancellations and queries",
        "ten failovers",
        "queries at all controllers after each answer",
        "cancellations during a failover",
    ],
)
def test_nothing_starts_after_a_confirmed_cancellation(name: str) -> None:
    """No task starts later than the network delay explains, in runs without delayed commands."""
    cluster = run_schedule(name, 3)
    assert len(cluster.checker.cancelled_at) >= 3
    assert cluster.checker.late_starts == []


def test_a_replacement_is_provisioned_before_an_overdue_machine_is_released() -> None:
    """A machine that never boots counts as booting for 1.6 boot times, not until its release after 3."""
    cluster = SimulatedCluster(seed=9, loss=0.0)
    set_boot_failures(10.0, 1.0, 0.0, 0.0)(cluster)
    cluster.submit(cluster.job(1, pieces=2))
    cluster.run(10)
    never_up = set(cluster.cloud.machines)
    assert never_up
    while not cluster.checker.started_at and cluster.now < 100:
        cluster.run(1.0)
    # A boot takes up to 22.5 s here; plans are made every two seconds.
    assert cluster.checker.started_at["j-000001"] < 1.6 * 15.0 + 22.5 + 8.0
    cluster.run(60)
    assert not never_up & set(cluster.cloud.machines)
    assert cluster.checker.violations == []


def test_a_zone_with_failing_boots_is_avoided_and_retried_later() -> None:
    """While machines of one zone do not boot, the other zone is used; later the first zone is used again."""
    cluster = SimulatedCluster(seed=12, loss=0.0, capacity=12)
    add, zone_fails = cluster.cloud.add, [True]

    def add_with_failures(kind: dict, zone: str, spot: bool) -> Machine:
        cluster.cloud.boot_faults_until = cluster.now + 1.0
        cluster.cloud.boot_faults = (1.0 if zone_fails[0] and zone == "a" else 0.0, 0.0, 8.0)
        return add(kind, zone, spot)

    def zones_used_for_burst(first: int, jobs: int, **changes: object) -> list[str]:
        """Returns the zones of the machines that are provisioned for jobs that fill one machine each."""
        before = set(cluster.all_machines)
        for number in range(first, first + jobs):
            cluster.submit(cluster.job(number, pieces=2, vcpus=4.0, guessS=60.0, builds=["small"], **changes))
        cluster.run(6)
        return [machine.zone for name, machine in cluster.all_machines.items() if name not in before]

    cluster.cloud.add = add_with_failures  # type: ignore[method-assign]
    cluster.run(4)
    # Zone b gets more machines first, so that the failing zone a would be preferred.
    assert set(zones_used_for_burst(0, 5, yard="b", crew="edge")) == {"b"}
    assert zones_used_for_burst(10, 6).count("a") >= 3
    leader = cluster.nodes[cluster.leader()].leader
    while not leader.boots.unreliable_offers() and cluster.now < 60:
        cluster.run(0.05)
    assert {zone for _, zone, _ in leader.boots.unreliable_offers()} == {"a"}
    before = set(cluster.all_machines)
    cluster.run(8)
    instead = [machine.zone for name, machine in cluster.all_machines.items() if name not in before]
    assert len(instead) >= 2
    assert set(instead) == {"b"}
    zone_fails[0] = False
    cluster.run(200)  # until all jobs are done and idle machines are released
    assert leader.boots.unreliable_offers() == set()
    assert "a" in zones_used_for_burst(40, 8)
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []


@pytest.mark.parametrize("kind", [records.PROVISIONED, records.IMAGES])
@pytest.mark.parametrize("seed", [1, 2])
def test_delayed_writes_of_provisioning_and_image_records_do_no_harm(kind: str, seed: int) -> None:
    """Delayed writes get no answer and are executed seconds later, over newer records, which new leaders then read."""
    cluster = SimulatedCluster(seed=seed, loss=0.0, capacity=6)
    receive, delayed = cluster.state.receive, []

    def delay_commits(caller: str, method: str, path: str, body: dict) -> object:
        keys = [write.get("set") or write["delete"] for write in body["writes"]] if path == "/commit" else []
        if any(key.startswith(kind) for key in keys) and cluster.now < 90.0:
            delayed.append(keys)
            cluster.clock.callLater(cluster.random.uniform(4.0, 20.0), cluster.state.handle, caller, method, path, body)
            raise NoResponseError("nothing comes back")
        return receive(caller, method, path, body)

    cluster.state.receive = delay_commits  # type: ignore[method-assign]
    submit_mixed_jobs(cluster, jobs=18)
    for number in range(18):
        # Enough images that a machine's record keeps changing.
        cluster.clock.callLater(
            3.0 * number, cluster.submit, cluster.job(100 + number, pieces=2, bundle=f"img-{number}")
        )
    for at in (30.0, 52.0, 74.0):
        cluster.clock.callLater(at, crash_leader, cluster)
    cluster.clock.callLater(60.0, reclaim_spot_machines, cluster)
    cluster.checker.faults_until = 110.0
    run_until_jobs_end(cluster)
    assert len(delayed) >= 3
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []
    # Each provisioned machine is found by its record or in the cloud's list; unneeded machines are released.
    cluster.run(100)
    controller = cluster.nodes[cluster.leader()]
    assert set(cluster.cloud.machines) == set(controller.leader.cluster.machines)
    assert len(cluster.cloud.machines) <= 6


def test_a_new_leader_does_not_treat_running_machines_as_overdue() -> None:
    """A new leader has received no heartbeats yet.

    If it took running machines for overdue, it would replace them, or release the idle ones (inc-e1be).
    """
    cluster = SimulatedCluster(seed=13, loss=0.0, capacity=8)
    cluster.submit(cluster.job(1, pieces=8, vcpus=4.0, guessS=120.0))
    while len(cluster.checker.machine_by_task) < 8:
        cluster.run(1)
    cluster.run(25)  # until all machines are older than the longest boot
    for _ in range(3):
        before = set(cluster.cloud.machines)
        crash_leader(cluster)
        cluster.run(6)
        leader = cluster.nodes[cluster.leader()].leader
        assert [
            machine.id for machine in leader.cluster.machines.values() if machine.boot_overdue and machine.cloud_state
        ] == []
        assert leader.boots.unreliable_offers() == set()
        assert before <= set(cluster.cloud.machines)
        assert len(cluster.cloud.machines) <= len(before) + 3
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
