"""The lock of the cluster's state, and the coroutines that are started by code that holds it."""

import ast
import logging
import threading
from collections.abc import Callable
from pathlib import Path
from types import SimpleNamespace

import pytest

from stileloft.machines.partition_detector import PartitionDetector
from stileloft.machines.timeouts import FailureTimeouts
from stileloft.model.cluster_lock import ClusterLock, ReentrantAcquisitionError
from stileloft.model.machines import Machine
from stileloft.scheduling.decision_applier import DecisionApplier
from stileloft.transport import background
from stileloft.transport.retry import RetryPolicy, repeat
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.faults import crash_leader, crash_machines, outage, partition_leader_from_workers
from tests.simulation.processes import Clock
from tests.simulation.timed_faults import delay_writes
from tests.simulation.workloads import run_until_jobs_end, submit_mixed_jobs

SOURCES = Path(__file__).parent.parent / "stileloft"
COROUTINE_STARTERS = {"transport/background.py", "protocol/peers.py"}
"""Modules that start coroutines themselves: the one for it, and one that awaits what it starts."""
HANGS_AFTER_S = 60.0
"""Real seconds after which a simulated run counts as hanging; it takes about one."""
MAX_STEPS = 1000
"""A loop that has made so many steps without a pause would go on forever."""
PAUSE_S = 3.0
"""A pause of a process, in simulated seconds: longer than the leader's lease of 2 s."""


def returns_in_time(function: Callable[[], None]) -> bool:
    """Calls a function in a thread of its own; returns whether it returns, instead of waiting forever."""
    thread = threading.Thread(target=function, daemon=True)
    thread.start()
    thread.join(HANGS_AFTER_S)
    return not thread.is_alive()


