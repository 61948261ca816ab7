"""The change of the store's format, once all controllers read the new one."""

import logging
from typing import TYPE_CHECKING

from stileloft.model import records
from stileloft.model.jobs import Job
from stileloft.protocol.state import ConflictError, UnavailableError, UnknownOutcomeError

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader

    pass

log = logging.getLogger(__name__)

# How often the other controllers are asked which format they read, until all read the newest.
FORMAT_S = 1.0


class FormatUpgrade:
    """Has the newest format written for good, and brings older records into it."""

    def __init__(self, term: "Leader") -> None:
        self._term = term
        self._cluster = term.cluster

    async def run(self) -> None:
        """Has the newest format written once all controllers have said, now, that they read it.

        Each says so by itself; none is taken to do so because it is silent. A process that has not been
        replaced yet says nothing of the kind, whatever it was before, so it holds the change back.
        """
        while self._term.alive and self._term.node.format < records.NEWEST_FORMAT:
            if await self._all_read_it() and self._term.holds_lease():
                await self._store()
            await self._term.sleep(FORMAT_S)

    def _others(self) -> set[str]:
        return {peer.member for peer in self._term.node.settings.peers}

    async def _all_read_it(self) -> bool:
        """Whether every controller of the deployment says now that it reads the newest format."""
        others = self._others()
        views = await self._term.node.peers.views()
        readers = {view.member for view in views if view.reads >= records.NEWEST_FORMAT}
        return readers >= others and len(others) + 1 >= self._term.settings.size

    async def _store(self) -> None:
        term = self._term
        node = term.node
        members = sorted({node.settings.member, *self._others()})
        # An earlier change of format has left a record, which is written over in the version that we know.
        guards = {**term.leader_guard(), records.FORMAT: node.format_version}
        value = {"format": records.NEWEST_FORMAT, "members": members}
        try:
            version = await term.state.commit(guards, {records.FORMAT: value}, [])
        except ConflictError:
            pass  # a former leader did it, or another leads: the node reads it
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("changing the format: %s", error)
        else:
            node.take_format(records.NEWEST_FORMAT, version)

    def format_changed(self) -> None:
        """Records may be written in the newest format from now on."""
        with self._term.lock:
            for job in self._cluster.jobs.values():
                job.max_placed_per_chunk = None
                if not job.end_phase and not job.chunk_size_stored:
                    self._cluster.dirty[job.id] = None
                self.split_large_records(job)
        self._term.request_scheduling()

    def split_large_records(self, job: Job) -> None:
        """Has records beyond the limit to come written in pieces, before an end or a cancellation needs it."""
        for chunk in job.chunks.values():
            if (
                not chunk.parts
                and records.size_of(chunk.record(job.spec, job.chunk_size)) > self._term.limits.value_bytes
            ):
                chunk.dirty = True
                self._cluster.mark_dirty(job)
