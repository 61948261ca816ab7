"""Runs of the simulated cluster under faults: no rule is broken and all jobs end."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from stileloft.controller.clients import STATE_TIMEOUT_S
from stileloft.jobs.admission import Admission
from stileloft.jobs.errors import RetryLaterError
from stileloft.leadership.renewal_grace import renewal_grace
from stileloft.machines.supervisor import MachineSupervisor
from stileloft.model.jobs import EndPhase, Job
from stileloft.protocol import messages
from stileloft.protocol.commands import CommandMessage, StartCommand
from stileloft.scheduling.pending_jobs import PendingJobs
from stileloft.settings import Workers
from stileloft.transport.client import Reply
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import (
    block_traffic_to_machines,
    cloud_outage,
    crash_all_controllers,
    crash_all_controllers_in_outage,
    crash_leader,
    crash_machines,
    duplicate_messages,
    fail_most_machines,
    freeze_during_elections,
    freeze_leader,
    freeze_standbys,
    hang_two_machines,
    isolate_leader_with_workers,
    make_machine_faulty,
    outage,
    partition_leader_from_most_workers,
    partition_leader_from_state_service,
    partition_leader_from_workers,
    partition_machines,
    partition_zone_of_leader,
    reclaim_spot_machines,
    refuse_leader,
    refuse_peer_connections,
    restart_all_controllers,
    restart_during_elections,
    restart_machines,
    rolling_restart,
)
from tests.simulation.workloads import run_until_jobs_end, submit_burst, submit_mixed_jobs

FAULT_SEQUENCES: dict[str, tuple[int, list[Callable[[SimulatedCluster], None]]]] = {
    "no faults": (5, []),
    "leader crashes": (14, [crash_leader, crash_leader]),
    "all controllers crash in an outage": (22, [crash_all_controllers_in_outage]),
    "rolling restart, spot machines reclaimed": (14, [rolling_restart, reclaim_spot_machines]),
    "restarts during elections": (21, [restart_during_elections, restart_during_elections]),
    "outage, then the leader crashes": (18, [outage, crash_leader]),
    "leader refused by the state service": (35, [refuse_leader, crash_machines]),
    "leader partitioned from the state service": (33, [partition_leader_from_state_service, crash_leader]),
    "leader partitioned from the workers": (27, [partition_leader_from_workers, reclaim_spot_machines]),
    "leader partitioned from most workers": (28, [partition_leader_from_most_workers]),
    "machines hang for longer than the lease": (28, [hang_two_machines(20.0), crash_leader]),
    "machines hang for slightly less than the lease": (37, [hang_two_machines(10.0), crash_leader]),
    "machines partitioned, cloud down": (31, [cloud_outage, partition_machines]),
    "traffic to machines blocked for less than a lease": (43, [block_traffic_to_machines(8.0), crash_leader]),
    "traffic to machines blocked for longer than a lease": (42, [block_traffic_to_machines(40.0), crash_leader]),
    "delayed duplicates of messages": (16, [duplicate_messages, crash_leader, reclaim_spot_machines, rolling_restart]),
    "delayed duplicates, machines hang": (31, [duplicate_messages, hang_two_machines(20.0), crash_all_controllers]),
    "leader isolated with its workers": (29, [isolate_leader_with_workers]),
    "leader isolated, spot machines reclaimed, leader crashes": (
        31,
        [isolate_leader_with_workers, reclaim_spot_machines, crash_leader],
    ),
    "zone of the leader partitioned, cloud down": (40, [partition_zone_of_leader]),
    "machines restart, restarts during elections": (24, [restart_machines, restart_machines, restart_during_elections]),
    "leader frozen": (19, [freeze_leader, crash_leader]),
    "leader frozen, delayed duplicates": (37, [duplicate_messages, submit_burst, freeze_leader, reclaim_spot_machines]),
    "leader frozen in an outage of the state service": (43, [outage, freeze_leader]),
    "standbys frozen, then the leader crashes": (42, [freeze_standbys, crash_leader]),
    "controllers frozen during elections": (30, [freeze_during_elections, submit_burst, freeze_during_elections]),
    "all controllers restart under a burst of jobs": (
        37,
        [submit_burst, restart_all_controllers, submit_burst, rolling_restart],
    ),
    "most machines fail at once, cloud down": (33, [submit_burst, fail_most_machines, cloud_outage]),
    "most machines fail at once, leader partitioned": (
        37,
        [fail_most_machines, partition_leader_from_state_service, crash_leader],
    ),
    "peers refuse connections, leader partitioned from the workers": (
        41,
        [refuse_peer_connections, partition_leader_from_workers, crash_leader],
    ),
    "faulty machine, machines crash": (28, [make_machine_faulty, crash_machines, crash_leader]),
}
"""The seed of each run, and its faults, which begin 9 s apart."""


@pytest.mark.parametrize("name", FAULT_SEQUENCES)
def test_rules_hold_under_a_sequence_of_faults(name: str) -> None:
    seed, faults = FAULT_SEQUENCES[name]
    cluster = SimulatedCluster(seed=seed, loss=0.004)
    submit_mixed_jobs(cluster)
    for number, fault in enumerate(faults):
        cluster.clock.callLater(35.0 + 9.0 * number, fault, cluster)
    for number in (2, 8, 15):
        cluster.clock.callLater(20.0 + 3 * number, cluster.cancel, f"j-{number:06d}")
    for number in (4, 11, 20):
        # These cancellations fall into the time of the faults; each confirmation must be right, whoever gives it.
        cluster.clock.callLater(48.0 + number / 2, cluster.cancel, f"j-{number:06d}")
    cluster.checker.faults_until = 110.0
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    unfinished = [job for job in cluster.jobs if not cluster.checker.is_final(job)]
    assert unfinished == []
    assert cluster.checker.starts > 38


def test_a_job_that_always_fails_does_not_block_other_jobs() -> None:
    cluster = SimulatedCluster(seed=5)
    cluster.failing_jobs.add("j-000900")
    cluster.submit(cluster.job(900, pieces=6, urgency="urgent"))
    submit_mixed_jobs(cluster, jobs=10)
    cluster.run(150)
    others = [job for job in cluster.jobs if job != "j-000900"]
    assert all(cluster.checker.last_phase.get(job) == "done" for job in others)
    cluster.cancel("j-000900")
    run_until_jobs_end(cluster, 60)
    assert cluster.checker.last_phase["j-000900"] == "aborted"
    assert cluster.checker.violations == []


def test_a_slow_machine_is_drained_and_released() -> None:
    cluster = SimulatedCluster(seed=16, loss=0.0)
    for number in range(12):
        cluster.clock.callLater(1.0 + 6 * number, cluster.submit, cluster.job(number, pieces=8, vcpus=2.0, guessS=8.0))
    cluster.run(30)
    slow = next(iter(cluster.checker.machine_by_task.values())).name
    run_s = cluster.run_time_s
    cluster.run_time_s = lambda name: run_s(name) * (5 if name in cluster.all_machines[slow].tasks else 1)  # type: ignore
    cluster.run_times = FixedTaskLength()
    run_until_jobs_end(cluster)
    assert slow not in cluster.cloud.machines
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}


class FixedTaskLength(dict):
    """Task lengths of eight seconds on a machine of normal speed."""

    def setdefault(self, _name: str, _length: float) -> float:  # type: ignore[override]
        return 8.0


def test_a_standing_job_runs_until_it_is_cancelled() -> None:
    cluster = SimulatedCluster(seed=17)
    cluster.submit(cluster.job(1, shape="standing", pieces=3, guessS=1000.0))
    cluster.clock.callLater(60.0, crash_leader, cluster)
    cluster.run(120)
    assert len(cluster.checker.machine_by_task) == 3
    assert cluster.checker.last_phase["j-000001"] == "running"
    cluster.cancel("j-000001")
    cluster.run(10)
    assert cluster.checker.machine_by_task == {}
    assert cluster.checker.last_phase["j-000001"] == "aborted"
    assert cluster.checker.violations == []


def test_a_large_job_is_stored_as_few_records_until_its_tasks_start() -> None:
    cluster = SimulatedCluster(seed=6)
    cluster.submit(cluster.job(1, pieces=100_000, vcpus=1.0, guessS=600.0))
    cluster.run(60)
    task_records = [key for key in cluster.state.items if key.startswith("tasks/")]
    assert 0 < len(task_records) <= 8
    assert cluster.checker.starts >= 24
    cluster.cancel("j-000001")
    cluster.run(20)
    assert cluster.checker.machine_by_task == {}
    assert cluster.checker.violations == []
    assert [key for key in cluster.state.items if key.startswith(("tasks/", "active/"))] == []


def overloaded_cluster(jobs: int) -> SimulatedCluster:
    """Returns a cluster of two machines with more urgent work than they can run, and `jobs` jobs that may wait."""
    cluster = SimulatedCluster(seed=18, loss=0.0)
    cluster.cloud.max_machines = 2
    for number in range(130):
        urgent = cluster.job(
            1000 + number,
            lane="quick",
            urgency="urgent",
            vcpus=4.0,
            pieces=8,
            guessS=12.0,
            crew=("core", "edge")[number % 2],
            builds=["large"],
        )
        cluster.clock.callLater(20.0 + 3.0 * number, cluster.submit, urgent)
    for number in range(jobs):
        lane, pieces, cpus = (("wide", 3, 16.0), ("batch", 6, 3.0))[number % 2]
        body = cluster.job(number, lane=lane, pieces=pieces, vcpus=cpus, guessS=25.0, dueS=60.0, builds=["large"])
        cluster.clock.callLater(40.0 + 4 * number, cluster.submit, body)
    return cluster


def test_aged_jobs_start_under_sustained_overload() -> None:
    """Even the widest jobs start: ageing moves them forward in the queue, and their tasks are not preempted."""
    cluster = overloaded_cluster(8)
    cluster.run(400)
    cluster.checker.check_served()
    waits = [cluster.checker.started_at[f"j-{n:06d}"] - cluster.checker.submitted_at[f"j-{n:06d}"] for n in range(8)]
    assert 100 < max(waits) < 240
    # Less than half of the urgent work can be served; no other rule may be broken.
    assert [line for line in cluster.checker.violations if "quick" not in line and "team" not in line] == []


def test_many_wide_jobs_start_in_time_after_machines_are_lost() -> None:
    """Ageing begins earlier for many wide jobs.

    Two machines could not start them all between the ordinary age limit and 240 s.
    """
    cluster = overloaded_cluster(36)
    cluster.cloud.max_machines = 4

    def lose_half() -> None:
        for machine in list(cluster.cloud.machines.values())[:2]:
            machine.die()
        cluster.cloud.max_machines = 2

    cluster.clock.callLater(60.0, lose_half)
    cluster.run(470)
    waits = [cluster.checker.started_at[f"j-{n:06d}"] - cluster.checker.submitted_at[f"j-{n:06d}"] for n in range(36)]
    assert max(waits) < 240
    assert [line for line in cluster.checker.violations if "not_served" not in line] == []


def test_the_checker_detects_starved_and_forgotten_jobs(monkeypatch: pytest.MonkeyPatch) -> None:
    """Without ageing, urgent work starves old jobs; a job whose status is never answered counts as forgotten."""
    monkeypatch.setattr(PendingJobs, "_is_aged", lambda *_: False)
    cluster = overloaded_cluster(4)

    status = Admission.status

    async def refuse_one_job(admission: Admission, job: str) -> dict | None:
        if job == "j-000001":
            raise RetryLaterError("busy")
        return await status(admission, job)

    monkeypatch.setattr(Admission, "status", refuse_one_job)
    cluster.run(400)
    cluster.checker.check_answered()
    cluster.checker.check_served()
    assert any("not_served" in line and "wide" in line for line in cluster.checker.violations)
    assert any("forgotten" in line for line in cluster.checker.violations)
    assert all("j-000001" in line for line in cluster.checker.violations if "forgotten" in line)


def test_a_machine_that_receives_no_answers_gets_no_tasks_until_it_is_reachable_again() -> None:
    """A machine whose heartbeats arrive may still receive neither answers nor commands."""
    cluster = SimulatedCluster(seed=19, loss=0.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=90.0))
    cluster.run(40)
    leader = cluster.nodes[cluster.leader()].leader
    name = next(machine.name for machine in cluster.cloud.machines.values() if machine.up)
    machine = leader.cluster.machines[name]
    assert leader.machine_views.is_ready(machine, cluster.now)
    # All its heartbeats go to the leader, as often as a worker without answers can send them.
    cluster.inbound_blocked[name] = cluster.now + 11.0
    for seconds in (5.0, 10.0):
        cluster.clock.callLater(
            seconds, lambda: cluster.deliver_heartbeat(cluster.leader(), cluster.all_machines[name].heartbeat())
        )
    cluster.run(10.5)
    assert cluster.now - machine.last_heartbeat_at < leader.timeouts.heartbeat_overdue_s
    assert not leader.machine_views.is_ready(machine, cluster.now)
    cluster.run(8.0)
    assert leader.machine_views.is_ready(machine, cluster.now)
    assert cluster.checker.violations == []


def test_duplicate_heartbeats_do_not_count_as_signs_of_life() -> None:
    """A duplicate renews no lease, and a peer that receives one does not report the machine as reachable."""
    cluster = SimulatedCluster(seed=20, loss=0.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=60.0))
    cluster.run(40)
    leader_name = cluster.leader()
    leader = cluster.nodes[leader_name].leader
    name = next(m.name for m in cluster.cloud.machines.values() if m.up)
    body = cluster.all_machines[name].heartbeat()
    cluster.deliver_heartbeat(leader_name, body)
    machine = leader.cluster.machines[name]
    cluster.partition(name, leader_name, 20.0)
    cluster.run(3.0)
    before = (
        machine.last_heartbeat_at,
        machine.last_pushed_heartbeat_at,
        machine.last_reachable_at,
        machine.epoch,
        machine.sequence,
    )
    # A worker would take an answer with the leader's token as a renewal of its lease.
    assert cluster.deliver_heartbeat(leader_name, body).body == {"baton": 0, "orders": []}
    assert (
        machine.last_heartbeat_at,
        machine.last_pushed_heartbeat_at,
        machine.last_reachable_at,
        machine.epoch,
        machine.sequence,
    ) == before
    peer = next(n for n in cluster.names if n != leader_name)
    cluster.deliver_heartbeat(peer, body)
    reported = tuple(cluster.nodes[peer].administration.view().machines[name])
    assert reported <= (machine.epoch, machine.sequence)  # the peer reports no newer heartbeat than the leader has


def test_a_stopped_attempt_is_remembered_while_duplicates_of_its_start_may_arrive() -> None:
    cluster = SimulatedCluster(seed=21, loss=0.0)
    cluster.submit(cluster.job(1, pieces=1, guessS=80.0))
    cluster.run_times["j-000001/0"] = 200.0
    cluster.run(40)
    leader = cluster.nodes[cluster.leader()].leader
    (name,) = {m.name for m in cluster.checker.machine_by_task.values()}
    placement = next(iter(leader.cluster.machines[name].placements.values()))
    commands = [StartCommand(placement.task, placement.attempt)]
    start = msgspec.to_builtins(CommandMessage(leader.tokens.first, commands, epoch=1))
    leader.cluster.machines[name].drain_reason = "a test"
    leader.lifecycle.stop(placement, 0.0)
    cluster.run(30)
    assert cluster.checker.machine_by_task["j-000001/0"].name != name
    cluster.all_machines[name].command(start)  # a duplicate of a command that was executed
    cluster.run(5)
    assert cluster.checker.violations == []
    assert cluster.checker.machine_by_task["j-000001/0"].name != name


def test_the_renewal_grace_ends_within_the_cancellation_bound() -> None:
    for lease_s, heartbeat_s, cancel_s in ((19.0, 3.0, 44.0), (10.0, 1.0, 30.0), (12.0, 2.0, 12.0)):
        workers = Workers(heartbeat_s, lease_s, cancel_s)
        grace_s = renewal_grace(workers, 0.1 * lease_s, STATE_TIMEOUT_S)
        assert 0 <= grace_s <= 3 * lease_s
        assert grace_s == 0 or grace_s + lease_s < cancel_s


def test_the_checker_detects_a_task_that_runs_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    """Controllers that take a machine's silence for the end of its tasks break a rule, and the checker reports it."""
    check_machine = MachineSupervisor._check_machine

    def end_tasks_of_silent_machine(self: MachineSupervisor, machine: Any, now: float, partitioned: bool) -> None:
        if now - machine.last_heartbeat_at > 3.0:
            for placement in list(machine.placements.values()):
                self._lifecycle.end(placement, "silent")
        check_machine(self, machine, now, partitioned)

    monkeypatch.setattr(MachineSupervisor, "_check_machine", end_tasks_of_silent_machine)
    cluster = SimulatedCluster(seed=7)
    submit_mixed_jobs(cluster)
    cluster.clock.callLater(35.0, hang_two_machines(10.0), cluster)
    run_until_jobs_end(cluster, 120)
    assert any("ran_twice" in line for line in cluster.checker.violations)


