"""Plans of soak runs: generated from a seed or read from a file, and validated."""

import random
from enum import StrEnum
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct


class TroubleKind(StrEnum):
    """Kinds of troubles, that is, of faults and of cancellations.

    Leader crashes and cut links have higher weights, so that they are chosen more often.
    """

    weight: int
    """Relative frequency among the faults generated around a cancellation; 0 for kinds generated separately."""

    def __new__(cls, value: str, weight: int) -> "TroubleKind":
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


WEIGHTED_KINDS = tuple(kind for kind in TroubleKind for _ in range(kind.weight))
KINDS_WITH_COUNT = (TroubleKind.CANCEL_FRESH, TroubleKind.CANCEL_RUNNING, TroubleKind.LEADERS_IN_SERIES)
KINDS_OF_ONE_CONTROLLER = (TroubleKind.KILL, TroubleKind.PAUSE)

Seconds = Annotated[float, Meta(ge=0.0, le=600.0)]
Share = Annotated[float, Meta(ge=0.0, le=1.0)]

NO_MACHINES, MANY_MACHINES = 0, 200
"""Machines that are up from the start of a run."""
MANY_MACHINES_SHARE = 0.1
"""The share of plans with `MANY_MACHINES`."""
REBUILD_SHARE = 0.25
"""The share of plans with the rebuild feature."""
LATEST_CANCELLATION_SHARE = 0.75
"""Cancellations begin within this share of `troubles_s`."""
CANCELLATIONS = 2
"""The number of troubles of a generated plan that cancel jobs."""
MAX_OFFSET_S = 3.0
"""The maximum time between a cancellation and the start of a trouble generated around it."""
HOLD_RANGE = (0.05, 3.0)
"""The shortest and the longest delay of held commands, in multiples of the time a cancellation may take."""


class InvalidPlanError(Exception):
    """The plan is invalid; the text names the field."""


class Trouble(Struct, frozen=True, forbid_unknown_fields=True):
    """A fault, or the cancellation of some jobs."""

    kind: TroubleKind
    at_s: Seconds
    """The start, in seconds after the first submission."""
    for_s: Seconds = 0.0
    """The duration in seconds; for `leaders_in_series` the interval between two kills."""
    count: Annotated[int, Meta(ge=0, le=100)] = 0
    """The number of jobs to cancel, or of leaders to kill one after the other."""
    share: Share = 1.0
    """The share of the messages or machines that are affected."""
    source: str = "*"
    target: str = "*"
    """The host that a process fault affects, or the hosts at the ends of a cut link.

    `node-0`, `state`, `cloud`, `n-000003`, `leader` (the sender of commands to workers), or a pattern of names.
    """
    mode: Literal["drop", "drop_answer", "hold", "hold_answer", "refuse"] = "drop"
    least_s: Seconds = 0.0
    most_s: Seconds = 0.0
    """The bounds of the delay of held messages, or of the state service's answers, in seconds."""
    verb: Literal["launch", "stop", "forget"] | None = None
    """Only messages with a command of this kind are affected; None affects all messages."""


class Plan(Struct, frozen=True, forbid_unknown_fields=True):
    """The troubles and the surroundings of one run."""

    seed: Annotated[int, Meta(ge=0, le=10**9)]
    troubles: list[Trouble]
    troubles_s: Annotated[float, Meta(gt=0.0, le=600.0)] = 25.0
    """The period in which jobs are submitted and troubles begin, in seconds."""
    settle_s: Annotated[float, Meta(gt=0.0, le=600.0)] = 60.0
    """The period after the end of the last trouble within which all jobs have to end, in seconds."""
    machines: Annotated[int, Meta(ge=0, le=300)] = NO_MACHINES
    """Machines that are up from the start; the controllers rent further ones."""
    rebuild: bool = False
    """Whether the rebuild feature is enabled."""

    @property
    def ends_s(self) -> float:
        """The end of the last trouble, in seconds after the first submission; held messages may arrive later."""
        return max([self.troubles_s, *(t.at_s + t.for_s for t in self.troubles)])


