"""Links between the hosts of a soak run: requests and answers that are lost, held, refused or repeated."""

import fnmatch
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer

from stileloft.transport.client import NoResponseError


@dataclass(frozen=True)
class Fault:
    """What happens to messages on some links for a while."""

    until: float
    source: str
    target: str
    """Patterns of host names."""
    mode: str
    share: float = 1.0
    least_s: float = 0.0
    most_s: float = 0.0
    verb: str | None = None

    def concerns(self, now: float, source: str, target: str, body: Any) -> bool:
        """Whether a message is one of those that may be hit."""
        if now >= self.until or not fnmatch.fnmatch(source, self.source) or not fnmatch.fnmatch(target, self.target):
            return False
        orders = body.get("orders", ()) if isinstance(body, dict) else ()
        return self.verb is None or any(order["verb"] == self.verb for order in orders)


class Links:
    """Carries requests from host to host; a sender may give up on one, which does not take it back."""

    def __init__(self, clock: Any, now: Callable[[], float], rng: random.Random) -> None:
        self._clock, self._now, self._random = clock, now, rng
        self.faults: list[Fault] = []
        self.hit: dict[str, int] = {}
        """How many messages each mode has hit."""

    def carry(self, source: str, target: str, body: Any, work: Callable[[], Any]) -> defer.Deferred:
        """Has a request executed, and its answer brought back, as far as the faults let them through."""
        self.faults = [fault for fault in self.faults if fault.until > self._now()]
        for fault in self.faults:
            if fault.concerns(self._now(), source, target, body) and self._random.random() < fault.share:
                self.hit[fault.mode] = self.hit.get(fault.mode, 0) + 1
                return self._hit(fault, work)
        return defer.maybeDeferred(work)

    def _hit(self, fault: Fault, work: Callable[[], Any]) -> defer.Deferred:
        answered: defer.Deferred = defer.Deferred()
        held_s = self._random.uniform(fault.least_s, fault.most_s)
        if fault.mode == "refuse":
            return defer.fail(NoResponseError("refused"))
        if fault.mode == "drop_answer":
            _ignore(work)
        elif fault.mode == "hold":
            self._clock.callLater(held_s, lambda: defer.maybeDeferred(work).chainDeferred(answered))
        elif fault.mode == "hold_answer":
            done = defer.maybeDeferred(work)
            self._clock.callLater(held_s, done.chainDeferred, answered)
        elif fault.mode == "copy":
            self._clock.callLater(held_s, _ignore, work)
            return defer.maybeDeferred(work)
        return answered


def _ignore(work: Callable[[], Any]) -> None:
    """Executes a request whose answer reaches nobody."""
    defer.maybeDeferred(work).addErrback(lambda _: None)
