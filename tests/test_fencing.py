"""Fencing tokens, the authority of a leader, and the invariants that are checked at run time."""

import logging
from typing import Any

import msgspec
import orjson
import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet import defer
from twisted.internet.testing import MemoryReactorClock, StringTransport

from stileloft.controller.controller import Controller
from stileloft.features import Features, RebuildFeature
from stileloft.leadership.authority import Authority, Refusal
from stileloft.leadership.fencing_tokens import MAX_SPARE_TOKENS, FencingTokens
from stileloft.leadership.invariants import MAX_EVIDENCE, MAX_LOGGED_PER_INVARIANT, Invariant, InvariantMonitor
from stileloft.leadership.leader import Leader
from stileloft.model.inflight_starts import InflightStarts
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol import messages
from stileloft.protocol.commands import CommandMessage, StartCommand
from stileloft.transport.client import Client, ConnectionFailedError
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.heartbeat_responder import MAX_COMMANDS_PER_ANSWER, NO_TOKEN
from tests.held_starts import busy_cluster, delay_starts_and_cancel, run_checking_cancellations, submit_small_jobs
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.network import MessageDelay
from tests.soak.cluster import LOG_PATTERNS
from tests.versions import CURRENT, production

# -- tokens ----------------------------------------------------------------------------------------------------------


@given(
    terms=st.lists(st.lists(st.sampled_from(["commit", "other", "raise"]), max_size=30), min_size=1, max_size=5),
    offset=st.integers(0, 10**6),
)
def test_tokens_are_unique_to_a_leader_and_increase(terms: list[list[str]], offset: int) -> None:
    """Over any series of leaders, compared with a reference of the issued tokens.

    A leader has this version, or one that never issues a spare token. Each change of the store increments its revision,
    whoever makes it; a leader's first token is the version of its key.
    """
    revision, highest_issued = 0, 0
    owners: dict[int, int] = {}
    for number, events in enumerate(terms):
        revision += 1
        tokens = FencingTokens(offset + revision, revision)
        machine_token = tokens.first
        assert machine_token > highest_issued, "a successor's first token is above all tokens of its predecessors"
        owners[machine_token] = number
        for event in events:
            if event == "raise":
                issued = tokens.issue_spare_above(machine_token)
                assert (issued is None) == (machine_token >= max(tokens._spares, default=0))
                if issued is not None:
                    assert issued > machine_token
                    assert owners.setdefault(issued, number) == number
                    assert tokens.is_own(issued)
                    assert not tokens.is_from_successor(issued)
                    machine_token = issued
            else:
                revision += 1
                if event == "commit":
                    tokens.record_commit(revision)
                    assert tokens.has_spare_above(machine_token)
        highest_issued = max(highest_issued, tokens.highest_issued)
        assert highest_issued <= offset + revision
        assert tokens.is_from_successor(offset + revision + 1)


def test_spare_tokens_are_bounded_and_issued_in_ascending_order() -> None:
    tokens = FencingTokens(5, 5)
    for revision in range(6, 6 + 2 * MAX_SPARE_TOKENS):
        tokens.record_commit(revision)
    tokens.record_commit(7)  # a commit whose answer came late
    first = 6 + MAX_SPARE_TOKENS
    assert tokens.issue_spare_above(5) == first
    assert tokens.issue_spare_above(first) == first + 1
    assert tokens.issue_spare_above(5 + 2 * MAX_SPARE_TOKENS) is None
    assert not tokens.has_spare_above(5 + 2 * MAX_SPARE_TOKENS)


def test_a_start_is_in_flight_until_its_epoch_ends_or_its_token_is_fenced() -> None:
    starts = InflightStarts()
    starts.record_sent("j-1/0", 1, 10.0, 5, 1)
    starts.record_sent("j-1/1", 1, 11.0, 7, 1)
    starts.record_sent("j-1/0", 1, 12.0, 6, 1)  # a repeated start keeps the time at which it was first sent
    first = starts.get("j-1/0", 1)
    assert first is not None
    assert (first.first_sent_at, first.token) == (10.0, 6)
    starts.drop_fenced(1, 6)
    assert set(starts.by_attempt) == {("j-1/0", 1), ("j-1/1", 1)}
    assert starts.highest_token([("j-1/0", 1), ("j-9/9", 1)]) == 6
    starts.drop_fenced(1, 7)
    assert set(starts.by_attempt) == {("j-1/1", 1)}
    starts.drop_fenced(2, 7)
    assert starts.by_attempt == {}


