"""Detection of a state service that serves the other controllers but not this one."""

import logging

from stileloft.model import records
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient, UnavailableError, UnknownOutcomeError
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

SERVED_WINDOW_S = 2.0
"""A request executed within this time shows that the service serves this controller, in seconds."""
ISOLATION_TIMEOUT_S = 3 * SERVED_WINDOW_S
"""Time without an answer from the service or any peer after which a controller turns users away, in seconds."""
RETRY = RetryPolicy((), 0.0, 0.0)


class StateServiceCheck:
    """Probes the state service, and compares its answers with the other controllers' views of it."""

    def __init__(self, clock: Clock, state: StateClient, peers: PeerClient) -> None:
        self._clock = clock
        self._state = state
        self._peers = peers
        self._failing_since: float | None = None
        self.is_refused = False
        """Whether the service serves other controllers but not this one, or this controller is isolated."""

    def is_served(self) -> bool:
        """Whether the state service has recently executed a request of this controller."""
        return self._clock.seconds() - self._state.served_at < SERVED_WINDOW_S

    async def run(self) -> None:
        """Checks for the lifetime of the process whether the state service serves other controllers but not this one.

        If so, the other controllers can serve the users. In an outage that affects all controllers they cannot, and a
        controller that was reported unhealthy would get no users for some seconds after the outage.
        """
        await repeat("state service check", self._wait_and_check, RETRY, self._clock)

    async def _wait_and_check(self) -> None:
        await sleep(self._clock, SERVED_WINDOW_S / 2)
        try:
            if not self.is_served():
                await self._state.get(records.LEADER)
            self.is_refused, self._failing_since = False, None
        except (UnavailableError, UnknownOutcomeError):
            now = self._clock.seconds()
            if self._failing_since is None:
                self._failing_since = now
            await self._compare_with_peers(now, self._failing_since)

    async def _compare_with_peers(self, now: float, failing_since: float) -> None:
        """Compares with the other controllers' views, after a request of this controller has failed."""
        views = await self._peers.views()
        # Peers that were served only before this controller's failures began prove nothing: the outage may affect all.
        refused = any(view.served_ago_s < now - failing_since for view in views)
        if refused and not self.is_refused:
            log.info(
                "state service serves peers but not this controller failing_for_s=%.1f peers_answered=%d",
                now - failing_since,
                len(views),
            )
        if not views and self._peers.addresses and now - failing_since > ISOLATION_TIMEOUT_S:
            # This controller is isolated, rather than in an outage of the service: others can serve its users.
            refused = True
        self.is_refused = refused
