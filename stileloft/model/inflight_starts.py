"""Start commands that were sent to a machine and may still be executed, for the first time or again."""

from dataclasses import dataclass, field
from typing import Any

AttemptKey = tuple[str, int]
"""A task and its attempt."""


@dataclass(slots=True)
class InflightStart:
    """What is known of the start of one attempt in the worker's present epoch."""

    first_sent_at: float
    """Seconds of this leader's clock."""
    token: int
    """The highest under which it was sent."""
    epoch: int
    """The worker's epoch that it was sent to; in any other it is refused."""
    answered_at: float | None = None
    """When a message with it was first answered."""
    in_doubt_since: float | None = None
    """When a message with it first got no answer: that one may be executed at any later time."""


@dataclass(slots=True)
class InflightStarts:
    """The starts sent to one machine that its worker would still execute if they came now.

    One is removed when the worker is known to be in another epoch or to have seen a higher token, or when its attempt
    is forgotten there. So there are no more of them than tasks on the machine, exited ones included.
    """

    by_attempt: dict[AttemptKey, InflightStart] = field(default_factory=dict)

    def record_sent(self, task: str, attempt: int, now: float, token: int, epoch: int) -> None:
        """A message with this start is about to be sent."""
        known = self.by_attempt.get((task, attempt))
        if known is None:
            self.by_attempt[task, attempt] = InflightStart(now, token, epoch)
        else:
            known.token, known.epoch = max(known.token, token), max(known.epoch, epoch)

    def get(self, task: str, attempt: int) -> InflightStart | None:
        """The start of an attempt, if it may still be executed."""
        return self.by_attempt.get((task, attempt))

    def drop(self, task: str, attempt: int) -> None:
        """The attempt is forgotten on the machine."""
        self.by_attempt.pop((task, attempt), None)

    def highest_token(self, keys: list[AttemptKey]) -> int:
        """The highest token under which any of these was sent; 0 if none of them is in flight."""
        return max((self.by_attempt[key].token for key in keys if key in self.by_attempt), default=0)

    def drop_fenced(self, epoch: int, acknowledged_token: int) -> None:
        """Removes the starts that a worker in this epoch, which has seen this token, does not execute any more."""
        refused = [
            key for key, start in self.by_attempt.items() if start.epoch < epoch or start.token < acknowledged_token
        ]
        for key in refused:
            del self.by_attempt[key]

    def in_doubt(self) -> list[tuple[AttemptKey, InflightStart]]:
        """Those of which a message got no answer."""
        return [(key, start) for key, start in self.by_attempt.items() if start.in_doubt_since is not None]

    def describe(self, machine: str) -> list[dict[str, Any]]:
        """What the administration API shows of those in doubt."""
        return [
            {
                "machine": machine,
                "task": key[0],
                "attempt": key[1],
                "first_sent_at": round(start.first_sent_at, 3),
                "token": start.token,
                "epoch": start.epoch,
                "answered_at": start.answered_at and round(start.answered_at, 3),
                "in_doubt_since": start.in_doubt_since and round(start.in_doubt_since, 3),
            }
            for key, start in self.in_doubt()
        ]