# -- authority of a leader -------------------------------------------------------------------------------------------


def leading_controller(cluster: SimulatedCluster) -> Controller:
    name = cluster.leader()
    assert name is not None
    controller = cluster.nodes[name]
    assert controller is not None
    return controller


def current_leader(cluster: SimulatedCluster) -> Leader:
    leader = leading_controller(cluster).leader
    assert leader is not None
    return leader


def test_an_attempt_is_forgotten_only_when_its_start_is_fenced() -> None:
    """A delayed start that came after the forget would run the attempt again, perhaps beside a newer attempt."""
    cluster = SimulatedCluster(seed=31, loss=0.0)
    cluster.submit(cluster.job(1, pieces=1, guessS=400.0))
    cluster.run(40)
    leader = current_leader(cluster)
    (name,) = {machine.name for machine in cluster.checker.machine_by_task.values()}
    machine, worker = leader.cluster.machines[name], cluster.all_machines[name]
    placement = next(iter(machine.placements.values()))
    token = machine.token
    delayed_start = msgspec.to_builtins(
        CommandMessage(token, [StartCommand(placement.task, placement.attempt)], epoch=worker.epoch)
    )
    assert leader.authority.check_forget(machine, placement.task, placement.attempt, False) is Refusal.START_IN_FLIGHT
    assert leader.authority.check_forget(machine, placement.task, placement.attempt, True) is None
    machine.inflight_starts.by_attempt[placement.task, placement.attempt].in_doubt_since = cluster.now
    assert leader.authority.check_forget(machine, placement.task, placement.attempt, True) is Refusal.START_IN_FLIGHT
    leader.lifecycle.stop(placement, 0.0)
    machine.drain_reason = None
    cluster.run(4 * cluster.LEASE_S + 20.0)
    assert placement.task not in worker.tasks or worker.tasks[placement.task]["try"] > placement.attempt
    assert worker.token > token, "the attempt was forgotten under a higher token than that of its start"
    starts = cluster.checker.starts
    assert worker.command(delayed_start).status == 409
    cluster.run(5)
    assert cluster.checker.starts == starts
    assert cluster.checker.violations == []


def test_an_answer_without_room_for_all_stops_renews_no_lease(caplog: pytest.LogCaptureFixture) -> None:
    """Stops beyond the limit of an answer are sent directly; answers renew the lease again after that."""
    cluster = SimulatedCluster(seed=32, loss=0.0, value_kb=16.0)
    cluster.submit(cluster.job(1, pieces=MAX_COMMANDS_PER_ANSWER + 100, vcpus=0.01, memGb=0.01, guessS=900.0))
    cluster.run(60)
    fullest = max(cluster.cloud.machines.values(), key=lambda machine: len(machine.tasks))
    assert len(fullest.tasks) > MAX_COMMANDS_PER_ANSWER
    leader = cluster.leader()
    cluster.partition(leader, fullest.name, 0.0)
    answers: list[dict[str, Any]] = []
    deliver = cluster.deliver_heartbeat

    def record_answers(name: str, body: Any) -> Any:
        reply = deliver(name, body)
        if body["host"] == fullest.name and reply.status == 200:
            answers.append(reply.body)
        return reply

    cluster.deliver_heartbeat = record_answers  # type: ignore[method-assign]
    # Direct commands are delayed at first.
    cluster.message_delays.append(MessageDelay(cluster.now + 7.0, 60.0, 60.0))
    cluster.cancel("j-000001")
    with caplog.at_level(logging.INFO):
        run_checking_cancellations(cluster, cluster.CANCEL_S + 20.0)
    assert LOG_PATTERNS["renewals_withheld"].search(caplog.text)
    assert NO_TOKEN in {answer["baton"] for answer in answers}
    assert all(len(answer["orders"]) <= MAX_COMMANDS_PER_ANSWER for answer in answers)
    assert cluster.checker.violations == []
    assert cluster.checker.machine_by_task == {}


