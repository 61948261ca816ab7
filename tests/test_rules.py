"""Whole days on the stand-ins: whatever fails, no rule is broken and the work is done."""

from collections.abc import Callable
from typing import Any

import msgspec
import pytest

from stileloft.controller.clients import STATE_TIMEOUT_S
from stileloft.jobs.admission import Admission
from stileloft.jobs.errors import RetryLaterError
from stileloft.leadership.renewal_grace import renewal_grace
from stileloft.machines.worker_leases import WorkerLeases
from stileloft.model.jobs import EndPhase, Job
from stileloft.protocol import messages
from stileloft.protocol.commands import CommandMessage, StartCommand
from stileloft.scheduling.pending_jobs import PendingJobs
from stileloft.settings import Workers
from stileloft.transport.client import Reply
from tests.simulation.cluster import SimulatedCluster


def submit_mixed_jobs(cluster: SimulatedCluster, jobs: int = 24, every: float = 3.0) -> None:
    """A mix of classes, teams and constraints, spread over the first minute or so."""
    for number in range(jobs):
        kind = number % 6
        changes: dict = {
            0: {"pieces": 4},
            1: {"lane": "quick", "urgency": "urgent", "vcpus": 2.0, "pieces": 5, "guessS": 4.0, "crew": "edge"},
            2: {"pieces": 1, "vcpus": 16.0, "guessS": 20.0, "snapshotS": 5.0, "stashS": 1.0},
            3: {"together": True, "pieces": 5, "vcpus": 2.0, "crew": "edge"},
            4: {"spread": True, "pieces": 5, "vcpus": 3.0},
            5: {"loaner": False, "builds": ["small"], "yard": "b", "pieces": 2},
        }[kind]
        cluster.clock.callLater(1.0 + number * every, cluster.submit, cluster.job(number, **changes))


def run_until_jobs_end(cluster: SimulatedCluster, seconds: float = 400.0) -> None:
    """Runs until all users know how their jobs ended."""
    end = cluster.now + seconds
    wanted = [job for job in cluster.jobs if job not in cluster.checker.infeasible_jobs]
    while cluster.now < end and not (
        wanted and cluster.now > cluster.checker.faults_until and all(cluster.checker.is_final(job) for job in wanted)
    ):
        cluster.run(5.0)
        cluster.checker.check_cancelled()
        cluster.checker.check_answered()
        cluster.checker.check_waiting()
        wanted = [job for job in cluster.jobs if job not in cluster.checker.infeasible_jobs]
    cluster.checker.check_served()


def crash_leader(cluster: SimulatedCluster) -> None:
    name = cluster.leader()
    if name is not None:
        cluster.kill(name)


def crash_all_controllers(cluster: SimulatedCluster) -> None:
    for name in cluster.names:
        cluster.kill(name, 4.0)


def restart_all_controllers(cluster: SimulatedCluster) -> None:
    for name in cluster.names:
        cluster.kill(name, 0.2)


def crash_all_controllers_in_outage(cluster: SimulatedCluster) -> None:
    cluster.state.outage(12.0)
    crash_all_controllers(cluster)


def rolling_restart(cluster: SimulatedCluster) -> None:
    for number, name in enumerate(cluster.names):
        cluster.clock.callLater(number * 8.0, cluster.kill, name, 0.3)


def restart_during_elections(cluster: SimulatedCluster) -> None:
    """The leader dies and each node restarts within a fraction of a second, again and again."""
    for number in range(6):
        cluster.clock.callLater(number * 0.7, cluster.kill, cluster.names[number % 3], 0.2)


def outage(cluster: SimulatedCluster) -> None:
    cluster.state.outage(20.0)


def refuse_leader(cluster: SimulatedCluster) -> None:
    name = cluster.leader()
    if name is not None:
        cluster.state.refused_until[name] = cluster.now + 25.0


def partition_leader_from_state_service(cluster: SimulatedCluster) -> None:
    cluster.partition(cluster.leader() or "node-0", "state", 15.0, hold=True)


def partition_leader_from_workers(cluster: SimulatedCluster) -> None:
    name = cluster.leader() or "node-0"
    for machine in list(cluster.cloud.machines):
        cluster.partition(name, machine, 25.0, hold=True)


