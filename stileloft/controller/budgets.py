"""How a controller shares the state service's limits with the others."""

from dataclasses import dataclass

from stileloft.settings import Deployment
from stileloft.transport.clock import Clock
from stileloft.transport.rate_limit import TokenBucket

USER_READS_PART = 0.3
"""Parts of the state service's limits; with one controller down, the parts of all together stay below it."""
LEADER_WRITES_PART = 0.7
USER_WRITES_PART = 0.3
MIN_USER_WRITES_PER_S = 2.0
USER_BURST_S = 2.0
"""Users come in bursts: their writes may use up so many seconds' worth at once."""


@dataclass(frozen=True, slots=True)
class StateBudgets:
    """What this controller may ask of the state service."""

    user_reads: TokenBucket
    user_writes: TokenBucket
    leader_writes: TokenBucket

    @classmethod
    def from_deployment(cls, deployment: Deployment, clock: Clock) -> "StateBudgets":
        """The budgets that follow from the deployment's limits."""
        # One controller may be down at any time, and the others then get its users.
        sharing = max(1, max(1, deployment.size) - 1)
        least = deployment.state.strictest()
        return cls(
            user_reads=TokenBucket(clock, least.rps * USER_READS_PART / sharing),
            user_writes=TokenBucket(
                clock, max(MIN_USER_WRITES_PER_S, least.write_rps * USER_WRITES_PART / sharing), USER_BURST_S
            ),
            leader_writes=TokenBucket(clock, least.write_rps * LEADER_WRITES_PART),
        )
