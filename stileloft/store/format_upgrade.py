"""The change of the store's format, once all controllers read the new one."""

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
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

POLL_S = 1.0
"""How often the other controllers are asked which format they read, in seconds, until all read the newest."""


class FormatUpgrade:
    """Has the newest format written, which is for good, and brings older records into it."""

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
        """Writes the newest format once all controllers have said in one round that they read it.

        A silent controller holds the upgrade back, as does a process of an older version, which does not say so.
        """
        while self._lease.active and self._store.format.number < records.NEWEST_FORMAT:
            if await self._all_read_it() and self._lease.is_held():
                await self._write_format()
            await sleep(self._clock, POLL_S)

    def _others(self) -> set[str]:
        return {peer.member for peer in self._settings.peers}

    async def _all_read_it(self) -> bool:
        """Whether every controller of the deployment says now that it reads the newest format."""
        others = self._others()
        views = await self._peers.views()
        readers = {view.member for view in views if view.reads >= records.NEWEST_FORMAT}
        return readers >= others and len(others) + 1 >= self._settings.deployment.size

    async def _write_format(self) -> None:
        members = sorted({self._settings.member, *self._others()})
        # An earlier change of format has left a record, which is written over in the version that we know.
        guards = {records.FORMAT: self._store.format.record_version}
        value = records.to_stored(records.FormatRecord(records.NEWEST_FORMAT, members))
        try:
            version = await self._store.commit({records.FORMAT: value}, guards=guards)
        except ConflictError:
            pass  # a former leader wrote it, or another controller leads: the watch of the format tells
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("record format not written format=%d: %s", records.NEWEST_FORMAT, error)
        else:
            log.info("record format written format=%d members=%s", records.NEWEST_FORMAT, ",".join(members))
            self._store.format.observe(records.NEWEST_FORMAT, version)

    def on_format_advanced(self) -> None:
        """Brings the records of jobs into the format that may be written from now on."""
        with self._cluster.lock:
            for job in self._cluster.jobs.values():
                job.max_placed_per_chunk = None
                if not job.end_phase and not job.stores_chunk_size:
                    self._cluster.dirty[job.id] = None
                self.split_large_records(job)
        self._request_scheduling()

    def split_large_records(self, job: Job) -> None:
        """Has chunks written anew whose record is over the limit of a value, before the job's end needs it."""
        for chunk in job.chunks.values():
            if (
                not chunk.overflow
                and records.json_bytes(whole_chunk_value(chunk, job.spec, job.chunk_size))
                > self._store.limits.max_value_bytes
            ):
                chunk.dirty = True
                self._cluster.mark_dirty(job)
