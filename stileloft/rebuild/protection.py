"""Notices that the state service has lost records, and says what may be believed and written meanwhile."""

import logging
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import msgspec

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.protocol.state import ConflictError, StoreLostError, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import identity as identities
from stileloft.rebuild import unresolved_tasks as undecided
from stileloft.rebuild.change_broadcast import Notes, PeerNotes, take_in
from stileloft.rebuild.identity import Identity, InvalidIdentityError
from stileloft.rebuild.replica import Replica
from stileloft.rebuild.snapshot import Holder, Snapshot, to_pieces
from stileloft.rebuild.snapshot_directory import SnapshotDirectory
from stileloft.store.integrity import StoreIntegrity

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller

    pass

log = logging.getLogger(__name__)

# How often it is looked again while it is not known whether the store is sound.
LOOK_S = 0.25
# A store without an identity and without other records is taken for a new one after this part of a worker's lease, if
# not all other controllers can be asked.
NEW_STORE_LEASES = 0.5
# Tokens that nobody tells of may have been given out before a loss: the new ones begin so far above the highest known.
TOKEN_MARGIN = 1 << 20
# How often the leader of a store without an identity asks whether all controllers protect it by now.
PROTECT_S = 1.0


class Phase(StrEnum):
    """What is known of the store."""

    STARTING = "starting"
    """It was not asked yet, or it may have lost everything before this process began."""
    UNPROTECTED = "unprotected"
    """It has no identity: not all controllers have the feature, or have been heard."""
    SOUND = "sound"
    LOST = "lost"
    """It has gone back, or its identity is gone; nobody writes the records back yet."""
    REBUILDING = "rebuilding"
    """A leader writes the records back."""


