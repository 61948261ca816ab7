"""Start commands sent to a machine, which its worker may still execute, for the first time or again."""

from dataclasses import dataclass, field
from typing import Any

AttemptKey = tuple[str, int]
"""A task's name and an attempt number."""


@dataclass(slots=True)
class InflightStart:
    """The start command of one attempt, in the worker's current epoch."""

    first_sent_at: float
    """When the start was first sent, by this leader's clock, in seconds."""
    token: int
    """The highest token under which the start was sent."""
    epoch: int
    """The worker's epoch to which the start was sent; a worker in any other epoch refuses the start."""
    answered_at: float | None = None
    """When a message with the start was first answered; None before."""
    in_doubt_since: float | None = None
    """When a message with the start first got no answer; the worker may execute it at any later time. None before."""


@dataclass(slots=True)
class InflightStarts:
    """The starts sent to one machine that its worker would still execute if they arrived now.

    A start is removed when the worker is known to be in another epoch or to have seen a higher token, or when the
    worker has forgotten the attempt. So there are at most as many starts as tasks on the machine, exited ones included.
    """

    by_attempt: dict[AttemptKey, InflightStart] = field(default_factory=dict)
    highest_sent_token: int = 0
    """The highest token under which any start was sent, in any epoch: a worker that was restarted with its counters at
    the start takes all of them."""

    def record_sent(self, task: str, attempt: int, now: float, token: int, epoch: int) -> None:
        """Records that a message with this start is about to be sent."""
        self.highest_sent_token = max(self.highest_sent_token, token)
        start = self.by_attempt.get((task, attempt))
        if start is None:
            self.by_attempt[task, attempt] = InflightStart(now, token, epoch)
        else:
            start.token, start.epoch = max(start.token, token), max(start.epoch, epoch)

    def get(self, task: str, attempt: int) -> InflightStart | None:
        """Returns the start of an attempt; None if it can no longer be executed."""
        return self.by_attempt.get((task, attempt))

    def drop(self, task: str, attempt: int) -> None:
        """Removes the start of an attempt that the worker has forgotten."""
        self.by_attempt.pop((task, attempt), None)

    def highest_token(self, keys: list[AttemptKey]) -> int:
        """Returns the highest token under which any of these starts was sent; 0 if none of them is in flight."""
        return max((self.by_attempt[key].token for key in keys if key in self.by_attempt), default=0)

    def attempts_since(self, token: int) -> dict[str, set[int]]:
        """Returns, by task, the attempts whose start was sent under this token or a higher one."""
        attempts: dict[str, set[int]] = {}
        for (task, attempt), start in self.by_attempt.items():
            if start.token >= token:
                attempts.setdefault(task, set()).add(attempt)
        return attempts

    def drop_fenced(self, epoch: int, acknowledged_token: int) -> None:
        """Removes starts of an earlier epoch or with a lower token.

        A worker that is in this epoch and has seen this token refuses these starts.
        """
        refused = [
            key for key, start in self.by_attempt.items() if start.epoch < epoch or start.token < acknowledged_token
        ]
        for key in refused:
            del self.by_attempt[key]

    def in_doubt(self) -> list[tuple[AttemptKey, InflightStart]]:
        """Returns the starts for which a message got no answer."""
        return [(key, start) for key, start in self.by_attempt.items() if start.in_doubt_since is not None]

    def describe(self, machine: str) -> list[dict[str, Any]]:
        """Returns the starts in doubt as the administration API shows them."""
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
