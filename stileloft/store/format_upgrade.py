"""The upgrade of the store's format, once all controllers can read the new format."""

import logging
from collections.abc import Callable

from stileloft.leadership.lease import LeaderLease
from stileloft.model import records
from stileloft.model.chunk_records import whole_chunk_value
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import ConflictError, UnavailableError, UnknownOutcomeError
from stileloft.settings import Settings
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

POLL_S = 1.0
"""Interval at which the other controllers are asked which formats they can read, in seconds."""
RETRY = RetryPolicy((), POLL_S, POLL_S)


class FormatUpgrade:
    """Puts the newest format in force, and rewrites older records in it. The upgrade is never reverted."""

    def __init__(
        self,
        store: LeaderStore,
        cluster: ClusterState,
        lease: LeaderLease,
        peers: PeerClient,
        settings: Settings,
        clock: Clock,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._lease = lease
        self._peers = peers
        self._settings = settings
        self._clock = clock
        self._request_scheduling = request_scheduling

    async def run(self) -> None:
        """Writes the format record once all controllers have stated in one round that they read the newest format.

        A controller that does not answer delays the upgrade, and so does a process of an older version, which states
        an older format or none.
        """
        await repeat("format upgrade", self._try_and_wait, RETRY, self._clock, self._is_due)

    def _is_due(self) -> bool:
        return self._lease.active and self._store.format.number < records.NEWEST_FORMAT

    async def _try_and_wait(self) -> None:
        if await self._all_read_newest_format() and self._lease.is_held():
            await self._write_format()
        await sleep(self._clock, POLL_S)

    def _peer_members(self) -> set[str]:
        return {peer.member for peer in self._settings.peers}

    async def _all_read_newest_format(self) -> bool:
        """Asks every controller of the deployment; returns whether all state that they read the newest format."""
        peer_members = self._peer_members()
        views = await self._peers.views()
        readers = {view.member for view in views if view.reads >= records.NEWEST_FORMAT}
        return readers >= peer_members and len(peer_members) + 1 >= self._settings.deployment.size

    async def _write_format(self) -> None:
        members = sorted({self._settings.member, *self._peer_members()})
        # The record of an earlier upgrade is overwritten, guarded on the version in which it was last read.
        guards = {records.FORMAT: self._store.format.record_version}
        value = records.to_stored(records.FormatRecord(records.NEWEST_FORMAT, members))
        try:
            version = await self._store.commit({records.FORMAT: value}, guards=guards)
        except ConflictError:
            pass  # written by a former leader, or another controller leads now: the watch of the format finds out
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("record format not written format=%d error=%s", records.NEWEST_FORMAT, error)
        else:
            log.info("record format written format=%d members=%s", records.NEWEST_FORMAT, ",".join(members))
            self._store.format.observe(records.NEWEST_FORMAT, version)

    def on_format_advanced(self) -> None:
        """Marks jobs with records of an older format dirty, and lifts that format's limit on placements per chunk."""
        with self._cluster.lock:
            for job in self._cluster.jobs.values():
                job.max_placed_per_chunk = None
                if not job.end_phase and not job.stores_chunk_size:
                    self._cluster.dirty[job.id] = None
                self.split_large_records(job)
        self._request_scheduling()

    def split_large_records(self, job: Job) -> None:
        """Marks chunks as dirty if their record is larger than the store allows for a value.

        These chunks are then split before the job ends.
        """
        for chunk in job.chunks.values():
            if (
                not chunk.overflow
                and records.json_bytes(whole_chunk_value(chunk, job.spec, job.chunk_size))
                > self._store.limits.max_value_bytes
            ):
                chunk.dirty = True
                self._cluster.mark_dirty(job)
