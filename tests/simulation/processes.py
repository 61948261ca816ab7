"""Simulated time, and the clocks and timers of a process."""

import bisect
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import base, task

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster


class Clock(task.Clock):
    """The same, without sorting all timers at each step and for each new one: a large fleet has thousands."""

    def _sort(self, _: Any = None) -> None:
        self.calls.sort(key=base.DelayedCall.getTime)

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any, **kw: Any) -> Any:
        call = base.DelayedCall(self.seconds() + delay, callable, args, kw, lambda _: None, self._sort, self.seconds)
        bisect.insort(self.calls, call, key=base.DelayedCall.getTime)
        return call

    def advance(self, amount: float) -> None:
        self.rightNow += amount
        while self.calls and self.calls[0].getTime() <= self.rightNow:
            call = self.calls.pop(0)
            if not call.cancelled:
                call.called = 1
                call.func(*call.args, **call.kw)


class Process:
    """A node with clocks and timers that stop when the process is killed."""

    def __init__(self, cluster: "SimulatedCluster", name: str, number: int) -> None:
        self.cluster, self.name, self.number = cluster, name, number

    def alive(self) -> bool:
        return self.cluster.processes[self.name] == self.number

    def seconds(self) -> float:
        return self.cluster.clock.seconds()

    def callLater(self, delay: float, function: Callable[..., Any], *arguments: Any) -> Any:
        return self.cluster.clock.callLater(max(0.0, delay), self._call, function, *arguments)

    def _call(self, function: Callable[..., Any], *arguments: Any) -> None:
        if self.alive():
            self.cluster.run_in_process(self.name, function, *arguments)

    def getReaders(self) -> list[None]:
        """One for each open connection, as the real reactor has one for each socket."""
        return [None] * self.cluster.sockets(self.name)
