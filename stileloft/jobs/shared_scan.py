"""A scan of the unfinished jobs that is shared by users' requests."""

from typing import Any

from twisted.internet import defer

from stileloft.jobs.user_store import UserStore
from stileloft.model import records
from stileloft.protocol.state import PAGE_SIZE
from stileloft.transport import background
from stileloft.transport.clock import Clock

GATHER_S = 0.25
"""How long requests are gathered before their shared scan begins, in seconds."""


class SharedJobScan:
    """Scans the records of unfinished jobs; a scan begins after the last request that it answers."""

    def __init__(self, store: UserStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._waiting: list[defer.Deferred[dict[str, Any]]] = []
        """Requests that wait for the next scan."""

    def read(self) -> defer.Deferred[dict[str, Any]]:
        """Returns the records of all unfinished jobs by key, read after this call.

        Fails with the errors of a scan, or with `RetryLaterError` if the read budget is spent.
        """
        waiting: defer.Deferred[dict[str, Any]] = defer.Deferred()
        self._waiting.append(waiting)
        if len(self._waiting) == 1:
            self._clock.callLater(GATHER_S, lambda: background.start("shared scan", self._scan()))
        return waiting

    async def _scan(self) -> None:
        # Later requests wait for the next scan: this scan may begin before they arrive.
        waiting, self._waiting = self._waiting, []
        try:
            self._store.take_reads()
            items, _ = await self._store.client.scan(records.ACTIVE)
            self._store.read_budget.overdraw(len(items) // PAGE_SIZE)
        except Exception as error:
            for request in waiting:
                request.errback(error)
            return
        found = {key: value for key, value, _ in items}
        for request in waiting:
            request.callback(found)
