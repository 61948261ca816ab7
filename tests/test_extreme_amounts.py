"""Jobs with extreme but valid amounts: they are served, and end nothing for the jobs of others."""

import logging
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stileloft.model.job_records import active_record, job_from_record
from stileloft.model.quota import QuotaUsage
from stileloft.model.resources import UNBOUNDED_SLOTS, Resources
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType, decode, encode, parse_job
from stileloft.scheduling.autoscaling import Autoscaler
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.placement import decide
from stileloft.scheduling.provisioning_planner import ScalingDemand
from stileloft.scheduling.queue_order import queue_position
from stileloft.scheduling.snapshot import ExpectedTasks, PendingJob, Snapshot
from stileloft.scheduling.workload import Workload
from stileloft.settings import Team
from tests.simulation.cluster import SimulatedCluster

TINY, SMALLEST, HUGE, LARGEST = 1e-308, 5e-324, 1e300, 1.7e308
"""Numbers at the ends of what a body can hold; divisions by the small ones and products of the large ones overflow."""
SMALL = MachineType("small", 8.0, 32.0, 0.5, 0.2, 30.0, ("a", "b"), 50.0, 0.3, 2.0)
LARGE = MachineType("large", 32.0, 128.0, 2.0, 0.9, 30.0, ("a", "b"), 50.0, 1.0, 4.0)
TYPES = {"small": SMALL, "large": LARGE}
TEAMS = {"core": Team("core", 16.0, 40.0), "free": Team("free")}
NOW = 1000.0

resource_amounts = st.sampled_from([0.0, SMALLEST, TINY, 1e-300, 1e-9, 0.5, 2.0])
durations = st.sampled_from([0.0, SMALLEST, TINY, 1.0, 60.0, HUGE, LARGEST])


@st.composite
def specs(draw: st.DrawFn, number: int) -> JobSpec:
    """Returns a job that the protocol allows, with any combination of ordinary and extreme amounts."""
    gpus = draw(resource_amounts)
    cpus = draw(resource_amounts)
    return JobSpec(
        id=f"j-{number}",
        job_class=draw(st.sampled_from(["batch", "quick"])),
        team=draw(st.sampled_from(["core", "free"])),
        kind=draw(st.sampled_from(["array", "array", "gang"])),
        priority=draw(st.sampled_from(["idle", "standard", "production"])),
        tasks=draw(st.sampled_from([1, 3, 40])),
        cpus=cpus if cpus or gpus else 1.0,
        gpus=gpus,
        memory_gb=draw(resource_amounts),
        image="image",
        image_gb=draw(durations),
        estimate_s=draw(durations),
        checkpoint_s=draw(durations),
        save_s=draw(durations),
        one_zone=False,
        spread=False,
        spot=draw(st.booleans()),
        deadline_s=draw(st.one_of(st.none(), durations)),
    )


ORDINARY = JobSpec("j-1", "ordinary", "free", "array", "standard", 2, 4.0, 4.0, "image", 1.0, 10.0, spot=True)


@st.composite
def machines(draw: st.DrawFn, workload: Workload, number: int) -> MachineView:
    """Returns a machine on which a task of an extreme job runs."""
    spec = draw(specs(100 + number))
    task = RunningTask.from_spec(spec, (spec.id, 0), remaining_s=workload.estimated_run_time_s(spec))
    machine_type = draw(st.sampled_from([SMALL, LARGE]))
    machine = MachineView(f"n-{number}", machine_type, "a", True, True, draw(st.booleans()), [task])
    machine.recompute_free()
    return machine


@st.composite
def cases(draw: st.DrawFn) -> tuple[Snapshot, list[ExpectedTasks], Workload]:
    """Returns a snapshot with extreme jobs that run and that wait, and with `ORDINARY`; its headroom; its classes."""
    workload = Workload([], lambda: NOW, lambda: TYPES)
    waiting = [ORDINARY, *(draw(specs(2 + number)) for number in range(draw(st.integers(1, 4))))]
    for spec in waiting:
        workload.record_submission(spec, NOW)
        if spec.estimate_s > 0 and draw(st.booleans()):
            workload.record_run_time(spec, draw(st.sampled_from([1e-3, 60.0, 1e6])))
    pending = [
        PendingJob(
            spec,
            submitted_at=NOW - 10.0,
            waiting_count=spec.tasks,
            task_indices=list(range(spec.tasks)),
            placed_by_zone={},
            estimate_s=workload.estimated_run_time_s(spec),
            aged=draw(st.booleans()),
            started=draw(st.booleans()),
        )
        for spec in waiting
    ]
    present = [draw(machines(workload, number)) for number in range(draw(st.integers(0, 3)))]
    snapshot = Snapshot(
        now=NOW,
        machines={machine.id: machine for machine in present},
        pending_jobs=pending,
        teams=TEAMS,
        usage={name: QuotaUsage() for name in TEAMS},
        nominations={},
        types=TYPES,
        expected_gangs=workload.headroom(True, OperatorSettings()),
    )
    return snapshot, workload.headroom(False, OperatorSettings()), workload


