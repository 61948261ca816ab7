"""Scheduling decisions compared with slow reference models, on random cases that are the same in every run."""

import copy
import itertools
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from stileloft.model.nominations import Nomination
from stileloft.model.quota import QuotaUsage, TeamQuotas
from stileloft.model.resources import Resources
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.autoscaling import Autoscaler
from stileloft.scheduling.constraints import machine_allowed
from stileloft.scheduling.instance_offers import InstanceOffer
from stileloft.scheduling.machine_view import MachineView, RunningTask
from stileloft.scheduling.placement import decide
from stileloft.scheduling.preemption import (
    Preemption,
    fits_beside_nominations,
    preemption_cost,
    preemption_units,
    victim_candidates,
)
from stileloft.scheduling.preemption_search import PreemptionContext, PreemptionSearch, ReclaimableRoomIndex
from stileloft.scheduling.provisioning_planner import ScalingDemand
from stileloft.scheduling.scheduling_cycle import UnmetDemand
from stileloft.scheduling.snapshot import ExpectedTasks, PendingJob, Reservation, Snapshot
from stileloft.settings import Team
from tests import reference_model

SMALL = MachineType("small", 8.0, 32.0, 0.5, 0.2, 30.0, ("a", "b"), 50.0, 1.0)
LARGE = MachineType("large", 32.0, 128.0, 2.0, 0.9, 30.0, ("a", "b"), 50.0, 1.0)
TEAMS = {"core": Team("core", 16.0, 40.0), "edge": Team("edge", 8.0, 40.0), "free": Team("free")}
DERANDOMIZED = settings(derandomize=True, max_examples=150, deadline=None, database=None)


def spec(number: int, cpus: float, priority: str = "standard", team: str = "core", **more: object) -> JobSpec:
    fields: dict = {"memory_gb": 1.0, "image": "img", "image_gb": 1.0, "estimate_s": 10.0, "tasks": 4, "spot": True}
    fields.update(more)
    kind = fields.pop("kind", "array")
    return JobSpec(id=f"j-{number}", job_class="batch", team=team, kind=kind, priority=priority, cpus=cpus, **fields)


def make_machine(name: str, kind: MachineType, tasks: list[RunningTask], **more: object) -> MachineView:
    machine = MachineView(name, kind, "a", True, True, True, tasks, **more)  # type: ignore[arg-type]
    machine.recompute_free()
    return machine


@st.composite
def fleets(draw: st.DrawFn) -> list[MachineView]:
    machines = []
    serial = itertools.count(100)
    # Each of two gangs may have tasks on any of the machines.
    gangs = [
        spec(
            900 + i,
            float(draw(st.integers(1, 4))),
            draw(st.sampled_from(["idle", "standard", "urgent"])),
            draw(st.sampled_from(["core", "edge"])),
            tasks=4,
            kind="gang",
        )
        for i in range(2)
    ]
    unsaved = [float(draw(st.integers(0, 30))) for _ in gangs]
    for number in range(draw(st.integers(1, 3))):
        kind = draw(st.sampled_from([SMALL, LARGE]))
        tasks: list[RunningTask] = []
        free = kind.cpus
        for _ in range(draw(st.integers(0, 5))):
            which = draw(st.integers(0, 5))
            if which < 2 and gangs[which].cpus <= free:
                job = gangs[which]
                free -= job.cpus
                tasks.append(
                    RunningTask(
                        (job.id, next(serial)),
                        job,
                        job.team,
                        job.rank,
                        job.cpus,
                        0.0,
                        1.0,
                        unsaved_s=unsaved[which],
                        remaining_s=7.0,
                        group_size=4,
                    )
                )
                continue
            cpus = float(draw(st.integers(1, 8)))
            if cpus > free:
                break
            free -= cpus
            job = spec(
                next(serial),
                cpus,
                draw(st.sampled_from(["idle", "standard", "urgent"])),
                draw(st.sampled_from(["core", "edge"])),
            )
            tasks.append(
                RunningTask(
                    (job.id, 0),
                    job,
                    job.team,
                    job.rank,
                    cpus,
                    0.0,
                    1.0,
                    unsaved_s=float(draw(st.integers(0, 30))),
                    remaining_s=5.0,
                )
            )
        machines.append(make_machine(f"n-{number}", kind, tasks))
    return machines


