"""Provides snapshots of this controller's replica to other controllers and to the site's directory."""

from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.identity import FIRST_GENERATION, Identity
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.snapshot import Holder, Snapshot, to_pieces
from stileloft.rebuild.snapshot_directory import SnapshotDirectory
from stileloft.rebuild.store_status import StorePhase, StoreStatus
from stileloft.rebuild.token_history import TokenHistory


class SnapshotProvider:
    """Makes snapshots, and stores them in the site's directory if one is configured."""

    def __init__(
        self, environment: RebuildEnvironment, store: StoreStatus, tokens: TokenHistory, replicas: LocalReplicas
    ) -> None:
        self._member = environment.member
        self._store = store
        self._tokens = tokens
        self._replicas = replicas
        self._pieces: list[bytes] = []
        path = environment.feature.directory
        self._directory = None if path is None else SnapshotDirectory(path, environment.member)

    def snapshot(self) -> Snapshot:
        """Returns a snapshot of the replica in use."""
        holder = Holder(
            self._member,
            self._store.deployment,
            self._tokens.last_term_token,
            self._tokens.last_term_generation,
            self._tokens.highest,
        )
        return Snapshot(holder, self._replicas.current)

    def piece(self, number: int) -> bytes | None:
        """Returns an encoded piece, or None if the snapshot has fewer; a request for piece 0 makes a new snapshot."""
        if number == 0 or not self._pieces:
            self._pieces = to_pieces(self.snapshot())
        return self._pieces[number] if number < len(self._pieces) else None

    def load(self) -> None:
        """Loads replica, highest token and identity from the newest snapshot in the directory, if there is one."""
        snapshot = None if self._directory is None else self._directory.load()
        if snapshot is None:
            return
        holder, replica = snapshot.holder, snapshot.replica
        self._replicas.current = replica
        self._tokens.highest = holder.highest_token
        self._store.identity = Identity(holder.deployment, max(FIRST_GENERATION, replica.generation))

    def save(self) -> None:
        """Writes a snapshot to the directory, if one is configured, the store is sound and the replica complete."""
        if self._directory is not None and self._store.phase is StorePhase.SOUND and self._replicas.current.complete:
            self._directory.save(self.snapshot())
