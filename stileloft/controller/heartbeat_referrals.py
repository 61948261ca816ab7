"""Heartbeats that reached a controller that does not lead, and were referred to the leader."""

from stileloft.protocol.messages import Heartbeat
from stileloft.settings import Workers
from stileloft.transport.clock import Clock

RECENT_HEARTBEAT_INTERVALS = 4.0
"""How long a referred heartbeat counts as recent, in heartbeat intervals."""
RETENTION_LEASES = 8.0
"""How long a machine's newest heartbeat is remembered, to recognize delayed duplicates, in worker leases."""


class HeartbeatReferrals:
    """Tracks the machines whose heartbeats are referred to the leader."""

    def __init__(self, clock: Clock, timings: Workers) -> None:
        self._clock = clock
        self._timings = timings
        self._newest: dict[str, tuple[float, tuple[int, int]]] = {}
        """Time of referral, epoch and sequence number of each machine's newest heartbeat, in the order of referral."""

    def record(self, heartbeat: Heartbeat) -> None:
        """Records a referred heartbeat; ignores a delayed duplicate, which does not show that its machine is alive."""
        newest = (heartbeat.epoch, heartbeat.sequence)
        if newest <= self._newest.get(heartbeat.machine, (0.0, (0, 0)))[1]:
            return
        now = self._clock.seconds()
        self._newest.pop(heartbeat.machine, None)
        self._newest[heartbeat.machine] = now, newest
        # Entries are kept as long as a delayed duplicate may arrive, however many there are; the oldest is first.
        oldest = next(iter(self._newest))
        if now - self._newest[oldest][0] > RETENTION_LEASES * self._timings.lease_s:
            del self._newest[oldest]

    def recent(self) -> dict[str, tuple[int, int]]:
        """Returns the recently referred machines, with epoch and sequence number of their newest heartbeat."""
        since = self._clock.seconds() - RECENT_HEARTBEAT_INTERVALS * self._timings.heartbeat_s
        return {machine: newest for machine, (at, newest) in self._newest.items() if at > since}