def team_usage(machines: list[MachineView]) -> dict[str, QuotaUsage]:
    usage = {name: QuotaUsage() for name in TEAMS}
    for machine in machines:
        for task in machine.tasks:
            usage[task.team].cpus += task.cpus
    return usage


def preempt(job: JobSpec, machines: list[MachineView], usage: dict[str, QuotaUsage]) -> Preemption | None:
    """Returns the best machine and its victims for one task, or None if no preemption helps."""
    by_id = {machine.id: machine for machine in machines}
    context = PreemptionContext(by_id, {}, TeamQuotas(TEAMS, usage), ReclaimableRoomIndex(by_id))
    return PreemptionSearch(job, {}, frozenset(), context).best()


@DERANDOMIZED
@given(fleets(), st.integers(1, 16), st.sampled_from(["idle", "standard", "urgent"]), st.sampled_from(["core", "edge"]))
def test_preemption_matches_the_reference_model_on_the_cheapest_machine(
    machines: list[MachineView], cpus: int, priority: str, team: str
) -> None:
    job = spec(1, float(cpus), priority, team)
    usage = team_usage(machines)
    before = [(n.free_cpus, [t.key for t in n.tasks]) for n in machines]
    found = preempt(job, machines, usage)
    assert [(n.free_cpus, sorted(t.key for t in n.tasks)) for n in machines] == [(c, sorted(k)) for c, k in before]
    snapshot = Snapshot(0.0, {}, [], TEAMS, usage, {}, {})
    victims = {n.id: reference_model.find_victims(job, n, [], snapshot) for n in machines}
    expected = {name: None if tasks is None else sorted(t.key for t in tasks) for name, tasks in victims.items()}
    if usage[team].cpus + cpus > TEAMS[team].cpus_max or all(keys is None for keys in expected.values()):
        assert found is None
        return
    assert found is not None
    assert sorted(v.key for v in found.victims) == expected[found.machine_id]
    # The victims on any other machine would cost at least as much.
    by_key = {t.key: t for n in machines for t in n.tasks}
    costs = [preemption_cost([by_key[k] for k in keys]) for keys in expected.values() if keys is not None]
    assert preemption_cost(found.victims) == min(costs)


@DERANDOMIZED
@given(fleets(), st.integers(1, 16))
def test_every_victim_is_necessary(machines: list[MachineView], cpus: int) -> None:
    job = spec(1, float(cpus), "urgent")
    found = preempt(job, machines, team_usage(machines))
    if found is None:
        return
    chosen = next(n for n in machines if n.id == found.machine_id)
    victims = preemption_units(found.victims)
    for count in range(len(victims)):
        for subset in itertools.combinations(victims, count):
            left = sum(t.cpus for t in chosen.tasks if not any(t in victim for victim in subset))
            assert left + job.cpus > chosen.type.cpus


@st.composite
def snapshots(draw: st.DrawFn) -> Snapshot:
    machines = draw(fleets())
    for machine in machines:
        machine.zone = draw(st.sampled_from(["a", "b"]))
        machine.spot = draw(st.booleans())
        machine.ready = draw(st.integers(0, 4)) > 0
    waiting = []
    for number in range(draw(st.integers(0, 5))):
        tasks = draw(st.integers(1, 5))
        job = spec(
            number,
            float(draw(st.integers(1, 12))),
            draw(st.sampled_from(["idle", "standard", "urgent"])),
            draw(st.sampled_from(["core", "edge"])),
            tasks=tasks,
            spot=draw(st.booleans()),
            zone=draw(st.sampled_from([None, "a"])),
            one_zone=draw(st.booleans()),
            spread=draw(st.booleans()),
            types=draw(st.sampled_from([None, ["large"]])),
            kind=draw(st.sampled_from(["array", "gang"])),
        )
        waiting.append(PendingJob(job, float(draw(st.integers(0, 50))), tasks, list(range(tasks)), {}, 10.0))
    return Snapshot(
        60.0, {n.id: n for n in machines}, waiting, TEAMS, team_usage(machines), {}, {"small": SMALL, "large": LARGE}
    )


