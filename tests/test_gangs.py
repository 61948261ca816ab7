"""Gangs on the simulated cluster: under faults and failovers, all tasks of a gang run at once or none does."""

from collections.abc import Callable

import pytest
from twisted.internet import defer

from stileloft.jobs.feasibility import infeasibility_reason
from stileloft.model import gangs
from stileloft.model.jobs import Job
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import MachineType, parse_heartbeat, parse_job
from stileloft.settings import Team
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import (
    block_traffic_to_machines,
    crash_leader,
    crash_machines,
    duplicate_messages,
    hang_two_machines,
    outage,
    partition_leader_from_state_service,
    partition_machines,
    partition_zone_of_leader,
    reclaim_spot_machines,
    restart_all_controllers,
)
from tests.simulation.gangs import Gang
from tests.simulation.workers import Machine
from tests.simulation.workloads import run_until_jobs_end, submit_burst, submit_mixed_jobs


def gang_job(cluster: SimulatedCluster, number: int, **changes: object) -> dict:
    fields = {
        "lane": "solver",
        "shape": "gang",
        "pieces": 4,
        "vcpus": 2.0,
        "memGb": 2.0,
        "loaner": False,
        "together": True,
        "guessS": 12.0,
        "snapshotS": 4.0,
        "stashS": 1.0,
    } | changes
    return cluster.job(number, **fields)


def submit_gangs(cluster: SimulatedCluster, first: int = 100, count: int = 8, every: float = 4.0) -> None:
    for number in range(count):
        pieces = (2, 4, 6, 3)[number % 4]
        # In turn: one zone; any zones; urgent, spot machines allowed; no checkpoints.
        changes = ({}, {"together": False}, {"loaner": True, "urgency": "urgent"}, {"snapshotS": 0.0, "stashS": 0.0})
        body = gang_job(
            cluster, first + number, pieces=pieces, crew=("core", "edge")[number % 2], **changes[number % 4]
        )
        cluster.clock.callLater(2.0 + number * every, cluster.submit, body)


def act_on_first_gang(
    cluster: SimulatedCluster, matches: Callable[[Gang], bool], action: Callable[[Gang], None]
) -> list[float]:
    """Calls `action` with the first gang attempt that matches; returns a list that then gets the time."""
    acted_at: list[float] = []

    def poll() -> None:
        found = next((g for g in list(cluster.gangs.values()) if matches(g)), None)
        if found is None:
            cluster.clock.callLater(0.02, poll)
        else:
            acted_at.append(cluster.now)
            action(found)

    poll()
    return acted_at


def is_gathering(g: Gang) -> bool:
    return g.running_since is None and 0 < len(g.members) < g.job["pieces"]


def is_running(g: Gang) -> bool:
    return g.running_since is not None and not g.finished and g.current_progress() > 5.0


def is_stopping(g: Gang) -> bool:
    return bool(g.stopping_since) and not g.finished


def has_a_done_task(g: Gang) -> bool:
    return g.finished and any(f"{name}" in g.cluster.checker.completed_tasks for name in g.members)


def crash_one_machine(g: Gang) -> None:
    machine = next(iter(g.members.values()))[0]
    g.cluster.cloud.machines.pop(machine.name, None)
    machine.die()


def reclaim_one_machine(g: Gang) -> None:
    machine = next(iter(g.members.values()))[0]
    machine.preempted_at = g.cluster.now + 7.0

    def reclaim() -> None:
        g.cluster.cloud.machines.pop(machine.name, None)
        machine.die()

    g.cluster.clock.callLater(7.0, reclaim)


def crash_the_leader(g: Gang) -> None:
    crash_leader(g.cluster)


PHASES = {
    "gathering": (9, is_gathering),
    "running": (7, is_running),
    "stopping": (8, is_stopping),
    "one task done": (11, has_a_done_task),
}
FAULTS = {"failover": (9, crash_the_leader), "machine crashes": (12, crash_one_machine)}
"""The seed of a test is the sum of the numbers of its phase and its fault."""


