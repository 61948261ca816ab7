"""Machines that could not be used for a while are used again: each mark on them clears without a change of leader."""

from collections.abc import Callable

import pytest

from stileloft.leadership.authority import Authority, Refusal
from stileloft.machines.scale_in import MachineReleaser
from stileloft.model.machines import Machine as LeaderMachine
from stileloft.transport.client import ConnectionFailedError, Reply
from tests.rules import MAX_PLACEMENT_DELAY_S
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import hang_two_machines
from tests.simulation.network import MessageDelay
from tests.simulation.timed_faults import (
    Fault,
    block_one_direction,
    delay_commands,
    hang_every_nth_machine,
    outage,
    partition_every_nth_machine,
    refuse_leader,
)
from tests.simulation.workers import Machine
from tests.simulation.workloads import run_until_jobs_end

MACHINES = 2
FAULT_S = 10.0
RECOVERY_S = 15.0
"""Time after a fault within which all machines have to be usable again; some heartbeats and back-offs."""


@pytest.fixture(autouse=True)
def _idle_machines_are_kept(monkeypatch: pytest.MonkeyPatch) -> None:
    release = MachineReleaser.release

    def release_unless_idle(self: MachineReleaser, machine: LeaderMachine, reason: str) -> None:
        if reason != "it is idle":
            release(self, machine, reason)

    monkeypatch.setattr(MachineReleaser, "release", release_unless_idle)


def cluster_with_idle_machines(seed: int) -> SimulatedCluster:
    """Returns a cluster with all the machines that it can have, which are up and idle."""
    cluster = SimulatedCluster(seed, loss=0.0)
    cluster.cloud.max_machines = MACHINES
    cluster.cloud.failed_boot_share = 0.0
    cluster.submit(cluster.job(1, pieces=16, vcpus=8.0, guessS=4.0))
    while cluster.checker.last_phase.get("j-000001") != "done":
        cluster.run(1)
        assert cluster.now < 200.0
    cluster.run(3)
    assert len(machines_up(cluster)) == MACHINES
    return cluster


def machines_up(cluster: SimulatedCluster) -> list[Machine]:
    return [machine for machine in cluster.cloud.machines.values() if machine.up]


def not_ready(cluster: SimulatedCluster) -> list[str]:
    """Returns the machines that are up and that the leader does not use."""
    leader = cluster.nodes[cluster.leader()].leader
    return [
        machine.id
        for machine in leader.cluster.machines.values()
        if machine.id in cluster.cloud.machines
        and not machine.releasing
        and not leader.machine_views.is_ready(machine, cluster.now)
    ]


def hold_commands(seconds: float, delay_s: float) -> Fault:
    """Returns a fault: commands are carried out `delay_s` late and their answers are lost."""

    def start(cluster: SimulatedCluster) -> None:
        cluster.message_delays.append(MessageDelay(cluster.now + seconds, delay_s, delay_s))

    return start


def refuse_commands(seconds: float, refuse: Callable[[], Reply]) -> Fault:
    """Returns a fault: the machines do not execute commands, and `refuse` answers in their place."""

    def start(cluster: SimulatedCluster) -> None:
        until = cluster.now + seconds
        for machine in machines_up(cluster):
            command = machine.command

            def execute_or_refuse(body: object, command=command) -> Reply:
                return refuse() if cluster.now < until else command(body)

            machine.command = execute_or_refuse  # type: ignore[method-assign]

    return start


def refuse_connection() -> Reply:
    raise ConnectionFailedError("refused")


FAULTS: dict[str, Fault] = {
    "commands are held up for 6 s": hold_commands(6.5, 6.0),
    "commands are held up for 10 s": hold_commands(FAULT_S, 7.0),
    "commands are held up for up to 9 s": delay_commands(FAULT_S),
    "connections for commands are refused": refuse_commands(FAULT_S, refuse_connection),
    "commands are answered with an error": refuse_commands(FAULT_S, lambda: Reply(500, {})),
    "nothing reaches the machines": block_one_direction("inbound_blocked", FAULT_S, step=1),
    "the machines reach nobody": block_one_direction("outbound_blocked", 4.0, step=1),
    "the machines hang": hang_every_nth_machine(4.0, step=1),
    "one machine is cut off": partition_every_nth_machine(4.0, step=2),
    "two machines hang": hang_two_machines(5.0),
    "the leader is refused by the state service": lambda cluster: refuse_leader(cluster, 1.0),
    "the state service is out": outage(FAULT_S),
}


