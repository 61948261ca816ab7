"""Time-outs after which a silent machine counts as overdue, unreachable or failed."""

from dataclasses import dataclass

from stileloft.settings import Workers

OVERDUE_HEARTBEATS = 2.0
REACHABLE_HEARTBEATS = 3.5
SUSPICION_HEARTBEATS = 1.6
WORKER_FAILOVER_S = 5.0
"""Time until a worker gives up on the leader: it waits 4 s for an answer, and may have sent its request just before."""
CONFIRMATION_HEARTBEATS = 2.25
FAILURE_LEASES = 0.5
FAILURE_HEARTBEATS = 3.0


@dataclass(frozen=True, slots=True)
class FailureTimeouts:
    """Time-outs of the failure detector, in seconds."""

    heartbeat_overdue_s: float
    """Time without a heartbeat after which a machine gets no more tasks."""
    reachability_s: float
    """Time after which a machine gets no more tasks if nothing shows that it receives the leader's messages."""
    suspicion_s: float
    """Silence of most machines after which the leader may itself be partitioned."""
    confirmation_s: float
    """Silence after which workers are certain to have tried another controller."""
    failure_s: float
    """Silence after which a machine counts as failed and is released."""

    @classmethod
    def from_settings(cls, timings: Workers) -> "FailureTimeouts":
        """Returns the time-outs for the workers' heartbeat interval and lease."""
        interval_s = timings.heartbeat_s
        return cls(
            heartbeat_overdue_s=OVERDUE_HEARTBEATS * interval_s,
            reachability_s=REACHABLE_HEARTBEATS * interval_s,
            suspicion_s=SUSPICION_HEARTBEATS * interval_s,
            confirmation_s=WORKER_FAILOVER_S + CONFIRMATION_HEARTBEATS * interval_s,
            failure_s=max(FAILURE_LEASES * timings.lease_s, FAILURE_HEARTBEATS * interval_s),
        )
