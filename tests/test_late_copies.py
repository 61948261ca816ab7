"""Late copies of start commands that were executed and answered, of tasks that have ended, moved or been cancelled.

A copy is the same message under the same token and to the same epoch as the original, so a worker cannot tell the two
apart. It must not run a task again that runs elsewhere or whose job is cancelled.
"""

from collections.abc import Callable

import pytest

from tests.simulation.cluster import SimulatedCluster
from tests.simulation.command_copies import CommandCopies
from tests.simulation.faults import hang_machines, reclaim_spot_machines
from tests.simulation.timed_faults import Fault, cloud_outage, no_fault, outage, refuse_leader, restart_leaders
from tests.simulation.workers import Machine
from tests.simulation.workloads import run_until_jobs_end

DELAYS_S = (0.2, 0.6, 1.5, 4.0, 10.0, 25.0, 60.0, 100.0, 180.0)
"""When copies of each message arrive: from a fraction of a second to minutes."""
COPIES_FOR_S = 120.0
LAST_COPY_S = 200.0


def machines_up(cluster: SimulatedCluster) -> list[Machine]:
    return [machine for machine in cluster.cloud.machines.values() if machine.up]


def submit_jobs_of_all_fates(cluster: SimulatedCluster) -> None:
    """Submits jobs that complete, are cancelled, are preempted, or fail at first."""
    teams = ("core", "edge")
    for number in range(6):
        long = cluster.job(number, pieces=3, vcpus=3.0, guessS=90.0, urgency="idle", crew=teams[number % 2])
        cluster.clock.callLater(1.0 + number, cluster.submit, long)
        saving = cluster.job(100 + number, pieces=2, guessS=60.0, snapshotS=5.0, stashS=1.0, crew=teams[number % 2])
        cluster.clock.callLater(20.0 + 4.0 * number, cluster.submit, saving | {"urgency": "standard", "loaner": True})
        quick = cluster.job(200 + number, pieces=4, vcpus=2.0, guessS=6.0, lane="quick", crew=teams[number % 2])
        cluster.clock.callLater(50.0 + 6.0 * number, cluster.submit, quick | {"urgency": "urgent"})
        cancelled = cluster.job(300 + number, pieces=3, vcpus=0.5, guessS=200.0, crew=teams[number % 2])
        cluster.clock.callLater(48.0 + 5.0 * number, cluster.submit, cancelled)
        cluster.clock.callLater(56.0 + 6.0 * number, cluster.cancel, cancelled["nameId"])
    gang = cluster.job(400, shape="gang", pieces=3, vcpus=2.0, guessS=50.0, snapshotS=5.0, stashS=1.0, crew="core")
    cluster.clock.callLater(30.0, cluster.submit, gang)
    failing = cluster.job(401, pieces=3, vcpus=1.0, guessS=5.0, crew="edge")
    cluster.failing_jobs.add(failing["nameId"])
    cluster.clock.callLater(52.0, cluster.submit, failing)
    cluster.clock.callLater(75.0, cluster.failing_jobs.discard, failing["nameId"])


def drain_machines(cluster: SimulatedCluster) -> None:
    """Stops all tasks of a third of the machines, as for a drain; the machines go on and keep other work."""
    leader = cluster.nodes[cluster.leader() or "node-0"].leader
    if leader is None:
        return
    with leader.cluster.lock:
        for machine in list(leader.cluster.machines.values())[::3]:
            for placement in list(machine.placements.values()):
                leader.lifecycle.stop(placement, 0.0)


def each_machine(action: Callable[[Machine], None], step: int = 2) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        for machine in machines_up(cluster)[::step]:
            action(machine)

    return start


def hang(seconds: float, step: int = 3) -> Fault:
    return lambda cluster: hang_machines(machines_up(cluster)[::step], seconds)


def cut_off(seconds: float) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        for machine in machines_up(cluster)[::3]:
            for name in cluster.names:
                cluster.partition(machine.name, name, seconds, hold=True)

    return start


