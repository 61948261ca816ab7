"""Interfaces of the monotonic clock and its timers; tests use a simulated clock."""

from collections.abc import Callable
from typing import Any, Protocol

MAX_CLOCK_DRIFT = 0.0005
"""Maximum relative drift between the monotonic clocks of two machines."""


class Timer(Protocol):
    """A scheduled call."""

    def active(self) -> bool:
        """Returns whether the call is pending: neither made nor cancelled."""

    def cancel(self) -> None:
        """Cancels the call; raises an error if the timer is no longer active."""


class Clock(Protocol):
    """The subset of Twisted's reactor interface that reads the time and schedules calls."""

    def seconds(self) -> float:
        """Returns the current reading in seconds; only differences between readings are meaningful."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Timer:
        """Schedules a call of `callable` after `delay` seconds."""


WallClock = Callable[[], float]
"""Returns the wall-clock time in seconds since the Unix epoch; it may be set back."""
