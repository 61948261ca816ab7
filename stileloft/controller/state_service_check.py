"""Whether the state service serves this controller as it serves the others."""

import logging

from twisted.internet import defer

from stileloft.model import records
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient, UnavailableError, UnknownOutcomeError
from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

# A request that was executed within this time shows that the service serves us.
SERVED_S = 2.0
# A node that neither the state service nor any peer answers for so long sends users elsewhere.
ALONE_S = 3 * SERVED_S


class StateServiceCheck:
    """Asks now and then, and compares with what the other controllers say."""

    def __init__(self, clock: Clock, state: StateClient, peers: PeerClient) -> None:
        self._clock = clock
        self._state = state
        self._peers = peers
        self.refused = False
        """The state service serves other nodes, but not this one."""

    def served(self) -> bool:
        """Whether the state service has executed a request of ours lately."""
        now: float = self._clock.seconds()
        return now - self._state.served_at < SERVED_S

    async def run(self) -> None:
        """Finds out whether the state service serves the others and not us.

        Users are then better off elsewhere. In an outage for all they are not: a node that was
        called unhealthy gets no users for some seconds more.
        """
        failing_since: float | None = None
        while True:
            await self._sleep(SERVED_S / 2)
            try:
                if not self.served():
                    await self._state.get(records.LEADER)
                self.refused, failing_since = False, None
            except (UnavailableError, UnknownOutcomeError):
                now = self._clock.seconds()
                failing_since = now if failing_since is None else failing_since
                views = await self._peers.views()
                # Being served before our own failures began says nothing: the outage may be for all.
                refused = any(view.served_ago_s < now - failing_since for view in views)
                if refused and not self.refused:
                    log.info("the state service serves other nodes but not this one")
                if not views and self._peers.addresses and now - failing_since > ALONE_S:
                    # Cut off, rather than in an outage: others can serve our users.
                    refused = True
                self.refused = refused
            except Exception:
                log.exception("asking the state service")

    def _sleep(self, seconds: float) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred()
        self._clock.callLater(seconds, done.callback, None)
        return done