def partition_leader_from_most_workers(cluster: SimulatedCluster) -> None:
    """As in an incident at Bluebonnet: some machines are still heard, so the leader does not doubt itself."""
    name = cluster.leader() or "node-0"
    for machine in list(cluster.cloud.machines)[1:]:
        cluster.partition(name, machine, 30.0, hold=True)


def reclaim_spot_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.spot][::2]:
        machine.preempted_at = cluster.now + 6.0

        def taken(machine=machine) -> None:
            cluster.cloud.machines.pop(machine.name, None)
            machine.die()

        cluster.clock.callLater(6.0, taken)


def crash_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][:2]:
        machine.die()


def hang_machines(machines: list, seconds: float) -> None:
    for machine in machines:
        machine.hung = True

        def on(machine=machine) -> None:
            machine.hung = False
            machine.check_lease()

        machine.cluster.clock.callLater(seconds, on)


def hang_two_machines(seconds: float) -> Callable[[SimulatedCluster], None]:
    return lambda cluster: hang_machines([m for m in cluster.cloud.machines.values() if m.up][:2], seconds)


def partition_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][:2]:
        for name in cluster.names:
            cluster.partition(name, machine.name, 10.0, hold=True)


def cloud_outage(cluster: SimulatedCluster) -> None:
    cluster.cloud.down_until = cluster.now + 25.0


def make_machine_faulty(cluster: SimulatedCluster) -> None:
    cluster.faulty_machines.update([m.name for m in cluster.cloud.machines.values() if m.up][:1])


def block_traffic_to_machines(seconds: float) -> Callable[[SimulatedCluster], None]:
    """Their reports arrive, but answers and commands don't reach them."""

    def start(cluster: SimulatedCluster) -> None:
        for machine in [m for m in cluster.cloud.machines.values() if m.up][:2]:
            cluster.inbound_blocked[machine.name] = cluster.now + seconds

    return start


def duplicate_messages(cluster: SimulatedCluster) -> None:
    cluster.duplicate_share = 0.3


def isolate_leader_with_workers(cluster: SimulatedCluster) -> None:
    """No state service and no peers, but all workers; meanwhile users cancel with the others."""
    name = cluster.leader() or "node-0"
    for other in ["state", *(n for n in cluster.names if n != name)]:
        cluster.partition(name, other, 60.0, hold=True)


def partition_zone_of_leader(cluster: SimulatedCluster) -> None:
    """The leader and half of the machines on one side, all the rest on the other; nothing can be returned."""
    name = cluster.leader() or "node-0"
    inside = [name, *(m.name for m in cluster.cloud.machines.values() if m.zone == "a")]
    outside = [
        "state",
        "cloud",
        *(n for n in cluster.names if n != name),
        *(m.name for m in cluster.cloud.machines.values() if m.zone != "a"),
    ]
    for one in inside:
        for other in outside:
            cluster.partition(one, other, 55.0, hold=True)
    cluster.cloud.down_until = cluster.now + 55.0


def freeze_leader(cluster: SimulatedCluster) -> None:
    """It stands still for longer than all leases; when it goes on, everything is due at once."""
    cluster.freeze(cluster.leader() or "node-0", 25.0)


def freeze_standbys(cluster: SimulatedCluster) -> None:
    leader = cluster.leader()
    for name in cluster.names:
        if name != leader:
            cluster.freeze(name, 14.0)


def freeze_during_elections(cluster: SimulatedCluster) -> None:
    """The leader stands still and each node after it, a moment after it was elected or while it is."""
    for number in range(24):
        cluster.clock.callLater(number * 0.35, freeze_leader_or_candidate, cluster, number)


def freeze_leader_or_candidate(cluster: SimulatedCluster, number: int) -> None:
    name = cluster.leader() or cluster.names[number % 3]
    if number % 2 == 0 and cluster.frozen_until.get(name, 0.0) <= cluster.now:
        cluster.freeze(name, cluster.random.uniform(1.0, 6.0))


def refuse_peer_connections(cluster: SimulatedCluster) -> None:
    cluster.peers_refuse_until = cluster.now + 40.0


