"""Validated wire messages, and the mapping of their wire names to standard terms.

On the wire, fields have names such as crew, baton, stint and pieces; in the code they are team, token, epoch and tasks.
Only this package uses the wire names.
"""

import math
import re
from enum import StrEnum
from typing import Annotated, Any, Literal

import cbor2
import msgspec
from msgspec import Meta, Struct, field

from stileloft.protocol.errors import MalformedError

JOB_ID = r"j-[0-9]{1,30}"
JOB_ID_PATTERN = re.compile(JOB_ID)
MAX_TASKS = 100_000
REQUIRED_FIELDS = ("accelerators", "snapshotS", "stashS", "together", "spread", "loaner")
"""Fields that a submission must contain; they have defaults because stored records omit zero and false.

The other required fields have no default, so decoding reports them as missing.
"""

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0)]
PRIORITIES = {"production": 3, "urgent": 2, "standard": 1, "idle": 0}
"""Ranks of the priorities; a higher rank is scheduled first."""


def encode(value: Any) -> bytes:
    """Encodes a body as CBOR; structures are encoded under their wire names."""
    return cbor2.dumps(value, default=_encode_struct)


def _encode_struct(encoder: Any, value: Any) -> None:
    encoder.encode(msgspec.to_builtins(value))


def decode(data: bytes) -> Any:
    """Decodes a CBOR body into plain dicts, lists, strings and numbers; raises `cbor2` errors for invalid CBOR."""
    return cbor2.loads(data)


class JobPhase(StrEnum):
    """A job's phase, as stored in records; `_WIRE_JOB_PHASES` has its names in responses to users."""

    QUEUED = "queued"
    """No task of the job runs."""
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
    """The state of an attempt, as its worker reports it."""

    FETCHING = "fetching"
    """The worker fetches the attempt's image."""
    WAITING = "waiting"
    """The attempt waits for the other tasks of its gang."""
    RUNNING = "running"
    SAVING = "saving"
    """The attempt received a stop command and saves its progress."""
    EXITED = "exited"
    UNRECOGNIZED = "unrecognized"
    """A state unknown to this version; the attempt is treated as present and not exited."""

    @classmethod
    def _missing_(cls, value: object) -> "TaskState":
        return _WIRE_TASK_STATES.get(value, cls.UNRECOGNIZED)


_WIRE_TASK_STATES: dict[object, TaskState] = {"gathering": TaskState.WAITING, "flushing": TaskState.SAVING}
"""States whose wire name differs from their value."""


class ExitReason(StrEnum):
    """The reason why an attempt exited, or why the worker refused to start it."""

    DONE = "done"
    """The attempt completed."""
    ERROR = "error"
    """The attempt failed."""
    STOPPED = "stopped"
    PEER_LOST = "peer lost"
    """Another task of the gang was lost."""
    GANG_INCOMPLETE = "gang not complete"
    """The other tasks of the gang did not start in time."""
    NO_ROOM = "no room"
    """Refused: the machine lacks free resources."""
    BUSY = "busy"
    """Refused: the machine has another attempt of the task."""
    UNKNOWN_TASK = "unknown"
    """Refused: the worker cannot find the job or the task."""
    UNRECOGNIZED = "unrecognized"
    """A reason unknown to this version."""

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
"""Exit reasons whose wire name differs from their value."""


class JobSpec(Struct, frozen=True, omit_defaults=True):
    """A job's specification, as its user submitted it."""

    id: Annotated[str, Meta(pattern=f"^{JOB_ID}$")] = field(name="nameId")
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
        """Whether the job's tasks run all at the same time or not at all."""
        return self.kind == "gang"

    @property
    def is_service(self) -> bool:
        """Whether the job's tasks run until the job is cancelled."""
        return self.kind == "standing"

    @property
    def rank(self) -> int:
        """The rank of the job's priority; a higher rank is scheduled first."""
        return PRIORITIES[self.priority]


def parse_job(body: Any) -> JobSpec:
    """Returns a validated submission; raises `MalformedError`."""
    if not isinstance(body, dict):
        raise MalformedError("the body must be a map")
    for name in REQUIRED_FIELDS:
        if body.get(name) is None:
            raise MalformedError(f"{name} is missing")
    try:
        spec = msgspec.convert(body, JobSpec)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None
    if not is_job_id(spec.id):
        raise MalformedError("nameId is not of the form j- and up to 30 digits")
    if not _is_finite(spec):
        raise MalformedError("an amount is not finite")
    if spec.cpus == 0 and not spec.gpus:
        raise MalformedError("a task must take processors or accelerators")
    return spec


def is_job_id(text: str) -> bool:
    """Returns whether a text is a job id as a whole; `$` in the pattern of `JobSpec` also allows a final line break."""
    return JOB_ID_PATTERN.fullmatch(text) is not None


def _is_finite(spec: JobSpec) -> bool:
    """Returns whether all amounts are finite; msgspec's bounds accept infinity and NaN."""
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
    """Returns a job's specification in its stored and wire form."""
    wire: dict[str, Any] = msgspec.to_builtins(spec)
    return wire


def job_from_wire(stored: dict[str, Any]) -> JobSpec:
    """Returns a job's specification from its stored form."""
    return msgspec.convert(stored, JobSpec)


def job_status_message(
    job: str, phase: JobPhase, done: int | None = None, running: int | None = None
) -> dict[str, Any]:
    """Returns a job's status for users: its phase, and the numbers of done and running tasks unless they are None."""
    message: dict[str, Any] = {"nameId": job, "phase": _WIRE_JOB_PHASES[phase]}
    if done is not None:
        message["done"] = done
    if running is not None:
        message["running"] = running
    return message


class TaskStatus(Struct):
    """The status of an attempt on a worker's machine."""

    task: str = field(name="piece")
    attempt: int = field(name="try")
    state: TaskState = field(name="phase")
    exit_reason: ExitReason | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)
    """Whether a stopped attempt saved its progress; None if not reported."""


class Heartbeat(Struct):
    """A worker's state; of two heartbeats, the one with the larger (epoch, sequence) is newer."""

    machine: str = field(name="host")
    address: str = field(name="endpoint")
    type: str = field(name="build")
    zone: str = field(name="yard")
    epoch: int = field(name="stint")
    """The worker's epoch, which increases when its lease expires."""
    sequence: int = field(name="tick")
    token: int = field(name="baton")
    """The highest fencing token that the worker has seen."""
    spot: bool = field(name="loaner", default=False)
    reclaim_in_s: float | None = field(name="warningS", default=None)
    """Seconds until the cloud reclaims the machine; None if no reclaim is announced."""
    tasks: list[TaskStatus] = field(name="pieces", default_factory=list)


def parse_heartbeat(body: Any) -> Heartbeat:
    """Returns a validated heartbeat; raises `MalformedError`."""
    try:
        return msgspec.convert(body, Heartbeat)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None


class MachineType(Struct, frozen=True):
    """A machine type of the cloud, with its prices and the zones that offer it."""

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
    """The state of a machine in the cloud's list."""

    STARTING = "starting"
    RUNNING = "running"
    FAILED = "failed"
    UNRECOGNIZED = "unrecognized"
    """A state unknown to this version."""

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