@DERANDOMIZED
@given(snapshots())
def test_decisions_respect_capacity_quotas_and_constraints(snapshot: Snapshot) -> None:
    jobs = {job.spec.id: job.spec for job in snapshot.pending_jobs}
    before = {n.id: (n.type, n.zone, n.ready, sum(t.cpus for t in n.tasks), n) for n in snapshot.machines.values()}
    usage = {name: use.cpus for name, use in team_usage(list(snapshot.machines.values())).items()}
    decision = decide(snapshot, 100, 8)
    zones: dict[str, list[str]] = {}
    taken = {name: entry[3] for name, entry in before.items()}
    assert len({key for key, _ in decision.placed}) == len(decision.placed)
    for (job_id, _), name in decision.placed:
        job, (kind, zone, ready, _, machine) = jobs[job_id], before[name]
        assert ready
        assert machine_allowed(job, machine)
        taken[name] += job.cpus
        usage[job.team] += job.cpus
        assert taken[name] <= kind.cpus
        zones.setdefault(job_id, []).append(zone)
    for job_id, where in zones.items():
        if jobs[job_id].one_zone:
            assert len(set(where)) == 1
        if jobs[job_id].spread:
            assert max(where.count(z) for z in where) <= (jobs[job_id].tasks + 1) // 2
    for name, team in TEAMS.items():
        assert usage[name] <= max(team.cpus_max or 1e9, team_usage(list(snapshot.machines.values()))[name].cpus)
    for key, eviction in decision.preemptions:
        for victim in eviction.victims:
            assert victim.rank <= jobs[key[0]].rank
            assert victim.key[0] != key[0]


@DERANDOMIZED
@given(snapshots(), st.integers(0, 8), st.randoms(use_true_random=False))
def test_decisions_match_the_reference_model(snapshot: Snapshot, max_preemptions: int, random) -> None:
    """Compares whole cycles, with reserved room, nominations of earlier cycles, images and stopping tasks."""
    for machine in snapshot.machines.values():
        machine.images = frozenset(random.sample(["img", "img-2", "img-3"], random.randrange(3)))
        machine.mark_stopping([task for task in machine.tasks if random.random() < 0.2])
    for job in snapshot.pending_jobs:
        job.start_objective_s = random.choice([None, 2.0])
        job.aged, job.started = random.random() < 0.3, random.random() < 0.5
        job.starving = random.random() < 0.3
        job.excluded_machines = frozenset(name for name in snapshot.machines if random.random() < 0.1)
        if random.random() < 0.3 and not job.spec.is_gang:
            key, name = (job.spec.id, job.task_indices[-1]), random.choice(list(snapshot.machines))
            snapshot.nominations[key] = Nomination(key, name, job.spec.rank, job.spec, 9.0)
    snapshot.expected_gangs = [
        ExpectedTasks(spec(950 + i, 2.0, priority, kind="gang", spot=False, one_zone=i == 0), random.randrange(6))
        for i, priority in enumerate(random.sample(["idle", "standard", "urgent"], 2))
    ]
    expected = reference_model.decide(copy.deepcopy(snapshot), 6, max_preemptions)
    before = {name: (machine, machine.free_cpus, list(machine.tasks)) for name, machine in snapshot.machines.items()}
    decision = decide(snapshot, 6, max_preemptions)
    assert decision.placed == expected[0]
    assert [(key, e.machine_id, sorted(v.key for v in e.victims)) for key, e in decision.preemptions] == expected[1]
    assert {job.spec.id: left for job, left in decision.unmet} == expected[2]
    # The machine views serve later cycles too, so a decision must leave them unchanged.
    assert all(machine.free_cpus == cpus and machine.tasks == tasks for machine, cpus, tasks in before.values())