def test_stops_beyond_the_limit_of_an_answer_are_sent_directly_in_time() -> None:
    """An answer without room for the stops does not postpone the direct ones.

    Otherwise the machine would lose its lease, and with it the tasks of other jobs.
    """
    cluster = SimulatedCluster(seed=39, loss=0.0, value_kb=16.0)
    cluster.submit(cluster.job(1, pieces=MAX_COMMANDS_PER_ANSWER + 100, vcpus=0.01, memGb=0.01, guessS=900.0))
    cluster.submit(cluster.job(2, pieces=1, vcpus=0.5, memGb=0.5, guessS=900.0))
    cluster.run(60)
    assert max(len(machine.tasks) for machine in cluster.cloud.machines.values()) > MAX_COMMANDS_PER_ANSWER
    cluster.cancel("j-000001")
    run_checking_cancellations(cluster, 0.6 * SimulatedCluster.LEASE_S)
    assert set(cluster.checker.machine_by_task) == {"j-000002/0"}
    assert cluster.expired_leases == 0
    assert cluster.checker.starts_by_task["j-000002/0"] == 1


def test_a_start_is_checked_again_after_its_connection_is_made() -> None:
    """A start whose job was cancelled while the connection was being made must not be sent."""
    reactor = MemoryReactorClock()
    client = Client(reactor, messages.encode, messages.decode, b"application/cbor", 1, 1.0, 60.0)
    is_wanted = [True]
    failures: list[Any] = []

    def send_start() -> None:
        request = client.request("POST", "127.0.0.1:9", "/do", {"baton": 1}, 4.0, lambda: is_wanted[0])
        defer.ensureDeferred(request).addErrback(failures.append)

    def connect() -> StringTransport:
        protocol = reactor.tcpClients[-1][2].buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        reactor.advance(0.0)
        return transport

    body = messages.encode({"baton": 1})
    send_start()
    assert body in connect().value()
    assert failures == []
    send_start()
    is_wanted[0] = False
    assert body not in connect().value()
    assert failures[0].check(ConnectionFailedError), "the error says that the start was not executed"


def test_which_commands_may_be_transmitted_once_connected() -> None:
    """A leader may send stops, and starts if all their conditions hold; a former leader may send nothing."""
    cluster = busy_cluster(36)
    leader = current_leader(cluster)
    machine = next(m for m in leader.cluster.machines.values() if m.placements)
    placement = next(iter(machine.placements.values()))
    assert leader.authority.check_transmission([placement], machine) is Refusal.ALREADY_REPORTED
    placement.reported_state = None
    assert leader.authority.check_transmission([placement], machine) is None
    leader.tokens._spares.clear()
    assert leader.authority.check_transmission([placement], machine) is Refusal.NO_SPARE_TOKEN
    leading_controller(cluster).election._held_until = 0.0
    assert leader.authority.check_transmission([placement], machine) is Refusal.LEASE_NOT_CONFIRMED
    assert leader.authority.check_transmission([], machine) is None
    leader.lease.active = False
    assert leader.authority.check_transmission([], machine) is Refusal.LEADERSHIP_ENDED


def test_a_forget_without_a_spare_token_is_no_invariant_violation(no_violations: list[str]) -> None:
    cluster = busy_cluster(37)
    leader = current_leader(cluster)
    machine = next(iter(leader.cluster.machines.values()))
    before = machine.token
    leader.tokens._spares.clear()
    leader.fencing.fence_for_forgets(machine, cluster.now)
    assert machine.token == before
    assert no_violations == []
    leader.tokens.record_commit(10**6)
    leader.fencing.fence_for_forgets(machine, cluster.now)
    assert machine.token > before
    leader.tokens.record_commit(10**6 + 1)
    leader.fencing.fence_for_forgets(machine, cluster.now + 0.1)
    assert machine.token == 10**6, "at most once per lease, since each one takes a heartbeat"


def test_provisioning_and_releases_are_checked_again_after_connecting() -> None:
    """A leader that was replaced while connecting would provision twice, or release its successor's machines."""
    cluster = busy_cluster(38)
    leader = current_leader(cluster)
    requested_paths: list[str] = []
    controller = leading_controller(cluster)
    client = controller.clients.cloud._client
    request = client.request

    async def end_lease_while_connecting(
        method: str, address: str, path: str, body: Any, timeout_s: float, is_wanted: Any
    ) -> Any:
        requested_paths.append(path)
        controller.election._held_until = 0.0  # its lease ends while the connection is made
        return await request(method, address, path, body, timeout_s, is_wanted)

    machines = set(cluster.cloud.machines)
    client.request = end_lease_while_connecting
    leader.releaser.release(next(iter(leader.cluster.machines.values())), "a test")
    cluster.run(0.1)
    controller.election._record_renewal(cluster.now)
    leader.provisioner.provision(("small", "a", True), 1)
    cluster.run(0.1)
    assert requested_paths == ["/hosts/release", "/hosts"]
    assert set(cluster.cloud.machines) == machines


