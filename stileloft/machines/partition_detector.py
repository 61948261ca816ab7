"""Whether most machines have failed, or it is this leader that is cut off from them."""

from twisted.internet import defer

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.timeouts import FailureTimeouts
from stileloft.model.machines import Machine
from stileloft.protocol.peers import PeerClient
from stileloft.transport.clock import Clock

MISSED_PART = 0.25
"""The leader counts as cut off when its peers hear this part of the silent machines."""


class PartitionDetector:
    """Asks the other controllers when most machines fall silent at once, and steps down if they are heard there."""

    def __init__(
        self, lease: LeaderLease, peers: PeerClient, clock: Clock, timeouts: FailureTimeouts, worker_lease_s: float
    ) -> None:
        self._lease = lease
        self._peers = peers
        self._clock = clock
        self._timeouts = timeouts
        self._worker_lease_s = worker_lease_s
        self._asking = False
        self._cleared_until = 0.0
        """Until when the peers' word holds that the machines have failed."""

    def is_suspected(self, machines: list[Machine], now: float) -> bool:
        """Whether so many machines are silent that none of them may be given up yet."""
        up = [m for m in machines if m.up_since is not None or m.cloud_state == "running"]
        # Heartbeats come at different times, so a lost link shows on all machines only after an interval.
        # What counts is who is overdue when the first one's failure time-out is over; else that one would be given up.
        silent = [m for m in up if now - self._last_heartbeat_at(m) > self._timeouts.suspicion_s]
        suspected = len(up) > 1 and len(silent) * 2 > len(up) and now > self._cleared_until
        if suspected and not self._asking:
            self._asking = True
            defer.ensureDeferred(self._ask_peers(silent))
        return suspected

    def _last_heartbeat_at(self, machine: Machine) -> float:
        """When the machine was last heard, or the leadership began."""
        return max(machine.last_heartbeat_at, self._lease.began_at)

    async def _ask_peers(self, silent: list[Machine]) -> None:
        """Finds out whether the silent machines have failed, or it is we who cannot hear them.

        Workers that do not reach us try the other controllers, which remember whom they referred to us.
        """
        asked = {machine.id: machine.last_heartbeat_at for machine in silent}
        views = await self._peers.views()
        self._asking = False
        if not self._lease.active:
            return
        # One that has reached us meanwhile was only slow.
        still = [machine for machine in silent if machine.last_heartbeat_at == asked[machine.id]]
        # A late copy that came to a peer does not show that a machine is alive: only what we have not heard counts.
        missed = sum(
            1
            for machine in still
            if any(tuple(view.machines.get(machine.id, (0, 0))) > (machine.epoch, machine.sequence) for view in views)
        )
        now = self._clock.seconds()
        certain = all(now - self._last_heartbeat_at(machine) > self._timeouts.confirmation_s for machine in still)
        if missed and missed >= MISSED_PART * len(still):
            reason = f"{len(still)} machines are silent, and peers hear {missed} of them"
        elif not still or not certain:
            return  # they may still be on their way to a peer: ask again
        elif views:
            self._cleared_until = now + self._timeouts.failure_s
            return
        else:
            reason = f"{len(still)} machines are silent, and so are the peers"
        self._lease.step_down(reason)
        self._lease.pause_campaign(self._worker_lease_s / 2)
