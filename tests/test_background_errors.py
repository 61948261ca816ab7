"""Unexpected errors in the leader's background work: they are logged, and the work goes on."""

import logging
from types import SimpleNamespace
from typing import Any

import pytest
from twisted.internet import defer

from stileloft.leadership.failover import Failover
from stileloft.leadership.leader import Leader
from stileloft.machines.image_locations import ImageLocations
from stileloft.machines.partition_detector import PartitionDetector
from stileloft.machines.timeouts import FailureTimeouts
from stileloft.model import records
from stileloft.model.cluster_lock import ClusterLock
from stileloft.model.machines import Machine
from stileloft.protocol.cloud import CloudClient
from stileloft.protocol.state import StateClient, UnknownOutcomeError
from stileloft.protocol.workers import WorkerClient
from stileloft.store.commit_applier import CommitApplier
from stileloft.store.format_upgrade import FormatUpgrade
from stileloft.store.job_reloader import JobReloader
from tests.simulation.cluster import SimulatedCluster

DEFECT = "an error of the program"


def raise_once(monkeypatch: pytest.MonkeyPatch, owner: type, name: str, error: Exception | None = None) -> list[str]:
    """Makes the first call of a method raise an error; returns a list that then holds the method's name."""
    method, raised = getattr(owner, name), []

    def call(*arguments: Any, **options: Any) -> Any:
        if raised:
            return method(*arguments, **options)
        raised.append(name)
        raise error or RuntimeError(DEFECT)

    monkeypatch.setattr(owner, name, call)
    return raised


def run_jobs(cluster: SimulatedCluster) -> None:
    """Runs three jobs, and waits until machines have been idle for long."""
    for number in range(3):
        cluster.clock.callLater(10.0 * number, cluster.submit, cluster.job(number, guessS=5.0))
    cluster.run(180)
    assert cluster.checker.violations == []
    assert {cluster.checker.last_phase.get(job) for job in cluster.jobs} == {"done"}


@pytest.mark.parametrize(
    ("owner", "name"),
    [
        (CloudClient, "provision"),
        (CloudClient, "release"),
        (WorkerClient, "command"),
        (CommitApplier, "apply"),
        (Leader, "_take_over"),
        (Failover, "_recover"),
        (ImageLocations, "_interval_s"),
        (FormatUpgrade, "_all_read_newest_format"),
    ],
)
def test_work_goes_on_after_an_unexpected_error(
    owner: type, name: str, monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a coroutine that ends with an error and leaves what it worked on pending for the whole leadership.
    raised = raise_once(monkeypatch, owner, name)
    cluster = SimulatedCluster(3, loss=0.0)
    with caplog.at_level(logging.ERROR):
        run_jobs(cluster)
    assert raised == [name]
    assert caplog.text.count(f"RuntimeError: {DEFECT}") == 1
    assert "background coroutine failed" not in caplog.text
    assert any(machine.gone for machine in cluster.all_machines.values()), "idle machines are released"


def test_a_commit_that_fails_unexpectedly_keeps_no_job_from_being_written(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against jobs that stay marked as being written, and so never run, after an error in the commit's request.
    commit, raised = StateClient.commit, []

    def fail_once(client: StateClient, guards: dict[str, int], puts: dict[str, Any], *more: Any) -> Any:
        if records.LEADER in guards and any(key.startswith(records.ACTIVE) for key in puts) and not raised:
            raised.append(sorted(puts))
            return defer.fail(RuntimeError(DEFECT))
        return commit(client, guards, puts, *more)

    monkeypatch.setattr(StateClient, "commit", fail_once)
    with caplog.at_level(logging.ERROR):
        run_jobs(SimulatedCluster(3, loss=0.0))
    assert raised
    assert caplog.text.count(f"RuntimeError: {DEFECT}") == 1


def test_a_reload_that_fails_unexpectedly_is_repeated(
    monkeypatch: pytest.MonkeyPatch, caplog: pytest.LogCaptureFixture
) -> None:
    # Guards against a job that waits forever for the end of its reload.
    raised = raise_once(monkeypatch, JobReloader, "_read")
    commit, lost = StateClient.commit, []

    def lose_answer_once(client: StateClient, guards: dict[str, int], puts: dict[str, Any], *more: Any) -> Any:
        if records.LEADER in guards and any(key.startswith(records.ACTIVE) for key in puts) and not lost:
            lost.append(sorted(puts))
            return defer.fail(UnknownOutcomeError("no answer"))
        return commit(client, guards, puts, *more)

    monkeypatch.setattr(StateClient, "commit", lose_answer_once)
    with caplog.at_level(logging.ERROR):
        run_jobs(SimulatedCluster(3, loss=0.0))
    assert lost
    assert raised == ["_read"]
    assert caplog.text.count(f"RuntimeError: {DEFECT}") == 1


def test_peers_are_asked_again_after_a_query_that_failed(caplog: pytest.LogCaptureFixture) -> None:
    # Guards against a leader that suspects a partition for good, and then releases no failed machine any more.
    queries: list[int] = []

    async def views() -> list[Any]:
        queries.append(len(queries))
        raise RuntimeError(DEFECT)

    lease = SimpleNamespace(active=True, began_at=0.0)
    timeouts = FailureTimeouts(5.0, 5.0, 5.0, 5.0, 5.0)
    clock = SimpleNamespace(seconds=lambda: 100.0)
    peers = SimpleNamespace(views=views)
    detector = PartitionDetector(ClusterLock(), lease, peers, clock, timeouts, 12.0)  # type: ignore[arg-type]
    machines = [Machine(f"n-{number}", up_since=1.0) for number in range(4)]
    for _ in range(2):
        assert detector.is_suspected(machines, 100.0)
    assert queries == [0, 1]
    assert caplog.text.count("background coroutine failed name='query of peers'") == 2
