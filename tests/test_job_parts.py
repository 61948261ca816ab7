"""Unit tests of job handling: failure attribution, back-off, shared scans, and refunds of request budgets."""

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


class StubLifecycle:
    """Records the placements that are stopped."""

    def __init__(self) -> None:
        self.stopped: list[Placement] = []

    def stop(self, placement: Placement) -> None:
        self.stopped.append(placement)


class FailureTracking:
    """Jobs, and the failure attribution and back-off that track their failures."""

    def __init__(self, jobs: int) -> None:
        self.clock = Clock()
        self.cluster = ClusterState()
        self.lifecycle: Any = StubLifecycle()
        self.backoff = JobBackoff(self.cluster, self.clock, lambda: None)
        self.attribution = FailureAttribution(self.cluster, self.lifecycle, self.backoff, self.clock, LEASE_S)
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
    tracking, machine = FailureTracking(FAULTY_MACHINE_JOBS), Machine("m")
    for number in range(FAULTY_MACHINE_JOBS):
        assert machine.drain_reason is None
        assert tracking.lifecycle.stopped == []
        tracking.fail(number, machine)
    assert machine.drain_reason == DrainReason.FAULTY
    assert tracking.lifecycle.stopped == list(machine.placements.values())
    assert tracking.cluster.placement_backoff[tracking.job(0).id, "m"] == AVOID_LEASES * LEASE_S


def test_a_machine_that_repeatedly_fails_one_job_is_drained() -> None:
    tracking, machine = FailureTracking(1), Machine("m")
    for _ in range(MAX_FAILURES):
        tracking.fail(0, machine)
    assert machine.drain_reason is None
    tracking.fail(0, machine)
    assert machine.drain_reason == DrainReason.FAULTY


def test_a_job_that_fails_on_several_machines_backs_off_and_drains_no_machine() -> None:
    tracking = FailureTracking(1)
    machines = [Machine(f"m{number}") for number in range(12)]
    backoffs = []
    for machine in machines:
        tracking.fail(0, machine)
        backoffs.append(tracking.job(0).backoff_s)
        tracking.clock.advance(tracking.job(0).backoff_s)
    assert backoffs[:4] == [0.0, MIN_BACKOFF_S, 2 * MIN_BACKOFF_S, 4 * MIN_BACKOFF_S]
    assert backoffs[-1] == MAX_BACKOFF_S
    assert [machine.id for machine in machines if machine.drain_reason] == []
    tracking.attribution.record_success(tracking.job(0))
    assert tracking.job(0).backoff_s == 0.0
    assert tracking.job(0).failed_machines == set()


def test_simultaneous_failures_increase_the_backoff_once() -> None:
    tracking = FailureTracking(1)
    for number in range(5):
        tracking.fail(0, Machine(f"m{number}"))
    assert tracking.job(0).backoff_s == tracking.job(0).backoff_until == MIN_BACKOFF_S


def test_a_machine_is_slow_only_if_several_jobs_ran_faster_elsewhere() -> None:
    tracking, slow = FailureTracking(FAULTY_MACHINE_JOBS), Machine("slow")
    for number in range(FAULTY_MACHINE_JOBS):
        assert slow.drain_reason is None
        job = tracking.job(number)
        tracking.attribution.record_run_time(slow, job, 100.0)  # no run time on another machine yet
        for other in ("a", "b"):
            tracking.attribution.record_run_time(Machine(other), job, 10.0)
        tracking.attribution.record_run_time(slow, job, 30.0)
        assert job.id not in slow.slow_jobs
        tracking.attribution.record_run_time(slow, job, 30.1)
    assert slow.drain_reason == DrainReason.SLOW


class StubState:
    """A store whose scans are answered by the test."""

    def __init__(self) -> None:
        self.scans: list[defer.Deferred[Any]] = []

    def scan(self, _prefix: str) -> defer.Deferred[Any]:
        self.scans.append(defer.Deferred())
        return self.scans[-1]


def user_store(clock: Clock, state: Any = None) -> UserStore:
    return UserStore(state, StoreIntegrity(), TokenBucket(clock, 10.0), TokenBucket(clock, 10.0))


def test_reads_share_a_scan_that_begins_after_them() -> None:
    clock, state = Clock(), StubState()
    shared = SharedJobScan(user_store(clock, state), clock)  # type: ignore[arg-type]
    answers: list[tuple[str, Any]] = []
    for name in ("first", "second"):
        shared.read().addCallback(lambda found, name=name: answers.append((name, found)))
    clock.advance(GATHER_S)
    assert len(state.scans) == 1
    shared.read().addCallback(lambda found: answers.append(("third", found)))
    state.scans[0].callback(([("active/j-1", {"c": [0, 0]}, 7)], 9))
    found = {"active/j-1": {"c": [0, 0]}}
    assert answers == [("first", found), ("second", found)]
    clock.advance(GATHER_S)
    state.scans[1].callback(([], 10))
    assert answers[2:] == [("third", {})]


@pytest.mark.parametrize(
    ("error", "refunded"),
    [(UnavailableError("down"), True), (ThrottledError("too many"), False), (UnknownOutcomeError("lost"), False)],
)
def test_only_requests_that_were_not_executed_are_refunded(error: Exception, refunded: bool) -> None:
    """A throttled request is not refunded, otherwise its retries would starve the leader."""
    store = user_store(Clock())
    store.take_changes(2.0)
    before = store.write_budget.level()
    with pytest.raises(RetryLaterError, match="state service"), store.refund_on_failure(store.write_budget, 2.0):
        raise error
    assert store.write_budget.level() == before + (2.0 if refunded else 0.0)


def test_requests_beyond_the_budget_raise_retry_later() -> None:
    store = user_store(Clock())
    store.take_reads(10.0)
    with pytest.raises(RetryLaterError, match="too many requests"):
        store.take_reads()
