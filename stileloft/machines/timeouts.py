"""After how long without a sign of life what is concluded of a machine."""

from dataclasses import dataclass

from stileloft.settings import Workers

OVERDUE_HEARTBEATS = 2.0
REACHABLE_HEARTBEATS = 3.5
SUSPICION_HEARTBEATS = 1.6
WORKER_PATIENCE_S = 5.0
"""A worker gives up on an answer after 4 s, and may have asked just before."""
CONFIRMATION_HEARTBEATS = 2.25
FAILURE_LEASES = 0.5
FAILURE_HEARTBEATS = 3.0


@dataclass(frozen=True, slots=True)
class FailureTimeouts:
    """Time-outs of the failure detector, in seconds."""

    heartbeat_overdue_s: float
    """Without a heartbeat for so long, a machine gets no more tasks."""
    reachability_s: float
    """Without a sign that it hears us for so long, a machine gets no more tasks."""
    suspicion_s: float
    """Silence of most machines that raises the question whether it is the leader who is cut off."""
    confirmation_s: float
    """Silence after which workers would surely have turned to another controller."""
    failure_s: float
    """Silence after which a machine is given up and released."""

    @classmethod
    def from_settings(cls, timings: Workers) -> "FailureTimeouts":
        """The time-outs that follow from the workers' heartbeat interval and lease."""
        interval_s = timings.heartbeat_s
        return cls(
            heartbeat_overdue_s=OVERDUE_HEARTBEATS * interval_s,
            reachability_s=REACHABLE_HEARTBEATS * interval_s,
            suspicion_s=SUSPICION_HEARTBEATS * interval_s,
            confirmation_s=WORKER_PATIENCE_S + CONFIRMATION_HEARTBEATS * interval_s,
            failure_s=max(FAILURE_LEASES * timings.lease_s, FAILURE_HEARTBEATS * interval_s),
        )
