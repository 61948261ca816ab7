"""Collects and merges the replicas of all controllers for a rebuild."""

import logging

from stileloft.protocol.state import UnavailableError
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.errors import InvalidSnapshotError
from stileloft.rebuild.replica_merge import MergedReplica, merge
from stileloft.rebuild.snapshot import Piece, Snapshot, from_pieces, read_piece
from stileloft.rebuild.store_status import StoreStatus
from stileloft.rebuild.token_history import TokenHistory

log = logging.getLogger(__name__)

# Maximum number of pieces that are read of a snapshot; a longer one is refused.
MAX_PIECES = 10_000


class PeerReplicas:
    """The snapshots received so far, and the controllers whose snapshots are missing."""

    def __init__(self, environment: RebuildEnvironment, store: StoreStatus, tokens: TokenHistory) -> None:
        self._environment = environment
        self._store = store
        self._tokens = tokens
        self._snapshots: dict[str, Snapshot] = {}
        self.missing_members = environment.other_members

    def add(self, snapshot: Snapshot) -> None:
        """Adds a controller's snapshot."""
        self._snapshots[snapshot.holder.member] = snapshot

    async def request_missing(self) -> bool:
        """Requests the missing snapshots; returns whether any was received."""
        received = False
        addresses = {peer.member: peer.address for peer in self._environment.settings.peers}
        for member in sorted(self.missing_members):
            snapshot = await self._read_snapshot(member, addresses[member])
            if snapshot is not None:
                self._snapshots[member] = snapshot
                self.missing_members.discard(member)
                received = True
        return received

    async def _read_snapshot(self, member: str, address: str) -> Snapshot | None:
        """Returns a controller's snapshot; None if it does not answer or its snapshot is invalid."""
        identity = self._store.identity
        deployment = None if identity is None else identity.deployment
        pieces: list[Piece] = []
        try:
            while not pieces or len(pieces) < min(pieces[0].pieces, MAX_PIECES):
                data = await self._environment.peers.snapshot_piece(address, len(pieces))
                if data is None:
                    return None
                pieces.append(read_piece(data, deployment))
            return from_pieces(pieces)
        except InvalidSnapshotError as error:
            log.error("replica skipped member=%s error=%s", member, error)  # noqa: TRY400 - expected error, needs no traceback
            return None

    def merge(self) -> MergedReplica:
        """Returns the merged replica of all snapshots received so far.

        Raises `UnavailableError` if the store's identity is not known.
        """
        identity = self._store.identity
        if identity is None:
            raise UnavailableError("the store's identity is not known")
        merged = merge(
            self._snapshots.values(), identity.deployment, self._tokens.highest_before_loss, identity.token_base
        )
        log.info(
            "replicas merged generation=%d records=%d outcomes=%d members=%s has_last_leader=%s",
            identity.generation,
            len(merged.records),
            len(merged.outcomes),
            ",".join(merged.sources) or "none",
            merged.has_last_leader,
        )
        return merged
