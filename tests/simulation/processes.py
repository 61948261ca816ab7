"""Simulated time, and the clocks and timers of a process."""

import bisect
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import base, task

if TYPE_CHECKING:
    from tests.simulation.world import World


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

    def __init__(self, world: "World", name: str, number: int) -> None:
        self.world, self.name, self.number = world, name, number

    def alive(self) -> bool:
        return self.world.processes[self.name] == self.number

    def seconds(self) -> float:
        return self.world.clock.seconds()

    def callLater(self, delay: float, function: Callable[..., Any], *arguments: Any) -> Any:
        return self.world.clock.callLater(max(0.0, delay), self._call, function, *arguments)

    def _call(self, function: Callable[..., Any], *arguments: Any) -> None:
        if self.alive():
            self.world.awake(self.name, function, *arguments)

    def getReaders(self) -> list[None]:
        """One for each open connection, as the real reactor has one for each socket."""
        return [None] * self.world.sockets(self.name)
