"""Tokens, what a leader may do, and the invariants that are asserted while it does."""

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
from tests.held_starts import busy_cluster, hold_and_cancel, run_checking_cancellations, submit_small_jobs
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
    """Over any series of leaders, compared with a reference of what was given out.

    A leader is of this version, or of one that never raises a token.
    The store's revision goes up with each change, by whomever; each leader's first token follows from its key's
    version.
    """
    revision, given_out = 0, 0
    owners: dict[int, int] = {}
    for number, events in enumerate(terms):
        revision += 1
        tokens = FencingTokens(offset + revision, revision)
        machine = tokens.first
        assert machine > given_out, "a successor's first token is above all that any predecessor gave out"
        owners[machine] = number
        for event in events:
            if event == "raise":
                issued = tokens.issue_spare_above(machine)
                assert (issued is None) == (machine >= max(tokens._spares, default=0))
                if issued is not None:
                    assert issued > machine
                    assert owners.setdefault(issued, number) == number
                    assert tokens.is_own(issued)
                    assert not tokens.is_from_successor(issued)
                    machine = issued
            else:
                revision += 1
                if event == "commit":
                    tokens.record_commit(revision)
                    assert tokens.has_spare_above(machine)
        given_out = max(given_out, tokens.highest_issued)
        assert given_out <= offset + revision
        assert tokens.is_from_successor(offset + revision + 1)


def test_spare_tokens_are_bounded_and_issued_in_ascending_order() -> None:
    tokens = FencingTokens(5, 5)
    for revision in range(6, 6 + 2 * MAX_SPARE_TOKENS):
        tokens.record_commit(revision)
    tokens.record_commit(7)  # its answer came late
    first = 6 + MAX_SPARE_TOKENS
    assert tokens.issue_spare_above(5) == first
    assert tokens.issue_spare_above(first) == first + 1
    assert tokens.issue_spare_above(5 + 2 * MAX_SPARE_TOKENS) is None
    assert not tokens.has_spare_above(5 + 2 * MAX_SPARE_TOKENS)


def test_a_start_is_in_flight_until_its_epoch_ends_or_its_token_is_fenced() -> None:
    starts = InflightStarts()
    starts.record_sent("j-1/0", 1, 10.0, 5, 1)
    starts.record_sent("j-1/1", 1, 11.0, 7, 1)
    starts.record_sent("j-1/0", 1, 12.0, 6, 1)  # sent again: when it was first sent stays
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


