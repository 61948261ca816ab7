"""The network between hosts: delays, losses, cuts, copies and what is held up."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer

from stileloft.transport.client import ConnectionFailedError, NoResponseError


@dataclass(frozen=True)
class MessageDelay:
    """A spell in which direct commands to machines, or their answers, stay on their way for long."""

    until: float
    """Simulated time at which the spell ends; what is held by then stays held."""
    min_s: float
    max_s: float
    share: float = 1.0
    """The part of the messages that is held."""
    verb: str | None = None
    """Only messages with such a command (`launch`, `stop`, `forget`) are held."""
    machines: frozenset[str] | None = None
    """Only messages to these machines are held."""
    answers: bool = False
    """The command is executed in time, and its answer is held."""

    def applies_to(self, now: float, target: str, body: Any) -> bool:
        """Whether a message to a machine is one of those that may be held."""
        orders = body.get("orders", ()) if isinstance(body, dict) else ()
        return (
            now < self.until
            and (self.machines is None or target in self.machines)
            and (self.verb is None or any(order["verb"] == self.verb for order in orders))
        )


class Network:
    """The part of the world that carries requests and answers."""

    def init_network(self) -> None:
        """Before any message is sent."""
        self.partitions: dict[frozenset[str], tuple[float, bool]] = {}
        self.queued_messages: list[tuple[frozenset[str], Callable[[], None]]] = []
        """Messages that wait for the end of a cut."""
        self.message_delays: list[MessageDelay] = []
        """Spells in which direct commands are held up; the first that concerns a message counts."""

    def message_delay_s(self, target: str, body: Any) -> tuple[float, float]:
        """For how many seconds a message to a machine, and its answer, are held up."""
        for hold in self.message_delays:
            if hold.applies_to(self.now, target, body) and self.random.random() < hold.share:
                seconds = self.random.uniform(hold.min_s, hold.max_s)
                return (0.0, seconds) if hold.answers else (seconds, 0.0)
        return 0.0, 0.0

    def partition(self, one: str, other: str, seconds: float, hold: bool = False) -> None:
        """No packets between two hosts; with `hold` they arrive when the cut ends."""
        pair = frozenset((one, other))
        self.partitions[pair] = self.now + seconds, hold

        def heal() -> None:
            late = [deliver for where, deliver in self.queued_messages if where == pair]
            self.queued_messages = [item for item in self.queued_messages if item[0] != pair]
            for deliver in late:
                deliver()

        self.clock.callLater(seconds + 0.001, heal)

    def send(  # noqa: C901 - one case a trouble
        self, source: str, target: str, work: Callable[[], Any], held: tuple[float, float] = (0.0, 0.0)
    ) -> defer.Deferred:
        """A request and its answer; the caller may give up on it, which does not take it back.

        `held` is for how many seconds the request and its answer are held up on their way.
        """
        answered: defer.Deferred = defer.Deferred()
        pair = frozenset((source, target))

        def back(result: Any) -> None:
            if self.inbound_blocked.get(source, 0.0) > self.now:
                return
            if self.active_partition(pair) or self.random.random() < self.loss:
                return
            self.clock.callLater(self.delay() + held[1], fire, result)

        def fire(result: Any) -> None:
            if source in self.processes and self.frozen_until.get(source, 0.0) > self.now:
                self.run_in_process(source, fire, result)
                return
            if answered.called:
                return
            if isinstance(result, Exception):
                answered.errback(result)
            else:
                answered.callback(result)

        def arrive() -> None:
            if self.inbound_blocked.get(target, 0.0) > self.now or self.outbound_blocked.get(source, 0.0) > self.now:
                return
            try:
                result = work()
            except ConnectionFailedError as error:
                back(error)
                return
            except NoResponseError:
                return
            if isinstance(result, defer.Deferred):
                result.addCallback(back)
            else:
                back(result)

        def repeat() -> None:
            with contextlib.suppress(ConnectionFailedError, NoResponseError):
                work()

        cut = self.active_partition(pair)
        if cut is not None:
            if cut:
                self.queued_messages.append((pair, arrive))
            return answered
        draw = self.random.random()
        if draw < self.loss:
            # Lost, or so late that the caller has given up on it.
            if draw < self.loss / 2:
                self.clock.callLater(self.random.uniform(2.0, 20.0), arrive)
            return answered
        held_s = held[0]
        if self.now < self.slow_commands[0] and target in self.all_machines:
            held_s += self.random.uniform(0.0, self.slow_commands[1])
        self.clock.callLater(self.delay() + held_s, arrive)
        if self.duplicate_share and self.random.random() < self.duplicate_share / 4:
            # The request is repeated on its way, long after it was carried out.
            self.clock.callLater(self.random.uniform(1.0, 40.0), repeat)
        return answered

    def active_partition(self, pair: frozenset[str]) -> bool | None:
        """None without a cut, else whether it holds packets back."""
        until, hold = self.partitions.get(pair, (0.0, False))
        return hold if self.now < until else None

    def delay(self) -> float:
        return self.random.uniform(0.001, 0.01) if self.random.random() < 0.98 else self.random.uniform(0.05, 0.4)
