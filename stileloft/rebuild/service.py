"""The feature's parts in a controller: protection, replica, and the rebuild that it leads."""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.rebuild import operator_decisions
from stileloft.rebuild.change_broadcast import InvalidNotesError, parse_notes
from stileloft.rebuild.protection import StoreProtection
from stileloft.rebuild.rebuilder import Rebuilder
from stileloft.rebuild.replica_follower import ReplicaFollower

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller

    pass

log = logging.getLogger(__name__)


class Rebuild:
    """What a node holds of the feature."""

    def __init__(self, node: "Controller") -> None:
        self._node = node
        self.protection = StoreProtection(node)
        self.rebuilder: Rebuilder | None = None
        """The rebuild that this node leads now."""
        self._refused_notes = 0

    def run(self) -> None:
        """Starts to look after the store."""
        defer.ensureDeferred(self.protection.run())
        defer.ensureDeferred(ReplicaFollower(self._node, self.protection).run())

    def begin(self, token: int) -> None:
        """Begins to write lost records back, as the leader with this token."""
        self.rebuilder = Rebuilder(self._node, self.protection, token, lambda: self._done(token))
        defer.ensureDeferred(self.rebuilder.run())

    def _done(self, token: int) -> None:
        self.rebuilder = None
        self._node.begin_leading(token)

    def take_notes(self, body: Any) -> bool:
        """Takes in what another controller has just told its users; whether it could be read."""
        try:
            notes = parse_notes(body)
        except InvalidNotesError as error:
            self._refused_notes += 1
            if self._refused_notes == 1:
                log.error("notes of another controller are dropped, and later ones only counted: %s", error)
            return False
        self.protection.take_notes(notes)
        return True

    async def decide(self, job: str, task: int | None, decision: str) -> dict[str, Any] | None:
        """Takes an operator's word on unresolved tasks; None if the job has none."""
        return await operator_decisions.decide(self._node, job, task, decision)

    def stop(self) -> None:
        """The leadership is over."""
        if self.rebuilder is not None:
            self.rebuilder.stop()
            self.rebuilder = None

    def status(self) -> dict[str, Any]:
        """What is known of the store, and of a rebuild that this node leads."""
        under_way = {} if self.rebuilder is None else {"rebuild": self.rebuilder.status()}
        return self.protection.status() | under_way | {"refused_notes": self._refused_notes}
