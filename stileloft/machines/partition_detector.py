"""Distinguishes a failure of most machines from a partition between them and the leader."""

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.timeouts import FailureTimeouts
from stileloft.model.cluster_lock import ClusterLock
from stileloft.model.machines import Machine
from stileloft.protocol.peers import PeerClient
from stileloft.transport import background
from stileloft.transport.clock import Clock

PARTITION_FRACTION = 0.25
"""The leader counts as partitioned when at least this fraction of the silent machines reaches its peers."""


class PartitionDetector:
    """Queries the peers when most machines fall silent at once, and steps down if the machines reach the peers."""

    def __init__(
        self,
        lock: ClusterLock,
        lease: LeaderLease,
        peers: PeerClient,
        clock: Clock,
        timeouts: FailureTimeouts,
        worker_lease_s: float,
    ) -> None:
        self._lock = lock
        self._lease = lease
        self._peers = peers
        self._clock = clock
        self._timeouts = timeouts
        self._worker_lease_s = worker_lease_s
        self._query_in_flight = False
        self._failures_confirmed_until = 0.0
        """Time until which the peers' answer that the silent machines have failed stays valid."""

    def is_suspected(self, machines: list[Machine], now: float) -> bool:
        """Whether so many machines are silent that a partition is suspected, and none of them may be released yet."""
        up = [m for m in machines if m.up_since is not None or m.cloud_state == "running"]
        # Heartbeats arrive at different times, so after a link is lost, it takes a heartbeat interval until all
        # machines have missed a heartbeat. Machines therefore count as silent well before the failure time-out:
        # otherwise the machine that reaches its failure time-out first would be released before most machines count as
        # silent.
        silent = [m for m in up if now - self._last_heartbeat_at(m) > self._timeouts.suspicion_s]
        suspected = len(up) > 1 and len(silent) * 2 > len(up) and now > self._failures_confirmed_until
        if suspected and not self._query_in_flight:
            self._query_in_flight = True
            background.start_without(self._lock, "query of peers", self._query_peers, silent)
        return suspected

    def _last_heartbeat_at(self, machine: Machine) -> float:
        """Returns the time of the machine's last heartbeat, or of the leadership's start if that is later."""
        return max(machine.last_heartbeat_at, self._lease.began_at)

    async def _query_peers(self, silent: list[Machine]) -> None:
        """Finds out whether the silent machines have failed, or the leader is partitioned from them.

        A worker that does not reach the leader sends its heartbeats to the other controllers. Each of them refers the
        worker to the leader, and remembers the heartbeat.
        """
        heartbeats_at_query = {machine.id: machine.last_heartbeat_at for machine in silent}
        try:
            views = await self._peers.views()
        finally:
            self._query_in_flight = False
        if not self._lease.active:
            return
        # A machine whose heartbeat has arrived during the query was only slow.
        still_silent = [machine for machine in silent if machine.last_heartbeat_at == heartbeats_at_query[machine.id]]
        # A delayed duplicate that reached a peer does not show that a machine is alive: only heartbeats newer than the
        # last heartbeat received here count.
        reaching_peers = sum(
            1
            for machine in still_silent
            if any(tuple(view.machines.get(machine.id, (0, 0))) > (machine.epoch, machine.sequence) for view in views)
        )
        now = self._clock.seconds()
        confirmed = all(
            now - self._last_heartbeat_at(machine) > self._timeouts.confirmation_s for machine in still_silent
        )
        if reaching_peers and reaching_peers >= PARTITION_FRACTION * len(still_silent):
            reason = f"{len(still_silent)} machines are silent, {reaching_peers} of them reach peers"
        elif not still_silent or not confirmed:
            return  # workers may not have reached a peer yet: the next check queries again
        elif views:
            self._failures_confirmed_until = now + self._timeouts.failure_s
            return
        else:
            reason = f"{len(still_silent)} machines are silent, and no peer answers"
        self._lease.step_down(reason)
        self._lease.pause_campaign(self._worker_lease_s / 2)
