"""How long a leader may go on answering heartbeats without a confirmed lease."""

from stileloft.machines.worker_leases import EXPIRY_MARGIN_LEASES
from stileloft.settings import Workers
from stileloft.transport.clock import MAX_CLOCK_DRIFT

MAX_GRACE_LEASES = 3.0
"""The longest grace, in leases of the workers."""


def renewal_grace(timings: Workers, leader_lease_s: float, store_timeout_s: float) -> float:
    """Seconds for which heartbeats are answered without knowing that we still lead, or what users cancel.

    The earliest cancellation that the leader may not know of is confirmed when it last knew of all
    (`JobWatch.up_to_date_at`). A worker counts its lease from when it sent the heartbeat, which is before the answer.
    So what an answer keeps alive is gone after this grace and one lease, with what clocks and their checks may add;
    that must be within the time for a cancellation. A lease of the leader and a time-out of the state service are left
    as a reserve.
    """
    worker_lease_s = timings.lease_s * (1 + EXPIRY_MARGIN_LEASES + 2 * MAX_CLOCK_DRIFT)
    latest_s = timings.cancel_s - worker_lease_s - leader_lease_s - store_timeout_s
    return max(0.0, min(MAX_GRACE_LEASES * timings.lease_s, latest_s))
