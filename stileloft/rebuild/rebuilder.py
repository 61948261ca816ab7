"""Writes a lost store's records back: a leader's first work in a store that is being rebuilt."""

import logging
from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import msgspec

from stileloft.machines.worker_leases import EXPIRY_MARGIN_LEASES
from stileloft.model import records
from stileloft.protocol.messages import Heartbeat, command_message, stop_command
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import identity as identities
from stileloft.rebuild.protection import StoreProtection
from stileloft.rebuild.reconstruction import Evidence, Reconstruction, reconstruct
from stileloft.rebuild.replica import Replica
from stileloft.rebuild.replica_merge import Image, merge
from stileloft.rebuild.snapshot import InvalidSnapshotError, Piece, Snapshot, from_pieces, read_piece
from stileloft.store.limits import StoreLimits
from stileloft.store.transaction_batch import MAX_TRANSACTION_BYTES
from stileloft.transport.clock import MAX_CLOCK_DRIFT
from stileloft.transport.server import Answer, retry_later

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller

    pass

log = logging.getLogger(__name__)

RETRY_S = 0.3
# Peers that do not answer are asked again for so long, as a part of the workers' lease.
PEERS_LEASES = 0.25
# A snapshot of more pieces is not read.
MOST_PIECES = 10_000


class Step(StrEnum):
    """How far a rebuild is."""

    REPLICAS = "reading the controllers' replicas"
    REPORTS = "waiting for the workers' reports"
    RECORDS = "writing the records"