def generate(seed: int, troubles_s: float, cancel_s: float) -> Plan:
    """Returns the plan of a seed.

    Jobs are cancelled, mostly right after their placement, while commands are held and one or two other troubles begin.

    Args:
        cancel_s: the time a cancellation may take; delays of held messages are multiples of it.
    """
    rng = random.Random(f"soak {seed}")
    troubles: list[Trouble] = []
    for _ in range(CANCELLATIONS):
        at_s = rng.uniform(4.0, LATEST_CANCELLATION_SHARE * troubles_s)
        troubles.append(
            Trouble(
                rng.choice([TroubleKind.CANCEL_FRESH, TroubleKind.CANCEL_FRESH, TroubleKind.CANCEL_RUNNING]),
                at_s,
                count=rng.randint(4, 10),
            )
        )
        delays = [rng.uniform(*HOLD_RANGE) * cancel_s for _ in range(2)]
        verb = rng.choice([None, None, "launch", "launch", "stop", "forget"])
        troubles.append(
            Trouble(
                TroubleKind.HOLD_COMMANDS,
                max(0.0, at_s - rng.uniform(0.0, MAX_OFFSET_S)),
                rng.uniform(2.0, 8.0),
                share=rng.choice([1.0, 0.6, 0.3]),
                mode=rng.choice(["hold", "hold", "hold", "hold_answer"]),
                least_s=min(delays),
                most_s=max(delays),
                verb=verb,
            )
        )
        starts = [max(0.0, at_s + rng.uniform(-MAX_OFFSET_S, MAX_OFFSET_S)) for _ in range(rng.randint(1, 2))]
        troubles += [_generate_trouble(rng, moment, cancel_s) for moment in starts]
    if rng.random() < 0.5:
        troubles.append(Trouble(TroubleKind.COPIES, 0.0, troubles_s, share=0.05, least_s=0.5, most_s=1.5 * cancel_s))
    machines = MANY_MACHINES if rng.random() < MANY_MACHINES_SHARE else NO_MACHINES
    troubles.sort(key=lambda trouble: trouble.at_s)
    return Plan(seed, troubles, troubles_s, machines=machines, rebuild=rng.random() < REBUILD_SHARE)


def _generate_trouble(rng: random.Random, at_s: float, cancel_s: float) -> Trouble:
    """Returns a trouble close to a cancellation: short, within a lease, or longer than a lease."""
    kind = rng.choice(WEIGHTED_KINDS)
    node = f"node-{rng.randrange(3)}"
    for_s = rng.choice([rng.uniform(0.3, 3.0), rng.uniform(3.0, 10.0), rng.uniform(10.0, 20.0)])
    max_delay_s = rng.uniform(1.0, 2.0 * cancel_s)
    by_kind: dict[TroubleKind, dict[str, Any]] = {
        TroubleKind.KILL: {"for_s": min(for_s, 8.0), "target": node},
        TroubleKind.PAUSE: {"for_s": min(for_s, 8.0), "target": node},
        TroubleKind.LEADERS_IN_SERIES: {"for_s": rng.uniform(0.5, 3.0), "count": rng.randint(2, 6)},
        TroubleKind.HOLD_REPORTS: {
            "for_s": min(for_s, 8.0),
            "share": rng.uniform(0.1, 0.6),
            "least_s": 0.5,
            "most_s": max_delay_s + 0.5,
        },
        TroubleKind.STORE_SLOW: {"most_s": rng.uniform(0.2, 1.2)},
        TroubleKind.WRITES_LOST: {"for_s": min(for_s, 10.0), "share": rng.uniform(0.1, 0.5)},
        TroubleKind.CUT: _generate_cut(rng, node) | {"least_s": max_delay_s / 4, "most_s": max_delay_s},
    }
    defaults: dict[str, Any] = {"for_s": for_s, "share": rng.choice([0.2, 0.5, 1.0])}
    return Trouble(kind, at_s, **(defaults | by_kind.get(kind, {})))


def _generate_cut(rng: random.Random, node: str) -> dict[str, Any]:
    """Returns the fields of a cut in one direction.

    The links are those between a controller and other services, or between the leader and its workers.
    """
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
    """Returns the validated plan of a JSON file; raises `InvalidPlanError`."""
    try:
        plan = msgspec.json.decode(path.read_bytes(), type=Plan)
    except OSError as error:
        raise InvalidPlanError(f"plan: cannot be read: {error}") from None
    except msgspec.DecodeError as error:
        raise InvalidPlanError(f"plan: {error}") from None
    validate(plan)
    return plan


def validate(plan: Plan) -> None:
    """Checks conditions across several fields; raises `InvalidPlanError`."""
    for number, trouble in enumerate(plan.troubles):
        if trouble.most_s < trouble.least_s:
            raise InvalidPlanError(f"plan: troubles[{number}].most_s is less than least_s")
        if trouble.at_s > plan.troubles_s:
            raise InvalidPlanError(f"plan: troubles[{number}].at_s is after troubles_s")
        if trouble.kind in KINDS_WITH_COUNT and trouble.count == 0:
            raise InvalidPlanError(f"plan: troubles[{number}].count must be 1 or more")
        if trouble.kind in KINDS_OF_ONE_CONTROLLER and not trouble.target.startswith("node-"):
            raise InvalidPlanError(f"plan: troubles[{number}].target names no controller")


def encode(plan: Plan) -> str:
    """Returns the plan as JSON in the form that `read` expects."""
    return msgspec.json.encode(plan).decode()
