"""Keeps a controller's replica in step with the state service, by the service's own feed of changes."""

import logging
from typing import TYPE_CHECKING

from stileloft.model import records
from stileloft.protocol.state import (
    CompactedError,
    ConflictError,
    StoreLostError,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.rebuild.missed_changes import tell_what_was_missed
from stileloft.rebuild.protection import Phase, StoreProtection
from stileloft.rebuild.replica import RESTORED_KEYS, RESTORED_PREFIXES, Replica

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller

    pass

log = logging.getLogger(__name__)

# The feed's watch waits for so long if nothing changes.
WATCH_S = 5.0
RETRY_S = 0.3
# How often it is looked whether the store is sound again.
PAUSE_S = 0.25
# Pages of records that are read one after the other make room for other requests in between.
PAGE_PAUSE_S = 0.1


class ReplicaFollower:
    """Reads all records once, then follows what changes."""

    def __init__(self, node: "Controller", protection: StoreProtection) -> None:
        self._node = node
        self._state = node.clients.state
        self._protection = protection
        self._follow_s = node.features.rebuild.follow_s
        self._saved_at = 0.0

    async def run(self) -> None:
        """Follows for as long as the process lives; the replica stands still while the store is not sound."""
        while True:
            try:
                if self._protection.phase is not Phase.SOUND:
                    await self._node.sleep(PAUSE_S)
                elif self._needs_loading():
                    await self._load()
                else:
                    await self._follow()
                    self._save()
            except CompactedError:
                self._protection.replica.complete = False
            except (StoreLostError, ConflictError):
                await self._node.sleep(PAUSE_S)  # what is told anew is being written: it is compared once more
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("following the store: %s", error)
                await self._node.sleep(RETRY_S)
            except Exception:
                log.exception("following the store")
                await self._node.sleep(RETRY_S)

    def _needs_loading(self) -> bool:
        replica, identity = self._protection.replica, self._protection.identity
        return not replica.complete or identity is None or replica.generation != identity.generation

    async def _load(self) -> None:
        """Reads all records. The replica of before stays in place until then: it may be needed once more."""
        identity = self._protection.identity
        if identity is None:
            return
        loaded = self._protection.loading = Replica(identity.generation)
        revision: int | None = None
        for prefix in (*RESTORED_PREFIXES, records.ENDED, records.FINAL):
            items, at = await self._state.scan(prefix)
            revision = at if revision is None else revision
            for key, value, version in items:
                loaded.apply(key, value, version)
            await self._node.sleep(PAGE_PAUSE_S)
        for key in RESTORED_KEYS:
            found = await self._state.lookup(key)
            if found is not None:
                loaded.apply(key, *found)
        # What changed while it was read comes again with the feed, from the first page on.
        loaded.advance(revision or 0)
        if self._protection.phase is not Phase.SOUND or self._protection.identity != identity:
            return
        await tell_what_was_missed(self._node, self._protection, loaded)
        await self._protection.is_heard()
        loaded.ends.update(self._protection.replica.ends)
        loaded.complete = True
        self._protection.replica, self._protection.loading = loaded, None
        log.info("the replica holds %d records and %d ends", len(loaded.records), len(loaded.ends))

    async def _follow(self) -> None:
        replica = self._protection.replica
        revision, events = await self._state.watch("", replica.revision, WATCH_S)
        if self._protection.replica is not replica or self._protection.phase is not Phase.SOUND:
            return
        identity = [(value, version) for key, value, version in events if key == records.IDENTITY]
        for value, version in identity:
            self._protection.identity_changed(value, version)
        if self._protection.phase is not Phase.SOUND:
            return  # what else has gone was lost with the identity
        for key, value, version in events:
            replica.apply(key, value, version)
        replica.advance(revision)
        if events:
            await self._node.sleep(self._follow_s)

    def _save(self) -> None:
        now = self._node.reactor.seconds()
        if now - self._saved_at >= self._node.features.rebuild.directory_s:
            self._saved_at = now
            self._protection.save()
