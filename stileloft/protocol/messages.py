"""Messages of the wire, checked, with the wire's names turned into the field's terms.

The wire says crew, baton, stint, pieces and the like; every other module says
team, token, session, tasks. This module and its neighbours translate.
"""

import math
from typing import Annotated, Any, Literal

import cbor2
import msgspec
from msgspec import Meta, Struct, field

JOB_ID = r"^j-[0-9]{1,30}$"
MAX_TASKS = 100_000
# Fields of a submission that the protocol lets be neither null nor left out; the others that it has are checked
# by their types below.
NEVER_NULL = ("accelerators", "snapshotS", "stashS", "together", "spread", "loaner")

Name = Annotated[str, Meta(min_length=1, max_length=200)]
Amount = Annotated[float, Meta(ge=0)]
PRIORITIES = {"production": 3, "urgent": 2, "standard": 1, "idle": 0}
PHASES = {"queued": "pending", "running": "running", "done": "done", "cancelled": "aborted"}


# A task's states and the reasons of its end, in the field's words; the others are the same on the wire.
FETCHING, WAITING, RUNNING, SAVING, EXITED = "fetching", "waiting", "running", "saving", "exited"
STATES = {"gathering": WAITING, "flushing": SAVING}
STOPPED, PEER_LOST, NOT_COMPLETE, NO_ROOM, BUSY, UNKNOWN = (
    "stopped",
    "peer lost",
    "gang not complete",
    "no room",
    "busy",
    "unknown",
)
REASONS = {
    "halted": STOPPED,
    "mates_gone": PEER_LOST,
    "incomplete": NOT_COMPLETE,
    "full": NO_ROOM,
    "in_use": BUSY,
    "no_such": UNKNOWN,
}


def encode(value: Any) -> bytes:
    return cbor2.dumps(value)


def decode(data: bytes) -> Any:
    return cbor2.loads(data)


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
        return PRIORITIES[self.priority]


class MalformedError(Exception):
    """A body that breaks the protocol; the text is a short reason."""


def parse_job(body: Any) -> JobSpec:
    if not isinstance(body, dict):
        raise MalformedError("the body must be a map")
    for name in NEVER_NULL:
        # Stored records leave out what is zero or false; a user has to say it.
        if body.get(name) is None:
            raise MalformedError(f"{name} is missing")
    try:
        spec = msgspec.convert(body, JobSpec)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None
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
    # msgspec's bounds let infinities and not-a-number through.
    if not all(amount is None or math.isfinite(amount) for amount in amounts):
        raise MalformedError("an amount is not finite")
    if spec.cpus == 0 and not spec.gpus:
        raise MalformedError("a task must take processors or accelerators")
    return spec


def job_to_wire(spec: JobSpec) -> dict[str, Any]:
    """A job's description, as it is stored and sent."""
    wire: dict[str, Any] = msgspec.to_builtins(spec)
    return wire


def job_from_wire(stored: dict[str, Any]) -> JobSpec:
    return msgspec.convert(stored, JobSpec)


def job_status_message(job: str, phase: str, done: int | None = None, running: int | None = None) -> dict[str, Any]:
    answer: dict[str, Any] = {"nameId": job, "phase": PHASES[phase]}
    if done is not None:
        answer["done"] = done
    if running is not None:
        answer["running"] = running
    return answer


class TaskStatus(Struct):
    task: str = field(name="piece")
    attempt: int = field(name="try")
    state: str = field(name="phase")
    why: str | None = field(name="cause", default=None)
    saved: bool | None = field(name="kept", default=None)

    def __post_init__(self) -> None:
        self.state = STATES.get(self.state, self.state)
        if self.why is not None:
            self.why = REASONS.get(self.why, self.why)


class Heartbeat(Struct):
    machine: str = field(name="host")
    address: str = field(name="endpoint")
    type: str = field(name="build")
    zone: str = field(name="yard")
    epoch: int = field(name="stint")
    sequence: int = field(name="tick")
    token: int = field(name="baton")
    spot: bool = field(name="loaner", default=False)
    reclaim_in_s: float | None = field(name="warningS", default=None)
    tasks: list[TaskStatus] = field(name="pieces", default_factory=list)


def parse_heartbeat(body: Any) -> Heartbeat:
    try:
        return msgspec.convert(body, Heartbeat)
    except msgspec.ValidationError as error:
        raise MalformedError(str(error)) from None


class MachineType(Struct, frozen=True):
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


class ListedMachine(Struct, frozen=True):
    id: str = field(name="nameId")
    address: str = field(name="endpoint")
    type: str = field(name="build")
    zone: str = field(name="yard")
    state: str = field(name="phase")
    age_s: float = field(name="ageS", default=0.0)
    spot: bool = field(name="loaner", default=False)


def start_command(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "launch", "piece": task, "try": attempt}


def stop_command(task: str, attempt: int, grace_s: float) -> dict[str, Any]:
    return {"verb": "stop", "piece": task, "try": attempt, "windDownS": grace_s}


def forget_command(task: str, attempt: int) -> dict[str, Any]:
    return {"verb": "forget", "piece": task, "try": attempt}


def command_message(token: int, commands: list[dict[str, Any]]) -> dict[str, Any]:
    return {"baton": token, "orders": commands}
