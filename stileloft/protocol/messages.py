"""Messages of the wire, checked, with the wire's names turned into the field's terms.

The wire says crew, baton, stint, pieces and the like; every other module says team, token, epoch, tasks. Only this
package translates.
"""

import math
from enum import StrEnum
from typing import Annotated, Any, Literal

import cbor2
import msgspec
from msgspec import Meta, Struct, field

from stileloft.protocol.errors import MalformedError

JOB_ID = r"^j-[0-9]{1,30}$"
MAX_TASKS = 100_000
REQUIRED_FIELDS = ("accelerators", "snapshotS", "stashS", "together", "spread", "loaner")
"""Fields of a submission that have a default in stored records, but that a user has to set.

The other required fields are found missing by their types.
"""

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0)]
PRIORITIES = {"production": 3, "urgent": 2, "standard": 1, "idle": 0}
"""Ranks of the priorities: the higher one goes first."""


def encode(value: Any) -> bytes:
    """A body in CBOR; messages get the wire's names."""
    return cbor2.dumps(value, default=_encode_struct)


def _encode_struct(encoder: Any, value: Any) -> None:
    encoder.encode(msgspec.to_builtins(value))


def decode(data: bytes) -> Any:
    """A body as plain maps, lists, texts and numbers; raises an error of cbor2 if it is not CBOR."""
    return cbor2.loads(data)


class JobPhase(StrEnum):
    """A job's phase, as records and users' answers tell it."""

    QUEUED = "queued"
    """No task runs."""
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


_WIRE_JOB_PHASES = {
    JobPhase.QUEUED: "pending",
    JobPhase.RUNNING: "running",
    JobPhase.DONE: "done",
    JobPhase.CANCELLED: "aborted",
}


class TaskState(StrEnum):
    """What a worker reports of an attempt."""

    FETCHING = "fetching"
    """It waits for its image."""
    WAITING = "waiting"
    """It waits for the other tasks of its gang."""
    RUNNING = "running"
    SAVING = "saving"
    """It was told to stop and saves its progress."""
    EXITED = "exited"
    UNRECOGNIZED = "unrecognized"
    """A state that this version does not know: the attempt is on the machine, and has not exited."""

    @classmethod
    def _missing_(cls, value: object) -> "TaskState":
        return _WIRE_TASK_STATES.get(value, cls.UNRECOGNIZED)


_WIRE_TASK_STATES: dict[object, TaskState] = {"gathering": TaskState.WAITING, "flushing": TaskState.SAVING}
"""Those whose name on the wire is another one."""


class ExitReason(StrEnum):
    """Why an attempt has exited, or was refused."""

    DONE = "done"
    """It has completed."""
    ERROR = "error"
    """It has failed."""
    STOPPED = "stopped"
    PEER_LOST = "peer lost"
    """Another task of its gang is gone."""
    GANG_INCOMPLETE = "gang not complete"
    """The other tasks of its gang did not come in time."""
    NO_ROOM = "no room"
    """Refused: the machine has not enough free resources."""
    BUSY = "busy"
    """Refused: another attempt at the task is on the machine."""
    UNKNOWN_TASK = "unknown"
    """Refused: the worker cannot find the job or the task."""
    UNRECOGNIZED = "unrecognized"
    """A reason that this version does not know."""

    @classmethod
    def _missing_(cls, value: object) -> "ExitReason":
        return _WIRE_EXIT_REASONS.get(value, cls.UNRECOGNIZED)


_WIRE_EXIT_REASONS: dict[object, ExitReason] = {
    "halted": ExitReason.STOPPED,
    "mates_gone": ExitReason.PEER_LOST,
    "incomplete": ExitReason.GANG_INCOMPLETE,
    "full": ExitReason.NO_ROOM,
    "in_use": ExitReason.BUSY,
    "no_such": ExitReason.UNKNOWN_TASK,
}
"""Those whose name on the wire is another one."""


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """A job as its user described it."""

    id: Annotated[str, Meta(pattern=JOB_ID)] = field(name="nameId")
    job_class: Name = field(name="lane")
    team: Name = field(name="crew")
    kind: Literal["array", "gang", "standing"] = field(name="shape")
    priority: Literal["production", "urgent", "standard", "idle"] = field(name="urgency")
    tasks: Annotated[int, Meta(ge=1, le=MAX_TASKS)] = field(name="pieces")
    cpus: Amount = field(name="vcpus")
    memory_gb: Amount = field(name="memGb")
    image: Name = field(name="bundle")
    image_gb: Amount = field(name="imageGb")
    estimate_s: Amount = field(name="guessS")
    gpus: Amount | None = field(name="accelerators", default=None)
    checkpoint_s: Amount | None = field(name="snapshotS", default=None)
    save_s: Amount | None = field(name="stashS", default=None)
    types: Annotated[list[Name], Meta(max_length=64)] | None = field(name="builds", default=None)
    zone: Name | None = field(name="yard", default=None)
    one_zone: bool | None = field(name="together", default=None)
    spread: bool | None = None
    spot: bool | None = field(name="loaner", default=None)
    deadline_s: Amount | None = field(name="dueS", default=None)

    @property
    def is_gang(self) -> bool:
        """All its tasks run at the same time or not at all."""
        return self.kind == "gang"

    @property
    def is_service(self) -> bool:
        """Its tasks run until the job is cancelled."""
        return self.kind == "standing"

    @property
    def rank(self) -> int:
        """Its priority as a number: the higher one goes first."""
        return PRIORITIES[self.priority]