FAULTS: dict[str, list[tuple[float, Fault]]] = {
    "no other fault": [(0.0, no_fault)],
    "tasks are stopped and start elsewhere": [(20.0, drain_machines), (40.0, drain_machines), (60.0, drain_machines)],
    "machines are taken back": [(25.0, reclaim_spot_machines), (50.0, reclaim_spot_machines)],
    "machines hang within their lease": [(20.0, hang(5.0)), (35.0, drain_machines), (36.0, hang(7.0))],
    "machines hang past their lease": [(20.0, hang(20.0)), (60.0, hang(30.0))],
    "machines hang past their lease, the cloud is out": [(20.0, hang(20.0)), (15.0, cloud_outage(60.0))],
    "machines are in their next session": [(20.0, cut_off(16.0)), (21.0, cloud_outage(30.0)), (60.0, cut_off(15.0))],
    "workers are back at once in their next session": [
        (20.0, each_machine(Machine.restart_in_next_epoch)),
        (50.0, each_machine(Machine.restart_in_next_epoch)),
    ],
    "the leader is back at once": [(15.0, restart_leaders(1, 1.0)), (30.0, drain_machines)],
    "leaders are back at once, again and again": [
        (10.0, restart_leaders(6, 8.0)),
        (24.0, drain_machines),
        (41.0, drain_machines),
    ],
    "the leader changes while machines hang": [
        (20.0, hang(9.0)),
        (21.0, restart_leaders(1, 1.0)),
        (40.0, drain_machines),
    ],
    "the state service is out": [(20.0, outage(20.0)), (55.0, drain_machines)],
    "the leader alone is refused": [(20.0, refuse_leader), (50.0, drain_machines)],
}

RESTARTS: dict[str, list[tuple[float, Fault]]] = {
    "workers are restarted": [(20.0, each_machine(Machine.restart)), (50.0, each_machine(Machine.restart))],
    "workers are restarted after their tasks have moved": [
        (10.0, drain_machines),
        (20.0, each_machine(Machine.restart, 3)),
        (40.0, drain_machines),
        (50.0, each_machine(Machine.restart, 3)),
    ],
    "workers are restarted again and again": [
        (10.0 + 3.0 * number, each_machine(Machine.restart, 3)) for number in range(10)
    ],
    "workers are restarted, the cloud is out": [
        (10.0, drain_machines),
        (19.0, cloud_outage(60.0)),
        (20.0, each_machine(Machine.restart, 3)),
    ],
    "workers are restarted with their controller": [
        (10.0, drain_machines),
        (20.0, each_machine(Machine.restart, 3)),
        (20.2, restart_leaders(1, 1.0)),
    ],
    "workers of a later session are restarted": [
        (10.0, cloud_outage(60.0)),
        (11.0, each_machine(Machine.restart_in_next_epoch, 3)),
        (14.0, drain_machines),
        (25.0, each_machine(Machine.restart, 3)),
    ],
}


def run_with_copies(
    faults: list[tuple[float, Fault]], seed: int, copies_reach_new_workers: bool = True
) -> SimulatedCluster:
    """Runs jobs of all fates, with copies of all start commands, until all jobs have ended and all copies arrived."""
    cluster = SimulatedCluster(seed, loss=0.0)
    cluster.copies_reach_new_workers = copies_reach_new_workers
    cluster.command_copies = CommandCopies(COPIES_FOR_S, DELAYS_S)
    submit_jobs_of_all_fates(cluster)
    cluster.run(40)
    for at_s, fault in faults:
        cluster.clock.callLater(at_s, fault, cluster)
    cluster.checker.faults_until = COPIES_FOR_S + LAST_COPY_S
    end = COPIES_FOR_S + LAST_COPY_S
    while cluster.now < end:
        cluster.run(0.5)
        cluster.checker.check_cancelled()
    run_until_jobs_end(cluster, 300.0)
    return cluster


@pytest.mark.parametrize("seed", [4, 9])
@pytest.mark.parametrize("name", FAULTS)
def test_a_late_copy_of_an_executed_start_breaks_no_rule(name: str, seed: int) -> None:
    # Guards against tasks that run on two machines, or after their cancellation, through a late copy of their start.
    cluster = run_with_copies(FAULTS[name], seed)
    assert cluster.checker.violations == []
    assert cluster.copies_executed > 100
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


