"""The lease of one leadership, as the leader's parts see it."""

from stileloft.leadership.election import Election
from stileloft.model import records
from stileloft.transport.clock import Clock


class LeaderLease:
    """Whether this leadership still holds, and how to give it up; one object for each election that was won."""

    def __init__(self, election: Election, clock: Clock, renewal_grace_s: float) -> None:
        self._election = election
        self._key_version = election.key_version
        self.active = True
        """Until the leadership is over for this controller; nothing is decided, sent or stored afterwards."""
        self.began_at = clock.seconds()
        self.renewal_grace_s = renewal_grace_s
        """How long heartbeats are answered without a confirmed lease, in seconds."""

    @property
    def duration_s(self) -> float:
        """How long the lease lasts without a renewal, in seconds."""
        return self._election.lease_s

    def is_held(self) -> bool:
        """Whether nobody else can have been elected yet."""
        return self.active and self._election.holds_lease()

    def seconds_since_renewal(self) -> float:
        """Seconds since the lease was last known to be alive."""
        return self._election.seconds_since_renewal()

    def guard(self) -> dict[str, int]:
        """The condition of the leader's transactions that no other leader has been elected since."""
        return {records.LEADER: self._key_version}

    def suspect(self, reason: str) -> None:
        """The leadership seems to be over: nothing is decided any more until it is known why."""
        self._election.suspect(reason)

    def step_down(self, reason: str) -> None:
        """Gives up the leadership."""
        if self.active:
            self._election.step_down(reason)

    def pause_campaign(self, seconds: float) -> None:
        """Leaves the leadership to others for a while."""
        self._election.pause_campaign(seconds)

    def end(self) -> None:
        """The leadership is over."""
        self.active = False
