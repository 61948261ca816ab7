"""Parts of jobs by themselves: attribution of failures, back-off, shared scans, and refunds of budgets."""

from typing import Any

import pytest
from twisted.internet import defer
from twisted.internet.task import Clock

from stileloft.jobs.errors import RetryLaterError
from stileloft.jobs.failure_attribution import AVOID_LEASES, FAULTY_MACHINE_JOBS, MAX_FAILURES, FailureAttribution
from stileloft.jobs.job_backoff import MAX_BACKOFF_S, MIN_BACKOFF_S, JobBackoff
from stileloft.jobs.shared_scan import GATHER_S, SharedJobScan
from stileloft.jobs.user_store import UserStore
from stileloft.model.cluster import ClusterState
from stileloft.model.drain_reason import DrainReason
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.protocol.messages import parse_job
from stileloft.protocol.state import ThrottledError, UnavailableError, UnknownOutcomeError
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.rate_limit import TokenBucket
from tests.simulation.cluster import SimulatedCluster

LEASE_S = 10.0


class Lifecycle:
    """Notes what is to be stopped."""

    def __init__(self) -> None:
        self.stopped: list[Placement] = []

    def stop(self, placement: Placement) -> None:
        self.stopped.append(placement)


class Failures:
    """Jobs with a task each on some machines, and the parts that judge their failures."""

    def __init__(self, jobs: int) -> None:
        self.clock = Clock()
        self.cluster = ClusterState()
        self.lifecycle: Any = Lifecycle()
        self.backoff = JobBackoff(self.cluster, self.clock, lambda: None)
        self.attribution = FailureAttribution(self.cluster, self.lifecycle, self.backoff, LEASE_S)
        for number in range(jobs):
            spec = parse_job(SimulatedCluster.job(None, number))  # type: ignore[arg-type]
            self.cluster.jobs[spec.id] = Job(spec, 0.0, 8)

    def job(self, number: int) -> Job:
        return list(self.cluster.jobs.values())[number]

    def fail(self, job: int, machine: Machine) -> None:
        placement = Placement(self.job(job).id, 0, 1, machine.id, "a", True)
        machine.placements[placement.key] = placement
        self.attribution.record_failure(machine, placement)


def test_a_machine_that_fails_several_jobs_is_drained() -> None:
    failures, machine = Failures(FAULTY_MACHINE_JOBS), Machine("m")
    for number in range(FAULTY_MACHINE_JOBS):
        assert machine.drain_reason is None
        assert failures.lifecycle.stopped == []
        failures.fail(number, machine)
    assert machine.drain_reason == DrainReason.FAULTY
    assert failures.lifecycle.stopped == list(machine.placements.values())
    assert failures.cluster.placement_backoff[failures.job(0).id, "m"] == AVOID_LEASES * LEASE_S


def test_a_machine_that_goes_on_failing_one_job_is_drained() -> None:
    failures, machine = Failures(1), Machine("m")
    for _ in range(MAX_FAILURES):
        failures.fail(0, machine)
    assert machine.drain_reason is None
    failures.fail(0, machine)
    assert machine.drain_reason == DrainReason.FAULTY


def test_a_job_that_fails_on_several_machines_backs_off_and_drains_none() -> None:
    failures = Failures(1)
    machines = [Machine(f"m{number}") for number in range(12)]
    pauses = []
    for machine in machines:
        failures.fail(0, machine)
        pauses.append(failures.job(0).backoff_s)
        failures.clock.advance(failures.job(0).backoff_s)
    assert pauses[:4] == [0.0, MIN_BACKOFF_S, 2 * MIN_BACKOFF_S, 4 * MIN_BACKOFF_S]
    assert pauses[-1] == MAX_BACKOFF_S
    assert [machine.id for machine in machines if machine.drain_reason] == []
    failures.attribution.record_success(failures.job(0))
    assert failures.job(0).backoff_s == 0.0
    assert failures.job(0).failed_machines == set()


def test_tasks_that_fail_together_double_the_pause_once() -> None:
    failures = Failures(1)
    for number in range(5):
        failures.fail(0, Machine(f"m{number}"))
    assert failures.job(0).backoff_s == failures.job(0).backoff_until == MIN_BACKOFF_S


def test_a_machine_is_slow_only_by_several_jobs_and_compared_with_others() -> None:
    failures, slow = Failures(FAULTY_MACHINE_JOBS), Machine("slow")
    for number in range(FAULTY_MACHINE_JOBS):
        assert slow.drain_reason is None
        job = failures.job(number)
        failures.attribution.record_run_time(slow, job, 100.0)  # nothing to compare it with yet
        for other in ("a", "b"):
            failures.attribution.record_run_time(Machine(other), job, 10.0)
        failures.attribution.record_run_time(slow, job, 30.0)
        assert job.id not in slow.slow_jobs
        failures.attribution.record_run_time(slow, job, 30.1)
    assert slow.drain_reason == DrainReason.SLOW


class State:
    """A store whose scans wait to be answered."""

    def __init__(self) -> None:
        self.scans: list[defer.Deferred[Any]] = []

    def scan(self, _prefix: str) -> defer.Deferred[Any]:
        self.scans.append(defer.Deferred())
        return self.scans[-1]


def user_store(clock: Clock, state: Any = None) -> UserStore:
    return UserStore(state, StoreIntegrity(), TokenBucket(clock, 10.0), TokenBucket(clock, 10.0))


def test_questions_share_a_scan_that_begins_after_them() -> None:
    clock, state = Clock(), State()
    shared = SharedJobScan(user_store(clock, state), clock)  # type: ignore[arg-type]
    answers: list[tuple[str, Any]] = []
    for name in ("first", "second"):
        shared.read().addCallback(lambda found, name=name: answers.append((name, found)))
    clock.advance(GATHER_S)
    assert len(state.scans) == 1
    shared.read().addCallback(lambda found: answers.append(("late", found)))
    state.scans[0].callback(([("active/j-1", {"c": [0, 0]}, 7)], 9))
    found = {"active/j-1": {"c": [0, 0]}}
    assert answers == [("first", found), ("second", found)]
    clock.advance(GATHER_S)
    state.scans[1].callback(([], 10))
    assert answers[2:] == [("late", {})]


@pytest.mark.parametrize(
    ("error", "refunded"),
    [(UnavailableError("down"), True), (ThrottledError("too many"), False), (UnknownOutcomeError("lost"), False)],
)
def test_only_what_was_not_executed_is_refunded(error: Exception, refunded: bool) -> None:
    """A throttled request counts, or its repeats would starve the leader."""
    store = user_store(Clock())
    store.take_changes(2.0)
    before = store.write_budget.level()
    with pytest.raises(RetryLaterError, match="state service"), store.refund_on_failure(store.write_budget, 2.0):
        raise error
    assert store.write_budget.level() == before + (2.0 if refunded else 0.0)


def test_requests_beyond_the_budget_are_to_be_repeated() -> None:
    store = user_store(Clock())
    store.take_reads(10.0)
    with pytest.raises(RetryLaterError, match="too many requests"):
        store.take_reads()
