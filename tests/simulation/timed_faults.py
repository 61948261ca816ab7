"""Faults with a duration, and loads for them. Most functions return a fault, which begins when it is called."""

from collections.abc import Callable

from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import hang_machines

Fault = Callable[[SimulatedCluster], None]


def submit_long_jobs(cluster: SimulatedCluster, jobs: int = 9) -> None:
    """Submits jobs that still run when the faults are over."""
    for number in range(jobs):
        cluster.clock.callLater(
            1.0 + 0.5 * number,
            cluster.submit,
            cluster.job(number, pieces=3, vcpus=3.0, guessS=150.0, crew=("core", "edge")[number % 2]),
        )


def every_nth_machine(cluster: SimulatedCluster, step: int = 2) -> list:
    return [m for m in cluster.cloud.machines.values() if m.up][::step]


def no_fault(cluster: SimulatedCluster) -> None:
    pass


def refuse_leader(cluster: SimulatedCluster, seconds: float = 14.0) -> None:
    name = cluster.leader()
    if name is not None:
        cluster.state.refused_until[name] = cluster.now + seconds


def run_checking_cancellations(cluster: SimulatedCluster, seconds: float) -> None:
    end = cluster.now + seconds
    while cluster.now < end:
        cluster.run(0.25)
        cluster.checker.check_cancelled()


def outage(seconds: float) -> Fault:
    return lambda cluster: cluster.state.outage(seconds)


def cloud_outage(seconds: float) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        cluster.cloud.down_until = cluster.now + seconds

    return start


def slow_state_service(seconds: float, longest_s: float = 0.6) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        cluster.state.slow_responses = cluster.now + seconds, longest_s

    return start


def delay_writes(seconds: float, share: float, at_once: bool = False) -> Fault:
    """Returns a fault: a share of the commits gets no answer and is executed late, or `at_once`."""

    def start(cluster: SimulatedCluster) -> None:
        cluster.state.late_writes = cluster.now + seconds, share, at_once

    return start


def query_all_after_answers(seconds: float) -> Fault:
    """Returns a fault: users query all controllers and submit again within milliseconds of each relevant answer."""

    def start(cluster: SimulatedCluster) -> None:
        cluster.dense_polling_until = cluster.now + seconds

    return start


def replay_heartbeats_to_next_leader(seconds: float) -> Fault:
    """Returns a fault: a tenth of the heartbeats is delivered again to all controllers when the next leader starts."""

    def start(cluster: SimulatedCluster) -> None:
        cluster.keep_heartbeats_until = cluster.now + seconds

    return start


def delay_commands(seconds: float, longest_s: float = 9.0) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        cluster.slow_commands = cluster.now + seconds, longest_s

    return start


def set_boot_failures(seconds: float, never: float, late: float, boot_s: float) -> Fault:
    """Returns a fault: the share `never` of new machines does not boot, the share `late` boots late."""

    def start(cluster: SimulatedCluster) -> None:
        cluster.cloud.boot_faults_until, cluster.cloud.boot_faults = cluster.now + seconds, (never, late, boot_s)

    return start


def block_one_direction(which: str, seconds: float, step: int = 2) -> Fault:
    """Returns a fault: some machines receive (`inbound_blocked`) or send (`outbound_blocked`) no messages."""

    def start(cluster: SimulatedCluster) -> None:
        for machine in every_nth_machine(cluster, step):
            getattr(cluster, which)[machine.name] = cluster.now + seconds

    return start


def hang_every_nth_machine(seconds: float, step: int = 2) -> Fault:
    return lambda cluster: hang_machines(every_nth_machine(cluster, step), seconds)


def partition_every_nth_machine(seconds: float, step: int = 3) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        for machine in every_nth_machine(cluster, step):
            for name in cluster.names:
                cluster.partition(name, machine.name, seconds, hold=True)

    return start


def cancel_running_jobs(count: int, hang_s: float = 0.0) -> Fault:
    """Returns a fault: users cancel running jobs within 0.2 s.

    With `hang_s`, up to eight machines of these jobs hang for that long.
    """

    def start(cluster: SimulatedCluster) -> None:
        running = list(dict.fromkeys(task.rpartition("/")[0] for task in cluster.checker.machine_by_task))[:count]
        for job in running:
            cluster.clock.callLater(cluster.random.uniform(0.0, 0.2), cluster.cancel, job)
        if hang_s:
            machines = {
                m.name: m for task, m in cluster.checker.machine_by_task.items() if task.rpartition("/")[0] in running
            }
            hang_machines(list(machines.values())[:8], hang_s)

    return start


def cancel_at_completion(cluster: SimulatedCluster) -> None:
    """For 60 s, cancels most jobs within 30 ms of the end of their last task."""
    completed = cluster.checker.task_completed

    def complete_and_cancel(task: str) -> None:
        completed(task)
        job = task.rpartition("/")[0]
        unfinished = [
            i for i in range(cluster.jobs[job]["pieces"]) if f"{job}/{i}" not in cluster.checker.completed_tasks
        ]
        if not unfinished and cluster.random.random() < 0.7:
            cluster.clock.callLater(cluster.random.uniform(0.0, 0.03), cluster.cancel, job)

    cluster.checker.task_completed = complete_and_cancel  # type: ignore[method-assign]
    cluster.clock.callLater(60.0, setattr, cluster.checker, "task_completed", completed)