def parse_job(body: Any) -> JobSpec:
    """A user's submission, checked; raises `MalformedError`."""
    if not isinstance(body, dict):
        raise MalformedError("the body must be a map")
    for name in REQUIRED_FIELDS:
        if body.get(name) is None:
            raise MalformedError(f"{name} is missing")
    try:
        spec = msgspec.convert(body, JobSpec)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None
    if not _is_finite(spec):
        raise MalformedError("an amount is not finite")
    if spec.cpus == 0 and not spec.gpus:
        raise MalformedError("a task must take processors or accelerators")
    return spec


def _is_finite(spec: JobSpec) -> bool:
    """Whether no amount is infinite or not a number; msgspec's bounds let these through."""
    amounts = (
        spec.cpus,
        spec.gpus,
        spec.memory_gb,
        spec.image_gb,
        spec.estimate_s,
        spec.checkpoint_s,
        spec.save_s,
        spec.deadline_s,
    )
    return all(amount is None or math.isfinite(amount) for amount in amounts)


def job_to_wire(spec: JobSpec) -> dict[str, Any]:
    """A job's description, as it is stored and sent."""
    wire: dict[str, Any] = msgspec.to_builtins(spec)
    return wire


def job_from_wire(stored: dict[str, Any]) -> JobSpec:
    """A job's description from its stored form."""
    return msgspec.convert(stored, JobSpec)


def job_status_message(
    job: str, phase: JobPhase, done: int | None = None, running: int | None = None
) -> dict[str, Any]:
    """What users are told of a job: its phase, and how many of its tasks are done and run, where that is known."""
    message: dict[str, Any] = {"nameId": job, "phase": _WIRE_JOB_PHASES[phase]}
    if done is not None:
        message["done"] = done
    if running is not None:
        message["running"] = running
    return message


class TaskStatus(Struct):
    """An attempt on a worker's machine."""

    task: str = field(name="piece")
    attempt: int = field(name="try")
    state: TaskState = field(name="phase")
    exit_reason: ExitReason | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)
    """Whether an attempt that was stopped has saved its progress."""


class Heartbeat(Struct):
    """A worker's state; the one with the larger (epoch, sequence) is the newer one."""

    machine: str = field(name="host")
    address: str = field(name="endpoint")
    type: str = field(name="build")
    zone: str = field(name="yard")
    epoch: int = field(name="stint")
    """The worker's incarnation: it increases when its lease expires."""
    sequence: int = field(name="tick")
    token: int = field(name="baton")
    """The highest fencing token that the worker has seen."""
    spot: bool = field(name="loaner", default=False)
    reclaim_in_s: float | None = field(name="warningS", default=None)
    """When the cloud takes the machine away, if that is announced."""
    tasks: list[TaskStatus] = field(name="pieces", default_factory=list)


def parse_heartbeat(body: Any) -> Heartbeat:
    """A worker's heartbeat, checked; raises `MalformedError`."""
    try:
        return msgspec.convert(body, Heartbeat)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None


class MachineType(Struct, frozen=True):
    """A type of machine that the cloud offers, with its prices and the zones that have it."""

    name: str = field(name="label")
    cpus: float = field(name="vcpus")
    memory_gb: float = field(name="memGb")
    price: float
    spot_price: float = field(name="spotPrice")
    boot_s: float = field(name="bootS")
    zones: tuple[str, ...] = field(name="yards")
    cache_gb: float = field(name="cacheGb", default=0.0)
    fetch_gb_per_s: float = field(name="pullGbPerS", default=1.0)
    gpus: float = field(name="accelerators", default=0.0)


class MachineState(StrEnum):
    """What the cloud says of a machine."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"
    UNRECOGNIZED = "unrecognized"
    """A state that this version does not know."""

    @classmethod
    def _missing_(cls, _value: object) -> "MachineState":
        return cls.UNRECOGNIZED


class ListedMachine(Struct, frozen=True):
    """A machine in the cloud's list."""

    id: str = field(name="nameId")
    address: str = field(name="endpoint")
    type: str = field(name="build")
    zone: str = field(name="yard")
    state: MachineState = field(name="phase")
    age_s: float = field(name="ageS", default=0.0)
    spot: bool = field(name="loaner", default=False)
