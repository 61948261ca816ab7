"""Invariants that are checked while the service runs.

A violation is counted, logged with its evidence and shown in `GET /status`. It never ends the process: where refusing
is safe, whoever found it refuses what would have been done.
"""

import logging
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any

log = logging.getLogger(__name__)

MAX_EVIDENCE = 20
"""Newest violations of which the evidence is kept."""
MAX_LOGGED_PER_INVARIANT = 100
"""Violations of each invariant that are logged."""


class Invariant(StrEnum):
    """What must hold at each command and answer."""

    NO_START_AFTER_END = "no start is sent of a job that is known to have ended"
    NO_START_WITHOUT_SPARE_TOKEN = "no start is sent that could not be fenced at once"
    RENEWAL_FENCES = "an answer that renews a lease fences all starts of jobs known to have ended"
    RENEWAL_STOPS = "an answer that renews a lease stops all tasks of jobs known to have ended"
    TOKENS_RISE = "a machine is never addressed with a lower token than before"
    NO_FORGET_OF_INFLIGHT_START = "no attempt is forgotten whose start may still be executed"
    FENCED_STAYS_FENCED = "a start that was found to be fenced is never executed"


class InvariantMonitor:
    """Counts violations; one for each process."""

    listener: Callable[[Invariant, str], None] | None = None
    """Called with each violation in any process of this program; the tests fail on it."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        self._evidence: deque[str] = deque(maxlen=MAX_EVIDENCE)

    def check(self, holds: bool, invariant: Invariant, evidence: str, *arguments: Any) -> bool:
        """Takes note if an invariant does not hold; returns whether it does.

        The evidence is formatted as a log line is, and only if it is needed.
        """
        if not holds:
            self._violated(invariant, evidence % arguments)
        return holds

    def _violated(self, invariant: Invariant, evidence: str) -> None:
        self.violations[invariant] += 1
        self._evidence.append(f"{invariant.name}: {evidence}")
        if self.violations[invariant] <= MAX_LOGGED_PER_INVARIANT:
            log.error("invariant violated name=%s rule=%r evidence=%r", invariant.name, invariant.value, evidence)
        listener = InvariantMonitor.listener
        if listener is not None:
            listener(invariant, evidence)

    def status(self) -> dict[str, Any]:
        """What the administration API shows: how often each was violated, and the newest evidence."""
        return {
            "violations": {invariant.name: count for invariant, count in self.violations.items()},
            "newest": list(self._evidence),
        }
