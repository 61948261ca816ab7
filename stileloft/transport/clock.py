"""The steady clock and its timers, as every module sees them; tests put a simulated one in."""

from collections.abc import Callable
from typing import Any, Protocol


class Timer(Protocol):
    def active(self) -> bool: ...
    def cancel(self) -> None: ...


class Clock(Protocol):
    def seconds(self) -> float: ...
    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Timer: ...
