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
from tests.held_starts import busy_world, hold_and_cancel, run_watched, submit_small_jobs
from tests.simulation.network import Hold
from tests.simulation.world import World
from tests.soak.cluster import LOG_PATTERNS
from tests.versions import NEW, production

# -- tokens ----------------------------------------------------------------------------------------------------------


@given(
    terms=st.lists(st.lists(st.sampled_from(["commit", "other", "raise"]), max_size=30), min_size=1, max_size=5),
    offset=st.integers(0, 10**6),
)
def test_tokens_belong_to_one_leader_and_rise(terms: list[list[str]], offset: int) -> None:
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


def test_spare_tokens_are_bounded_and_the_lowest_is_given_first() -> None:
    tokens = FencingTokens(5, 5)
    for revision in range(6, 6 + 2 * MAX_SPARE_TOKENS):
        tokens.record_commit(revision)
    tokens.record_commit(7)  # its answer came late
    first = 6 + MAX_SPARE_TOKENS
    assert tokens.issue_spare_above(5) == first
    assert tokens.issue_spare_above(first) == first + 1
    assert tokens.issue_spare_above(5 + 2 * MAX_SPARE_TOKENS) is None
    assert not tokens.has_spare_above(5 + 2 * MAX_SPARE_TOKENS)


def test_a_start_is_in_flight_until_its_epoch_or_its_token_is_over() -> None:
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


def leading_controller(world: World) -> Controller:
    name = world.leader()
    assert name is not None
    controller = world.nodes[name]
    assert controller is not None
    return controller


def leading(world: World) -> Leader:
    leader = leading_controller(world).leader
    assert leader is not None
    return leader


def test_an_attempt_is_forgotten_only_when_its_start_is_fenced() -> None:
    """A held start that comes after the forget would run the attempt again, perhaps beside a newer one elsewhere."""
    world = World(seed=31, loss=0.0)
    world.submit(world.job(1, pieces=1, guessS=400.0))
    world.run(40)
    leader = leading(world)
    (name,) = {machine.name for machine in world.rules.where.values()}
    machine, worker = leader.cluster.machines[name], world.every_machine[name]
    placement = next(iter(machine.placements.values()))
    token = machine.token
    late = msgspec.to_builtins(
        CommandMessage(token, [StartCommand(placement.task, placement.attempt)], epoch=worker.epoch)
    )
    assert leader.authority.check_forget(machine, placement.task, placement.attempt, False) is Refusal.START_IN_FLIGHT
    assert leader.authority.check_forget(machine, placement.task, placement.attempt, True) is None
    machine.inflight_starts.by_attempt[placement.task, placement.attempt].in_doubt_since = world.now
    assert leader.authority.check_forget(machine, placement.task, placement.attempt, True) is Refusal.START_IN_FLIGHT
    leader.lifecycle.stop(placement, 0.0)
    machine.drain_reason = None
    world.run(4 * world.LEASE_S + 20.0)
    assert placement.task not in worker.tasks or worker.tasks[placement.task]["try"] > placement.attempt
    assert worker.token > token, "it was forgotten under a higher token than its start had"
    starts = world.rules.starts
    assert worker.command(late).status == 409
    world.run(5)
    assert world.rules.starts == starts
    assert world.rules.broken == []


def test_an_answer_that_cannot_stop_all_that_is_cancelled_renews_no_lease(caplog: pytest.LogCaptureFixture) -> None:
    """More stops than an answer has room for: they go directly, and only then does an answer renew the lease again."""
    world = World(seed=32, loss=0.0, value_kb=16.0)
    world.submit(world.job(1, pieces=MAX_COMMANDS_PER_ANSWER + 100, vcpus=0.01, memGb=0.01, guessS=900.0))
    world.run(60)
    fullest = max(world.cloud.machines.values(), key=lambda machine: len(machine.tasks))
    assert len(fullest.tasks) > MAX_COMMANDS_PER_ANSWER
    leader = world.leader()
    world.cut(leader, fullest.name, 0.0)
    answers: list[dict[str, Any]] = []
    deliver = world.deliver_report

    def delivering(name: str, body: Any) -> Any:
        reply = deliver(name, body)
        if body["host"] == fullest.name and reply.status == 200:
            answers.append(reply.body)
        return reply

    world.deliver_report = delivering  # type: ignore[method-assign]
    world.holds.append(Hold(world.now + 7.0, 60.0, 60.0))  # direct commands don't come through at first
    world.cancel("j-000001")
    with caplog.at_level(logging.INFO):
        run_watched(world, world.CANCEL_S + 20.0)
    assert LOG_PATTERNS["renewals_withheld"].search(caplog.text)
    assert NO_TOKEN in {answer["baton"] for answer in answers}
    assert all(len(answer["orders"]) <= MAX_COMMANDS_PER_ANSWER for answer in answers)
    assert world.rules.broken == []
    assert world.rules.where == {}


