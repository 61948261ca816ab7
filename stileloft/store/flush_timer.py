"""The timer of the next flush, which commits the changes of dirty jobs."""

from collections.abc import Callable

from stileloft.transport.clock import Clock, Timer


class FlushTimer:
    """One timer for all flush requests; it fires at the earliest requested time."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timer: Timer | None = None
        self._due_at = 0.0
        self.flush: Callable[[], None] = lambda: None
        """Called when the timer fires; set by the commit queue."""

    def flush_within(self, seconds: float) -> None:
        """Requests a flush within this many seconds."""
        due_at = self._clock.seconds() + seconds
        if self._timer is not None and self._timer.active():
            if self._due_at <= due_at:
                return
            self._timer.cancel()  # rescheduling it would search all timers: thousands in a large fleet
        self._due_at = due_at
        self._timer = self._clock.callLater(seconds, self._fire)

    def _fire(self) -> None:
        self.flush()
