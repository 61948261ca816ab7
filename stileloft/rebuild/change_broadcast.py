"""Announces accepted, ended and cancelled jobs to the other controllers as soon as users are told of them.

The store's change feed delivers these changes too, but in batches. A change that only one controller knows would be
lost if that controller and the store failed together.
"""

from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from stileloft.model import records
from stileloft.rebuild.change_notice import MAX_CHANGES, ChangeNotice, is_announced
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.replica import RecordChange
from stileloft.rebuild.store_status import StoreStatus
from stileloft.transport import background

# Changes within this window share a message.
BATCH_WINDOW_S = 0.02


class ChangeBroadcaster:
    """Sends changes to all other controllers in batches, without retries, as the change feed delivers them as well."""

    def __init__(self, environment: RebuildEnvironment, store: StoreStatus) -> None:
        self._environment = environment
        self._store = store
        self._pending: list[RecordChange] = []

    def add(self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int) -> None:
        """Queues those changes that are announced: of outcomes, and of unfinished jobs' records."""
        changes = [RecordChange(key, value, revision) for key, value in puts.items() if is_announced(key)]
        changes += [RecordChange(key, None, revision) for key in deletes if key.startswith(records.ACTIVE)]
        if changes and not self._pending:
            self._environment.clock.callLater(BATCH_WINDOW_S, self._send)
        self._pending += changes

    def _send(self) -> None:
        changes, self._pending = self._pending, []
        identity = self._store.identity
        if identity is None:
            return
        for first in range(0, len(changes), MAX_CHANGES):
            notice = ChangeNotice(identity.deployment, identity.generation, changes[first : first + MAX_CHANGES])
            for peer in self._environment.settings.peers:
                self._send_to(peer.address, notice)

    def _send_to(self, address: str, notice: ChangeNotice) -> None:
        sent = self._environment.peers.send_change_notice(address, msgspec.to_builtins(notice))
        background.start(f"change notice to {address}", sent)