class Rebuilder:
    """One attempt to write the records back, by one leader; the next leader begins anew."""

    def __init__(
        self, node: "Controller", protection: StoreProtection, token: int, when_done: Callable[[], None]
    ) -> None:
        self._node = node
        self._state = node.clients.state
        self._protection = protection
        self.token = token
        self._when_done = when_done
        self._limits = StoreLimits(node.settings.deployment.state)
        self._began_at = node.reactor.seconds()
        self.alive = True
        self.step = Step.REPLICAS
        self._image: Image | None = None
        self._reports: dict[str, Heartbeat] = {}
        self._found: dict[str, Snapshot] = {}
        self._awaited = {peer.member for peer in node.settings.peers}
        """Controllers whose replicas have not come."""
        self._versions: dict[str, int] = {}
        self._stored: dict[str, Any] = {}
        """What the store holds, and in which versions."""
        self._written = 0
        self._to_write = 0
        self.transactions = 0

    def stop(self) -> None:
        """Ends the attempt: another leader goes on."""
        self.alive = False

    async def run(self) -> None:
        """Until the records are there, or the leadership is over."""
        while self.alive:
            try:
                await self._rebuild()
                return
            except ConflictError as conflict:
                # Another leads, or the store was lost once more.
                self._protection.suspect()
                self._node.election.suspect(f"a rebuild failed on {conflict}")
                await self._node.sleep(RETRY_S)
            except TooLargeError:
                continue
            except (UnavailableError, UnknownOutcomeError) as error:
                log.info("rebuilding: %s", error)
                await self._node.sleep(RETRY_S)
            except Exception:
                log.exception("rebuilding")
                await self._node.sleep(RETRY_S)

    async def _rebuild(self) -> None:
        if self._image is None:
            self._image = await self._gather()
        if not self._image.leader_heard:
            self.step = Step.REPORTS
            self._image = await self._await_reports(self._image)
        if not self.alive:
            return
        self.step = Step.RECORDS
        present = await self._read_present()
        result = reconstruct(
            Evidence(
                self._image,
                present,
                dict(self._reports),
                frozenset(self._node.features.rebuild.run_once_classes),
                self._node.record_format.first_chunk_size,
            )
        )
        await self._write(result, present)
        await self._finish(result)

    # -- what is known ------------------------------------------------------------

    async def _gather(self) -> Image:
        """The replicas of all controllers that answer."""
        self._found[self._node.settings.member] = self._protection.snapshot()
        until = self._node.reactor.seconds() + PEERS_LEASES * self._node.settings.deployment.workers.lease_s
        while self.alive:
            await self._ask_awaited()
            if not self._awaited or self._node.reactor.seconds() >= until:
                break
            await self._node.sleep(RETRY_S)
        return self._merge()

    async def _ask_awaited(self) -> None:
        """Asks the controllers whose replicas have not come."""
        addresses = {peer.member: peer.address for peer in self._node.settings.peers}
        for member in sorted(self._awaited):
            snapshot = await self._read_snapshot(member, addresses[member])
            if snapshot is not None:
                self._found[member] = snapshot
                self._awaited.discard(member)

    def _merge(self) -> Image:
        identity = self._protection.identity
        if identity is None:
            raise UnavailableError("the store's identity is not known")
        image = merge(self._found.values(), identity.deployment, self._protection.token_at_loss, identity.token_base)
        log.info(
            "the image has %d records and %d ends, of %s; the last leader %s among them",
            len(image.records),
            len(image.ends),
            ", ".join(image.sources) or "nobody",
            "is" if image.leader_heard else "is not",
        )
        return image

    async def _await_reports(self, image: Image) -> Image:
        """Waits until no task runs that no report tells of, unless the last leader can tell of all of them."""
        while self.alive and not image.leader_heard and self._node.reactor.seconds() < self._all_surely_ended_at():
            await self._node.sleep(RETRY_S)
            heard = len(self._found)
            await self._ask_awaited()
            if len(self._found) > heard:
                image = self._image = self._merge()
        return image

    async def _read_snapshot(self, member: str, address: str) -> Snapshot | None:
        """A controller's replica; None if it does not answer, or what it sends can't be used."""
        identity = self._protection.identity
        deployment = None if identity is None else identity.deployment
        pieces: list[Piece] = []
        try:
            while not pieces or len(pieces) < min(pieces[0].pieces, MOST_PIECES):
                data = await self._node.clients.peers.snapshot_piece(address, len(pieces))
                if data is None:
                    return None
                pieces.append(read_piece(data, deployment))
            return from_pieces(pieces)
        except InvalidSnapshotError as error:
            log.error("the replica of %s is passed over: %s", member, error)
            return None

    def _all_surely_ended_at(self) -> float:
        """From then on no task runs that no report tells of: the last leader's answers can't keep it alive any more."""
        lease_s = self._node.settings.deployment.workers.lease_s
        lost_at = self._protection.lost_at or self._began_at
        return lost_at + self._node.renewal_grace_s + lease_s * (1 + EXPIRY_MARGIN_LEASES + 2 * MAX_CLOCK_DRIFT)

    async def _read_present(self) -> dict[str, Any]:
        """What the store holds of what a rebuild writes."""
        found: dict[str, Any] = {}
        self._versions.clear()
        prefixes = (records.ACTIVE, records.TASKS, records.PROVISIONED, records.UNDECIDED, records.FINAL, records.ENDED)
        for prefix in prefixes:
            items, _ = await self._state.scan(prefix)
            for key, value, version in items:
                found[key], self._versions[key] = value, version
        for key in (records.SETTINGS, records.FORMAT):
            item = await self._state.lookup(key)
            if item is not None:
                found[key], self._versions[key] = item
        self._stored = dict(found)
        return found

    # -- writing ------------------------------------------------------------------

    async def _write(self, result: Reconstruction, present: dict[str, Any]) -> None:
        puts = dict(result.puts)
        first = 1 + max((int(key[len(records.ENDED) :]) for key in present if key.startswith(records.ENDED)), default=0)
        for number, value in enumerate(result.new_ends.to_records(self._limits.value_bytes), first):
            puts[f"{records.ENDED}{number:06d}"] = value
        self._written, self._to_write = 0, len(puts) + len(result.deletes)
        for batch, deletes in self._batches(puts, result.deletes):
            await self._commit(batch, deletes)
            self._written += len(batch) + len(deletes)

    def _batches(self, puts: dict[str, Any], deletes: list[str]) -> Iterator[tuple[dict[str, Any], list[str]]]:
        """Transactions within the limits of the store."""
        most = max(1, self._limits.ops)
        batch: dict[str, Any] = {}
        size = 0
        # Ends come first: until they are there, a job that is over would look as if it had never been.
        for key in sorted(puts, key=lambda key: (not key.startswith(records.ENDED), key)):
            length = records.max_compact_bytes(puts[key]) + len(key)
            if batch and (len(batch) >= most or size + length > MAX_TRANSACTION_BYTES):
                yield batch, []
                batch, size = {}, 0
            batch[key] = puts[key]
            size += length
        if batch:
            yield batch, []
        for index in range(0, len(deletes), most):
            yield {}, deletes[index : index + most]

    async def _commit(self, puts: dict[str, Any], deletes: list[str]) -> None:
        """One transaction; it is guarded on each record, so that nothing is overwritten that came meanwhile."""
        changes = len(puts) + len(deletes)
        while not self._node.budgets.leader_writes.try_take(min(changes, self._node.budgets.leader_writes.rate_per_s)):
            await self._node.sleep(RETRY_S / 3)
        if not self.alive:
            raise UnavailableError("the leadership is over")
        guards = self._guards() | {key: self._versions.get(key, 0) for key in (*puts, *deletes)}
        try:
            revision = await self._state.commit(guards, puts, deletes)
        except TooLargeError:
            self._limits.reduce_after_refusal(puts.values(), changes)
            raise
        self.transactions += 1
        for key, value in puts.items():
            self._versions[key] = revision
            self._stored[key] = value
        for key in deletes:
            self._stored.pop(key, None)

    def _guards(self) -> dict[str, int]:
        return {
            records.LEADER: self._node.election.key_version,
            records.IDENTITY: self._protection.identity_version,
        }

    async def _finish(self, result: Reconstruction) -> None:
        """The store is sound again: everybody may believe it."""
        identity = self._protection.identity
        if identity is None or not self.alive:
            return
        sound = msgspec.structs.replace(identity, rebuilding=False, unheard=tuple(sorted(self._awaited)))
        version = await self._state.commit(self._guards(), {records.IDENTITY: identities.to_record(sound)}, [])
        self._protection.rebuilt(sound, version, self.token, self._replica(sound.generation, version))
        log.info(
            "rebuilt in %.1f s and %d transactions: %d jobs running, %d pending, %d ended, %d undecided",
            self._node.reactor.seconds() - self._began_at,
            self.transactions,
            result.running,
            result.pending,
            result.ended,
            len(result.undecided),
        )
        if self.alive:
            self._when_done()

    def _replica(self, generation: int, revision: int) -> Replica:
        """What the store holds now, so that it does not have to be read before it could be lost once more."""
        replica = Replica(generation)
        for key, value in self._stored.items():
            replica.apply(key, value, self._versions[key])
        replica.advance(revision)
        replica.complete = True
        return replica

    # -- workers --------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> Answer:
        """Keeps a worker's tasks alive while the records are written back, and remembers what it reports.

        Nobody can cancel a job meanwhile, so an answer that tells of all jobs known to be over keeps no other alive.
        """
        if heartbeat.token > self.token:
            self._protection.observe_token(heartbeat.token)
            self._protection.suspect()
            self._node.election.suspect(f"{heartbeat.machine} knows token {heartbeat.token}")
            return Answer(421, {})
        if self._image is None or not self._node.election.holds_lease():
            return retry_later(503, "lost records are being rebuilt", 1)
        known = self._reports.get(heartbeat.machine)
        if known is not None and (heartbeat.epoch, heartbeat.sequence) <= (known.epoch, known.sequence):
            return Answer(200, command_message(0, []))  # a late copy: its worker is to drop this
        if heartbeat.token == self.token:
            # Only a worker that has our token can't be told anything by a former leader any more.
            self._reports[heartbeat.machine] = heartbeat
        ends = self._image.ends
        over = [task for task in heartbeat.tasks if ends.get(records.split_task(task.task)[0]) is not None]
        return Answer(200, command_message(self.token, [stop_command(task.task, task.attempt, 0.0) for task in over]))

    def status(self) -> dict[str, Any]:
        """What the administration API shows of it."""
        return {
            "step": str(self.step),
            "running_for_s": round(self._node.reactor.seconds() - self._began_at, 1),
            "awaited": sorted(self._awaited),
            "machines_heard": len(self._reports),
            "written": self._written,
            "to_write": self._to_write,
            "transactions": self.transactions,
        }
