"""Heartbeats that came to a controller that doesn't lead, and were referred to the leader."""

from stileloft.protocol.messages import Heartbeat
from stileloft.settings import Workers
from stileloft.transport.clock import Clock

RECENT_HEARTBEATS = 4.0
"""Machines count as heard by a controller for this many heartbeat intervals."""
REMEMBERED_LEASES = 8.0
"""For so many worker leases it is known which heartbeat of a machine was the newest: late copies are told from it."""


class HeartbeatReferrals:
    """Remembers which machines still look for the leader."""

    def __init__(self, clock: Clock, timings: Workers) -> None:
        self._clock = clock
        self._timings = timings
        self._newest: dict[str, tuple[float, tuple[int, int]]] = {}
        """By machine, those referred first first: when, and the epoch and sequence number of its newest heartbeat."""

    def record(self, heartbeat: Heartbeat) -> None:
        """Takes note of a heartbeat that was referred; a late copy of one says nothing of its machine."""
        newest = (heartbeat.epoch, heartbeat.sequence)
        if newest <= self._newest.get(heartbeat.machine, (0.0, (0, 0)))[1]:
            return
        now = self._clock.seconds()
        self._newest.pop(heartbeat.machine, None)
        self._newest[heartbeat.machine] = now, newest
        # Kept as long as a late copy may come, however many machines there are; the oldest come first.
        oldest = next(iter(self._newest))
        if now - self._newest[oldest][0] > REMEMBERED_LEASES * self._timings.lease_s:
            del self._newest[oldest]

    def recent(self) -> dict[str, tuple[int, int]]:
        """Machines referred lately, with the epoch and sequence number of their newest heartbeat."""
        since = self._clock.seconds() - RECENT_HEARTBEATS * self._timings.heartbeat_s
        return {machine: newest for machine, (at, newest) in self._newest.items() if at > since}
