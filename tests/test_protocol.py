"""Bodies on the wire: what users and workers may send, what is refused with a reason, and what is sent to them."""

import math
from typing import Any

import cbor2
import msgspec
import pytest
from twisted.internet import defer

from stileloft.protocol.commands import CommandMessage, ForgetCommand, StartCommand, StopCommand
from stileloft.protocol.errors import MalformedError
from stileloft.protocol.messages import (
    ExitReason,
    JobPhase,
    ListedMachine,
    MachineState,
    TaskState,
    encode,
    job_from_wire,
    job_status_message,
    job_to_wire,
    parse_heartbeat,
    parse_job,
)
from stileloft.protocol.state import ConflictError, StateClient, UnavailableError
from stileloft.protocol.workers import NotDeliveredError, WorkerClient
from stileloft.transport.client import ConnectionFailedError, Reply

GOOD = {
    "nameId": "j-000412",
    "lane": "train",
    "crew": "vision",
    "shape": "array",
    "urgency": "urgent",
    "pieces": 16,
    "vcpus": 8.0,
    "accelerators": 1.0,
    "memGb": 64.0,
    "bundle": "img-07",
    "imageGb": 6.2,
    "builds": ["g8"],
    "yard": None,
    "together": True,
    "spread": False,
    "loaner": True,
    "guessS": 240.0,
    "snapshotS": 30.0,
    "stashS": 4.0,
    "dueS": 900.0,
}


def test_a_job_survives_the_store() -> None:
    spec = parse_job(GOOD)
    assert job_from_wire(job_to_wire(spec)) == spec
    assert (spec.team, spec.tasks, spec.rank, spec.one_zone) == ("vision", 16, 2, True)


def test_null_is_absence_and_unknown_fields_are_ignored() -> None:
    spare = {k: v for k, v in GOOD.items() if v is not None} | {"colour": "blue"}
    assert parse_job(spare) == parse_job(GOOD)


@pytest.mark.parametrize(
    "change",
    [
        {"nameId": "x-1"},
        {"nameId": "j-1/2"},
        {"nameId": 7},
        {"pieces": 0},
        {"pieces": 100_001},
        {"pieces": 1.5},
        {"pieces": "3"},
        {"vcpus": -1.0},
        {"vcpus": math.nan},
        {"memGb": math.inf},
        {"guessS": -math.inf},
        {"urgency": "now"},
        {"shape": "ring"},
        {"builds": "g8"},
        {"builds": [1]},
        {"together": "yes"},
        {"crew": ""},
        {"crew": None},
        {"dueS": math.nan},
        {"bundle": "x" * 201},
    ],
)
def test_bad_fields_are_refused(change: dict) -> None:
    with pytest.raises(MalformedError):
        parse_job(GOOD | change)


@pytest.mark.parametrize("field", [name for name in GOOD if name not in ("builds", "yard", "dueS")])
def test_a_field_that_may_not_be_null_may_not_be_missing(field: str) -> None:
    for wrong in ({k: v for k, v in GOOD.items() if k != field}, GOOD | {field: None}):
        with pytest.raises(MalformedError, match=field):
            parse_job(wrong)


@pytest.mark.parametrize("body", [None, [], "job", 3])
def test_only_a_map_is_a_job(body: object) -> None:
    with pytest.raises(MalformedError):
        parse_job(body)


# -- workers -------------------------------------------------------------------------------------------------------


HEARTBEAT = {"host": "n-1", "endpoint": "1:1", "build": "small", "yard": "a", "stint": 3, "tick": 8, "baton": 5}


def reported(state: object, cause: object = None) -> tuple[TaskState, ExitReason | None]:
    """What a heartbeat with one task comes to."""
    (task,) = parse_heartbeat(
        HEARTBEAT | {"pieces": [{"piece": "j-1/0", "try": 1, "phase": state, "cause": cause}]}
    ).tasks
    return task.state, task.exit_reason


@pytest.mark.parametrize(
    ("wire", "state"),
    [
        ("fetching", TaskState.FETCHING),
        ("gathering", TaskState.WAITING),
        ("running", TaskState.RUNNING),
        ("flushing", TaskState.SAVING),
        ("exited", TaskState.EXITED),
        ("of a later version", TaskState.UNRECOGNIZED),
    ],
)
def test_states_of_tasks(wire: str, state: TaskState) -> None:
    assert reported(wire) == (state, None)