class StoreProtection(StoreIntegrity):
    """Tells a store that was lost from one that can't be reached."""

    can_be_lost = True

    def __init__(self, node: "Controller") -> None:
        self._node = node
        self._state = node.clients.state
        self._feature = node.features.rebuild
        self.phase = Phase.STARTING
        self.identity: Identity | None = None
        self.identity_version = 0
        self.replica = Replica()
        """What the store held last while it was sound."""
        self.loading: Replica | None = None
        """The next replica, while all records are read."""
        self.lost_at: float | None = None
        """When the loss was noticed, by this process's clock."""
        self.reason = ""
        """Why the store counts as lost."""
        self.highest_token = 0
        self.token_at_loss = 0
        """The highest that was known when we began to rebuild: the last leader's."""
        self.led_token = self.led_generation = 0
        """The token under which we led last, and the generation of the store then."""
        self._notes = PeerNotes(node)
        self._directory: SnapshotDirectory | None = None
        self._pieces: list[bytes] = []
        self._began_at = node.reactor.seconds()
        self._suspected = False
        self._revision_at_loss = 0
        node.clients.state.on_regress = self._gone_back

    # -- what the other modules ask -----------------------------------------------

    def is_sound(self) -> bool:
        return self.phase in (Phase.UNPROTECTED, Phase.SOUND)

    def may_campaign(self) -> bool:
        return self.phase is not Phase.STARTING

    def is_rebuilding(self) -> bool:
        return self.phase is Phase.REBUILDING

    def guards(self) -> dict[str, int]:
        if self.phase is Phase.SOUND:
            return {records.IDENTITY: self.identity_version}
        if self.phase is Phase.UNPROTECTED:
            return {records.IDENTITY: 0}
        return {}

    async def verify_absence(self) -> None:
        await self.verify()
        if not self.knows_outcomes():
            raise StoreLostError("the rebuilt store was not read yet")
        if self.identity is not None and self.identity.unheard:
            raise StoreLostError(f"it may be known to {', '.join(self.identity.unheard)}, which could not be heard")

    def knows_outcomes(self) -> bool:
        # A rebuild records ends in a form of its own, which is read with the replica.
        if self.identity is None or self.identity.generation == 1:
            return True
        return self.replica.complete and self.replica.generation == self.identity.generation

    def suspect(self) -> None:
        self._suspected = True

    def observe_token(self, token: int) -> None:
        self.highest_token = max(self.highest_token, token)

    def record_raised_token(self, token: int) -> None:
        # After a loss, whoever led under the highest token that is known counts as the last leader.
        self.led_token = max(self.led_token, token)
        self.observe_token(token)

    def record_commit(self, puts: Mapping[str, Any], deletes: Iterable[str], revision: int, told: bool = True) -> None:
        if self.phase is not Phase.SOUND or self.identity is None:
            return
        gone = list(deletes)
        for replica in (self.replica, self.loading):
            if replica is None or replica.generation != self.identity.generation:
                continue
            for key, value in puts.items():
                replica.apply(key, value, revision)
            for key in gone:
                replica.apply(key, None, revision)
        # A leader's placements are found again by the workers' reports; what users were told is not.
        self._notes.add(puts if told else _ends_only(puts), gone, revision)

    def take_notes(self, notes: Notes) -> None:
        """Another controller has changed the store."""
        if self.phase is not Phase.SOUND or notes.deployment != self.deployment:
            return
        for replica in (self.replica, self.loading):
            if replica is not None:
                take_in(notes, replica)

    def outcome_of(self, _job: str) -> JobOutcome | None:
        return self.replica.ends.get(_job)

    def is_unknown_job(self, _job: str) -> bool:
        record = self.replica.records.get(records.UNDECIDED + _job)
        return record is not None and undecided.from_record(record.value()).unknown

    async def verify(self) -> None:
        await self._look()
        if not self.is_sound():
            raise StoreLostError(f"the store is {self.phase}: {self.reason}")

    async def take_leadership(self, version: int) -> int:
        if self.phase in (Phase.LOST, Phase.REBUILDING):
            return await self._begin_rebuild(version)
        base = 0 if self.identity is None else self.identity.token_base
        token = base + version
        if token <= self.highest_token:
            # Tokens are versions of the store, so one that is known and is not lower shows that it has gone back.
            self.declare_lost(f"workers know token {self.highest_token}, and the next one would be {token}")
            raise StoreLostError(self.reason)
        self.led_token = self.highest_token = token
        self.led_generation = 0 if self.identity is None else self.identity.generation
        return token

    # -- what is found out --------------------------------------------------------

    def _gone_back(self, known: int, revision: int) -> None:
        self.declare_lost(f"the store has gone back from revision {known} to {revision}")

    def declare_lost(self, reason: str) -> None:
        """From now on the store is not believed, until a leader has written its records back."""
        if self.phase is not Phase.LOST:
            log.error("the state service has lost records: %s", reason)
            self.phase, self.reason = Phase.LOST, reason
            if self.lost_at is None:
                self.lost_at = self._node.reactor.seconds()
            # Its revisions are compared with those of before no longer.
            self._revision_at_loss = self._state.highest_revision
            self._state.forget_revisions()

    def _take(self, found: tuple[Any, int] | None, revision: int) -> None:
        """Draws the conclusions from the identity's record, as it is at a revision of the store."""
        if found is None:
            if self.identity is not None and self.phase is not Phase.LOST:
                self.declare_lost("its identity is gone")
            return
        try:
            present = identities.from_record(found[0])
        except InvalidIdentityError as error:
            self.declare_lost(f"its identity cannot be read: {error}")
            return
        known = self.identity
        if known is not None and present.deployment != known.deployment:
            self.declare_lost(f"it belongs to another deployment, {present.deployment}")
        elif known is not None and present.generation < known.generation:
            self.declare_lost(f"it is of generation {present.generation}, and {known.generation} was known")
        elif self.phase is Phase.LOST and known == present and revision < self._revision_at_loss:
            return  # an older state of the same store: it has to be rebuilt
        else:
            self._accept(present, found[1])

    def _accept(self, present: Identity, version: int) -> None:
        before, known = self.phase, self.identity
        if known is not None and known.generation != present.generation:
            self._node.record_format.forget_record_version()
            # What is still under way was asked of the store that was lost.
            self._state.forget_revisions()
        self.identity, self.identity_version = present, version
        self.phase = Phase.REBUILDING if present.rebuilding else Phase.SOUND
        if known is None and before is Phase.UNPROTECTED:
            # A term that began before the store had an identity goes on in its first generation.
            self.led_generation = present.generation
        if self.phase is Phase.SOUND:
            self.lost_at, self.reason = None, ""
        if self.phase is not before:
            log.info("the state service is %s, generation %d", self.phase, present.generation)

    def identity_changed(self, value: Any, version: int) -> None:
        """The feed of changes tells of the identity's record."""
        if value is None or version > self.identity_version:
            self._take(None if value is None else (value, version), version)

    async def is_heard(self) -> None:
        """We have told the rebuilt store all that we know of the lost one."""
        identity, member = self.identity, self._node.settings.member
        if identity is None or member not in identity.unheard:
            return
        rest = tuple(other for other in identity.unheard if other != member)
        told = msgspec.structs.replace(identity, unheard=rest)
        puts = {records.IDENTITY: identities.to_record(told)}
        self._accept(told, await self._state.commit(self.guards(), puts, []))

    # -- life -----------------------------------------------------------------------

    async def run(self) -> None:
        """Finds out what the store is, at the start, after a suspicion and while it is lost."""
        self._load_directory()
        while True:
            try:
                if self.phase is Phase.STARTING:
                    await self._look_first()
                elif not self.is_sound() or self._suspected:
                    self._suspected = False
                    await self._look()
                elif self.phase is Phase.UNPROTECTED:
                    await self._protect()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("looking at the store: %s", error)
            except Exception:
                log.exception("looking at the store")
            await self._node.sleep(PROTECT_S if self.phase is Phase.UNPROTECTED else LOOK_S)

    def _load_directory(self) -> None:
        if self._feature.directory is None:
            return
        self._directory = SnapshotDirectory(self._feature.directory, self._node.settings.member)
        snapshot = self._directory.load()
        if snapshot is None:
            return
        self.replica = snapshot.replica
        self.highest_token = snapshot.holder.highest_token
        self.identity = Identity(snapshot.holder.deployment, max(1, snapshot.replica.generation))

    def save(self) -> None:
        """Writes the replica to the site's folder, if it has one."""
        if self._directory is not None and self.phase is Phase.SOUND and self.replica.complete:
            self._directory.save(self.snapshot())

    async def _look_first(self) -> None:
        """A first look: a store without an identity is new, not protected yet, or has lost everything."""
        # Peers are asked first, as they may give the store an identity meanwhile.
        views = await self._node.clients.peers.views()
        found, revision = await self._state.lookup_at(records.IDENTITY)
        known = self.identity
        if found is not None:
            if known is not None and revision < self.replica.revision and self.replica.generation == known.generation:
                self.declare_lost(f"revision {self.replica.revision} was known, and the store is at {revision}")
            self._take(found, revision)
            return
        if known is not None:
            self.declare_lost("its identity is gone")
            return
        told = next((view.deployment for view in views if view.deployment), None)
        if told is not None:
            self.identity = Identity(told)
            self.declare_lost("its identity is gone, and other controllers know it")
        elif self.highest_token > revision:
            self.declare_lost(f"workers know token {self.highest_token}, and the store is at revision {revision}")
        elif await self._holds_records() or self._may_be_new({view.member for view in views}):
            self.phase = Phase.UNPROTECTED
            log.info("the state service has no identity: its loss would not be noticed yet")

    async def _holds_records(self) -> bool:
        items, _ = await self._state.first_items("", 2)
        return any(key != records.LEADER for key, _, _ in items)

    def _may_be_new(self, heard: set[str]) -> bool:
        others = {peer.member for peer in self._node.settings.peers}
        waited_s = self._node.reactor.seconds() - self._began_at
        return heard >= others or waited_s > NEW_STORE_LEASES * self._node.settings.deployment.workers.lease_s

    async def _look(self) -> None:
        """Reads the identity as it is now."""
        self._take(*await self._state.lookup_at(records.IDENTITY))

    async def _protect(self) -> None:
        """Gives the store an identity, once all controllers say that they protect it."""
        await self._look()
        election = self._node.election
        if self.phase is not Phase.UNPROTECTED or not election.holds_lease():
            return
        views = await self._node.clients.peers.views()
        others = {peer.member for peer in self._node.settings.peers}
        if not {view.member for view in views if view.protects} >= others:
            return
        made = identities.new_identity()
        guards = {records.LEADER: election.key_version, records.IDENTITY: 0}
        try:
            version = await self._state.commit(guards, {records.IDENTITY: identities.to_record(made)}, [])
        except ConflictError:
            return
        self._accept(made, version)

    # -- rebuilding -------------------------------------------------------------------

    async def _begin_rebuild(self, version: int) -> int:
        """Marks the store as being rebuilt, and finds a token above all that were ever given out."""
        for view in await self._node.clients.peers.views():
            self.observe_token(view.highest_token)
        found = await self._state.lookup(records.IDENTITY)
        known = self.identity or identities.new_identity()
        present = None if found is None else identities.from_record(found[0])
        if present is not None and present.deployment != known.deployment:
            present = None  # of another deployment: its store was put in place of ours
        generation = max(known.generation, present.generation if present else 0)
        base = max(known.token_base, present.token_base if present else 0)
        self.token_at_loss = max(self.token_at_loss, self.highest_token)
        if not (present is not None and present.rebuilding):
            generation += 1
            base = max(base, self.highest_token) + TOKEN_MARGIN
        elif self.highest_token >= base + version:
            base = self.highest_token + TOKEN_MARGIN
        marked = Identity(known.deployment, generation, base, rebuilding=True)
        guards = {records.LEADER: version, records.IDENTITY: 0 if found is None else found[1]}
        self.identity_version = await self._state.commit(guards, {records.IDENTITY: identities.to_record(marked)}, [])
        self.identity, self.phase = marked, Phase.REBUILDING
        self.highest_token = base + version
        log.info("rebuilding the state service's records, generation %d, token %d", generation, self.highest_token)
        return self.highest_token

    def rebuilt(self, present: Identity, version: int, token: int, replica: Replica) -> None:
        """We have written all records back, and lead with this token; `replica` is what the store holds now."""
        self.led_token, self.led_generation, self.token_at_loss = token, present.generation, 0
        replica.ends.update(self.replica.ends)
        self.replica = replica
        self._accept(present, version)

    # -- what peers and operators ask ---------------------------------------------------

    @property
    def deployment(self) -> str:
        """Whose store it is; empty if that is not known."""
        return "" if self.identity is None else self.identity.deployment

    def snapshot(self) -> Snapshot:
        """The replica, with what this controller knows of the leaders."""
        holder = Holder(
            self._node.settings.member, self.deployment, self.led_token, self.led_generation, self.highest_token
        )
        return Snapshot(holder, self.replica)

    def piece(self, number: int) -> bytes | None:
        """A piece of the snapshot; the first one begins a new snapshot."""
        if number == 0 or not self._pieces:
            self._pieces = to_pieces(self.snapshot())
        return self._pieces[number] if number < len(self._pieces) else None

    def status(self) -> dict[str, Any]:
        now = self._node.reactor.seconds()
        open_jobs = {key[len(records.UNDECIDED) :]: value for key, value in self.replica.values(records.UNDECIDED)}
        return {
            "phase": str(self.phase),
            "reason": self.reason,
            "lost_for_s": None if self.lost_at is None else round(now - self.lost_at, 1),
            "generation": 0 if self.identity is None else self.identity.generation,
            "replica": {
                "complete": self.replica.complete,
                "revision": self.replica.revision,
                "records": len(self.replica.records),
                "ends": len(self.replica.ends),
            },
            "undecided": open_jobs,
        }


def _ends_only(puts: Mapping[str, Any]) -> dict[str, Any]:
    """Of the changes, those that end jobs."""
    return {key: value for key, value in puts.items() if key.startswith(records.FINAL)}