def test_a_leader_marks_a_job_cancelled_before_it_answers_the_user() -> None:
    cluster = busy_cluster(33)
    leader = current_leader(cluster)
    job = leader.cluster.jobs["j-000001"]
    phases_at_answer: list[str | None] = []
    node = leading_controller(cluster)
    admission = node.admission
    record = admission.outcomes.record

    def record_phase(job_id: str, value: dict[str, Any]) -> dict[str, Any]:
        phases_at_answer.append(job.end_phase)  # the answer exists, but has not been sent
        return record(job_id, value)

    admission.outcomes.record = record_phase  # type: ignore[method-assign]
    cluster.checker.cancel_requested("j-000001")
    defer.ensureDeferred(admission.cancel("j-000001"))
    cluster.run(1.0)
    assert phases_at_answer
    assert phases_at_answer[0] is not None


def test_a_leader_without_a_spare_token_rewrites_a_record_to_get_one() -> None:
    cluster = busy_cluster(34)
    leader = current_leader(cluster)
    leader.tokens._spares.clear()
    commits = leader.commit_queue.commits
    cluster.submit(cluster.job(200, pieces=1, vcpus=0.5, memGb=0.5, guessS=5.0))
    cluster.run(0.2)
    leader.tokens._spares.clear()  # as if the machine had already been given the newest token
    cluster.run(20)
    assert leader.commit_queue.commits > commits
    assert "j-000200/0" in cluster.checker.completed_tasks
    assert leader.fencing.machines_awaiting_token == {}


def test_the_patterns_of_the_soak_match_the_log_lines(caplog: pytest.LogCaptureFixture) -> None:
    cluster = busy_cluster(48)
    with caplog.at_level(logging.INFO):
        delay_starts_and_cancel(cluster)
        run_checking_cancellations(cluster, 60.0)
    for name in ("tokens_raised", "starts_barred", "starts_in_doubt"):
        assert LOG_PATTERNS[name].search(caplog.text), name


def test_the_status_shows_starts_in_doubt() -> None:
    cluster = busy_cluster(35)
    cluster.message_delays.append(MessageDelay(cluster.now + 3.0, 45.0, 45.0, verb="launch"))
    submit_small_jobs(cluster)
    cluster.run(7)
    commands = current_leader(cluster).status()["commands"]
    assert commands["starts_in_doubt"] >= commands["in_doubt_now"] > 0
    assert commands["starts_sent"] > commands["starts_answered"]
    row = commands["in_doubt"][0]
    assert row["first_sent_at"] < row["in_doubt_since"] <= cluster.now
    assert row["token"] > 0
    assert row["epoch"] == 1
    # The status as the administration API answers it.
    status = orjson.loads(orjson.dumps(leading_controller(cluster).administration.status()))
    assert status["invariants"] == {"violations": {}, "newest": []}
    assert status["leadership"]["commands"] == commands
    assert status["leadership"]["knowledge"]["watch_revision"] > 0


# -- versions, and loss of the store ---------------------------------------------------------------------------------


def cancel_jobs_with_delayed_starts(cluster: SimulatedCluster) -> None:
    """Cancels jobs whose starts are delayed, so that the leader issues spare tokens to fence the starts."""
    delay_starts_and_cancel(cluster)
    cluster.run(4)
    assert current_leader(cluster).tokens.issued_count > 0


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
@pytest.mark.parametrize("seed", [1, 2])
def test_the_version_in_production_leads_after_spare_tokens_were_issued(seed: int) -> None:
    """The version in production has no spare tokens: its token, the version of its key, is above all issued ones."""
    cluster = busy_cluster(40 + seed)
    cancel_jobs_with_delayed_starts(cluster)
    raised = current_leader(cluster).tokens.highest_issued
    for name in cluster.names:
        cluster.kill(name, 0.3, production() or CURRENT)
    run_checking_cancellations(cluster, 100.0)
    leader = cluster.leader()
    assert leader is not None
    assert cluster.nodes[leader].election.token > raised
    assert cluster.checker.violations == []
    assert cluster.checker.refused_starts["token"] > 0