@pytest.mark.parametrize("loaded", [True, False], ids=["with a job", "idle"])
@pytest.mark.parametrize("name", FAULTS)
def test_machines_are_used_again_after_a_fault(name: str, loaded: bool) -> None:
    # Guards against a mark on a machine that only an answered command clears, and that keeps commands from being sent.
    cluster = cluster_with_idle_machines(5)
    FAULTS[name](cluster)
    if loaded:
        cluster.submit(cluster.job(2, pieces=2, vcpus=4.0, guessS=3.0))
    cluster.run(FAULT_S + RECOVERY_S)
    assert not_ready(cluster) == []
    cluster.submit(cluster.job(3, pieces=2, vcpus=4.0, guessS=3.0))
    run_until_jobs_end(cluster, 200.0)
    assert cluster.checker.violations == []
    assert cluster.checker.started_at["j-000003"] - cluster.checker.submitted_at["j-000003"] < 60.0


def test_an_accepted_job_starts_beside_machines_whose_commands_were_held_up() -> None:
    # Guards against a job that waits for good because two commands in a row to each machine got no answer.
    cluster = cluster_with_idle_machines(5)
    leader = cluster.leader()
    FAULTS["commands are held up for 6 s"](cluster)
    cluster.submit(cluster.job(2, pieces=4, vcpus=4.0, guessS=3.0))
    cluster.run(25.0)
    assert cluster.checker.last_phase["j-000002"] == "done"
    cluster.submit(cluster.job(3, pieces=4, vcpus=4.0, guessS=3.0))
    cluster.run(30.0)
    assert cluster.checker.last_phase["j-000003"] == "done"
    assert cluster.leader() == leader
    assert len(cluster.all_machines) == MACHINES
    assert cluster.checker.violations == []


def test_withdrawn_messages_say_nothing_about_their_machine(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a machine that counts as failing because the leader itself withdrew two messages to it.
    cluster = cluster_with_idle_machines(5)
    check, refused = Authority.check_transmission, []

    def refuse_starts(self: Authority, starts: list, machine: object) -> Refusal | None:
        if starts and len(refused) < 8:
            refused.append(machine)
            return Refusal.CANCELLATIONS_STALE
        return check(self, starts, machine)

    monkeypatch.setattr(Authority, "check_transmission", refuse_starts)
    cluster.submit(cluster.job(2, pieces=2, vcpus=4.0, guessS=3.0))
    while len(refused) < 8:
        cluster.run(0.1)
        assert not_ready(cluster) == []
        assert cluster.now < 250.0
    run_until_jobs_end(cluster, 60.0)
    assert cluster.checker.last_phase["j-000002"] == "done"
    assert cluster.checker.violations == []


def fail_two_tasks_once(cluster: SimulatedCluster, job: str) -> None:
    """Runs the cluster until two tasks of the job have failed once, each on a machine of its own."""
    failing = {f"{job}/1", f"{job}/2"}
    cluster.run_times |= dict.fromkeys(failing, 1.0)
    cluster.run_times[f"{job}/0"] = 10_000.0
    cluster.failing_jobs.add(job)
    failed: set[str] = set()
    while failed < failing:
        cluster.run(0.1)
        for task in failing - failed:
            if cluster.checker.starts_by_task.get(task) and task not in cluster.checker.machine_by_task:
                failed.add(task)
                cluster.run_times[task] = 10_000.0
        assert cluster.now < 200.0
    cluster.failing_jobs.clear()


@pytest.mark.parametrize("shape", ["standing", "array"])
def test_tasks_that_failed_once_run_again_beside_one_that_does_not_end(
    shape: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    # Guards against failures that only a completed task clears: no task of a service ever completes.
    monkeypatch.undo()
    cluster = SimulatedCluster(5, loss=0.0)
    cluster.cloud.failed_boot_share = 0.0
    cluster.submit(cluster.job(2, shape=shape, pieces=3, vcpus=8.0, builds=["small"], guessS=100.0))
    fail_two_tasks_once(cluster, "j-000002")
    cluster.run(MAX_PLACEMENT_DELAY_S)
    assert {f"j-000002/{index}" for index in range(3)} == set(cluster.checker.machine_by_task)
    assert cluster.checker.violations == []


def test_a_job_that_fails_slowly_is_still_tried_with_one_task_at_a_time() -> None:
    """Failures stay known for as long as the next one may take: by the time that the tasks ran until they failed."""
    cluster = SimulatedCluster(5, loss=0.0)
    cluster.cloud.failed_boot_share = 0.0
    cluster.submit(cluster.job(2, pieces=12, vcpus=8.0, builds=["small"], guessS=80.0))
    for index in range(12):
        cluster.run_times[f"j-000002/{index}"] = 80.0
    cluster.failing_jobs.add("j-000002")
    while sum(cluster.checker.starts_by_task.values()) < 3 or cluster.checker.machine_by_task:
        cluster.run(0.5)
        assert cluster.now < 300.0
    for _ in range(600):
        cluster.run(0.5)
        assert len(cluster.checker.machine_by_task) <= 1