def random_snapshot(draw: random.Random) -> Snapshot:
    """Returns partly full machines in two zones, and pending jobs with gangs among them."""

    def any_spec(number: int, cpus: int, **more: object) -> JobSpec:
        return spec(
            number,
            float(cpus),
            draw.choice(["idle", "standard", "urgent"]),
            draw.choice(["core", "edge", "free"]),
            image=draw.choice(["img", "img-2"]),
            image_gb=draw.choice([1.0, 3.0]),
            **more,
        )

    running = [any_spec(900 + i, draw.randint(1, 3), tasks=4, kind="gang") for i in range(2)]
    running += [any_spec(910 + i, draw.randint(1, 6)) for i in range(6)]
    left = {job.id: float(draw.randint(1, 40)) for job in running}
    machines, serial = [], itertools.count()
    for number in range(draw.randint(3, 6)):
        machine = make_machine(
            f"n-{number}",
            draw.choice([SMALL, LARGE]),
            [],
            images=frozenset(draw.sample(["img", "img-2"], draw.randint(0, 2))),
        )
        machine.zone, machine.spot = draw.choice("ab"), draw.random() < 0.3
        machine.ready = draw.random() < 0.9
        for job in draw.choices(running, k=draw.randint(0, 6)):
            if job.cpus <= machine.free_cpus:
                machine.add_task(
                    RunningTask(
                        (job.id, next(serial)),
                        job,
                        job.team,
                        job.rank,
                        job.cpus,
                        0.0,
                        1.0,
                        unsaved_s=left[job.id] / 2,
                        remaining_s=left[job.id],
                        within_preemption_budget=draw.random() < 0.7,
                        stopping=draw.random() < 0.1,
                        group_size=4 if job.is_gang else 1,
                        recently_started=left[job.id] < 15,
                    )
                )
        machines.append(machine)
    waits = []
    for number in range(draw.randint(2, 5)):
        kind, tasks = draw.choice(["array", "gang", "gang"]), draw.randint(2, 6)
        job = any_spec(
            number,
            draw.randint(1, 4),
            tasks=tasks,
            kind=kind,
            one_zone=draw.random() < 0.6,
            spread=draw.random() < 0.2,
            spot=draw.random() < 0.4,
        )
        waits.append(
            PendingJob(
                job,
                float(draw.randint(0, 50)),
                tasks,
                list(range(tasks)),
                {},
                float(draw.randint(2, 20)),
                draw.choice([None, 2.0]),
                aged=draw.random() < 0.2,
                started=draw.random() < 0.5,
                starving=draw.random() < 0.3,
            )
        )
    expected = [
        ExpectedTasks(any_spec(950 + i, 2, kind="gang", spot=i == 1, one_zone=i == 0), draw.randint(0, 8))
        for i in range(2)
    ]
    teams = {name: Team(name, team.cpus, 2 * team.cpus_max) for name, team in TEAMS.items()}
    return Snapshot(
        60.0,
        {n.id: n for n in machines},
        waits,
        teams,
        team_usage(machines),
        {},
        {"small": SMALL, "large": LARGE},
        expected,
    )


def test_decisions_on_gangs_match_the_reference_model() -> None:
    gangs_placed = gangs_stopped = 0
    for seed in range(400):
        snapshot = random_snapshot(random.Random(seed))
        expected = reference_model.decide(copy.deepcopy(snapshot), 50, 8)
        decision = decide(snapshot, 50, 8)
        assert decision.placed == expected[0], seed
        stopped = [(key, e.machine_id, sorted(v.key for v in e.victims)) for key, e in decision.preemptions]
        assert stopped == expected[1], seed
        assert {job.spec.id: left for job, left in decision.unmet} == expected[2], seed
        placed: dict[str, int] = {}
        for key, _ in decision.placed:
            placed[key[0]] = placed.get(key[0], 0) + 1
        for job in snapshot.pending_jobs:
            if job.spec.is_gang:
                assert placed.get(job.spec.id, 0) in (0, job.spec.tasks), seed
                gangs_placed += job.spec.id in placed
        gangs_stopped += any(v.group_size > 1 for _, e in decision.preemptions for v in e.victims)
        # A pending gang preempts no task.
        assert not {key[0] for key, _ in decision.preemptions} & {
            j.spec.id for j in snapshot.pending_jobs if j.spec.is_gang
        }
    assert gangs_placed > 200
    assert gangs_stopped > 5


@DERANDOMIZED
@given(fleets(), st.lists(st.tuples(st.integers(1, 8), st.sampled_from(["standard", "urgent"])), max_size=5))
def test_a_task_waits_only_when_it_fits_nowhere(machines: list[MachineView], demands: list[tuple[int, str]]) -> None:
    """No machine has room for an unplaced task; checked by a brute-force search of the first machine that fits."""
    waiting = [
        PendingJob(spec(i, float(cpus), priority, "free", tasks=1), 0.0, 1, [0], {}, 4.0)
        for i, (cpus, priority) in enumerate(demands)
    ]
    snapshot = Snapshot(
        0.0, {n.id: n for n in machines}, waiting, TEAMS, team_usage(machines), {}, {"small": SMALL, "large": LARGE}
    )
    decision = decide(snapshot, 100, 0)
    placed = {key[0] for key, _ in decision.placed}
    for job in waiting:
        if job.spec.id not in placed:
            assert all(n.free_cpus < job.spec.cpus or n.id in snapshot.reservations for n in snapshot.machines.values())