# -- what may be sent -----------------------------------------------------------------------------------------------


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
    """A held start that comes after the forget would run the attempt again, perhaps beside a newer one elsewhere."""
    cluster = SimulatedCluster(seed=31, loss=0.0)
    cluster.submit(cluster.job(1, pieces=1, guessS=400.0))
    cluster.run(40)
    leader = current_leader(cluster)
    (name,) = {machine.name for machine in cluster.checker.machine_by_task.values()}
    machine, worker = leader.cluster.machines[name], cluster.all_machines[name]
    placement = next(iter(machine.placements.values()))
    token = machine.token
    late = msgspec.to_builtins(
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
    assert worker.token > token, "it was forgotten under a higher token than its start had"
    starts = cluster.checker.starts
    assert worker.command(late).status == 409
    cluster.run(5)
    assert cluster.checker.starts == starts
    assert cluster.checker.violations == []


def test_an_answer_without_room_for_all_stops_renews_no_lease(caplog: pytest.LogCaptureFixture) -> None:
    """More stops than an answer has room for: they go directly, and only then does an answer renew the lease again."""
    cluster = SimulatedCluster(seed=32, loss=0.0, value_kb=16.0)
    cluster.submit(cluster.job(1, pieces=MAX_COMMANDS_PER_ANSWER + 100, vcpus=0.01, memGb=0.01, guessS=900.0))
    cluster.run(60)
    fullest = max(cluster.cloud.machines.values(), key=lambda machine: len(machine.tasks))
    assert len(fullest.tasks) > MAX_COMMANDS_PER_ANSWER
    leader = cluster.leader()
    cluster.partition(leader, fullest.name, 0.0)
    answers: list[dict[str, Any]] = []
    deliver = cluster.deliver_heartbeat

    def delivering(name: str, body: Any) -> Any:
        reply = deliver(name, body)
        if body["host"] == fullest.name and reply.status == 200:
            answers.append(reply.body)
        return reply

    cluster.deliver_heartbeat = delivering  # type: ignore[method-assign]
    # Direct commands don't come through at first.
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
    """An answer that can't carry them moves no clock of the direct ones: nobody else's tasks pay with their lease."""
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
    """To connect takes a while: a start whose job was cancelled meanwhile must not go out."""
    reactor = MemoryReactorClock()
    client = Client(reactor, messages.encode, messages.decode, b"application/cbor", 1, 1.0, 60.0)
    wanted = [True]
    failures: list[Any] = []

    def ask() -> None:
        asked = client.request("POST", "127.0.0.1:9", "/do", {"baton": 1}, 4.0, lambda: wanted[0])
        defer.ensureDeferred(asked).addErrback(failures.append)

    def connect() -> StringTransport:
        protocol = reactor.tcpClients[-1][2].buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        reactor.advance(0.0)
        return transport

    body = messages.encode({"baton": 1})
    ask()
    assert body in connect().value()
    assert failures == []
    ask()
    wanted[0] = False
    assert body not in connect().value()
    assert failures[0].check(ConnectionFailedError), "it is certain that it was not executed"


def test_which_commands_may_be_transmitted_once_connected() -> None:
    """Nothing after the leadership; stops while it lasts; starts only with everything that starts need."""
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
    assert machine.token == 10**6, "once a lease at the most, as it takes a report"


def test_provisioning_and_releases_are_checked_again_after_connecting() -> None:
    """A leader that was replaced meanwhile would provision twice, or release what its successor uses."""
    cluster = busy_cluster(38)
    leader = current_leader(cluster)
    asked: list[str] = []
    controller = leading_controller(cluster)
    wire = controller.clients.cloud._client
    plain = wire.request

    async def connecting(method: str, address: str, path: str, body: Any, timeout_s: float, is_wanted: Any) -> Any:
        asked.append(path)
        controller.election._held_until = 0.0  # its lease ends while the connection is made
        return await plain(method, address, path, body, timeout_s, is_wanted)

    machines = set(cluster.cloud.machines)
    wire.request = connecting
    leader.releaser.release(next(iter(leader.cluster.machines.values())), "a test")
    cluster.run(0.1)
    controller.election._record_renewal(cluster.now)
    leader.provisioner.provision(("small", "a", True), 1)
    cluster.run(0.1)
    assert asked == ["/hosts/release", "/hosts"]
    assert set(cluster.cloud.machines) == machines


def test_a_leader_marks_a_job_cancelled_before_it_answers_the_user() -> None:
    cluster = busy_cluster(33)
    leader = current_leader(cluster)
    job = leader.cluster.jobs["j-000001"]
    seen: list[str | None] = []
    node = leading_controller(cluster)
    admission = node.admission
    keep = admission.outcomes.record

    def keeping(job_id: str, value: dict[str, Any]) -> dict[str, Any]:
        seen.append(job.end_phase)  # the answer is made, and not sent yet
        return keep(job_id, value)

    admission.outcomes.record = keeping  # type: ignore[method-assign]
    cluster.checker.cancel_requested("j-000001")
    defer.ensureDeferred(admission.cancel("j-000001"))
    cluster.run(1.0)
    assert seen
    assert seen[0] is not None


def test_a_leader_without_a_spare_token_rewrites_a_record_to_get_one() -> None:
    cluster = busy_cluster(34)
    leader = current_leader(cluster)
    leader.tokens._spares.clear()
    commits = leader.commit_queue.commits
    cluster.submit(cluster.job(200, pieces=1, vcpus=0.5, memGb=0.5, guessS=5.0))
    cluster.run(0.2)
    leader.tokens._spares.clear()  # as if its machine's token had been raised to the newest
    cluster.run(20)
    assert leader.commit_queue.commits > commits
    assert "j-000200/0" in cluster.checker.completed_tasks
    assert leader.fencing.machines_awaiting_token == {}


def test_the_patterns_of_the_soak_match_the_log_lines(caplog: pytest.LogCaptureFixture) -> None:
    cluster = busy_cluster(48)
    with caplog.at_level(logging.INFO):
        hold_and_cancel(cluster)
        run_checking_cancellations(cluster, 60.0)
    for name in ("tokens_raised", "starts_barred", "starts_in_doubt"):
        assert LOG_PATTERNS[name].search(caplog.text), name


def test_the_status_shows_starts_in_doubt() -> None:
    cluster = busy_cluster(35)
    cluster.message_delays.append(MessageDelay(cluster.now + 3.0, 45.0, 45.0, verb="launch"))
    submit_small_jobs(cluster)
    cluster.run(7)
    shown = current_leader(cluster).status()["commands"]
    assert shown["starts_in_doubt"] >= shown["in_doubt_now"] > 0
    assert shown["starts_sent"] > shown["starts_answered"]
    row = shown["in_doubt"][0]
    assert row["first_sent_at"] < row["in_doubt_since"] <= cluster.now
    assert row["token"] > 0
    assert row["epoch"] == 1
    told = orjson.loads(
        orjson.dumps(leading_controller(cluster).administration.status())
    )  # as the administration API tells it
    assert told["invariants"] == {"violations": {}, "newest": []}
    assert told["leadership"]["commands"] == shown
    assert told["leadership"]["knowledge"]["watch_revision"] > 0


# -- versions, and a lost store ---------------------------------------------------------------------------------------


def cancel_jobs_with_held_starts(cluster: SimulatedCluster) -> None:
    """Starts are held, their jobs cancelled, and tokens raised for that."""
    hold_and_cancel(cluster)
    cluster.run(4)
    assert current_leader(cluster).tokens.issued_count > 0


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
@pytest.mark.parametrize("seed", [1, 2])
def test_the_version_in_production_leads_after_spare_tokens_were_issued(seed: int) -> None:
    """It knows nothing of raised tokens: its own, the version of its key, is above all of them."""
    cluster = busy_cluster(40 + seed)
    cancel_jobs_with_held_starts(cluster)
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
    """Whoever led under the highest token that is known counts as the last leader: a raised one is its own."""
    cluster = busy_cluster(44, features=Features(rebuild=RebuildFeature(enabled=True, follow_s=0.1)))
    cancel_jobs_with_held_starts(cluster)
    running, tokens = set(cluster.checker.machine_by_task), leading_controller(cluster).rebuild.tokens
    assert tokens.last_term_token == current_leader(cluster).tokens.highest_issued == tokens.highest
    cluster.state.wipe()
    run_checking_cancellations(cluster, 100.0)
    assert current_leader(cluster).tokens.first > tokens.last_term_token - 1
    assert cluster.checker.violations == []
    assert running <= set(cluster.checker.machine_by_task), "what ran goes on"


# -- invariants -------------------------------------------------------------------------------------------------------


def test_a_failed_fence_is_reported_and_renews_no_lease(
    monkeypatch: pytest.MonkeyPatch, no_violations: list[str]
) -> None:
    """Without it the answer would break the bound: it is refused, and the end of the lease fences the start."""
    monkeypatch.setattr(MachineFencing, "fence_starts_of_ended_jobs", lambda *_: True)
    cluster = busy_cluster(45)
    hold_and_cancel(cluster)
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
    hold_and_cancel(cluster)
    run_checking_cancellations(cluster, 60.0)
    assert Invariant.NO_START_AFTER_END.name in {line.partition(":")[0] for line in no_violations}
    assert cluster.checker.violations == []
    no_violations.clear()


def test_violations_are_counted_and_their_log_lines_bounded(
    caplog: pytest.LogCaptureFixture, no_violations: list[str]
) -> None:
    monitor = InvariantMonitor()
    assert monitor.check(True, Invariant.TOKENS_RISE, "%d", "a text that would not fit")
    with caplog.at_level(logging.ERROR):
        for number in range(MAX_LOGGED_PER_INVARIANT + 50):
            assert not monitor.check(False, Invariant.TOKENS_RISE, "case %d", number)
    assert len(caplog.records) == MAX_LOGGED_PER_INVARIANT
    assert "case 0" in caplog.text
    shown = monitor.status()
    assert shown["violations"] == {"TOKENS_RISE": MAX_LOGGED_PER_INVARIANT + 50}
    assert len(shown["newest"]) == MAX_EVIDENCE
    assert len(no_violations) == MAX_LOGGED_PER_INVARIANT + 50
    no_violations.clear()


def test_a_fenced_start_that_runs_is_reported(no_violations: list[str]) -> None:
    cluster = busy_cluster(47)
    leader = current_leader(cluster)
    machine = next(m for m in leader.cluster.machines.values() if m.placements)
    task = next(iter(machine.placements.values()))
    leader.fencing.record_fenced(machine, Placement(task.job, task.index, task.attempt, machine.id, "a", True))
    cluster.run(5)
    assert no_violations
    assert no_violations[0].startswith(Invariant.FENCED_STAYS_FENCED.name)
    assert Machine("n").fenced_starts == {}
    no_violations.clear()
