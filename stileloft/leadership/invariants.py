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

# What is kept of the newest violations, and how many of each kind are logged in full.
EVIDENCE_KEPT = 20
LOGGED_OF_A_KIND = 100


class Invariant(StrEnum):
    """What must hold at each command and answer."""

    NO_START_AFTER_END = "no start is sent of a job that is known to be over"
    NO_START_WITHOUT_SPARE_TOKEN = "no start is sent that could not be fenced at once"
    RENEWAL_FENCES = "an answer that renews a lease bars all starts of jobs known to be over"
    RENEWAL_STOPS = "an answer that renews a lease stops all tasks of jobs known to be over"
    TOKENS_RISE = "a machine is never addressed with a lower token than before"
    NO_FORGET_OF_OPEN_START = "no attempt is forgotten whose start may still be executed"
    FENCED_STAYS_FENCED = "a start that was found to be barred is never executed"


class InvariantMonitor:
    """Counts violations; one for each process."""

    listener: Callable[[Invariant, str], None] | None = None
    """Called with each violation in any process of this program; the tests fail on it."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        self._evidence: deque[str] = deque(maxlen=EVIDENCE_KEPT)

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
        if self.violations[invariant] <= LOGGED_OF_A_KIND:
            log.error("invariant violated, %s: %s: %s", invariant.name, invariant, evidence)
        listener = InvariantMonitor.listener
        if listener is not None:
            listener(invariant, evidence)

    def status(self) -> dict[str, Any]:
        """What the administration API shows of it."""
        return {
            "violations": {invariant.name: count for invariant, count in self.violations.items()},
            "newest": list(self._evidence),
        }
