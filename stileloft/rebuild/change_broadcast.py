"""Tells the other controllers at once what users are told: acceptances, ends and cancellations.

The store's feed brings these too, but gathered. What only the controller that answered knows would be lost if it ended
together with the store.
"""

import logging
from collections.abc import Iterable, Mapping
from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import Struct
from twisted.internet import defer

from stileloft.model import records
from stileloft.rebuild.replica import Replica

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller

    pass

log = logging.getLogger(__name__)

# What comes within so many seconds shares a message.
GATHER_S = 0.02
MOST_CHANGES = 500


class InvalidNotesError(Exception):
    """A message that can't be taken; the text says why."""


class Notes(Struct, frozen=True):
    """Changes of the store, each with key, value (null: deleted) and version."""

    deployment: str
    generation: int
    changes: list[tuple[str, Any, int]]


def parse_notes(body: Any) -> Notes:
    """A checked message."""
    try:
        notes = msgspec.convert(body, Notes)
    except msgspec.ValidationError as error:
        raise InvalidNotesError(str(error)) from None
    if len(notes.changes) > MOST_CHANGES:
        raise InvalidNotesError(f"more than {MOST_CHANGES} changes")
    for key, value, _ in notes.changes:
        if not key.startswith((records.ACTIVE, records.FINAL)) or not (value is None or isinstance(value, dict)):
            raise InvalidNotesError(f"a change of {key!r} is none that users are told of")
    return notes


def take_in(notes: Notes, replica: Replica) -> None:
    """Applies the changes, unless they are of another store than the replica."""
    if notes.generation == replica.generation:
        for key, value, version in notes.changes:
            replica.apply(key, value, version)


class PeerNotes:
    """Gathers what is to be told, and sends it; nothing is sent again, as the feed follows."""

    def __init__(self, node: "Controller") -> None:
        self._node = node
        self._waiting: list[tuple[str, Any, int]] = []

    def add(self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int) -> None:
        """Has told what users hear of: the ends of jobs, and jobs' records that are given."""
        told = [
            (key, value, revision) for key, value in puts.items() if key.startswith((records.ACTIVE, records.FINAL))
        ]
        told += [(key, None, revision) for key in deletes if key.startswith(records.ACTIVE)]
        if told and not self._waiting:
            self._node.reactor.callLater(GATHER_S, self._send)
        self._waiting += told

    def _send(self) -> None:
        changes, self._waiting = self._waiting, []
        protection = self._node.rebuild.protection if self._node.rebuild else None
        if protection is None or protection.identity is None:
            return
        for first in range(0, len(changes), MOST_CHANGES):
            part = changes[first : first + MOST_CHANGES]
            notes = Notes(protection.identity.deployment, protection.identity.generation, part)
            for peer in self._node.settings.peers:
                sent = self._node.clients.peers.send_notes(peer.address, msgspec.to_builtins(notes))
                defer.ensureDeferred(sent).addErrback(lambda failure: log.error("notes: %s", failure.getTraceback()))