def test_nominated_room_is_not_given_to_other_tasks() -> None:
    busy = RunningTask(("j-9", 0), spec(9, 8.0), "core", 1, 8.0, 0.0, 1.0, remaining_s=100.0)
    machine = make_machine("n-0", SMALL, [busy])
    urgent, other = spec(1, 6.0, "urgent", tasks=1), spec(2, 4.0, tasks=1)

    def snapshot(nominations: dict) -> Snapshot:
        waiting = [PendingJob(urgent, 0.0, 1, [0], {}, 10.0), PendingJob(other, 0.0, 1, [0], {}, 10.0)]
        return Snapshot(0.0, {"n-0": machine}, waiting, TEAMS, team_usage([machine]), nominations, {"small": SMALL})

    first = decide(snapshot({}), 10, 8)
    assert [(key, e.machine_id, [v.key for v in e.victims]) for key, e in first.preemptions] == [
        (("j-1", 0), "n-0", [("j-9", 0)])
    ]
    machine.remove_task(busy)
    nomination = Nomination(("j-1", 0), "n-0", 2, urgent, 10.0)
    waiting_urgent_last = snapshot({("j-1", 0): nomination})
    waiting_urgent_last.pending_jobs.pop(0)
    assert decide(waiting_urgent_last, 10, 8).placed == []
    assert decide(snapshot({("j-1", 0): nomination}), 10, 8).placed == [(("j-1", 0), "n-0")]


def test_a_gang_is_placed_whole_or_not_at_all() -> None:
    gang = spec(1, 4.0, "urgent", tasks=3, kind="gang")
    for count, expected in ((1, 0), (2, 3)):
        machines = [make_machine(f"n-{i}", SMALL, []) for i in range(count)]
        waits = [PendingJob(gang, 0.0, 3, [0, 1, 2], {}, 10.0)]
        snapshot = Snapshot(0.0, {n.id: n for n in machines}, waits, TEAMS, team_usage(machines), {}, {"small": SMALL})
        decision = decide(snapshot, 10, 8)
        assert len(decision.placed) == expected
        assert decision.preemptions == []
        assert [job.spec.id for job, _ in decision.unmet] == (["j-1"] if expected == 0 else [])
        assert sum(n.free_cpus for n in snapshot.machines.values()) == 8.0 * count - 4.0 * expected


def test_only_nominations_of_equal_or_higher_rank_reserve_room() -> None:
    machine = make_machine("n-0", SMALL, [])
    lower = Nomination(("j-5", 0), "n-0", 0, spec(5, 8.0, "idle"), 1.0)
    equal = Nomination(("j-6", 0), "n-0", 1, spec(6, 5.0), 1.0)
    assert fits_beside_nominations(spec(1, 8.0), machine, [lower])
    assert not fits_beside_nominations(spec(1, 4.0), machine, [equal])
    assert victim_candidates(spec(1, 4.0), machine, TeamQuotas(TEAMS, team_usage([]))) == []


def pending_job(job: JobSpec, count: int) -> PendingJob:
    return PendingJob(job, 0.0, count, list(range(count)), {}, 10.0)


def scaling_plan(
    unmet: list[UnmetDemand],
    machines: list[MachineView],
    without_capacity: set[InstanceOffer] | None = None,
    settings: OperatorSettings | None = None,
):
    snapshot = Snapshot(
        0.0, {n.id: n for n in machines}, [], TEAMS, team_usage(machines), {}, {"small": SMALL, "large": LARGE}
    )
    demand = ScalingDemand(unmet, without_capacity=frozenset(without_capacity or ()))
    return Autoscaler(snapshot, demand, settings or OperatorSettings()).plan()