def test_the_watch_resumes_after_a_failed_full_read_of_the_jobs() -> None:
    """The watch is resumed after its revision was compacted and the full read of the jobs that follows was refused.

    Such a refusal used to end the watch, and the leader learned of no further cancellation.
    """
    cluster = SimulatedCluster(seed=23, loss=0.0)
    cluster.submit(cluster.job(1, guessS=100.0))
    cluster.run(30)
    name = cluster.leader()
    watch = cluster.nodes[name].leader.watch
    cluster.state.compacted = cluster.state.revision + 1
    handle, until = cluster.state.handle, cluster.now + 1.0

    def refuse_reads(caller: str, method: str, path: str, body: Any) -> Any:
        if path.startswith("/kv?under=active/") and cluster.now < until:
            return Reply(503, {"error": "injected fault"})
        return handle(caller, method, path, body)

    cluster.state.handle = refuse_reads  # type: ignore[method-assign]
    cluster.clock.callLater(1.5, setattr, cluster.state, "compacted", 0)
    cluster.run(5)
    assert cluster.leader() == name
    assert watch.staleness_s() < 2.0
    cluster.cancel("j-000001")
    cluster.run(8)
    assert not cluster.checker.machine_by_task
    assert cluster.checker.violations == []


class NonReentrantLock:
    """A lock that raises `AssertionError` where a real lock would deadlock on its own holder."""

    def __init__(self) -> None:
        self.held = False

    def __enter__(self) -> None:
        assert not self.held, "the lock is already held"
        self.held = True

    def __exit__(self, *_: object) -> None:
        self.held = False


def test_a_job_that_ends_before_its_first_write_is_removed() -> None:
    """A job that was never stored needs no write: it is removed while the commit queue still holds the lock."""
    cluster = SimulatedCluster(seed=24, loss=0.0)
    cluster.run(12)
    leader = cluster.nodes[cluster.leader()].leader
    leader.lock = NonReentrantLock()
    job = Job(messages.parse_job(cluster.job(7)), cluster.now, 24)
    job.end_phase = EndPhase.CANCELLED
    job.chunk_of(0).dirty = True
    leader.cluster.jobs[job.id] = job
    leader.cluster.mark_dirty(job)
    leader.commit_queue.flush()
    cluster.run(1)
    assert job.id not in leader.cluster.jobs
