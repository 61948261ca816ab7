"""When the next commit of what has changed is due."""

from collections.abc import Callable

from stileloft.transport.clock import Clock, Timer


class FlushTimer:
    """One timer for all who want changes committed; the earliest request counts."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._timer: Timer | None = None
        self._due_at = 0.0
        self.flush: Callable[[], None] = lambda: None
        """Called when the timer fires; set by the commit queue."""

    def flush_within(self, seconds: float) -> None:
        """Has a flush made within so many seconds."""
        due_at = self._clock.seconds() + seconds
        if self._timer is not None and self._timer.active():
            if self._due_at <= due_at:
                return
            self._timer.cancel()  # moving it would search all timers, of which a large fleet has thousands
        self._due_at = due_at
        self._timer = self._clock.callLater(seconds, self._fire)

    def _fire(self) -> None:
        self.flush()