def test_more_stops_than_an_answer_holds_go_directly_in_time() -> None:
    """An answer that can't carry them moves no clock of the direct ones: nobody else's tasks pay with their lease."""
    world = World(seed=39, loss=0.0, value_kb=16.0)
    world.submit(world.job(1, pieces=MAX_COMMANDS_PER_ANSWER + 100, vcpus=0.01, memGb=0.01, guessS=900.0))
    world.submit(world.job(2, pieces=1, vcpus=0.5, memGb=0.5, guessS=900.0))
    world.run(60)
    assert max(len(machine.tasks) for machine in world.cloud.machines.values()) > MAX_COMMANDS_PER_ANSWER
    world.cancel("j-000001")
    run_watched(world, 0.6 * World.LEASE_S)
    assert set(world.rules.where) == {"j-000002/0"}
    assert world.sessions_lost == 0
    assert world.rules.starts_by_task["j-000002/0"] == 1


def test_a_start_is_asked_for_again_when_its_connection_is_there() -> None:
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


def test_what_may_go_out_when_the_connection_is_there_at_last() -> None:
    """Nothing after the leadership; stops while it lasts; starts only with everything that starts need."""
    world = busy_world(36)
    leader = leading(world)
    machine = next(m for m in leader.cluster.machines.values() if m.placements)
    placement = next(iter(machine.placements.values()))
    assert leader.authority.check_transmission([placement], machine) is Refusal.ALREADY_REPORTED
    placement.reported_state = None
    assert leader.authority.check_transmission([placement], machine) is None
    leader.tokens._spares.clear()
    assert leader.authority.check_transmission([placement], machine) is Refusal.NO_SPARE_TOKEN
    leading_controller(world).election._held_until = 0.0
    assert leader.authority.check_transmission([placement], machine) is Refusal.LEASE_NOT_CONFIRMED
    assert leader.authority.check_transmission([], machine) is None
    leader.lease.active = False
    assert leader.authority.check_transmission([], machine) is Refusal.LEADERSHIP_ENDED


def test_a_forget_that_waits_for_a_spare_token_is_no_violation(no_violations: list[str]) -> None:
    world = busy_world(37)
    leader = leading(world)
    machine = next(iter(leader.cluster.machines.values()))
    before = machine.token
    leader.tokens._spares.clear()
    leader.fencing.fence_for_forgets(machine, world.now)
    assert machine.token == before
    assert no_violations == []
    leader.tokens.record_commit(10**6)
    leader.fencing.fence_for_forgets(machine, world.now)
    assert machine.token > before
    leader.tokens.record_commit(10**6 + 1)
    leader.fencing.fence_for_forgets(machine, world.now + 0.1)
    assert machine.token == 10**6, "once a lease at the most, as it takes a report"


def test_provisioning_and_releases_are_asked_for_again_when_their_connection_is_there() -> None:
    """A leader that was replaced meanwhile would provision twice, or release what its successor uses."""
    world = busy_world(38)
    leader = leading(world)
    asked: list[str] = []
    controller = leading_controller(world)
    wire = controller.clients.cloud._client
    plain = wire.request

    async def connecting(method: str, address: str, path: str, body: Any, timeout_s: float, is_wanted: Any) -> Any:
        asked.append(path)
        controller.election._held_until = 0.0  # its lease ends while the connection is made
        return await plain(method, address, path, body, timeout_s, is_wanted)

    machines = set(world.cloud.machines)
    wire.request = connecting
    leader.releaser.release(next(iter(leader.cluster.machines.values())), "a test")
    world.run(0.1)
    controller.election._record_renewal(world.now)
    leader.provisioner.provision(("small", "a", True), 1)
    world.run(0.1)
    assert asked == ["/hosts/release", "/hosts"]
    assert set(world.cloud.machines) == machines


def test_a_leader_knows_at_once_what_its_own_users_cancel() -> None:
    world = busy_world(33)
    leader = leading(world)
    job = leader.cluster.jobs["j-000001"]
    seen: list[str | None] = []
    node = leading_controller(world)
    admission = node.admission
    keep = admission.outcomes.record

    def keeping(job_id: str, value: dict[str, Any]) -> dict[str, Any]:
        seen.append(job.end_phase)  # the answer is made, and not sent yet
        return keep(job_id, value)

    admission.outcomes.record = keeping  # type: ignore[method-assign]
    world.rules.cancelling("j-000001")
    defer.ensureDeferred(admission.cancel("j-000001"))
    world.run(1.0)
    assert seen
    assert seen[0] is not None


def test_a_leader_without_a_spare_token_gets_one_by_writing_a_record_again() -> None:
    world = busy_world(34)
    leader = leading(world)
    leader.tokens._spares.clear()
    commits = leader.commit_queue.commits
    world.submit(world.job(200, pieces=1, vcpus=0.5, memGb=0.5, guessS=5.0))
    world.run(0.2)
    leader.tokens._spares.clear()  # as if its machine's token had been raised to the newest
    world.run(20)
    assert leader.commit_queue.commits > commits
    assert "j-000200/0" in world.rules.done
    assert leader.fencing.machines_awaiting_token == {}