@given(cases())
def test_no_job_makes_a_scheduling_cycle_fail_or_its_order_undefined(
    case: tuple[Snapshot, list[ExpectedTasks], Workload],
) -> None:
    # Guards against one accepted job whose amounts make a division, a product or a conversion of any cycle overflow.
    snapshot, headroom, workload = case
    for job in snapshot.pending_jobs:
        assert math.isfinite(workload.estimated_run_time_s(job.spec))
        assert all(math.isfinite(part) for part in queue_position(job, snapshot))
    decision = decide(snapshot, 100, 8)
    plan = Autoscaler(snapshot, ScalingDemand(decision.unmet, headroom), OperatorSettings()).plan()
    placed = {placement.key for placement in decision.placed}
    if not snapshot.machines:
        assert placed == set()
        assert sum(plan.provision.values()) > 0, "the ordinary job gets machines"


@pytest.mark.parametrize("free", [-1.0, 0.0, 1.0, 64.0])
def test_slots_of_a_task_with_tiny_amounts_are_bounded(free: float) -> None:
    # Guards against an infinite number of slots, which has no integer: the error ended all renting and placing.
    room = Resources(free, free, free)
    for amount in (TINY, SMALLEST):
        spec = JobSpec("j-1", "batch", "core", "array", "idle", 1, amount, amount, "image", 0.0, 1.0, amount)
        assert room.slots(spec) == (0 if free < 0 else UNBOUNDED_SLOTS)


AMOUNTS = ("vcpus", "accelerators", "memGb", "imageGb", "guessS", "snapshotS", "stashS", "dueS")
MISTAKES: list[dict[str, float]] = [
    *({name: TINY} for name in AMOUNTS if name != "accelerators"),
    {"vcpus": TINY, "memGb": TINY},
    {"vcpus": SMALLEST, "memGb": SMALLEST, "imageGb": SMALLEST, "guessS": SMALLEST},
    *({name: LARGEST} for name in ("guessS", "snapshotS", "stashS", "dueS")),
    {"guessS": LARGEST, "dueS": LARGEST},
    {"snapshotS": 1.0, "stashS": LARGEST},
]


@pytest.mark.parametrize("mistake", MISTAKES, ids=lambda mistake: "-".join(mistake) + f"={max(mistake.values())}")
def test_a_job_with_an_extreme_amount_is_served_and_stops_no_other_job(
    mistake: dict[str, float], caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against one accepted job with a mistaken amount that ends the renting of machines for all teams.
    cluster = SimulatedCluster(7, loss=0.0)
    mistaken = cluster.job(1, pieces=2, crew="edge", builds=["large"], guessS=5.0) | mistake
    cluster.run_times |= {"j-000001/0": 5.0, "j-000001/1": 5.0}
    with caplog.at_level(logging.ERROR):
        cluster.submit(mistaken)
        for number in range(2, 6):
            cluster.clock.callLater(1.0 * number, cluster.submit, cluster.job(number, pieces=2, guessS=5.0))
        cluster.run(120)
    assert caplog.records == []
    assert cluster.checker.violations == []
    assert {cluster.checker.last_phase.get(job) for job in cluster.jobs} == {"done"}


@pytest.mark.parametrize("save_s", [1000.0, 1e9, LARGEST])
def test_a_job_that_needs_very_long_to_save_does_not_keep_its_room_from_more_pressing_work(save_s: float) -> None:
    # Guards against one accepted job that cannot be preempted: its grace was as long as the time it asks for to save.
    cluster = SimulatedCluster(8, capacity=1, loss=0.0)
    only_machine = {"builds": ["small"], "yard": "a", "loaner": False, "pieces": 1, "vcpus": 8.0}
    cluster.submit(
        cluster.job(1, shape="gang", urgency="idle", guessS=9000.0, snapshotS=5.0, stashS=save_s, **only_machine)
    )
    cluster.run(90)
    assert cluster.checker.last_phase["j-000001"] == "running"
    cluster.submit(cluster.job(2, urgency="production", guessS=5.0, **only_machine))
    cluster.run(60)
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase["j-000002"] == "done"


texts = st.text(min_size=1, max_size=200).filter(
    lambda text: not any("\ud800" <= letter <= "\udfff" for letter in text)
)
amounts = st.one_of(st.floats(0.0, allow_infinity=False), st.integers(0, 2**64 - 1), st.sampled_from([0.0, SMALLEST]))


@given(
    st.fixed_dictionaries(
        dict.fromkeys(("lane", "crew", "bundle"), texts)
        | dict.fromkeys(("accelerators", "memGb", "imageGb", "guessS", "snapshotS", "stashS"), amounts)
        | {
            "vcpus": st.floats(0.0, exclude_min=True, allow_infinity=False),
            "nameId": st.from_regex(r"j-[0-9]{1,30}", fullmatch=True),
            "pieces": st.integers(1, 100_000),
            "builds": st.none() | st.lists(texts, max_size=64),
            "yard": st.none() | texts,
            "dueS": st.none() | amounts,
        }
    )
)
def test_the_record_of_each_accepted_job_can_be_read_back(changes: dict[str, object]) -> None:
    # Guards against one job whose record cannot be read: a new leader, and the watch of jobs, read all or none.
    flags = {"shape": "array", "urgency": "idle", "together": False, "spread": True, "loaner": False}
    spec = parse_job(decode(encode(flags | changes)))
    stored = decode(encode(active_record(spec, NOW, 100)))
    job = job_from_record(stored, 1, 100)
    assert job.spec == spec
    assert job.waiting == spec.tasks