@pytest.mark.parametrize("phase", PHASES)
@pytest.mark.parametrize("fault", FAULTS)
def test_a_fault_in_each_phase_of_a_gang(phase: str, fault: str) -> None:
    (phase_number, in_phase), (fault_number, inject) = PHASES[phase], FAULTS[fault]
    cluster = SimulatedCluster(seed=phase_number + fault_number, loss=0.004)
    submit_gangs(cluster)
    if phase == "stopping":
        act_on_first_gang(cluster, is_running, reclaim_one_machine)
    injected_at = act_on_first_gang(cluster, in_phase, inject)
    run_until_jobs_end(cluster, 300)
    assert injected_at
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}


@pytest.mark.parametrize("progress", ["partly committed", "committed, partly started"])
def test_failover_while_a_gang_is_placed(progress: str, monkeypatch: pytest.MonkeyPatch) -> None:
    """A partly committed gang has started nothing and is withdrawn; the rest of a partly started one is started."""
    cluster = SimulatedCluster(seed=31, loss=0.0, value_kb=1.0, upcoming_limits={"txn_ops": 4, "value_kb": 1.0})
    handle, start = cluster.state.handle, Machine.start
    commits: list[float] = []
    starts: list[float] = []

    def kill_leader_at_commit(caller: str, method: str, path: str, body: dict) -> object:
        if path == "/commit" and any("tasks/j-000001/" in write.get("set", "") for write in body["writes"]):
            commits.append(cluster.now)
            if len(commits) == 1 and progress == "partly committed":
                cluster.clock.callLater(0.0, cluster.kill, caller, 1.0)
        return handle(caller, method, path, body)

    def kill_leader_at_start(machine: Machine, name: str, attempt: int, present: dict | None) -> None:
        starts.append(cluster.now)
        if len(starts) == 1 and progress != "partly committed":
            cluster.kill(cluster.leader(), 1.0)
        start(machine, name, attempt, present)

    cluster.state.handle = kill_leader_at_commit  # type: ignore[method-assign]
    monkeypatch.setattr(Machine, "start", kill_leader_at_start)
    cluster.submit(gang_job(cluster, 1, pieces=24))
    while not commits:
        cluster.run(0.5)
    assert {len(starts), len(cluster.gangs)} == {0} or progress != "partly committed"
    run_until_jobs_end(cluster, 200)
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase["j-000001"] == "done"
    # A withdrawn gang runs in a second attempt; a partly started one goes on in its first.
    assert sorted(attempt for _, attempt in cluster.gangs) == ([2] if progress == "partly committed" else [1])


def test_a_new_leader_stops_nothing_before_it_has_read_the_store() -> None:
    """Heartbeats that came before the store was read used to make the leader stop their tasks as unknown."""
    cluster = SimulatedCluster(seed=32, loss=0.0)
    cluster.submit(cluster.job(1, pieces=6, guessS=600.0))
    cluster.submit(gang_job(cluster, 2, guessS=600.0))
    cluster.run(60)
    assert len(cluster.checker.machine_by_task) >= 6
    before = dict(cluster.checker.machine_by_task)
    handle = cluster.state.handle

    def delay_reads(caller: str, method: str, path: str, body: object) -> object:
        answer = handle(caller, method, path, body)
        if not path.startswith("/kv?under=tasks/"):
            return answer
        delayed: defer.Deferred = defer.Deferred()
        cluster.clock.callLater(1.2, delayed.callback, answer)
        return delayed

    cluster.state.handle = delay_reads  # type: ignore[method-assign]
    leader = cluster.leader()
    cluster.kill(leader, 0.2)
    for machine in cluster.cloud.machines.values():
        cluster.clock.callLater(0.8, machine.send_heartbeat)
        machine.target = leader
    cluster.run(6)
    assert cluster.leader() is not None
    assert cluster.checker.violations == []
    assert {task: cluster.checker.machine_by_task.get(task) for task in before} == before