@pytest.mark.parametrize("seed", [4, 5, 6])
@pytest.mark.parametrize("name", RESTARTS)
def test_a_restarted_worker_refuses_late_copies_from_its_first_answer_on(name: str, seed: int) -> None:
    # Guards against tasks that a worker runs again because its restart with all counters at the start looked like an
    # old report. Until a controller has answered it, it is like a new worker, and nothing could bar the copies.
    cluster = run_with_copies(RESTARTS[name], seed, copies_reach_new_workers=False)
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


@pytest.mark.parametrize("remembers_attempts", [True, False])
def test_a_copy_of_an_earlier_attempt_on_the_same_machine_is_refused(remembers_attempts: bool) -> None:
    # Guards against a worker that knows only the newest attempt of a task, and so runs an earlier one again.
    cluster = SimulatedCluster(5, loss=0.0)
    cluster.cloud.failed_boot_share = 0.0
    cluster.cloud.available_types = {"small"}
    cluster.submit(cluster.job(1, pieces=2, vcpus=8.0, guessS=300.0))
    cluster.run(40)
    machine = cluster.checker.machine_by_task["j-000001/0"]
    machine.remembers_attempts = remembers_attempts
    executed: list[dict] = []
    execute = machine.execute_and_copy

    def record(body: dict) -> object:
        executed.append(body)
        return execute(body)

    machine.execute_and_copy = record  # type: ignore[method-assign]
    for _ in range(2):  # the task starts again on the same machine, under the next attempt
        stop_and_keep_elsewhere_full(cluster, machine, drained=False)
        assert cluster.checker.machine_by_task["j-000001/0"] is machine
    stop_and_keep_elsewhere_full(cluster, machine, drained=True)
    assert cluster.checker.machine_by_task["j-000001/0"] is not machine
    starts = [body for body in executed if any(order["verb"] == "launch" for order in body["orders"])]
    assert len(starts) >= 2
    for body in starts:
        machine.receive_copy(body)
        cluster.run(2)
    assert cluster.checker.violations == []
    assert cluster.checker.machine_by_task["j-000001/0"] is not machine


def stop_and_keep_elsewhere_full(cluster: SimulatedCluster, machine: Machine, drained: bool) -> None:
    """Stops the task on the machine, which is the only one with room for it unless it is `drained`."""
    leader = cluster.nodes[cluster.leader() or ""].leader
    leader_machine = leader.cluster.machines[machine.name]
    cluster.cloud.max_machines = 10 if drained else len(cluster.cloud.machines)
    leader_machine.drain_reason = "a test" if drained else None
    (placement,) = leader_machine.placements.values()
    leader.lifecycle.stop(placement, 0.0)
    if drained:
        leader.releaser.release = lambda *_: None
    cluster.run(45)


def test_all_exited_attempts_of_a_task_on_a_machine_are_forgotten() -> None:
    # Guards against reports that grow for good: two attempts of one task took turns in being due to be forgotten.
    cluster = SimulatedCluster(5, loss=0.0)
    cluster.cloud.failed_boot_share = 0.0
    cluster.cloud.available_types = {"small"}
    cluster.submit(cluster.job(1, pieces=2, vcpus=8.0, guessS=600.0))
    cluster.run(40)
    machine = cluster.checker.machine_by_task["j-000001/0"]
    machine.remembers_attempts = True
    for _ in range(3):
        stop_and_keep_elsewhere_full(cluster, machine, drained=False)
    assert len({attempt for _, attempt in machine.former_attempts}) <= 3
    for number in range(12):  # other work, whose commits provide spare tokens
        cluster.submit(cluster.job(10 + number, vcpus=0.1, guessS=2.0, crew="edge"))
        cluster.run(10)
    assert machine.former_attempts == {}
    assert machine.tasks["j-000001/0"]["phase"] == "running"
    assert cluster.checker.violations == []
