"""What happens in a soak run: drawn from a seed, or read from a file, and checked."""

import random
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct


class Kind(StrEnum):
    """The kinds of troubles.

    Each has its weight among the troubles that are drawn to meet a cancellation; 0 for those that are drawn otherwise.
    Those that end or change leaders, and cuts, come more often.
    """

    weight: int

    def __new__(cls, value: str, weight: int) -> "Kind":
        kind = str.__new__(cls, value)
        kind._value_ = value
        kind.weight = weight
        return kind

    KILL = "kill", 1
    KILL_LEADER = "kill_leader", 2
    LEADERS_IN_SERIES = "leaders_in_series", 1
    PAUSE = "pause", 1
    PAUSE_LEADER = "pause_leader", 1
    CUT = "cut", 3
    REFUSE_LEADER = "refuse_leader", 1
    STORE_OUT = "store_out", 1
    STORE_SLOW = "store_slow", 1
    WRITES_LOST = "writes_lost", 1
    CLOUD_OUT = "cloud_out", 1
    HOLD_COMMANDS = "hold_commands", 0
    HOLD_REPORTS = "hold_reports", 1
    COPIES = "copies", 0
    HANG = "hang", 1
    DEAF = "deaf", 1
    MUTE = "mute", 1
    SPOT_WAVE = "spot_wave", 1
    CANCEL_RUNNING = "cancel_running", 0
    CANCEL_FRESH = "cancel_fresh", 0


WEIGHTED_KINDS = tuple(kind for kind in Kind for _ in range(kind.weight))
KINDS_WITH_COUNT = (Kind.CANCEL_FRESH, Kind.CANCEL_RUNNING, Kind.LEADERS_IN_SERIES)
KINDS_OF_ONE_CONTROLLER = (Kind.KILL, Kind.PAUSE)