def fail_most_machines(cluster: SimulatedCluster) -> None:
    """Some die, some hang, some are cut off, and half of the spot machines are taken back."""
    up = [m for m in cluster.cloud.machines.values() if m.up]
    for machine in up[::4]:
        machine.die()
    for machine in up[1::4]:
        for name in cluster.names:
            cluster.partition(name, machine.name, 18.0, hold=True)
    hang_two_machines(15.0)(cluster)
    reclaim_spot_machines(cluster)


def submit_burst(cluster: SimulatedCluster) -> None:
    for number in range(12):
        cluster.submit(cluster.job(500 + number, pieces=4, vcpus=2.0, guessS=6.0, crew=("core", "edge")[number % 2]))


def restart_machines(cluster: SimulatedCluster) -> None:
    for machine in [m for m in cluster.cloud.machines.values() if m.up][:3]:
        machine.restart()


FAULT_SEQUENCES: dict[str, list[Callable[[SimulatedCluster], None]]] = {
    "quiet": [],
    "leader crashes": [crash_leader, crash_leader],
    "all crash in an outage": [crash_all_controllers_in_outage],
    "roll in a wave": [rolling_restart, reclaim_spot_machines],
    "restarts in elections": [restart_during_elections, restart_during_elections],
    "outage, then crash": [outage, crash_leader],
    "leader refused by the state service": [refuse_leader, crash_machines],
    "leader cut from the state service": [partition_leader_from_state_service, crash_leader],
    "leader cut from the workers": [partition_leader_from_workers, reclaim_spot_machines],
    "leader cut from most workers": [partition_leader_from_most_workers],
    "machines hang past the lease": [hang_two_machines(20.0), crash_leader],
    "machines hang just short of the lease": [hang_two_machines(10.0), crash_leader],
    "machines cut off and cloud down": [cloud_outage, partition_machines],
    "machines hear nothing, shorter than a lease": [block_traffic_to_machines(8.0), crash_leader],
    "machines hear nothing, longer than a lease": [block_traffic_to_machines(40.0), crash_leader],
    "copies come late": [duplicate_messages, crash_leader, reclaim_spot_machines, rolling_restart],
    "copies come late, machines hang": [duplicate_messages, hang_two_machines(20.0), crash_all_controllers],
    "leader alone with its workers": [isolate_leader_with_workers],
    "leader alone, then others crash": [isolate_leader_with_workers, reclaim_spot_machines, crash_leader],
    "zone with the leader cut off, cloud down": [partition_zone_of_leader],
    "machines restart at once": [restart_machines, restart_machines, restart_during_elections],
    "leader stands still": [freeze_leader, crash_leader],
    "leader stands still, copies come late": [duplicate_messages, submit_burst, freeze_leader, reclaim_spot_machines],
    "leader stands still while the store is down": [outage, freeze_leader],
    "standbys stand still, then the leader dies": [freeze_standbys, crash_leader],
    "nodes stand still in elections": [freeze_during_elections, submit_burst, freeze_during_elections],
    "all crash under a burst, back at once": [submit_burst, restart_all_controllers, submit_burst, rolling_restart],
    "most machines at once, cloud down": [submit_burst, fail_most_machines, cloud_outage],
    "most machines at once, leader cut off": [fail_most_machines, partition_leader_from_state_service, crash_leader],
    "peers refuse, leader cut from the workers": [refuse_peer_connections, partition_leader_from_workers, crash_leader],
    "faulty machine, machines die": [make_machine_faulty, crash_machines, crash_leader],
}


@pytest.mark.parametrize("name", FAULT_SEQUENCES)
def test_rules_hold_under_a_sequence_of_faults(name: str) -> None:
    cluster = SimulatedCluster(seed=len(name), loss=0.004)
    submit_mixed_jobs(cluster)
    for number, trouble in enumerate(FAULT_SEQUENCES[name]):
        cluster.clock.callLater(35.0 + 9.0 * number, trouble, cluster)
    for number in (2, 8, 15):
        cluster.clock.callLater(20.0 + 3 * number, cluster.cancel, f"j-{number:06d}")
    for number in (4, 11, 20):
        # These fall into the trouble; whoever tells it must be right.
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
    plain = cluster.run_time_s
    cluster.run_time_s = lambda name: plain(name) * (5 if name in cluster.all_machines[slow].tasks else 1)  # type: ignore
    cluster.run_times = FixedTaskLength()
    run_until_jobs_end(cluster)
    assert slow not in cluster.cloud.machines
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}


