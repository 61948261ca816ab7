"""Rate limiting with token buckets."""

from stileloft.transport.clock import Clock


class TokenBucket:
    """A token bucket, refilled at a constant rate up to its capacity."""

    def __init__(self, clock: Clock, rate_per_s: float, burst_s: float = 1.0) -> None:
        """The capacity is `burst_s` seconds of the rate, but at least one token; the bucket starts full."""
        self._clock = clock
        self.rate_per_s = rate_per_s
        self._capacity = max(1.0, burst_s * rate_per_s)
        self._level = self._capacity
        self._filled_at = clock.seconds()

    def _refill(self) -> None:
        now = self._clock.seconds()
        self._level = min(self._capacity, self._level + (now - self._filled_at) * self.rate_per_s)
        self._filled_at = now

    def try_take(self, amount: float = 1.0) -> bool:
        """Takes tokens if enough are available; returns whether they were taken."""
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def overdraw(self, amount: float) -> None:
        """Takes tokens even if the level becomes negative; later requests wait until the deficit is refilled."""
        self._refill()
        self._level -= amount

    def refund(self, amount: float) -> None:
        """Returns tokens that were taken for a request that was not executed."""
        self._level = min(self._capacity, self._level + amount)

    def level(self) -> float:
        """Returns the number of available tokens; negative after an overdraft."""
        self._refill()
        return self._level
