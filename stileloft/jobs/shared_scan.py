"""One scan of the unfinished jobs that many users' questions share."""

from typing import Any

from twisted.internet import defer

from stileloft.jobs.user_store import UserStore
from stileloft.model import records
from stileloft.protocol.state import PAGE_SIZE
from stileloft.transport.clock import Clock

GATHER_S = 0.25
"""Questions are gathered for so long before the scan that they share begins, in seconds."""


class SharedJobScan:
    """Scans the records of unfinished jobs; a scan begins after the last question that it answers."""

    def __init__(self, store: UserStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._waiting: list[defer.Deferred[dict[str, Any]]] = []
        """Questions that wait for the next scan."""

    def read(self) -> defer.Deferred[dict[str, Any]]:
        """The records of all unfinished jobs by their keys, as read after now; fails with the errors of a scan."""
        waiting: defer.Deferred[dict[str, Any]] = defer.Deferred()
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._clock.callLater(GATHER_S, lambda: defer.ensureDeferred(self._scan()))
        return waiting

    async def _scan(self) -> None:
        # Later questions wait for the next scan: this one may begin before they are asked.
        waiting, self._waiting = self._waiting, []
        try:
            self._store.take_reads()
            items, _ = await self._store.client.scan(records.ACTIVE)
            self._store.read_budget.overdraw(len(items) // PAGE_SIZE)
        except Exception as error:
            for each in waiting:
                each.errback(error)
            return
        found = {key: value for key, value, _ in items}
        for each in waiting:
            each.callback(found)
