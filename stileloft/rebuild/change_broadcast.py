"""Tells the other controllers at once what users are told: acceptances, ends and cancellations.

The store's feed brings these too, but gathered. What only the controller that answered knows would be lost if it ended
together with the store.
"""

import logging
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec
from twisted.internet import defer

from stileloft.model import records
from stileloft.rebuild.change_notice import MAX_CHANGES, ChangeNotice, is_announced
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.replica import RecordChange
from stileloft.rebuild.store_status import StoreStatus

log = logging.getLogger(__name__)

# Changes within so many seconds share a message.
GATHER_S = 0.02


class ChangeBroadcaster:
    """Gathers changes and sends them to all other controllers; nothing is sent again, as the feed follows."""

    def __init__(self, environment: RebuildEnvironment, store: StoreStatus) -> None:
        self._environment = environment
        self._store = store
        self._waiting: list[RecordChange] = []

    def add(self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int) -> None:
        """Sends what users are told of these changes: outcomes, and jobs' records."""
        changes = [RecordChange(key, value, revision) for key, value in puts.items() if is_announced(key)]
        changes += [RecordChange(key, None, revision) for key in deletes if key.startswith(records.ACTIVE)]
        if changes and not self._waiting:
            self._environment.clock.callLater(GATHER_S, self._send)
        self._waiting += changes

    def _send(self) -> None:
        changes, self._waiting = self._waiting, []
        identity = self._store.identity
        if identity is None:
            return
        for first in range(0, len(changes), MAX_CHANGES):
            notice = ChangeNotice(identity.deployment, identity.generation, changes[first : first + MAX_CHANGES])
            for peer in self._environment.settings.peers:
                self._send_to(peer.address, notice)

    def _send_to(self, address: str, notice: ChangeNotice) -> None:
        sent = self._environment.peers.send_change_notice(address, msgspec.to_builtins(notice))
        defer.ensureDeferred(sent).addErrback(
            lambda failure: log.error("change notice failed peer=%s error=%s", address, failure.getTraceback())
        )