def test_provisioned_machines_are_the_cheapest_that_fit() -> None:
    large = scaling_plan([UnmetDemand(pending_job(spec(1, 16.0), 2), 2)], [])
    assert list(large.provision) == [("large", "a", True)]
    assert sum(large.provision.values()) == 1
    small = scaling_plan([UnmetDemand(pending_job(spec(1, 4.0), 2), 2)], [])
    assert list(small.provision) == [("small", "a", True)]
    other_zone = scaling_plan([UnmetDemand(pending_job(spec(1, 4.0), 2), 2)], [], {InstanceOffer("small", "a", True)})
    assert list(other_zone.provision) == [("small", "b", True)]
    on_demand = scaling_plan([UnmetDemand(pending_job(spec(1, 4.0, spot=False), 2), 2)], [])
    assert list(on_demand.provision) == [("small", "a", False)]
    assert (
        scaling_plan(
            [UnmetDemand(pending_job(spec(1, 4.0, spot=False), 2), 2)],
            [],
            settings=OperatorSettings(rent_full_price=False),
        ).provision
        == {}
    )
    assert (
        scaling_plan(
            [UnmetDemand(pending_job(spec(1, 4.0), 2), 2)], [], settings=OperatorSettings(max_machines=0)
        ).provision
        == {}
    )


def test_room_reserved_for_gangs_does_not_count_as_room_for_other_jobs() -> None:
    """If reserved room counted, no machine would be provisioned for a waiting job that may not use that room."""
    machine = make_machine("n-0", SMALL, [])
    expected = [ExpectedTasks(spec(9, 4.0, kind="gang", one_zone=True), 2)]
    for expected_gangs, placed in (([], 2), (expected, 0)):
        job = pending_job(spec(1, 4.0), 2)
        snapshot = Snapshot(
            0.0, {"n-0": machine}, [job], TEAMS, team_usage([machine]), {}, {"small": SMALL}, expected_gangs
        )
        decision = decide(snapshot, 10, 8)
        assert len(decision.placed) + 2 * len(decision.preemptions) == placed
        provisioned = Autoscaler(snapshot, ScalingDemand(decision.unmet), OperatorSettings()).plan().provision
        assert sum(provisioned.values()) == (1 if expected_gangs else 0)
    aged = pending_job(spec(1, 4.0), 2)
    aged.aged = True
    snapshot = Snapshot(0.0, {"n-0": machine}, [aged], TEAMS, team_usage([machine]), {}, {"small": SMALL}, expected)
    assert len(decide(snapshot, 10, 8).placed) == 1  # an aged job may start one task there
    starving = pending_job(spec(1, 4.0), 2)
    starving.starving = True
    snapshot = Snapshot(0.0, {"n-0": machine}, [starving], TEAMS, team_usage([machine]), {}, {"small": SMALL}, expected)
    assert len(decide(snapshot, 10, 8).placed) == 2  # a starving job, which has waited too long, may use all of it


def test_booting_machines_count_as_capacity_and_idle_machines_are_released() -> None:
    booting = make_machine("n-1", SMALL, [])
    booting.up = False
    assert scaling_plan([UnmetDemand(pending_job(spec(1, 4.0), 2), 2)], [booting]).provision == {}
    idle = make_machine("n-2", SMALL, [], idle_s=100.0)
    assert scaling_plan([], [idle]).release == ["n-2"]
    assert scaling_plan([], [idle], settings=OperatorSettings(keep_idle_boots=100.0)).release == []


def test_reserved_room_is_open_to_starving_jobs() -> None:
    """Room that is reserved for an aged job admits only that job, and tasks that fit beside it."""
    small = spec(1, 4.0)
    for owner, admits in (("", True), ("j-000002", False)):
        reservation = Reservation(20.0, Resources(2.0, 0.0, 8.0), owner)
        assert reservation.admits(small, 40.0, starving=True) is admits
        assert not reservation.admits(small, 40.0)
        assert reservation.admits(spec(1, 2.0), 40.0, starving=True)


def test_an_aged_job_may_use_more_than_the_share_reserved_for_aged_jobs() -> None:
    """An aged job gets a quarter of the machines first, and other free machines in the ordinary order of the queue."""
    machines = [make_machine(f"n-{number}", SMALL, []) for number in range(4)]
    aged = pending_job(spec(1, 1.0), 28)
    aged.aged = True
    snapshot = Snapshot(0.0, {n.id: n for n in machines}, [aged], TEAMS, team_usage(machines), {}, {"small": SMALL})
    decision = decide(snapshot, 100, 8)
    assert sorted(key for key, _ in decision.placed) == [("j-1", index) for index in range(28)]
    preemption_exempt = [task for n in snapshot.machines.values() for task in n.tasks if task.rank > 3]
    assert len(preemption_exempt) == 8
