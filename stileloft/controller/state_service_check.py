"""Whether the state service serves this controller as it serves the others."""

import logging

from stileloft.model import records
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient, UnavailableError, UnknownOutcomeError
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

SERVED_S = 2.0
"""A request that was executed within this time shows that the service serves us, in seconds."""
ISOLATED_S = 3 * SERVED_S
"""A controller that neither the state service nor any peer answers for so long sends users elsewhere, in seconds."""
RETRY = RetryPolicy((), 0.0, 0.0)


class StateServiceCheck:
    """Probes the service now and then, and compares with what the other controllers say."""

    def __init__(self, clock: Clock, state: StateClient, peers: PeerClient) -> None:
        self._clock = clock
        self._state = state
        self._peers = peers
        self._failing_since: float | None = None
        self.is_refused = False
        """The state service serves other controllers, but not this one."""

    def is_served(self) -> bool:
        """Whether the state service has executed a request of ours lately."""
        return self._clock.seconds() - self._state.served_at < SERVED_S

    async def run(self) -> None:
        """Finds out whether the state service serves the others and not us, for as long as the process lives.

        Users are then better off elsewhere. In an outage for all they are not: a controller that was called unhealthy
        gets no users for some seconds more.
        """
        await repeat("state service check", self._wait_and_check, RETRY, self._clock)

    async def _wait_and_check(self) -> None:
        await sleep(self._clock, SERVED_S / 2)
        try:
            if not self.is_served():
                await self._state.get(records.LEADER)
            self.is_refused, self._failing_since = False, None
        except (UnavailableError, UnknownOutcomeError):
            now = self._clock.seconds()
            if self._failing_since is None:
                self._failing_since = now
            await self._ask_peers(now, self._failing_since)

    async def _ask_peers(self, now: float, failing_since: float) -> None:
        """Compares with what the other controllers say, once our own requests fail."""
        views = await self._peers.views()
        # Being served before our own failures began says nothing: the outage may be for all.
        refused = any(view.served_ago_s < now - failing_since for view in views)
        if refused and not self.is_refused:
            log.info("state service refuses this controller and serves others")
        if not views and self._peers.addresses and now - failing_since > ISOLATED_S:
            # Cut off, rather than in an outage: others can serve our users.
            refused = True
        self.is_refused = refused