FAULT_SEQUENCES: dict[str, tuple[int, list[Callable[[SimulatedCluster], None]]]] = {
    "no faults": (55, []),
    "machines crash": (62, [crash_machines, crash_machines]),
    "machines hang for longer than the lease": (78, [hang_two_machines(20.0), crash_leader]),
    "machines hang for a short time": (71, [hang_two_machines(2.0), hang_two_machines(5.0)]),
    "traffic to machines blocked": (71, [block_traffic_to_machines(8.0), block_traffic_to_machines(40.0)]),
    "machines partitioned, delayed duplicates": (79, [duplicate_messages, partition_machines, crash_leader]),
    "outage, then all controllers restart": (72, [outage, restart_all_controllers]),
    "leader partitioned from the state service, spot machines reclaimed": (
        94,
        [
            partition_leader_from_state_service,
            reclaim_spot_machines,
            submit_burst,
        ],
    ),
    "zone of the leader partitioned": (78, [partition_zone_of_leader]),
}
"""The seed of each run, and its faults, which begin 9 s apart."""


@pytest.mark.parametrize("name", FAULT_SEQUENCES)
def test_rules_hold_for_gangs_under_a_sequence_of_faults(name: str) -> None:
    seed, faults = FAULT_SEQUENCES[name]
    cluster = SimulatedCluster(seed=seed, loss=0.004)
    submit_mixed_jobs(cluster, jobs=12)
    submit_gangs(cluster, count=10)
    for number, fault in enumerate(faults):
        cluster.clock.callLater(33.0 + 9.0 * number, fault, cluster)
    cluster.clock.callLater(34.0, cluster.cancel, "j-000101")
    cluster.clock.callLater(45.0, cluster.cancel, "j-000104")
    cluster.checker.faults_until = 110.0
    run_until_jobs_end(cluster)
    assert cluster.checker.violations == []
    assert [job for job in cluster.jobs if not cluster.checker.is_final(job)] == []


def test_a_preempted_gang_checkpoints_together_and_resumes() -> None:
    """Urgent work preempts the gang: all its tasks are stopped at once, and no progress is lost."""
    cluster = SimulatedCluster(seed=41, loss=0.0)
    cluster.cloud.max_machines = 1
    cluster.cloud.available_types = {"large"}
    cluster.submit(gang_job(cluster, 1, pieces=4, vcpus=6.0, builds=["large"], guessS=40.0, together=False))
    cluster.run_times["j-000001/0"] = 40.0
    cluster.run(45)
    assert [g.running_since is not None for g in cluster.gangs.values()] == [True]
    cluster.submit(cluster.job(2, urgency="urgent", pieces=2, vcpus=14.0, guessS=8.0, builds=["large"]))
    run_until_jobs_end(cluster, 250)
    assert cluster.checker.violations == []
    assert set(cluster.checker.last_phase.values()) == {"done"}
    assert cluster.gang_rollbacks == 0
    assert cluster.saved_progress["j-000001"] > 4.0
    assert len(cluster.gangs) == 2
    assert cluster.checker.final_at["j-000002"] < cluster.checker.final_at["j-000001"]


def test_a_gang_starts_only_when_all_its_tasks_have_room() -> None:
    """With room for seven of eight tasks none starts; small tasks that fill the gaps do not starve the gang."""
    cluster = SimulatedCluster(seed=42, loss=0.0)
    cluster.cloud.max_machines = 1
    cluster.cloud.available_types = {"large"}
    for number in range(90):
        cluster.clock.callLater(
            1.0 + 2.0 * number,
            cluster.submit,
            cluster.job(
                1000 + number, pieces=2, vcpus=4.0, guessS=7.0, builds=["large"], crew=("core", "edge")[number % 2]
            ),
        )
    wide = gang_job(cluster, 1, pieces=8, vcpus=4.0, builds=["large"], loaner=True, guessS=10.0)
    cluster.clock.callLater(40.0, cluster.submit, wide)
    while cluster.now < 300 and not cluster.checker.is_final("j-000001"):
        cluster.run(2.0)
    assert cluster.checker.started_at["j-000001"] - cluster.checker.submitted_at["j-000001"] < 240
    (attempt,) = cluster.gangs.values()
    assert cluster.checker.violations == []
    assert max(attempt.waiting_since) - min(attempt.waiting_since) < 3.0