@pytest.mark.parametrize(
    ("wire", "reason"),
    [
        ("done", ExitReason.DONE),
        ("error", ExitReason.ERROR),
        ("halted", ExitReason.STOPPED),
        ("mates_gone", ExitReason.PEER_LOST),
        ("incomplete", ExitReason.GANG_INCOMPLETE),
        ("full", ExitReason.NO_ROOM),
        ("in_use", ExitReason.BUSY),
        ("no_such", ExitReason.UNKNOWN_TASK),
        ("of a later version", ExitReason.UNRECOGNIZED),
    ],
)
def test_reasons_of_exits(wire: str, reason: ExitReason) -> None:
    assert reported("exited", wire) == (TaskState.EXITED, reason)


@pytest.mark.parametrize(("state", "cause"), [(None, None), (3, None), ("exited", 7)])
def test_states_and_reasons_are_texts(state: object, cause: object) -> None:
    with pytest.raises(MalformedError):
        reported(state, cause)


def test_commands_have_the_names_and_the_order_of_the_wire() -> None:
    orders = [
        {"verb": "launch", "piece": "j-1/0", "try": 2},
        {"verb": "stop", "piece": "j-1/1", "try": 1, "windDownS": 10.0},
        {"verb": "forget", "piece": "j-2/0", "try": 4},
    ]
    commands = [StartCommand("j-1/0", 2), StopCommand("j-1/1", 1, 10.0), ForgetCommand("j-2/0", 4)]
    assert encode(CommandMessage(41, commands)) == cbor2.dumps({"baton": 41, "orders": orders})
    assert encode(CommandMessage(41, commands, epoch=3)) == cbor2.dumps({"baton": 41, "orders": orders, "stint": 3})


@pytest.mark.parametrize(
    ("phase", "wire"),
    [
        (JobPhase.QUEUED, "pending"),
        (JobPhase.RUNNING, "running"),
        (JobPhase.DONE, "done"),
        (JobPhase.CANCELLED, "aborted"),
    ],
)
def test_phases_of_jobs(phase: JobPhase, wire: str) -> None:
    expected = {"nameId": "j-1", "phase": wire, "done": 0, "running": 2}
    assert encode(job_status_message("j-1", phase, 0, 2)) == cbor2.dumps(expected)
    assert job_status_message("j-1", phase) == {"nameId": "j-1", "phase": wire}


@pytest.mark.parametrize(
    ("wire", "state"),
    [
        ("starting", MachineState.STARTING),
        ("running", MachineState.RUNNING),
        ("failed", MachineState.FAILED),
        ("of a later version", MachineState.UNRECOGNIZED),
    ],
)
def test_states_of_machines(wire: str, state: MachineState) -> None:
    listed = {"nameId": "n-1", "endpoint": "1:1", "build": "small", "yard": "a", "phase": wire}
    assert msgspec.convert(listed, ListedMachine).state is state


# -- errors --------------------------------------------------------------------------------------------------------


class StubClient:
    """Answers each request alike."""

    def __init__(self, reply: Reply | Exception) -> None:
        self.reply = reply

    async def request(self, *_: Any) -> Reply:
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


class StubClock:
    def seconds(self) -> float:
        return 0.0


def outcome_of(coroutine: Any) -> Any:
    results: list[Any] = []
    defer.ensureDeferred(coroutine).addErrback(lambda failure: failure.value).addCallback(results.append)
    return results[0]


def test_errors_of_the_state_service_tell_what_was_asked_of_whom() -> None:
    def ask(reply: Reply | Exception) -> Any:
        client: Any = StubClient(reply)
        state = StateClient(StubClock(), client, "10.9.0.1:1", 2.0)  # type: ignore[arg-type]
        return outcome_of(state.commit({"key": 4}, {}, ["key"]))

    conflict = ask(Reply(409, {"failed": ["key"], "epoch": 9}))
    assert type(conflict) is ConflictError
    assert (conflict.failed, conflict.status) == (["key"], 409)
    assert (conflict.operation, conflict.target) == ("POST /commit", "10.9.0.1:1")
    unavailable = ask(ConnectionFailedError("refused", "10.9.0.1:1"))
    assert type(unavailable) is UnavailableError
    assert (unavailable.status, unavailable.reason) == (None, "no connection: refused")


def test_an_undelivered_command_tells_the_workers_address_and_status() -> None:
    client: Any = StubClient(Reply(503, None))
    error = outcome_of(WorkerClient(client, 2.0).command("10.1.0.7:9", 4, 1, [StartCommand("j-1/0", 1)], lambda: True))
    assert type(error) is NotDeliveredError
    assert (error.operation, error.target, error.status) == ("POST /do", "10.1.0.7:9", 503)