class FixedTaskLength(dict):
    """All tasks take eight seconds on a good machine."""

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
    kept = [key for key in cluster.state.items if key.startswith("tasks/")]
    assert 0 < len(kept) <= 8
    assert cluster.checker.starts >= 24
    cluster.cancel("j-000001")
    cluster.run(20)
    assert cluster.checker.machine_by_task == {}
    assert cluster.checker.violations == []
    assert [key for key in cluster.state.items if key.startswith(("tasks/", "active/"))] == []


def overloaded_cluster(jobs: int) -> SimulatedCluster:
    """Two machines, more pressing work for many times what they can do, and some jobs that may wait."""
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
    """The widest too: their age brings them forward, and what they begin is not stopped again."""
    cluster = overloaded_cluster(8)
    cluster.run(400)
    cluster.checker.check_served()
    waits = [cluster.checker.started_at[f"j-{n:06d}"] - cluster.checker.submitted_at[f"j-{n:06d}"] for n in range(8)]
    assert 100 < max(waits) < 240
    # There is far too much of the pressing work to serve half of it; nothing else may be broken.
    assert [line for line in cluster.checker.violations if "quick" not in line and "team" not in line] == []


def test_many_wide_jobs_start_in_time_after_machines_are_lost() -> None:
    """More than two machines can begin in what is left of 240 s once jobs are old: their age counts earlier."""
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
    """Without ageing the overload keeps old jobs out; a node that answers no question about one job forgets it."""
    monkeypatch.setattr(PendingJobs, "_is_aged", lambda *_: False)
    cluster = overloaded_cluster(4)

    plain = Admission.status

    async def deaf(admission: Admission, job: str) -> dict | None:
        if job == "j-000001":
            raise RetryLaterError("busy")
        return await plain(admission, job)

    monkeypatch.setattr(Admission, "status", deaf)
    cluster.run(400)
    cluster.checker.check_answered()
    cluster.checker.check_served()
    assert any("not_served" in line and "wide" in line for line in cluster.checker.violations)
    assert any("forgotten" in line for line in cluster.checker.violations)
    assert all("j-000001" in line for line in cluster.checker.violations if "forgotten" in line)


def test_a_machine_that_receives_no_answers_gets_no_tasks_until_it_is_reachable_again() -> None:
    """Being heard is not being reachable."""
    cluster = SimulatedCluster(seed=19, loss=0.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=90.0))
    cluster.run(40)
    term = cluster.nodes[cluster.leader()].leader
    name = next(task.name for task in cluster.cloud.machines.values() if task.up)
    machine = term.cluster.machines[name]
    assert term.machine_views.is_ready(machine, cluster.now)
    # All its reports go to the leader, as often as a worker without answers can send them.
    cluster.inbound_blocked[name] = cluster.now + 11.0
    for seconds in (5.0, 10.0):
        cluster.clock.callLater(
            seconds, lambda: cluster.deliver_heartbeat(cluster.leader(), cluster.all_machines[name].heartbeat())
        )
    cluster.run(10.5)
    assert cluster.now - machine.last_heartbeat_at < term.timeouts.heartbeat_overdue_s
    assert not term.machine_views.is_ready(machine, cluster.now)
    cluster.run(8.0)
    assert term.machine_views.is_ready(machine, cluster.now)
    assert cluster.checker.violations == []


def test_duplicate_heartbeats_do_not_count_as_signs_of_life() -> None:
    """A copy renews nothing, and a peer that gets one does not say that it hears the machine."""
    cluster = SimulatedCluster(seed=20, loss=0.0)
    cluster.submit(cluster.job(1, pieces=2, guessS=60.0))
    cluster.run(40)
    leader = cluster.leader()
    term = cluster.nodes[leader].leader
    name = next(m.name for m in cluster.cloud.machines.values() if m.up)
    body = cluster.all_machines[name].heartbeat()
    cluster.deliver_heartbeat(leader, body)
    machine = term.cluster.machines[name]
    cluster.partition(name, leader, 20.0)
    cluster.run(3.0)
    before = (
        machine.last_heartbeat_at,
        machine.lease_renewed_at,
        machine.last_reachable_at,
        machine.epoch,
        machine.sequence,
    )
    # The worker would accept an answer with our token as one that renews its lease.
    assert cluster.deliver_heartbeat(leader, body).body == {"baton": 0, "orders": []}
    assert (
        machine.last_heartbeat_at,
        machine.lease_renewed_at,
        machine.last_reachable_at,
        machine.epoch,
        machine.sequence,
    ) == before
    peer = next(n for n in cluster.names if n != leader)
    cluster.deliver_heartbeat(peer, body)
    seen = tuple(cluster.nodes[peer].administration.view().machines[name])
    assert seen <= (machine.epoch, machine.sequence)  # so it does not count as heard there


