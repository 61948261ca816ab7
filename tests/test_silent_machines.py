"""A machine that falls silent keeps its tasks until it reports otherwise or the cloud confirms that it is gone.

A worker ends its tasks when its lease expires, but not while its machine hangs. So the time that has passed since the
last answer proves nothing, whichever other fault there is.
"""

from collections.abc import Callable

import pytest

from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import crash_leader
from tests.simulation.timed_faults import Fault, cloud_outage, outage, refuse_leader_for, restart_leaders
from tests.simulation.workers import Machine
from tests.simulation.workloads import run_until_jobs_end
from tests.test_rebuild import REBUILD_ENABLED, loaded_cluster, wiped_and_leader_killed

HANG_S = 45.0
"""How long machines hang: well beyond the worker's lease of 12 s and the leader's renewal grace."""
MAX_FAULT_S = 110.0


def machines_with_tasks(cluster: SimulatedCluster) -> list[Machine]:
    return list(dict.fromkeys(cluster.checker.machine_by_task.values()))


def hang_machine_with_tasks(seconds: float, count: int = 1) -> Fault:
    """Returns a fault: some machines with running tasks hang; fewer than half, so that no partition is suspected."""

    def start(cluster: SimulatedCluster) -> None:
        for machine in machines_with_tasks(cluster)[:count]:
            machine.hung = True
            cluster.clock.callLater(seconds, setattr, machine, "hung", False)

    return start


def partition_machine_with_tasks(seconds: float) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        machine = machines_with_tasks(cluster)[0]
        for name in cluster.names:
            cluster.partition(machine.name, name, seconds, hold=True)

    return start


def reclaim_and_hang(cluster: SimulatedCluster) -> None:
    """Announces the reclaim of all spot machines with tasks; the first of them hangs, and the cloud takes none."""
    machines = [machine for machine in machines_with_tasks(cluster) if machine.spot] or machines_with_tasks(cluster)
    for machine in machines:
        machine.preempted_at = cluster.now + 30.0
    cluster.clock.callLater(0.4, hang_machines_at_once, machines[:1])


def hang_machines_at_once(machines: list[Machine]) -> None:
    for machine in machines:
        machine.hung = True
        machine.cluster.clock.callLater(HANG_S, setattr, machine, "hung", False)


def submit_long_arrays(cluster: SimulatedCluster) -> None:
    for number in range(3):
        cluster.submit(cluster.job(number, pieces=3, vcpus=4.0, guessS=120.0, crew=("core", "edge")[number % 2]))


def submit_arrays_at_the_limit(cluster: SimulatedCluster) -> None:
    """Submits more than the limit of a team; each task that ends lets another one start."""
    for number in range(8):
        cluster.submit(cluster.job(number, pieces=3, vcpus=4.0, guessS=100.0, crew="core"))


def submit_gangs(cluster: SimulatedCluster) -> None:
    for number in range(2):
        cluster.submit(
            cluster.job(number, shape="gang", pieces=3, vcpus=4.0, guessS=100.0, snapshotS=0.0, stashS=0.0, crew="core")
        )


def submit_long_spot_arrays(cluster: SimulatedCluster) -> None:
    for number in range(3):
        cluster.submit(cluster.job(number, pieces=3, vcpus=4.0, guessS=120.0, loaner=True, snapshotS=5.0, stashS=1.0))


Workload = Callable[[SimulatedCluster], None]
SCHEDULES: dict[str, tuple[Workload, list[tuple[float, Fault]]]] = {
    "at the end of an outage of the state service": (
        submit_long_arrays,
        [(0.0, outage(25.0)), (24.3, hang_machine_with_tasks(HANG_S))],
    ),
    "the cloud is out": (
        submit_long_arrays,
        [(0.0, cloud_outage(60.0)), (0.5, hang_machine_with_tasks(HANG_S))],
    ),
    "the cloud is out, two machines": (
        submit_long_arrays,
        [(0.0, cloud_outage(60.0)), (0.5, hang_machine_with_tasks(HANG_S, 2))],
    ),
    "the cloud is out, the leader is killed": (
        submit_long_arrays,
        [(0.0, cloud_outage(90.0)), (0.5, hang_machine_with_tasks(75.0)), (1.0, crash_leader)],
    ),
    "the cloud is out, leaders are killed one after the other": (
        submit_long_arrays,
        [(0.0, cloud_outage(100.0)), (0.5, hang_machine_with_tasks(85.0)), (1.0, restart_leaders(4, 7.0))],
    ),
    "the cloud is out, the leader alone is refused by the state service": (
        submit_long_arrays,
        [(0.0, cloud_outage(90.0)), (0.5, refuse_leader_for(20.0)), (10.0, hang_machine_with_tasks(70.0))],
    ),
    "the cloud and the state service are out": (
        submit_long_arrays,
        [(0.0, outage(25.0)), (0.0, cloud_outage(80.0)), (20.0, hang_machine_with_tasks(HANG_S))],
    ),
    "the cloud is out, a team is at its limit": (
        submit_arrays_at_the_limit,
        [(0.0, cloud_outage(60.0)), (0.5, hang_machine_with_tasks(HANG_S, 2))],
    ),
    "the cloud is out, a gang runs on the machine": (
        submit_gangs,
        [(0.0, cloud_outage(60.0)), (0.5, hang_machine_with_tasks(HANG_S))],
    ),
    "the cloud is out, the machines are drained": (
        submit_long_spot_arrays,
        [(0.0, cloud_outage(60.0)), (0.5, reclaim_and_hang)],
    ),
    "the cloud is out, another machine is cut off": (
        submit_long_arrays,
        [
            (0.0, cloud_outage(60.0)),
            (0.5, hang_machine_with_tasks(HANG_S)),
            (1.0, partition_machine_with_tasks(30.0)),
        ],
    ),
}


