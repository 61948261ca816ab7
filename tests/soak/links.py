"""Links between the hosts of a soak run, on which requests and responses are lost, delayed, refused or duplicated."""

import fnmatch
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer

from stileloft.transport.client import NoResponseError


@dataclass(frozen=True)
class Fault:
    """A fault of some links, which ends at a fixed time."""

    until: float
    """The end, in seconds of the run's clock."""
    source: str
    target: str
    """Patterns of host names."""
    mode: str
    """`drop`, `drop_answer`, `hold`, `hold_answer`, `refuse`, or `copy`, which delivers the request twice."""
    share: float = 1.0
    """The share of the matching messages that are affected."""
    least_s: float = 0.0
    most_s: float = 0.0
    """The bounds of the delay of held messages and second copies, in seconds."""
    verb: str | None = None
    """Only messages with a command of this kind are affected; None affects all messages."""

    def matches(self, now: float, source: str, target: str, body: Any) -> bool:
        """Whether the fault may affect a message; `share` is not considered."""
        if now >= self.until or not fnmatch.fnmatch(source, self.source) or not fnmatch.fnmatch(target, self.target):
            return False
        orders = body.get("orders", ()) if isinstance(body, dict) else ()
        return self.verb is None or any(order["verb"] == self.verb for order in orders)


class Links:
    """Transmits requests between hosts; a request in flight arrives even if its sender cancels it."""

    def __init__(self, clock: Any, now: Callable[[], float], rng: random.Random) -> None:
        self._clock, self._now, self._random = clock, now, rng
        self.faults: list[Fault] = []
        self.affected: dict[str, int] = {}
        """The number of messages affected by the faults of each mode."""

    def transmit(self, source: str, target: str, body: Any, handle: Callable[[], Any]) -> defer.Deferred:
        """Executes a request at its target and returns the response, subject to the faults of the link."""
        self.faults = [fault for fault in self.faults if fault.until > self._now()]
        for fault in self.faults:
            if fault.matches(self._now(), source, target, body) and self._random.random() < fault.share:
                self.affected[fault.mode] = self.affected.get(fault.mode, 0) + 1
                return self._apply(fault, handle)
        return defer.maybeDeferred(handle)

    def _apply(self, fault: Fault, handle: Callable[[], Any]) -> defer.Deferred:
        """Transmits a request under a fault; a lost response leaves the result unset."""
        response: defer.Deferred = defer.Deferred()
        delay_s = self._random.uniform(fault.least_s, fault.most_s)
        if fault.mode == "refuse":
            return defer.fail(NoResponseError("refused"))
        if fault.mode == "drop_answer":
            _ignore(handle)
        elif fault.mode == "hold":
            self._clock.callLater(delay_s, lambda: defer.maybeDeferred(handle).chainDeferred(response))
        elif fault.mode == "hold_answer":
            executed = defer.maybeDeferred(handle)
            self._clock.callLater(delay_s, executed.chainDeferred, response)
        elif fault.mode == "copy":
            self._clock.callLater(delay_s, _ignore, handle)
            return defer.maybeDeferred(handle)
        return response


def _ignore(handle: Callable[[], Any]) -> None:
    """Executes a request and discards its response."""
    defer.maybeDeferred(handle).addErrback(lambda _: None)