def job_with_placements(states: list[tuple[int, str, bool]], tasks: int, size: int = 3) -> Job:
    body = SimulatedCluster.job(None, 1, shape="gang", pieces=tasks)  # type: ignore[arg-type]
    job = Job(parse_job(body), 0.0, size)
    for index, (attempt, state, done) in enumerate(states):
        placement = Placement(job.id, index, attempt, "n-0", "a", False, state, done=done)
        job.add_placement(placement)
        job.chunk_of(index).attempt = attempt
    return job


@pytest.mark.parametrize(
    ("states", "stage"),
    [
        ([], gangs.Stage.WAITING),
        ([(1, PlacementState.PLANNED, False)] * 4, gangs.Stage.BINDING),
        ([(1, PlacementState.BOUND, False)] * 3 + [(1, PlacementState.PLANNED, False)], gangs.Stage.BINDING),
        ([(1, PlacementState.BOUND, False)] * 4, gangs.Stage.WHOLE),
        ([(1, PlacementState.BOUND, False)] * 3, gangs.Stage.BROKEN),
        ([(1, PlacementState.BOUND, False)] * 3 + [(2, PlacementState.BOUND, False)], gangs.Stage.BROKEN),
        ([(1, PlacementState.BOUND, False)] * 3 + [(1, PlacementState.ENDED, False)], gangs.Stage.BROKEN),
        ([(1, PlacementState.BOUND, False), (1, PlacementState.ENDED, True)], gangs.Stage.COMPLETED),
    ],
)
def test_the_stage_of_a_gang_follows_from_its_placements(states: list, stage: gangs.Stage) -> None:
    job = job_with_placements(states, tasks=4)
    assert gangs.stage(job) is stage
    assert gangs.may_start(job) is (stage is gangs.Stage.WHOLE)
    assert gangs.next_attempt(job) == (
        1 if any(s == PlacementState.PLANNED for _, s, _ in states) or not states else 1 + max(a for a, _, _ in states)
    )


def test_infeasible_gangs_are_refused() -> None:
    teams = {"core": Team("core", 8.0, 16.0), "free": Team("free")}
    types = {"small": MachineType("small", 8.0, 32.0, 0.5, 0.2, 30.0, ("a", "b"))}

    def reason(**changes: object) -> str | None:
        body = SimulatedCluster.job(None, 1, shape="gang", pieces=4, vcpus=4.0, crew="core") | changes  # type: ignore[arg-type]
        return infeasibility_reason(parse_job(body), teams, types, 4096)

    assert reason() is None
    assert "limit" in str(reason(pieces=5))
    assert reason(pieces=5, shape="array") is None
    assert reason(pieces=5, crew="free") is None  # a job that only lacks capacity at present is not refused
    assert "machine type" in str(reason(pieces=2, vcpus=8.5, crew="free"))
    assert "zone" in str(reason(spread=True, together=True))
    assert reason(spread=True) is None
    assert "long" in str(reason(builds=["small", *["é" * 60] * 12], crew="free"))
    assert reason(builds=["small", *["e" * 60] * 12], crew="free") is None


def test_wire_values_of_gang_tasks_are_parsed() -> None:
    body = {
        "host": "n-1",
        "endpoint": "n-1:1",
        "build": "small",
        "yard": "a",
        "stint": 1,
        "tick": 1,
        "baton": 1,
        "pieces": [
            {"piece": "j-1/0", "try": 1, "phase": "gathering"},
            {"piece": "j-1/1", "try": 1, "phase": "exited", "cause": "mates_gone"},
            {"piece": "j-1/2", "try": 1, "phase": "exited", "cause": "incomplete"},
        ],
    }
    assert [(t.state, t.exit_reason) for t in parse_heartbeat(body).tasks] == [
        ("waiting", None),
        ("exited", "peer lost"),
        ("exited", "gang not complete"),
    ]