def run_with_faults(name: str, seed: int) -> SimulatedCluster:
    """Runs a schedule of faults once all tasks that fit run, until all jobs have ended."""
    submit, faults = SCHEDULES[name]
    cluster = SimulatedCluster(seed, loss=0.0)
    submit(cluster)
    cluster.run(55)
    assert machines_with_tasks(cluster)
    for at_s, fault in faults:
        cluster.clock.callLater(at_s, fault, cluster)
    cluster.checker.faults_until = cluster.now + MAX_FAULT_S
    run_until_jobs_end(cluster, 700.0)
    return cluster


@pytest.mark.parametrize("seed", [3, 8])
@pytest.mark.parametrize("name", SCHEDULES)
def test_no_task_of_a_hanging_machine_starts_elsewhere_before_the_machine_is_gone(name: str, seed: int) -> None:
    # Guards against a task that runs twice because the leader takes an expired lease for the end of the task.
    cluster = run_with_faults(name, seed)
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_a_new_epoch_frees_the_tasks_of_a_machine_that_the_cloud_cannot_release() -> None:
    """A machine that was cut off for longer than its lease reports a new epoch: its tasks have ended."""
    cluster = SimulatedCluster(3, loss=0.0)
    submit_long_arrays(cluster)
    cluster.run(55)
    (machine, *_) = machines_with_tasks(cluster)
    tasks = {task for task, on in cluster.checker.machine_by_task.items() if on is machine}
    starts = cluster.checker.count_starts(tasks)
    cluster.cloud.down_until = cluster.now + 120.0
    for name in cluster.names:
        cluster.partition(machine.name, name, 20.0)
    cluster.run(50.0)
    assert machine.name in cluster.cloud.machines
    assert cluster.checker.count_starts(tasks) > starts
    assert cluster.checker.violations == []


def crash_leader_and_wipe_store(cluster: SimulatedCluster) -> None:
    """The records are lost together with the only controller that knows all placements."""
    cluster.state.wipe()
    crash_leader(cluster)


REBUILD_SCHEDULES: dict[str, list[tuple[float, Fault]]] = {
    "one machine hangs": [(0.0, hang_machine_with_tasks(75.0)), (0.5, crash_leader_and_wipe_store)],
    "a machine hangs during the rebuild": [(0.0, crash_leader_and_wipe_store), (6.0, hang_machine_with_tasks(75.0))],
    "one machine hangs, the cloud is out": [
        (0.0, hang_machine_with_tasks(90.0)),
        (0.2, cloud_outage(60.0)),
        (0.5, crash_leader_and_wipe_store),
    ],
}


@pytest.mark.parametrize("seed", [3, 8])
@pytest.mark.parametrize("name", REBUILD_SCHEDULES)
def test_no_task_of_a_hanging_machine_starts_elsewhere_after_a_rebuild(name: str, seed: int) -> None:
    # Guards against a task that runs twice because a rebuild takes an expired lease for the end of the task.
    cluster = SimulatedCluster(seed, loss=0.0, features=REBUILD_ENABLED)
    submit_long_arrays(cluster)
    cluster.run(55)
    for at_s, fault in REBUILD_SCHEDULES[name]:
        cluster.clock.callLater(at_s, fault, cluster)
    cluster.checker.faults_until = cluster.now + MAX_FAULT_S
    run_until_jobs_end(cluster, 700.0)
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


@pytest.mark.parametrize("seed", [3, 5, 6])
def test_a_job_known_only_to_a_hanging_machine_does_not_start_elsewhere_after_it_is_submitted_again(seed: int) -> None:
    # Guards against a task that runs twice because a new leader does not know what no record places on a machine.
    job = "j-000001"
    cluster = loaded_cluster(seed)
    cluster.run_times |= {f"{job}/{index}": 400.0 for index in range(3)}
    cluster.run(24.0)
    for node in cluster.nodes.values():
        replica = node.rebuild.replicas.current
        for key in [key for key in replica.records if job in key]:
            del replica.records[key]
    wiped_and_leader_killed(cluster)
    cluster.run(45.0)
    cluster.cloud.down_until = cluster.now + 60.0
    hang_machines_at_once([machine for task, machine in cluster.checker.machine_by_task.items() if job in task])
    crash_leader(cluster)
    cluster.run(5.0)
    cluster.submit(cluster.jobs[job])
    cluster.run(70.0)
    assert cluster.checker.violations == []
