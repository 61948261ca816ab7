"""The time for which a leader may answer heartbeats without a confirmed lease."""

from stileloft.settings import Workers
from stileloft.transport.clock import MAX_CLOCK_DRIFT

EXPIRY_MARGIN_LEASES = 0.1
"""Time that a worker may take to notice that its lease has expired, in leases."""
MAX_GRACE_LEASES = 3.0
"""Upper limit of the grace, in worker leases."""


def renewal_grace(timings: Workers, leader_lease_s: float, store_timeout_s: float) -> float:
    """Returns for how many seconds heartbeats are answered without a confirmed lease, or without news of cancellations.

    `JobWatch.up_to_date_at` is when the leader last knew of all cancellations; any cancellation that this leader
    does not know of was confirmed at that time or later. A worker's lease starts when the worker sends the heartbeat,
    which is before the answer. So a cancelled task that an answer keeps alive ends, after the confirmation, within this
    grace and one worker lease, plus the margins for expiry checks and clock drift. That sum must not exceed `cancel_s`,
    the time limit of a cancellation. One leader lease and one time-out of the state service are subtracted as a
    reserve.
    """
    max_worker_lease_s = timings.lease_s * (1 + EXPIRY_MARGIN_LEASES + 2 * MAX_CLOCK_DRIFT)
    remaining_s = timings.cancel_s - max_worker_lease_s - leader_lease_s - store_timeout_s
    return max(0.0, min(MAX_GRACE_LEASES * timings.lease_s, remaining_s))
