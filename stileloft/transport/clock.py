"""The steady clock and its timers, as every module sees them; tests put a simulated one in."""

from collections.abc import Callable
from typing import Any, Protocol

MAX_CLOCK_DRIFT = 0.0005
"""Steady clocks of different machines drift apart by up to this part."""


class Timer(Protocol):
    def active(self) -> bool: ...
    def cancel(self) -> None: ...


class Clock(Protocol):
    def seconds(self) -> float: ...
    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Timer: ...


WallClock = Callable[[], float]
"""The time of day, in seconds since the epoch; it may be set back."""