def test_a_stopped_attempt_is_remembered_while_duplicates_of_its_start_may_arrive() -> None:
    cluster = SimulatedCluster(seed=21, loss=0.0)
    cluster.submit(cluster.job(1, pieces=1, guessS=80.0))
    cluster.run_times["j-000001/0"] = 200.0
    cluster.run(40)
    term = cluster.nodes[cluster.leader()].leader
    (name,) = {m.name for m in cluster.checker.machine_by_task.values()}
    placement = next(iter(term.cluster.machines[name].placements.values()))
    commands = [StartCommand(placement.task, placement.attempt)]
    start = msgspec.to_builtins(CommandMessage(term.tokens.first, commands, epoch=1))
    term.cluster.machines[name].drain_reason = "a test"
    term.lifecycle.stop(placement, 0.0)
    cluster.run(30)
    assert cluster.checker.machine_by_task["j-000001/0"].name != name
    cluster.all_machines[name].command(start)  # a repeat of what was carried out
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
    """Without the wait for a silent machine's lease the checker must object."""
    monkeypatch.setattr(WorkerLeases, "has_expired", lambda _, machine, now: now - machine.last_heartbeat_at > 3.0)
    cluster = SimulatedCluster(seed=7)
    submit_mixed_jobs(cluster)
    cluster.clock.callLater(35.0, hang_two_machines(10.0), cluster)
    run_until_jobs_end(cluster, 120)
    assert any("ran_twice" in line for line in cluster.checker.violations)


def test_the_watch_resumes_after_a_failed_full_read_of_the_jobs() -> None:
    """Its watch was too old, and reading all jobs anew was refused: it used to end for good."""
    cluster = SimulatedCluster(seed=23, loss=0.0)
    cluster.submit(cluster.job(1, guessS=100.0))
    cluster.run(30)
    name = cluster.leader()
    watch = cluster.nodes[name].leader.watch
    cluster.state.compacted = cluster.state.revision + 1
    handle, until = cluster.state.handle, cluster.now + 1.0

    def refusing(caller: str, method: str, path: str, body: Any) -> Any:
        if path.startswith("/kv?under=active/") and cluster.now < until:
            return Reply(503, {"error": "trouble"})
        return handle(caller, method, path, body)

    cluster.state.handle = refusing  # type: ignore[method-assign]
    cluster.clock.callLater(1.5, setattr, cluster.state, "compacted", 0)
    cluster.run(5)
    assert cluster.leader() == name
    assert watch.staleness_s() < 2.0
    cluster.cancel("j-000001")
    cluster.run(8)
    assert not cluster.checker.machine_by_task
    assert cluster.checker.violations == []


class NonReentrantLock:
    """A lock that objects where a real one would wait for itself for ever."""

    def __init__(self) -> None:
        self.held = False

    def __enter__(self) -> None:
        assert not self.held, "the lock is taken by its own holder"
        self.held = True

    def __exit__(self, *_: object) -> None:
        self.held = False


def test_a_job_that_ends_before_its_first_write_is_removed() -> None:
    """Nothing is to be written of it, so that its end follows at once, while the ledger still holds the lock."""
    cluster = SimulatedCluster(seed=24, loss=0.0)
    cluster.run(12)
    term = cluster.nodes[cluster.leader()].leader
    term.lock = NonReentrantLock()
    job = Job(messages.parse_job(cluster.job(7)), cluster.now, 24)
    job.end_phase = EndPhase.CANCELLED
    job.chunk_of(0).dirty = True
    term.cluster.jobs[job.id] = job
    term.cluster.mark_dirty(job)
    term.commit_queue.flush()
    cluster.run(1)
    assert job.id not in term.cluster.jobs
