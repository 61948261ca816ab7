"""The lease of one leadership, as the leader's components see it."""

from stileloft.leadership.election import Election
from stileloft.model import records
from stileloft.transport.clock import Clock


class LeaderLease:
    """Tells whether a leadership is still held, and gives it up; one object for each election won."""

    def __init__(self, election: Election, clock: Clock, renewal_grace_s: float) -> None:
        self._election = election
        self._key_version = election.key_version
        self.active = True
        """False once the leadership has ended for this controller; nothing is decided, sent or stored afterwards."""
        self.began_at = clock.seconds()
        self.renewal_grace_s = renewal_grace_s
        """Time for which heartbeats are answered without a confirmed lease, in seconds."""

    @property
    def duration_s(self) -> float:
        """Duration of the lease without a renewal, in seconds."""
        return self._election.lease_s

    def is_held(self) -> bool:
        """Returns whether the lease is certainly still held, so that no other controller can have been elected."""
        return self.active and self._election.holds_lease()

    def seconds_since_renewal(self) -> float:
        """Returns the seconds since the lease was last known to be valid."""
        return self._election.seconds_since_renewal()

    def guard(self) -> dict[str, int]:
        """Returns the guard of the leader's transactions, which fails once another leader has been elected."""
        return {records.LEADER: self._key_version}

    def suspect(self, reason: str) -> None:
        """Suspends all decisions until it is known whether the leadership has ended."""
        self._election.suspect(reason)

    def step_down(self, reason: str) -> None:
        """Gives up the leadership."""
        if self.active:
            self._election.step_down(reason)

    def pause_campaign(self, seconds: float) -> None:
        """Does not campaign for this many seconds, so that another controller can be elected."""
        self._election.pause_campaign(seconds)

    def end(self) -> None:
        """Marks the leadership as ended."""
        self.active = False
