"""Invariants that are checked at run time.

A violation is counted, logged with its evidence and shown in `GET /status`. It never ends the process: where a refusal
is safe, the code that detects the violation refuses the action.
"""

import logging
from collections import Counter, deque
from collections.abc import Callable
from enum import StrEnum
from typing import Any

log = logging.getLogger(__name__)

MAX_EVIDENCE = 20
"""Number of newest violations whose evidence is kept."""
MAX_LOGGED_PER_INVARIANT = 100
"""Number of violations of each invariant that are logged."""


class Invariant(StrEnum):
    """Conditions that must hold for each command and each answer to a heartbeat."""

    NO_START_AFTER_END = "no start is sent of a job that is known to have ended"
    NO_START_WITHOUT_SPARE_TOKEN = "no start is sent that could not be fenced at once"
    RENEWAL_FENCES = "an answer that renews a lease fences all starts of jobs known to have ended"
    RENEWAL_STOPS = "an answer that renews a lease stops all tasks of jobs known to have ended"
    TOKENS_RISE = "a machine is never addressed with a lower token than before"
    NO_FORGET_OF_INFLIGHT_START = "no attempt is forgotten whose start may still be executed"
    FENCED_STAYS_FENCED = "a start that was found to be fenced is never executed"


class InvariantMonitor:
    """Counts violations; one instance for each process."""

    listener: Callable[[Invariant, str], None] | None = None
    """Called with each violation that any instance records; the tests fail on it."""

    def __init__(self) -> None:
        self.violations: Counter[Invariant] = Counter()
        self._evidence: deque[str] = deque(maxlen=MAX_EVIDENCE)

    def check(self, holds: bool, invariant: Invariant, evidence: str, *arguments: Any) -> bool:
        """Records a violation unless `holds`; returns `holds`.

        `evidence` is a format string like that of a log line, formatted with `arguments` only for a violation.
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
        """Returns what the administration API shows: violations of each invariant, and the newest evidence."""
        return {
            "violations": {invariant.name: count for invariant, count in self.violations.items()},
            "newest": list(self._evidence),
        }