def test_a_store_lost_after_spare_tokens_were_issued_is_rebuilt() -> None:
    """The leader of the highest known token counts as the last one, also if that token was a spare token."""
    cluster = busy_cluster(44, features=Features(rebuild=RebuildFeature(enabled=True, follow_s=0.1)))
    cancel_jobs_with_delayed_starts(cluster)
    running, tokens = set(cluster.checker.machine_by_task), leading_controller(cluster).rebuild.tokens
    assert tokens.last_term_token == current_leader(cluster).tokens.highest_issued == tokens.highest
    cluster.state.wipe()
    run_checking_cancellations(cluster, 100.0)
    assert current_leader(cluster).tokens.first > tokens.last_term_token - 1
    assert cluster.checker.violations == []
    assert running <= set(cluster.checker.machine_by_task), "running tasks are kept"


# -- invariants -------------------------------------------------------------------------------------------------------


def test_a_failed_fence_is_reported_and_renews_no_lease(
    monkeypatch: pytest.MonkeyPatch, no_violations: list[str]
) -> None:
    """Without the fence, an answer that renews the lease would break the cancellation bound.

    Such an answer is refused, and the end of the worker's lease fences the start.
    """
    monkeypatch.setattr(MachineFencing, "fence_starts_of_ended_jobs", lambda *_: True)
    cluster = busy_cluster(45)
    delay_starts_and_cancel(cluster)
    run_checking_cancellations(cluster, 80.0)
    assert {line.partition(":")[0] for line in no_violations} == {Invariant.RENEWAL_FENCES.name}
    assert cluster.checker.violations == []
    assert cluster.expired_leases > 0
    assert leading_controller(cluster).administration.status()["invariants"]["violations"]["RENEWAL_FENCES"] > 0
    no_violations.clear()


def test_a_start_of_an_ended_job_is_reported_and_not_sent(
    monkeypatch: pytest.MonkeyPatch, no_violations: list[str]
) -> None:
    monkeypatch.setattr(
        Authority,
        "check_start",
        lambda _, placement, __: None if placement.state == PlacementState.BOUND else Refusal.ALREADY_REPORTED,
    )
    monkeypatch.setattr(Authority, "check_transmission", lambda *_: None)
    cluster = busy_cluster(46)
    delay_starts_and_cancel(cluster)
    run_checking_cancellations(cluster, 60.0)
    assert Invariant.NO_START_AFTER_END.name in {line.partition(":")[0] for line in no_violations}
    assert cluster.checker.violations == []
    no_violations.clear()


def test_violations_are_counted_and_their_log_lines_bounded(
    caplog: pytest.LogCaptureFixture, no_violations: list[str]
) -> None:
    monitor = InvariantMonitor()
    assert monitor.check(True, Invariant.TOKENS_RISE, "%d", "an argument that does not fit the format")
    with caplog.at_level(logging.ERROR):
        for number in range(MAX_LOGGED_PER_INVARIANT + 50):
            assert not monitor.check(False, Invariant.TOKENS_RISE, "case %d", number)
    assert len(caplog.records) == MAX_LOGGED_PER_INVARIANT
    assert "case 0" in caplog.text
    status = monitor.status()
    assert status["violations"] == {"TOKENS_RISE": MAX_LOGGED_PER_INVARIANT + 50}
    assert len(status["newest"]) == MAX_EVIDENCE
    assert len(no_violations) == MAX_LOGGED_PER_INVARIANT + 50
    no_violations.clear()


def test_a_fenced_start_that_runs_is_reported(no_violations: list[str]) -> None:
    cluster = busy_cluster(47)
    leader = current_leader(cluster)
    machine = next(m for m in leader.cluster.machines.values() if m.placements)
    placement = next(iter(machine.placements.values()))
    leader.fencing.record_fenced(
        machine, Placement(placement.job, placement.index, placement.attempt, machine.id, "a", True)
    )
    cluster.run(5)
    assert no_violations
    assert no_violations[0].startswith(Invariant.FENCED_STAYS_FENCED.name)
    assert Machine("n").fenced_starts == {}
    no_violations.clear()