def restart_leaders(times: int, apart_s: float) -> Fault:
    """Returns a fault: the current leader is killed `times` times, `apart_s` apart, and restarts after 0.2 s."""

    def start(cluster: SimulatedCluster) -> None:
        def restart_leader() -> None:
            name = cluster.leader()
            if name is not None:
                cluster.kill(name, 0.2)

        for number in range(times):
            cluster.clock.callLater(number * apart_s, restart_leader)

    return start


def isolate_leader_with_workers(seconds: float) -> Fault:
    """Returns a fault: the leader reaches its workers and users, but neither the state service nor its peers."""

    def start(cluster: SimulatedCluster) -> None:
        name = cluster.leader() or "node-0"
        for other in ["state", *(n for n in cluster.names if n != name)]:
            cluster.partition(name, other, seconds, hold=True)

    return start


def partition_zone(seconds: float, zone: str = "a") -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        inside = ["node-1", "node-2"] if zone == "a" else ["node-0"]
        inside += [m.name for m in cluster.cloud.machines.values() if m.zone == zone]
        outside = [
            "state",
            "cloud",
            *(n for n in cluster.names if n not in inside),
            *(m.name for m in cluster.cloud.machines.values() if m.zone != zone),
        ]
        for one in inside:
            for other in outside:
                cluster.partition(one, other, seconds, hold=True)

    return start


def stop_all_controllers(seconds: float) -> Fault:
    def start(cluster: SimulatedCluster) -> None:
        for name in cluster.names:
            cluster.kill(name, seconds)

    return start


def restart_controllers_one_by_one(cluster: SimulatedCluster) -> None:
    """Kills all controllers; the first restarts after 0.3 s, the others 6 s and 12 s later."""
    for number, name in enumerate(cluster.names):
        cluster.kill(name, 0.3 + 6.0 * number)


def exhaust_team_quotas(cluster: SimulatedCluster) -> None:
    """Submits more work than the teams' quotas allow to run at once."""
    for number in range(16):
        cluster.submit(cluster.job(600 + number, pieces=4, vcpus=3.0, guessS=40.0, crew=("core", "edge")[number % 2]))


def submit_one_task_jobs(cluster: SimulatedCluster) -> None:
    """Submits one-task jobs, four a second for 60 s, and cancels a quarter of them 1 s to 8 s later."""
    for number in range(240):
        job = cluster.job(2000 + number, pieces=1, vcpus=0.5, guessS=4.0, crew=("core", "edge")[number % 2])
        cluster.clock.callLater(number / 4, cluster.submit, job)
        if number % 4 == 0:
            cluster.clock.callLater(number / 4 + cluster.random.uniform(1.0, 8.0), cluster.cancel, job["nameId"])


def submit_zone_bound_jobs(cluster: SimulatedCluster) -> None:
    """Submits jobs that are bound to a given zone, to any single zone, or to an even spread over both."""
    for number, constraint in enumerate([{"yard": "a"}, {"together": True}, {"spread": True}, {"yard": "b"}] * 3):
        changes: dict = {"pieces": 5, "vcpus": 2.0, "guessS": 30.0, "crew": ("core", "edge")[number % 2]} | constraint
        cluster.submit(cluster.job(700 + number, **changes))


def crash_machines(cluster: SimulatedCluster) -> None:
    for machine in every_nth_machine(cluster, 3):
        machine.die()


def refuse_leader_for(seconds: float) -> Fault:
    return lambda cluster: refuse_leader(cluster, seconds)


def submit_infeasible_and_repeated_jobs(cluster: SimulatedCluster) -> None:
    """Submits jobs that no machine or team can take, and known jobs again, at all controllers."""
    infeasible = [
        {"vcpus": 64.0},
        {"memGb": 500.0},
        {"crew": "nobody"},
        {"yard": "z"},
        {"builds": ["huge"]},
        {"accelerators": 1.0},
        {"crew": "edge", "shape": "standing", "pieces": 40, "vcpus": 4.0},
    ]
    for number, changes in enumerate(infeasible):
        body = cluster.job(800 + number, **changes)
        cluster.checker.infeasible_jobs.add(body["nameId"])
        cluster.jobs[body["nameId"]] = body
        for name in cluster.names:
            cluster.clock.callLater(
                0.1 * number, cluster._request_once, name, cluster._submit_request(body), body["nameId"]
            )
    for job in list(cluster.jobs)[:12]:
        if job not in cluster.checker.infeasible_jobs:
            for name in cluster.names:
                cluster.clock.callLater(
                    0.3, cluster._request_once, name, cluster._submit_request(cluster.jobs[job]), job
                )


def flood_with_queries(cluster: SimulatedCluster) -> None:
    """Sends 40 status queries a second for 60 s, fifty times the usual rate."""
    for number in range(2400):
        job = cluster.random.choice(list(cluster.jobs))
        cluster.clock.callLater(
            number / 40, cluster._request_once, cluster.names[number % 3], cluster._status_request(job), job
        )