def test_a_leader_paused_past_its_lease_while_it_applies_a_scaling_plan_does_not_hang(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a leader that waits for its own lock forever, if its lease ends before its plan is carried out.
    cluster = SimulatedCluster(5, loss=0.0)
    paused_at: list[float] = []
    apply_scaling = DecisionApplier.apply_scaling

    def apply_scaling_after_pause(applier, plan):
        if plan.provision and not paused_at:
            paused_at.append(cluster.now)
            cluster.clock.rightNow += PAUSE_S  # the process stands still, and its clock runs on
        apply_scaling(applier, plan)

    monkeypatch.setattr(DecisionApplier, "apply_scaling", apply_scaling_after_pause)
    cluster.submit(cluster.job(1, pieces=4, guessS=20.0))
    with caplog.at_level(logging.ERROR):
        assert returns_in_time(lambda: cluster.run(120))
    assert paused_at
    assert caplog.records == []
    assert cluster.checker.violations == []
    assert cluster.checker.last_phase["j-000001"] == "done"


def test_no_coroutine_is_started_with_the_lock_held(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against the same cause on all other paths: such a coroutine may run to its end where the lock is held.
    locks, started, started_with_lock = [], set(), set()
    initialize, start = ClusterLock.__init__, background.start

    def initialize_and_keep(lock: ClusterLock) -> None:
        initialize(lock)
        locks.append(lock)

    def start_and_check(name: str, coroutine: background.BackgroundCoroutine) -> None:
        started.add(name)
        if any(lock.held_by_this_thread() for lock in locks):
            started_with_lock.add(name)
        start(name, coroutine)

    monkeypatch.setattr(ClusterLock, "__init__", initialize_and_keep)
    monkeypatch.setattr(background, "start", start_and_check)
    cluster = SimulatedCluster(9)
    submit_mixed_jobs(cluster)
    faults = (delay_writes(12.0, 0.4), partition_leader_from_workers, outage, crash_leader, crash_machines)
    for number, fault in enumerate(faults):
        cluster.clock.callLater(20.0 + 30.0 * number, fault, cluster)
    run_until_jobs_end(cluster)
    assert started >= {"scale-out", "scale-in", "commit", "command delivery", "job reload", "query of peers"}
    assert started_with_lock == set()


def test_a_leader_without_peers_does_not_step_down_while_it_holds_the_lock() -> None:
    # Guards against the same cause in failure detection: without peers, their query has nothing to wait for.
    lock, locked_at_step_down = ClusterLock(), []

    async def no_views():
        return []

    def step_down(_reason: str) -> None:
        with lock:
            locked_at_step_down.append(False)

    lease = SimpleNamespace(active=True, began_at=0.0, step_down=step_down, pause_campaign=lambda _seconds: None)
    clock = SimpleNamespace(seconds=lambda: 100.0)
    timeouts = FailureTimeouts(5.0, 5.0, 5.0, 5.0, 5.0)
    detector = PartitionDetector(lock, lease, SimpleNamespace(views=no_views), clock, timeouts, 12.0)  # type: ignore[arg-type]
    machines = [Machine(f"n-{number}", up_since=1.0) for number in range(4)]
    with lock:
        assert detector.is_suspected(machines, 100.0)
        assert locked_at_step_down == []
    assert locked_at_step_down == [False]


def test_acquiring_the_lock_twice_is_an_error_and_no_deadlock() -> None:
    # Guards against a process that hangs silently because a thread waits for a lock that it holds.
    lock, errors = ClusterLock(), []

    def acquire_twice() -> None:
        try:
            with lock, lock:
                pass
        except ReentrantAcquisitionError as error:
            errors.append(error)

    assert returns_in_time(acquire_twice)
    assert len(errors) == 1
    with lock:  # the failed acquisition has not kept it
        pass


def test_functions_wait_for_the_release_by_their_own_thread_only() -> None:
    # Guards against a coroutine that starts with the lock held, or that is never started.
    lock, called = ClusterLock(), []
    lock.call_without(lambda: called.append("free"))
    assert called == ["free"]
    with lock:
        lock.call_without(lambda: called.append("first"))
        lock.call_without(lambda: called.append("second"))
        assert called == ["free"]
        other = threading.Thread(target=lambda: lock.call_without(lambda: called.append("other thread")))
        other.start()
        other.join()
        assert called == ["free", "other thread"]
    assert called == ["free", "other thread", "first", "second"]


def test_functions_are_called_after_the_release_also_if_the_code_that_held_the_lock_failed() -> None:
    # Guards against work that was announced, such as a command in flight, and then never begins.
    lock, called = ClusterLock(), []

    def fail_with_lock() -> None:
        with lock:
            lock.call_without(lambda: called.append("started"))
            raise ValueError("a failed change")

    with pytest.raises(ValueError, match="a failed change"):
        fail_with_lock()
    assert called == ["started"]


def test_the_error_of_a_background_coroutine_is_logged_with_its_name(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a started coroutine whose error nobody sees.
    async def fail() -> None:
        raise ValueError("broken part")

    with caplog.at_level(logging.ERROR):
        background.start("some work", fail())
        background.start_without(ClusterLock(), "other work", fail)
    assert "some work" in caplog.text
    assert "other work" in caplog.text
    assert caplog.text.count("builtins.ValueError: broken part") == 2


def test_all_coroutines_are_started_by_the_module_that_logs_their_errors() -> None:
    # Guards against a component that starts coroutines by itself: their errors are lost, and they may need its lock.
    found = {
        path.relative_to(SOURCES).as_posix()
        for path in SOURCES.rglob("*.py")
        for node in ast.walk(ast.parse(path.read_text()))
        if isinstance(node, ast.Attribute) and node.attr in ("ensureDeferred", "fromCoroutine")
    }
    assert found == COROUTINE_STARTERS


def test_offers_without_capacity_change_only_with_the_lock_held(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against a scheduling cycle that fails because the offers change while its thread reads them.
    changes: list[bool] = []

    class Offers(dict):
        def __init__(self, lock: ClusterLock) -> None:
            self.lock = lock

        def __setitem__(self, offer: object, until: float) -> None:
            changes.append(self.lock.held_by_this_thread())
            super().__setitem__(offer, until)

    cluster = SimulatedCluster(5, capacity=1, loss=0.0)
    cluster.run(10)
    leader = cluster.nodes[cluster.leader()].leader
    monkeypatch.setattr(leader.provisioner, "_no_capacity_until", Offers(leader.cluster.lock))
    for number in range(4):
        cluster.submit(cluster.job(number, pieces=8, vcpus=8.0))
    cluster.run(30)
    assert changes
    assert all(changes)


def test_a_loop_whose_steps_have_nothing_to_wait_for_leaves_time_for_other_work() -> None:
    # Guards against a background loop that keeps the process from answering anything, and uses all of its processor.
    clock, steps = Clock(), []

    async def step() -> None:
        steps.append(clock.seconds())

    policy = RetryPolicy((), 1.0, 1.0)
    background.start("loop", repeat("loop", step, policy, clock, lambda: len(steps) < MAX_STEPS))
    assert len(steps) == 1
    clock.advance(0.1)
    assert 1 < len(steps) < MAX_STEPS
