"""The monotonic clock and its timers, as every module sees them; tests use a simulated one."""

from collections.abc import Callable
from typing import Any, Protocol

MAX_CLOCK_DRIFT = 0.0005
"""Steady clocks of different machines drift apart by up to this part."""


class Timer(Protocol):
    """A call that is due later."""

    def active(self) -> bool:
        """Whether the call is still to be made: neither made nor cancelled."""

    def cancel(self) -> None:
        """Withdraws the call; an error if the timer is not active any more."""


class Clock(Protocol):
    """The part of Twisted's reactor that tells the time and sets timers."""

    def seconds(self) -> float:
        """The current reading, in seconds; only differences between readings mean anything."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Timer:
        """Has a function called after so many seconds."""


WallClock = Callable[[], float]
"""The time of day, in seconds since the epoch; it may be set back."""