def test_the_soak_finds_the_log_lines_that_it_counts(caplog: pytest.LogCaptureFixture) -> None:
    world = busy_world(48)
    with caplog.at_level(logging.INFO):
        hold_and_cancel(world)
        run_watched(world, 60.0)
    for name in ("tokens_raised", "starts_barred", "starts_in_doubt"):
        assert LOG_PATTERNS[name].search(caplog.text), name


def test_what_the_leader_knows_of_starts_is_shown() -> None:
    world = busy_world(35)
    world.holds.append(Hold(world.now + 3.0, 45.0, 45.0, verb="launch"))
    submit_small_jobs(world)
    world.run(7)
    shown = leading(world).status()["commands"]
    assert shown["starts_in_doubt"] >= shown["in_doubt_now"] > 0
    assert shown["starts_sent"] > shown["starts_answered"]
    row = shown["in_doubt"][0]
    assert row["first_sent_at"] < row["in_doubt_since"] <= world.now
    assert row["token"] > 0
    assert row["epoch"] == 1
    told = orjson.loads(
        orjson.dumps(leading_controller(world).administration.status())
    )  # as the administration API tells it
    assert told["invariants"] == {"violations": {}, "newest": []}
    assert told["leadership"]["commands"] == shown
    assert told["leadership"]["knowledge"]["watch_revision"] > 0


# -- versions, and a lost store ---------------------------------------------------------------------------------------


def cancel_held(world: World) -> None:
    """Starts are held, their jobs cancelled, and tokens raised for that."""
    hold_and_cancel(world)
    world.run(4)
    assert leading(world).tokens.issued_count > 0


@pytest.mark.skipif(production() is None, reason="the checkout lacks the history")
@pytest.mark.parametrize("seed", [1, 2])
def test_the_version_in_production_leads_after_tokens_were_raised(seed: int) -> None:
    """It knows nothing of raised tokens: its own, the version of its key, is above all of them."""
    world = busy_world(40 + seed)
    cancel_held(world)
    raised = leading(world).tokens.highest_issued
    for name in world.names:
        world.kill(name, 0.3, production() or NEW)
    run_watched(world, 100.0)
    leader = world.leader()
    assert leader is not None
    assert world.nodes[leader].election.token > raised
    assert world.rules.broken == []
    assert world.rules.refused_starts["token"] > 0


def test_a_store_that_is_lost_after_tokens_were_raised_is_rebuilt() -> None:
    """Whoever led under the highest token that is known counts as the last leader: a raised one is its own."""
    world = busy_world(44, features=Features(rebuild=RebuildFeature(enabled=True, follow_s=0.1)))
    cancel_held(world)
    running, tokens = set(world.rules.where), leading_controller(world).rebuild.tokens
    assert tokens.last_term_token == leading(world).tokens.highest_issued == tokens.highest
    world.state.wipe()
    run_watched(world, 100.0)
    assert leading(world).tokens.first > tokens.last_term_token - 1
    assert world.rules.broken == []
    assert running <= set(world.rules.where), "what ran goes on"


# -- invariants -------------------------------------------------------------------------------------------------------


def test_a_fence_that_fails_is_seen_and_renews_no_lease(
    monkeypatch: pytest.MonkeyPatch, no_violations: list[str]
) -> None:
    """Without it the answer would break the bound: it is refused, and the end of the lease fences the start."""
    monkeypatch.setattr(MachineFencing, "fence_starts_of_ended_jobs", lambda *_: True)
    world = busy_world(45)
    hold_and_cancel(world)
    run_watched(world, 80.0)
    assert {line.partition(":")[0] for line in no_violations} == {Invariant.RENEWAL_FENCES.name}
    assert world.rules.broken == []
    assert world.sessions_lost > 0
    assert leading_controller(world).administration.status()["invariants"]["violations"]["RENEWAL_FENCES"] > 0
    no_violations.clear()


def test_a_start_of_a_job_that_is_over_is_seen_and_not_sent(
    monkeypatch: pytest.MonkeyPatch, no_violations: list[str]
) -> None:
    monkeypatch.setattr(
        Authority,
        "check_start",
        lambda _, placement, __: None if placement.state == PlacementState.BOUND else Refusal.ALREADY_REPORTED,
    )
    monkeypatch.setattr(Authority, "check_transmission", lambda *_: None)
    world = busy_world(46)
    hold_and_cancel(world)
    run_watched(world, 60.0)
    assert Invariant.NO_START_AFTER_END.name in {line.partition(":")[0] for line in no_violations}
    assert world.rules.broken == []
    no_violations.clear()


def test_violations_are_counted_and_bounded(caplog: pytest.LogCaptureFixture, no_violations: list[str]) -> None:
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


def test_a_fenced_start_that_runs_all_the_same_is_seen(no_violations: list[str]) -> None:
    world = busy_world(47)
    leader = leading(world)
    machine = next(m for m in leader.cluster.machines.values() if m.placements)
    task = next(iter(machine.placements.values()))
    leader.fencing.record_fenced(machine, Placement(task.job, task.index, task.attempt, machine.id, "a", True))
    world.run(5)
    assert no_violations
    assert no_violations[0].startswith(Invariant.FENCED_STAYS_FENCED.name)
    assert Machine("n").fenced_starts == {}
    no_violations.clear()
