"""A controller's share of the state service's rate limits."""

from dataclasses import dataclass

from stileloft.settings import Deployment
from stileloft.transport.clock import Clock
from stileloft.transport.rate_limit import TokenBucket

# Fractions of the state service's limits. With one controller down, all budgets together stay below the limits.
USER_READS_FRACTION = 0.3
LEADER_WRITES_FRACTION = 0.7
USER_WRITES_FRACTION = 0.3
MIN_USER_WRITES_PER_S = 2.0
USER_BURST_S = 2.0
"""Users' requests arrive in bursts: their writes may use this many seconds' worth of the rate at once."""


@dataclass(frozen=True, slots=True)
class StateBudgets:
    """Rate limits of this controller's requests to the state service."""

    user_reads: TokenBucket
    user_writes: TokenBucket
    leader_writes: TokenBucket

    @classmethod
    def from_deployment(cls, deployment: Deployment, clock: Clock) -> "StateBudgets":
        """Returns the budgets for a deployment's limits."""
        # One controller may be down at any time; the others then serve its users.
        sharing_controllers = max(1, max(1, deployment.size) - 1)
        limits = deployment.state.strictest()
        return cls(
            user_reads=TokenBucket(clock, limits.rps * USER_READS_FRACTION / sharing_controllers),
            user_writes=TokenBucket(
                clock,
                max(MIN_USER_WRITES_PER_S, limits.write_rps * USER_WRITES_FRACTION / sharing_controllers),
                USER_BURST_S,
            ),
            leader_writes=TokenBucket(clock, limits.write_rps * LEADER_WRITES_FRACTION),
        )
