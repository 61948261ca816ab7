"""The simulated network: latency, loss, partitions, duplicates, and long delays of commands."""

import contextlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet import defer

from stileloft.transport.client import ConnectionFailedError, NoResponseError
from tests.simulation.command_copies import CopyingNetwork


@dataclass(frozen=True)
class MessageDelay:
    """A fault: direct commands to machines, or the answers to them, are delayed."""

    until: float
    """Simulated time at which the fault ends; messages that are delayed by then stay delayed."""
    min_s: float
    """Shortest delay in seconds."""
    max_s: float
    """Longest delay in seconds."""
    share: float = 1.0
    """The share of messages that are delayed."""
    verb: str | None = None
    """Restricts the fault to messages with such a command (`launch`, `stop` or `forget`)."""
    machines: frozenset[str] | None = None
    """Restricts the fault to messages to these machines."""
    answers: bool = False
    """Whether the answer is delayed instead of the command."""

    def applies_to(self, now: float, target: str, body: Any) -> bool:
        """Whether the fault is active at `now` and covers a message to the machine `target`."""
        orders = body.get("orders", ()) if isinstance(body, dict) else ()
        return (
            now < self.until
            and (self.machines is None or target in self.machines)
            and (self.verb is None or any(order["verb"] == self.verb for order in orders))
        )


class Network(CopyingNetwork):
    """The part of the simulated cluster that transmits requests and answers."""

    def init_network(self) -> None:
        """Initializes a network without faults; called before any message is sent."""
        self.partitions: dict[frozenset[str], tuple[float, bool]] = {}
        """Partitioned pairs of hosts: the end of the partition, and whether messages are queued until then."""
        self.queued_messages: list[tuple[frozenset[str], Callable[[], None]]] = []
        """Messages that are delivered at the end of a partition, each with its pair of hosts."""
        self.message_delays: list[MessageDelay] = []
        """Delay faults; a message is delayed by the first one that covers it and selects it by its share."""

    def message_delay_s(self, target: str, body: Any) -> tuple[float, float]:
        """Returns the additional delays of a message to a machine and of its answer, in seconds."""
        for delay in self.message_delays:
            if delay.applies_to(self.now, target, body) and self.random.random() < delay.share:
                seconds = self.random.uniform(delay.min_s, delay.max_s)
                return (0.0, seconds) if delay.answers else (seconds, 0.0)
        return 0.0, 0.0

    def partition(self, one: str, other: str, seconds: float, hold: bool = False) -> None:
        """Partitions two hosts for `seconds`; with `hold`, requests sent in that time arrive at its end."""
        pair = frozenset((one, other))
        self.partitions[pair] = self.now + seconds, hold

        def heal() -> None:
            queued = [deliver for hosts, deliver in self.queued_messages if hosts == pair]
            self.queued_messages = [item for item in self.queued_messages if item[0] != pair]
            for deliver in queued:
                deliver()

        self.clock.callLater(seconds + 0.001, heal)

    def send(  # noqa: C901 - one case a fault
        self, source: str, target: str, handle_request: Callable[[], Any], delays: tuple[float, float] = (0.0, 0.0)
    ) -> defer.Deferred:
        """Sends a request; the Deferred fires with its answer, or never if either is lost.

        The Deferred fails with `ConnectionFailedError` if the target accepts no connection. If the caller cancels it,
        the request is handled all the same. `delays` are the additional delays of the request and of its answer, in
        seconds.
        """
        answered: defer.Deferred = defer.Deferred()
        pair = frozenset((source, target))

        def send_answer(result: Any) -> None:
            if self.inbound_blocked.get(source, 0.0) > self.now:
                return
            if self.active_partition(pair) or self.random.random() < self.loss:
                return
            self.clock.callLater(self.delay() + delays[1], receive_answer, result)

        def receive_answer(result: Any) -> None:
            if source in self.processes and self.frozen_until.get(source, 0.0) > self.now:
                self.run_in_process(source, receive_answer, result)
                return
            if answered.called:
                return
            if isinstance(result, Exception):
                answered.errback(result)
            else:
                answered.callback(result)

        def receive_request() -> None:
            if self.inbound_blocked.get(target, 0.0) > self.now or self.outbound_blocked.get(source, 0.0) > self.now:
                return
            try:
                result = handle_request()
            except ConnectionFailedError as error:
                send_answer(error)
                return
            except NoResponseError:
                return
            if isinstance(result, defer.Deferred):
                result.addCallback(send_answer)
            else:
                send_answer(result)

        def receive_duplicate() -> None:
            with contextlib.suppress(ConnectionFailedError, NoResponseError):
                handle_request()

        queues_messages = self.active_partition(pair)
        if queues_messages is not None:
            if queues_messages:
                self.queued_messages.append((pair, receive_request))
            return answered
        draw = self.random.random()
        if draw < self.loss:
            # Half of these requests are lost; the others arrive late, mostly after the caller's time-out.
            if draw < self.loss / 2:
                self.clock.callLater(self.random.uniform(2.0, 20.0), receive_request)
            return answered
        delay_s = delays[0]
        if self.now < self.slow_commands[0] and target in self.all_machines:
            delay_s += self.random.uniform(0.0, self.slow_commands[1])
        self.clock.callLater(self.delay() + delay_s, receive_request)
        if self.duplicate_share and self.random.random() < self.duplicate_share / 4:
            # A duplicate of the request arrives long after the request was handled.
            self.clock.callLater(self.random.uniform(1.0, 40.0), receive_duplicate)
        return answered

    def active_partition(self, pair: frozenset[str]) -> bool | None:
        """Returns None without a partition of the pair, else whether messages are queued until its end."""
        until, hold = self.partitions.get(pair, (0.0, False))
        return hold if self.now < until else None

    def delay(self) -> float:
        """Returns the latency of a message in seconds; 2 % of the messages are slow."""
        return self.random.uniform(0.001, 0.01) if self.random.random() < 0.98 else self.random.uniform(0.05, 0.4)
