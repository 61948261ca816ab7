"""Messages on the wire: decoding and validation of requests, encoding of commands and statuses, and errors."""

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

VALID_JOB = {
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


def test_a_job_survives_encoding() -> None:
    spec = parse_job(VALID_JOB)
    assert job_from_wire(job_to_wire(spec)) == spec
    assert (spec.team, spec.tasks, spec.rank, spec.one_zone) == ("vision", 16, 2, True)


def test_null_fields_equal_missing_ones_and_unknown_fields_are_ignored() -> None:
    body = {k: v for k, v in VALID_JOB.items() if v is not None} | {"colour": "blue"}
    assert parse_job(body) == parse_job(VALID_JOB)


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
def test_invalid_fields_are_refused(change: dict) -> None:
    with pytest.raises(MalformedError):
        parse_job(VALID_JOB | change)


def test_a_job_id_with_a_line_break_at_its_end_is_refused() -> None:
    # Guards against an accepted job that nobody can ask about or cancel: no path can hold its id.
    with pytest.raises(MalformedError, match="nameId"):
        parse_job(VALID_JOB | {"nameId": "j-000412\n"})


@pytest.mark.parametrize("field", [name for name in VALID_JOB if name not in ("builds", "yard", "dueS")])
def test_a_required_field_may_not_be_null_or_missing(field: str) -> None:
    for body in ({k: v for k, v in VALID_JOB.items() if k != field}, VALID_JOB | {field: None}):
        with pytest.raises(MalformedError, match=field):
            parse_job(body)


@pytest.mark.parametrize("body", [None, [], "job", 3])
def test_a_body_that_is_not_a_map_is_refused(body: object) -> None:
    with pytest.raises(MalformedError):
        parse_job(body)


# -- workers -------------------------------------------------------------------------------------------------------


HEARTBEAT = {"host": "n-1", "endpoint": "1:1", "build": "small", "yard": "a", "stint": 3, "tick": 8, "baton": 5}


def reported(state: object, cause: object = None) -> tuple[TaskState, ExitReason | None]:
    """Returns the state and the exit reason of a task from the heartbeat that reports it."""
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
def test_task_states(wire: str, state: TaskState) -> None:
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
def test_exit_reasons(wire: str, reason: ExitReason) -> None:
    assert reported("exited", wire) == (TaskState.EXITED, reason)


@pytest.mark.parametrize(("state", "cause"), [(None, None), (3, None), ("exited", 7)])
def test_task_states_and_exit_reasons_must_be_strings(state: object, cause: object) -> None:
    with pytest.raises(MalformedError):
        reported(state, cause)


def test_encoding_of_commands() -> None:
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
def test_job_phases(phase: JobPhase, wire: str) -> None:
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
def test_machine_states(wire: str, state: MachineState) -> None:
    listed = {"nameId": "n-1", "endpoint": "1:1", "build": "small", "yard": "a", "phase": wire}
    assert msgspec.convert(listed, ListedMachine).state is state


# -- errors --------------------------------------------------------------------------------------------------------


class StubClient:
    """A client that gives the same reply, or raises the same error, for each request."""

    def __init__(self, reply: Reply | Exception) -> None:
        self.reply = reply

    async def request(self, *_: Any) -> Reply:
        if isinstance(self.reply, Exception):
            raise self.reply
        return self.reply


class StubClock:
    """A clock whose time is always 0 s."""

    def seconds(self) -> float:
        return 0.0


def result_of(coroutine: Any) -> Any:
    """Returns the result of a coroutine that has finished, or its error."""
    results: list[Any] = []
    defer.ensureDeferred(coroutine).addErrback(lambda failure: failure.value).addCallback(results.append)
    return results[0]


def test_state_service_errors_contain_operation_target_and_status() -> None:
    def ask(reply: Reply | Exception) -> Any:
        client: Any = StubClient(reply)
        state = StateClient(StubClock(), client, "10.9.0.1:1", 2.0)  # type: ignore[arg-type]
        return result_of(state.commit({"key": 4}, {}, ["key"]))

    conflict = ask(Reply(409, {"failed": ["key"], "epoch": 9}))
    assert type(conflict) is ConflictError
    assert (conflict.failed, conflict.status) == (["key"], 409)
    assert (conflict.operation, conflict.target) == ("POST /commit", "10.9.0.1:1")
    unavailable = ask(ConnectionFailedError("refused", "10.9.0.1:1"))
    assert type(unavailable) is UnavailableError
    assert (unavailable.status, unavailable.reason) == (None, "no connection: refused")


def test_an_undelivered_command_error_contains_operation_address_and_status() -> None:
    client: Any = StubClient(Reply(503, None))
    error = result_of(WorkerClient(client, 2.0).command("10.1.0.7:9", 4, 1, [StartCommand("j-1/0", 1)], lambda: True))
    assert type(error) is NotDeliveredError
    assert (error.operation, error.target, error.status) == ("POST /do", "10.1.0.7:9", 503)