Seconds = Annotated[float, Meta(ge=0.0, le=600.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]

SMALL_MACHINES, MANY_MACHINES = 0, 200
MANY_MACHINES_SHARE = 0.1
REBUILD_SHARE = 0.25
# Cancellations begin within this share of the time for troubles.
LATEST_BEGIN_SHARE = 0.75
CANCELLATIONS = 2
# How far the troubles that meet a cancellation begin from it.
MAX_OFFSET_S = 3.0
# Commands are held for this to that, in multiples of the time that a cancellation may take.
HOLD_RANGE = (0.05, 3.0)


class InvalidPlanError(Exception):
    """A plan that makes no sense; the text names the field."""


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """One of the things that happen."""

    kind: Kind
    at_s: Seconds
    """From the first submission."""
    for_s: Seconds = 0.0
    count: Annotated[int, Meta(ge=0, le=100)] = 0
    """Jobs, or leaders in a row."""
    share: Share = 1.0
    """Of the messages, or of the machines."""
    source: str = "*"
    target: str = "*"
    """Hosts at both ends of the links that a cut concerns: `node-0`, `state`, `cloud`, `n-000003`, or patterns."""
    mode: Literal["drop", "drop_answer", "hold", "hold_answer", "refuse"] = "drop"
    least_s: Seconds = 0.0
    most_s: Seconds = 0.0
    """For how long messages are held, or store answers take."""
    verb: Literal["launch", "stop", "forget"] | None = None


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """A whole run."""

    seed: Annotated[int, Meta(ge=0, le=10**9)]
    troubles: list[Trouble]
    troubles_s: Annotated[float, Meta(gt=0.0, le=600.0)] = 25.0
    """Until then jobs are submitted and troubles begin."""
    settle_s: Annotated[float, Meta(gt=0.0, le=600.0)] = 60.0
    """After the last trouble has ended, all jobs have to end within this."""
    machines: Annotated[int, Meta(ge=0, le=300)] = SMALL_MACHINES
    """Machines that are up from the start; others are rented."""
    rebuild: bool = False
    """Whether the feature is on."""

    @property
    def ends_s(self) -> float:
        """When the last trouble is over; held messages may come later."""
        return max([self.troubles_s, *(t.at_s + t.for_s for t in self.troubles)])


def draw(seed: int, troubles_s: float, cancel_s: float) -> Plan:
    """The plan of a seed.

    Jobs are cancelled right after they were placed, and two or three troubles meet that.
    """
    rng = random.Random(f"soak {seed}")
    found: list[Trouble] = []
    for _ in range(CANCELLATIONS):
        at_s = rng.uniform(4.0, LATEST_BEGIN_SHARE * troubles_s)
        found.append(
            Trouble(
                rng.choice([Kind.CANCEL_FRESH, Kind.CANCEL_FRESH, Kind.CANCEL_RUNNING]), at_s, count=rng.randint(4, 10)
            )
        )
        held = [rng.uniform(*HOLD_RANGE) * cancel_s for _ in range(2)]
        verb = rng.choice([None, None, "launch", "launch", "stop", "forget"])
        found.append(
            Trouble(
                Kind.HOLD_COMMANDS,
                max(0.0, at_s - rng.uniform(0.0, MAX_OFFSET_S)),
                rng.uniform(2.0, 8.0),
                share=rng.choice([1.0, 0.6, 0.3]),
                mode=rng.choice(["hold", "hold", "hold", "hold_answer"]),
                least_s=min(held),
                most_s=max(held),
                verb=verb,
            )
        )
        met_at = [max(0.0, at_s + rng.uniform(-MAX_OFFSET_S, MAX_OFFSET_S)) for _ in range(rng.randint(1, 2))]
        found += [_draw_trouble(rng, moment, cancel_s) for moment in met_at]
    if rng.random() < 0.5:
        found.append(Trouble(Kind.COPIES, 0.0, troubles_s, share=0.05, least_s=0.5, most_s=1.5 * cancel_s))
    machines = MANY_MACHINES if rng.random() < MANY_MACHINES_SHARE else SMALL_MACHINES
    found.sort(key=lambda trouble: trouble.at_s)
    return Plan(seed, found, troubles_s, machines=machines, rebuild=rng.random() < REBUILD_SHARE)


def _draw_trouble(rng: random.Random, at_s: float, cancel_s: float) -> Trouble:
    """A trouble that meets a cancellation; short, within a lease, or longer."""
    kind = rng.choice(WEIGHTED_KINDS)
    node = f"node-{rng.randrange(3)}"
    for_s = rng.choice([rng.uniform(0.3, 3.0), rng.uniform(3.0, 10.0), rng.uniform(10.0, 20.0)])
    held_s = rng.uniform(1.0, 2.0 * cancel_s)
    particular: dict[Kind, dict[str, Any]] = {
        Kind.KILL: {"for_s": min(for_s, 8.0), "target": node},
        Kind.PAUSE: {"for_s": min(for_s, 8.0), "target": node},
        Kind.LEADERS_IN_SERIES: {"for_s": rng.uniform(0.5, 3.0), "count": rng.randint(2, 6)},
        Kind.HOLD_REPORTS: {
            "for_s": min(for_s, 8.0),
            "share": rng.uniform(0.1, 0.6),
            "least_s": 0.5,
            "most_s": held_s + 0.5,
        },
        Kind.STORE_SLOW: {"most_s": rng.uniform(0.2, 1.2)},
        Kind.WRITES_LOST: {"for_s": min(for_s, 10.0), "share": rng.uniform(0.1, 0.5)},
        Kind.CUT: _draw_cut(rng, node) | {"least_s": held_s / 4, "most_s": held_s},
    }
    usual: dict[str, Any] = {"for_s": for_s, "share": rng.choice([0.2, 0.5, 1.0])}
    return Trouble(kind, at_s, **(usual | particular.get(kind, {})))


def _draw_cut(rng: random.Random, node: str) -> dict[str, Any]:
    """One direction of the links between a controller and its surroundings, or between the leader and its workers."""
    source, target = rng.choice(
        [(node, "state"), (node, "cloud"), (node, "node-*"), ("node-*", node), ("n-*", node), ("leader", "n-*")]
    )
    return {
        "source": source,
        "target": target,
        "mode": rng.choice(["drop", "drop_answer", "hold", "hold_answer", "refuse"]),
        "share": rng.choice([0.5, 1.0, 1.0]),
    }


def read(path: Path) -> Plan:
    """A checked plan of a JSON file; raises `InvalidPlanError`."""
    try:
        plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    except OSError as error:
        raise InvalidPlanError(f"plan: cannot be read: {error}") from None
    except msgspec.DecodeError as error:
        raise InvalidPlanError(f"plan: {error}") from None
    check(plan)
    return plan


def check(plan: Plan) -> None:
    """What no single field can tell."""
    for number, trouble in enumerate(plan.troubles):
        if trouble.most_s < trouble.least_s:
            raise InvalidPlanError(f"plan: troubles[{number}].most_s is less than least_s")
        if trouble.at_s > plan.troubles_s:
            raise InvalidPlanError(f"plan: troubles[{number}].at_s is after troubles_s")
        if trouble.kind in KINDS_WITH_COUNT and trouble.count == 0:
            raise InvalidPlanError(f"plan: troubles[{number}].count must be 1 or more")
        if trouble.kind in KINDS_OF_ONE_CONTROLLER and not trouble.target.startswith("node-"):
            raise InvalidPlanError(f"plan: troubles[{number}].target names no controller")


def write(plan: Plan) -> str:
    """The plan as `read` takes it."""
    return msgspec.json.encode(plan).decode()
