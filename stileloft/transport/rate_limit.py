"""Rate limiting: a token bucket."""

from stileloft.transport.clock import Clock


class TokenBucket:
    """A token bucket, filled at a steady rate up to its burst."""

    def __init__(self, clock: Clock, rate_per_s: float, burst_s: float = 1.0) -> None:
        """`burst_s`: how many seconds' worth of tokens the bucket holds; at least one token."""
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
        """Takes tokens if there are enough; returns whether it did."""
        self._refill()
        if self._level < amount:
            return False
        self._level -= amount
        return True

    def overdraw(self, amount: float) -> None:
        """Takes tokens whether they are there or not; later requests wait until the debt is filled."""
        self._refill()
        self._level -= amount

    def refund(self, amount: float) -> None:
        """Puts back what was taken for a request that was not executed."""
        self._level = min(self._capacity, self._level + amount)

    def level(self) -> float:
        """Tokens available now; negative after an overdraft."""
        self._refill()
        return self._level
