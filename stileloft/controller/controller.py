"""One controller: its clients, servers, election and, while it leads, its term."""

import logging
import os
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
import orjson
from twisted.internet import defer, threads

from stileloft.controller.state_service_check import ServiceCheck
from stileloft.features import Features
from stileloft.jobs.admission import Admission
from stileloft.leadership.election import DRIFT, Election
from stileloft.leadership.invariants import InvariantMonitor
from stileloft.leadership.leader import Leader
from stileloft.machines.fleet import MARGIN_LEASES
from stileloft.model import records
from stileloft.protocol import messages
from stileloft.protocol.admin import AdminResources, OperatorSettings, parse_operator_settings
from stileloft.protocol.admin_errors import InvalidSettingsError, StaleVersionError, TemporarilyUnavailableError
from stileloft.protocol.cloud import CloudClient, CloudError
from stileloft.protocol.messages import Heartbeat, MachineType
from stileloft.protocol.peers import PeerClient, PeerView
from stileloft.protocol.state import (
    CompactedError,
    ConflictError,
    StateClient,
    TokenBucket,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.protocol.users import HEARTBEAT_PATH, PublicResources
from stileloft.protocol.workers import WorkerClient
from stileloft.rebuild import operator_decisions as decisions
from stileloft.settings import Settings, Workers, split_address
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.client import Client
from stileloft.transport.server import Answer, Router, make_site, retry_later
from stileloft.transport.sockets import KEEP_COMMANDS_SHARE, SocketUsage

if TYPE_CHECKING:
    from stileloft.rebuild.service import Rebuild

log = logging.getLogger(__name__)

# A worker drops answers after 4 s, so waiting longer for one of its own has no use.
WORKER_TIMEOUT_S = 4.0
STATE_TIMEOUT_S = 1.5
CLOUD_TIMEOUT_S = 5.0
SETTINGS_WATCH_S = 30.0
PEER_TIMEOUT_S = 1.0
# Machines count as seen by a node for this many report intervals.
VIEW_HEARTBEATS = 4.0
# For so many of the workers' leases it is known which report of a machine was the newest, so that a late
# copy is told from it.
REFERRED_LEASES = 8.0

# The leader's part of the cloud's limit; the other nodes ask for prices, and a former leader may ask a little.
CLOUD_PART = 0.75

# Parts of the state service's limits. With one node down, as the users' part is shared out, they stay below it.
READS_SHARE = 0.3
LEADER_WRITES = 0.7
USER_WRITES = 0.3
# Users come in bursts: with one second's worth a quarter of them was sent away although the part was not used up.
USER_BURST_S = 2.0

# The leader's lease, as a part of the workers'.
LEADER_LEASE = 0.1

# How long leaders answer reports unconfirmed, as a multiple of the workers' lease; less where
# tasks would otherwise outlive the cancellation of their job.
RENEWAL_GRACE_LEASES = 3.0
# A new leader claims machines before their workers have come to it: for so long, in the workers' leases.
CLAIMING_LEASES = 0.5


class Controller:
    """Everything of one process. `connect` makes its clients; tests put stand-ins there."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        wall_clock: Callable[[], float] = time.time,
        connect: Callable[..., Any] = Client,
        features: Features | None = None,
    ) -> None:
        self.features = features or Features()
        self.reactor = reactor
        self.settings = settings
        self.wall_clock = wall_clock
        deployment = settings.deployment
        self.teams = {team.name: team for team in deployment.teams}
        self.types: dict[str, MachineType] = {}
        self.sockets = SocketUsage(reactor, lambda: len(reactor.getReaders()), deployment.quota.max_sockets)
        wire = connect(
            reactor, messages.encode, messages.decode, b"application/cbor", per_host=8, connect_s=2.0, idle_s=60.0
        )
        commands = connect(
            reactor,
            messages.encode,
            messages.decode,
            b"application/cbor",
            per_host=1,
            connect_s=1.0,
            idle_s=60.0,
            keep=self.keep_commands,
        )
        self.state = StateClient(reactor, wire, settings.external.state, STATE_TIMEOUT_S)
        peers = connect(
            reactor, orjson.dumps, orjson.loads, b"application/json", per_host=1, connect_s=PEER_TIMEOUT_S, idle_s=60.0
        )
        self.peers = PeerClient(peers, [peer.address for peer in settings.peers], PEER_TIMEOUT_S)
        self.service_check = ServiceCheck(reactor, self.state, self.peers)
        self.cloud = CloudClient(
            wire, settings.external.cloud, CLOUD_TIMEOUT_S, TokenBucket(reactor, deployment.cloud.rps * CLOUD_PART)
        )
        self.workers = WorkerClient(commands, WORKER_TIMEOUT_S)
        nodes = max(1, deployment.size)
        # One node may be down at any time, and the others then get its users.
        sharing = max(1, nodes - 1)
        least = deployment.state.least()
        read_budget = TokenBucket(reactor, least.rps * READS_SHARE / sharing)
        write_budget = TokenBucket(reactor, max(2.0, least.write_rps * USER_WRITES / sharing), USER_BURST_S)
        self.leader_write_budget = TokenBucket(reactor, least.write_rps * LEADER_WRITES)
        self.format = 0
        """The format in which records may be written, as far as is known; it never goes back."""
        self.format_version = 0
        """The version of the record that says so; 0 before there is one."""
        self.first_chunk_size = records.chunk_size(deployment.state.value_kb)
        """Tasks per chunk of the jobs whose records don't say."""
        self.chunk_size = records.sized_chunk_size(least.value_bytes)
        """The same of new jobs, once their records may say so."""
        self.rebuild = self._rebuild_feature()
        self.integrity = self.rebuild.protection if self.rebuild else StoreIntegrity()
        self.admission = Admission(
            reactor,
            self.state,
            self.teams,
            self,
            read_budget,
            write_budget,
            wall_clock,
            least.value_bytes,
            self.integrity,
        )
        self.admission.on_cancelled = self._cancelled_here
        self.invariants = InvariantMonitor()
        self.nonce = secrets.token_hex(8)
        life_s = deployment.workers.lease_s * LEADER_LEASE
        self.renewal_grace_s = renewal_grace(deployment.workers, life_s)
        self.election = Election(
            reactor, self.state, settings.member, self.nonce, life_s, self._elected, self._deposed, self.integrity
        )
        self.term: Leader | None = None
        self.operator_settings = OperatorSettings()
        self._referred: dict[str, tuple[float, tuple[int, int]]] = {}

    def _rebuild_feature(self) -> "Rebuild | None":
        if not self.features.rebuild.enabled:
            return None
        # Imported here, as its library takes memory that nodes without the feature have no use for.
        from stileloft.rebuild.service import Rebuild

        return Rebuild(self)

    # -- life ---------------------------------------------------------------

    def start(self) -> None:
        self.serve()
        self.begin()

    def begin(self) -> None:
        defer.ensureDeferred(self._catalog_loop())
        defer.ensureDeferred(self._settings_loop())
        defer.ensureDeferred(self._format_loop())
        defer.ensureDeferred(self.service_check.run())
        defer.ensureDeferred(self.election.run())
        if self.rebuild is not None:
            self.rebuild.run()

    def serve(self) -> None:
        public = PublicResources(self.admission, self.handle_heartbeat, self.healthy)
        self._listen(
            self.settings.listen,
            Router(
                public.match,
                messages.encode,
                messages.decode,
                "application/cbor",
                keep=self.keep_request,
            ),
        )
        admin = AdminResources(self)
        self._listen(self.settings.peer_bind, Router(admin.match, orjson.dumps, _orjson_loads, "application/json"))
        log.info("%s serving on %s, process %d", self.settings.member, self.settings.listen, os.getpid())

    def _listen(self, address: str, router: Router) -> None:
        host, port = split_address(address)
        idle_s = 4 * self.settings.deployment.workers.lease_s
        # All workers may come at once, to a new leader or after a restart, and are taken in within moments. While
        # the process stands still those that wait fill up, and the rest is wanted for its own when it goes on.
        backlog = self.settings.deployment.quota.max_sockets // 4
        self.reactor.listenTCP(port, make_site(router, idle_s), interface=host, backlog=backlog)

    async def _catalog_loop(self) -> None:
        """Machine types, with the prices of the moment."""
        while True:
            pause = 30.0 if self.types else 1.0
            try:
                self.types = {kind.name: kind for kind in await self.cloud.machine_types()}
                pause = 30.0
            except CloudError as error:
                log.debug("machine types: %s", error)
            except Exception:
                log.exception("machine types")
            await self.sleep(pause)

    async def _settings_loop(self) -> None:
        """The operators' settings, as they change."""
        while True:
            try:
                settings, version = await self.read_settings()
                if self.integrity.is_sound():
                    self.operator_settings = settings
                await self.state.watch(records.SETTINGS, version or 1, SETTINGS_WATCH_S)
            except (TemporarilyUnavailableError, UnavailableError, UnknownOutcomeError, CompactedError):
                await self.sleep(SETTINGS_WATCH_S / 10)
            except Exception:
                log.exception("operators' settings")
                await self.sleep(SETTINGS_WATCH_S / 10)

    async def _format_loop(self) -> None:
        """Learns that records may be written in the newest format, which is for good."""
        while self.format < records.NEWEST_FORMAT:
            try:
                found = await self.state.get(records.FORMAT)
                if found is not None:
                    self.take_format(found[0]["format"], found[1])
                if self.format < records.NEWEST_FORMAT:
                    since = self.state.revision if found is None else found[1]
                    await self.state.watch(records.FORMAT, since, SETTINGS_WATCH_S)
            except (UnavailableError, UnknownOutcomeError, CompactedError):
                await self.sleep(SETTINGS_WATCH_S / 10)
            except Exception:
                log.exception("format of the records")
                await self.sleep(SETTINGS_WATCH_S / 10)

    def take_format(self, number: int, version: int) -> None:
        """Takes note of the stored format, and of the version of its record."""
        self.format_version = max(self.format_version, version)
        if number > self.format:
            log.info("records are written in format %d from now on", number)
            self.format = number
            if self.term is not None:
                self.term.upgrade.format_changed()

    def sleep(self, seconds: float) -> defer.Deferred[None]:
        done: defer.Deferred[None] = defer.Deferred()
        self.reactor.callLater(seconds, done.callback, None)
        return done

    def in_thread(self, function: Any, *arguments: Any) -> defer.Deferred[Any]:
        return threads.deferToThread(function, *arguments)

    def healthy(self) -> bool:
        return bool(self.types) and not self.service_check.refused

    def keep_request(self, path: str) -> bool:
        """Whether a connection on which something was asked here is kept once that is answered."""
        if path != HEARTBEAT_PATH:
            return self.sockets.keeps_users()
        # Workers leave a node that does not lead by themselves.
        return self.term is None or self.sockets.keeps_heartbeats(len(self.term.machines))

    def keep_commands(self) -> bool:
        """Whether a connection to a worker is kept once its request is answered."""
        term, deployment = self.term, self.settings.deployment
        if term is not None:
            claiming = self.reactor.seconds() - term.started_at < CLAIMING_LEASES * deployment.workers.lease_s
            if claiming and 2 * len(term.machines) > KEEP_COMMANDS_SHARE * deployment.quota.max_sockets:
                return False  # the sockets will be wanted by the workers themselves
        return self.sockets.keeps_commands()

    # -- leadership -----------------------------------------------------------

    def _elected(self, token: int) -> None:
        if self.rebuild is not None and self.integrity.is_rebuilding():
            self.rebuild.begin(token)
        else:
            self.begin_term(token)

    def begin_term(self, token: int) -> None:
        """Leads, in a store whose records are all there."""
        self.term = Leader(self, token, self.election.key_version)
        self.term.begin()

    def forget_versions(self) -> None:
        """The store was rebuilt: its records have other versions now."""
        self.format_version = 0

    def _deposed(self, _reason: str) -> None:
        if self.rebuild is not None:
            self.rebuild.stop()
        if self.term is not None:
            self.term.finish()
            self.term = None

    def _cancelled_here(self, job: str, revision: int) -> None:
        """A user of this node has cancelled a job: as the leader we know it from now on, not with the next watch."""
        if self.term is not None:
            self.term.watch.on_change(job, None, revision)

    def handle_heartbeat(self, report: Heartbeat) -> Answer:
        """A worker's report: answered by the leader, referred to it by the others."""
        self.integrity.observe_token(report.token)
        if self.rebuild is not None and self.rebuild.rebuilder is not None:
            return self.rebuild.rebuilder.on_heartbeat(report)
        term = self.term
        if term is not None and term.tokens.is_later(report.token):
            self.election.suspect(f"{report.machine} knows token {report.token}")
            term = None
        if term is None:
            self._refer(report)
            leader = self.election.leader_member
            if leader is not None and leader != self.settings.member:
                return Answer(421, {"steward": leader})
            return Answer(421, {})
        if not term.may_renew():
            term.on_unanswered_heartbeat(report)
            return retry_later(503, "leadership is not confirmed, or cancellations are not known", 1)
        return Answer(200, term.on_heartbeat(report))

    def _refer(self, report: Heartbeat) -> None:
        """Remembers which machines still look for the leader. A late copy of a report says nothing of that."""
        newest = (report.epoch, report.sequence)
        if newest <= self._referred.get(report.machine, (0.0, (0, 0)))[1]:
            return
        now = self.reactor.seconds()
        self._referred.pop(report.machine, None)
        self._referred[report.machine] = now, newest
        # Kept as long as a late copy may come, however many machines there are; the oldest come first.
        oldest = next(iter(self._referred))
        if now - self._referred[oldest][0] > REFERRED_LEASES * self.settings.deployment.workers.lease_s:
            del self._referred[oldest]

    # -- administration ---------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """What an operator may ask of this node."""
        answer: dict[str, Any] = {
            "member": self.settings.member,
            "role": "leader" if self.election.leading else "standby",
            "leader": self.election.leader_member,
            "token": self.election.token,
            "served": self.service_check.served(),
            "confirmed": self.election.holds_lease(),
            "machine_types": sorted(self.types),
            "settings": msgspec.to_builtins(self.operator_settings),
            "invariants": self.invariants.status(),
            "budgets": {"leader_writes": round(self.leader_write_budget.level(), 1)},
        }
        if self.rebuild is not None:
            answer["features"] = {"rebuild": msgspec.to_builtins(self.features.rebuild)}
            answer["rebuild"] = self.rebuild.status()
        if self.term is not None:
            answer["term"] = self.term.status()
        return answer

    def rebuild_status(self) -> dict[str, Any] | None:
        """What is known of the store and of a rebuild; None without the feature."""
        return None if self.rebuild is None else self.rebuild.status()

    def snapshot_piece(self, number: int) -> bytes | None:
        """A piece of this node's replica of the store, for a peer that rebuilds it."""
        return None if self.rebuild is None else self.rebuild.protection.piece(number)

    def take_notes(self, body: Any) -> bool:
        """Takes in what a peer has just told its users; whether it could be read."""
        return self.rebuild is not None and self.rebuild.take_notes(body)

    async def decide(self, job: str, task: int | None, decision: str) -> dict[str, Any] | None:
        """Takes an operator's word on undecided tasks; None if the job has none."""
        return None if self.rebuild is None else await decisions.decide(self, job, task, decision)

    def view(self) -> PeerView:
        """What this node sees, for a peer that doubts its own view."""
        now = self.reactor.seconds()
        recent = now - VIEW_HEARTBEATS * self.settings.deployment.workers.heartbeat_s
        return PeerView(
            min(now - self.state.served_at, 1e9),
            {machine: newest for machine, (at, newest) in self._referred.items() if at > recent},
            self.settings.member,
            records.NEWEST_FORMAT,
            protects=self.rebuild is not None,
            deployment=self.rebuild.protection.deployment if self.rebuild else "",
            highest_token=self.rebuild.protection.highest_token if self.rebuild else 0,
        )

    async def read_settings(self) -> tuple[OperatorSettings, int]:
        """The operators' settings in the store, and their version (0: never set)."""
        try:
            found = await self.state.get(records.SETTINGS)
        except (UnavailableError, UnknownOutcomeError) as error:
            raise TemporarilyUnavailableError(f"state service: {error}") from None
        if found is None:
            return OperatorSettings(), 0
        try:
            return parse_operator_settings(found[0]), found[1]
        except InvalidSettingsError as error:
            # Written by another version of the program: its own defaults are safer than a guess.
            log.error("the stored settings cannot be used: %s", error)
            return OperatorSettings(), found[1]

    async def change_settings(self, settings: OperatorSettings, version: int) -> int:
        if not self.integrity.is_sound():
            raise TemporarilyUnavailableError("lost records are being rebuilt")
        guards = {records.SETTINGS: version, **self.integrity.guards()}
        puts = {records.SETTINGS: msgspec.to_builtins(settings)}
        try:
            changed = await self.state.commit(guards, puts, [])
            self.integrity.record_commit(puts, [], changed)
        except ConflictError:
            raise StaleVersionError from None
        except (UnavailableError, UnknownOutcomeError) as error:
            raise TemporarilyUnavailableError(f"state service: {error}") from None
        log.info("operators' settings changed: %s", settings)
        self.operator_settings = settings
        return changed


def renewal_grace(workers: Workers, life_s: float) -> float:
    """How long a leader may answer reports without knowing that it still leads, or what users cancel.

    The earliest cancellation that it may not know of is confirmed when it last knew of all (`JobWatch.informed_at`).
    A worker counts its lease from when it sent the report, which is before the answer. So what an answer keeps
    alive is gone after this grace and one lease, with what clocks and their checks may add; that must be within
    the time for a cancellation. A lease of the leader and a time-out of the state service are left as a reserve.
    """
    latest = workers.cancel_s - workers.lease_s * (1 + MARGIN_LEASES + 2 * DRIFT) - life_s - STATE_TIMEOUT_S
    return max(0.0, min(RENEWAL_GRACE_LEASES * workers.lease_s, latest))


def _orjson_loads(data: bytes) -> Any:
    return orjson.loads(data)
