"""One controller process: its clients and servers, the election and, while it leads, the leader."""

import logging
import os
import secrets
import time
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import orjson
from twisted.internet import defer, threads

from stileloft.controller.administration import Administration
from stileloft.controller.budgets import StateBudgets
from stileloft.controller.clients import STATE_TIMEOUT_S, make_clients
from stileloft.controller.heartbeat_referrals import HeartbeatReferrals
from stileloft.controller.operator_settings import OperatorSettingsStore
from stileloft.controller.state_service_check import StateServiceCheck
from stileloft.features import Features
from stileloft.jobs.admission import Admission
from stileloft.jobs.feasibility import FeasibilityCheck
from stileloft.jobs.user_store import UserStore
from stileloft.leadership.election import Election
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.invariants import InvariantMonitor
from stileloft.leadership.leader import Leader
from stileloft.leadership.leader_environment import LeaderEnvironment
from stileloft.leadership.lease import LeaderLease
from stileloft.leadership.renewal_grace import renewal_grace
from stileloft.machines.catalog import MachineCatalog
from stileloft.protocol import messages
from stileloft.protocol.admin import AdminResources
from stileloft.protocol.messages import Heartbeat
from stileloft.protocol.users import HEARTBEAT_PATH, PublicResources
from stileloft.settings import Settings, split_address
from stileloft.store.integrity import StoreIntegrity
from stileloft.store.record_format import RecordFormat
from stileloft.transport import background
from stileloft.transport.client import Client
from stileloft.transport.clock import WallClock
from stileloft.transport.server import Response, Router, make_site, retry_later
from stileloft.transport.sockets import KEEP_COMMANDS_SHARE, SocketUsage
from stileloft.transport.timers import sleep

if TYPE_CHECKING:
    from stileloft.rebuild.service import RebuildService

log = logging.getLogger(__name__)

LEADER_LEASE_FRACTION = 0.1
"""The leader's lease, as a fraction of the workers' lease."""
CLAIMING_LEASES = 0.5
"""How long a new leader claims machines whose workers do not have its token yet, in worker leases."""
IDLE_TIMEOUT_LEASES = 4
"""How long unused connections to the servers are kept open, in worker leases."""
BACKLOG_DIVISOR = 4
"""The listen backlog is the limit on sockets divided by this number."""


class Controller:
    """The clients, servers and background work of one process."""

    def __init__(
        self,
        reactor: Any,
        settings: Settings,
        wall_clock: WallClock = time.time,
        connect: Callable[..., Any] = Client,
        features: Features | None = None,
    ) -> None:
        """`connect` creates a pooled HTTP client, which tests replace by a fake."""
        self.features = features or Features()
        self.reactor = reactor
        self.settings = settings
        self.wall_clock = wall_clock
        self.nonce = secrets.token_hex(8)
        """Distinguishes this process from others that ran as the same member."""
        self.leader: Leader | None = None
        self.invariants = InvariantMonitor()
        timings = settings.deployment.workers
        self._leader_lease_s = timings.lease_s * LEADER_LEASE_FRACTION
        self.renewal_grace_s = renewal_grace(timings, self._leader_lease_s, STATE_TIMEOUT_S)
        self._build_clients(connect)
        self._build_store()
        self._build_election()
        self._build_servers()

    # -- composition ------------------------------------------------------------------

    def _build_clients(self, connect: Callable[..., Any]) -> None:
        """Builds the clients, and the limits on their requests and sockets."""
        deployment = self.settings.deployment
        self.sockets = SocketUsage(self.reactor, lambda: len(self.reactor.getReaders()), deployment.quota.max_sockets)
        self.clients = make_clients(self.reactor, self.settings, connect, self.keep_worker_connection)
        self.budgets = StateBudgets.from_deployment(deployment, self.reactor)
        self.catalog = MachineCatalog(self.clients.cloud, self.reactor)
        self.state_service_check = StateServiceCheck(self.reactor, self.clients.state, self.clients.peers)
        self.referrals = HeartbeatReferrals(self.reactor, deployment.workers)

    def _build_store(self) -> None:
        """Builds the components that follow the store's records, and those that serve users' requests."""
        deployment = self.settings.deployment
        self.record_format = RecordFormat(deployment.state)
        self.record_format.on_advance = self._on_format_advance
        self.rebuild = self._rebuild_feature()
        self.integrity: StoreIntegrity = self.rebuild.protection if self.rebuild else StoreIntegrity()
        self.operator_settings = OperatorSettingsStore(self.clients.state, self.integrity, self.reactor)
        teams = {team.name: team for team in deployment.teams}
        self.admission = Admission(
            UserStore(self.clients.state, self.integrity, self.budgets.user_reads, self.budgets.user_writes),
            FeasibilityCheck(teams, self.catalog, deployment.state.strictest().value_bytes),
            self.record_format,
            self.reactor,
            self.wall_clock,
            self._on_local_cancellation,
        )

    def _rebuild_feature(self) -> "RebuildService | None":
        if not self.features.rebuild.enabled:
            return None
        # These imports stand here because they load pyroaring, which takes memory that controllers without the feature
        # do not need.
        from stileloft.rebuild.environment import RebuildEnvironment
        from stileloft.rebuild.service import RebuildService

        return RebuildService(
            RebuildEnvironment(
                clock=self.reactor,
                sleep=self.sleep,
                settings=self.settings,
                feature=self.features.rebuild,
                state=self.clients.state,
                peers=self.clients.peers,
                cloud=self.clients.cloud,
                leader_write_budget=self.budgets.leader_writes,
                leadership=lambda: self.election,
                legacy_chunk_size=self.record_format.legacy_chunk_size,
                renewal_grace_s=self.renewal_grace_s,
                forget_record_versions=self.record_format.reset_record_version,
                begin_leading=self.begin_leading,
            )
        )

    def _build_election(self) -> None:
        self.election = Election(
            self.reactor,
            self.clients.state,
            self.settings.member,
            self.nonce,
            self._leader_lease_s,
            self._on_elected,
            self._on_deposed,
            self.integrity,
        )

    def _build_servers(self) -> None:
        self.administration = Administration(
            self.settings.member,
            self.reactor,
            self.features,
            self.election,
            self.clients,
            self.catalog,
            self.operator_settings,
            self.referrals,
            self.state_service_check,
            self.invariants,
            self.budgets,
            self.rebuild,
            lambda: None if self.leader is None else self.leader.status(),
        )

    # -- lifecycle --------------------------------------------------------------------

    def start(self) -> None:
        """Starts the servers and the background work."""
        self.serve()
        self.begin()

    def begin(self) -> None:
        """Starts the background work: watches of the store and the cloud, and the election."""
        background.start("machine types", self.catalog.run())
        background.start("operator settings", self.operator_settings.run())
        background.start("record format", self.record_format.follow(self.clients.state, self.reactor))
        background.start("state service check", self.state_service_check.run())
        background.start("election", self.election.run())
        if self.rebuild is not None:
            self.rebuild.start()

    def serve(self) -> None:
        """Listens on the public address and on the peer address."""
        public = PublicResources(self.admission, self.handle_heartbeat, self.healthy)
        self._listen(
            self.settings.listen,
            Router(
                public.match,
                messages.encode,
                messages.decode,
                "application/cbor",
                keep_alive=self.keep_request_connection,
            ),
        )
        admin = AdminResources(self.administration)
        self._listen(self.settings.peer_bind, Router(admin.match, orjson.dumps, orjson.loads, "application/json"))
        log.info("serving member=%s address=%s process=%d", self.settings.member, self.settings.listen, os.getpid())

    def _listen(self, address: str, router: Router) -> None:
        host, port = split_address(address)
        idle_s = IDLE_TIMEOUT_LEASES * self.settings.deployment.workers.lease_s
        # All workers may connect at once, to a new leader or after a restart, and are accepted within moments. While
        # the process is paused the backlog fills up, and the process needs the other sockets for its own connections
        # when it resumes.
        backlog = self.settings.deployment.quota.max_sockets // BACKLOG_DIVISOR
        self.reactor.listenTCP(port, make_site(router, idle_s), interface=host, backlog=backlog)

    def sleep(self, seconds: float) -> defer.Deferred[None]:
        """Returns a Deferred that fires after this time on the controller's clock."""
        return sleep(self.reactor, seconds)

    def in_thread(self, function: Callable[..., Any], *arguments: Any) -> defer.Deferred[Any]:
        """Calls a function in a thread of the reactor's pool."""
        return threads.deferToThread(function, *arguments)

    # -- connections --------------------------------------------------------------------

    def healthy(self) -> bool:
        """Whether the load balancer should send users to this controller."""
        return bool(self.catalog.types) and not self.state_service_check.is_refused

    def keep_request_connection(self, path: str) -> bool:
        """Whether an incoming connection is kept open after a request to `path` is answered."""
        if path != HEARTBEAT_PATH:
            return self.sockets.keeps_user_connections()
        # Workers themselves disconnect from a controller that does not lead.
        return self.leader is None or self.sockets.keeps_heartbeat_connections(len(self.leader.cluster.machines))

    def keep_worker_connection(self) -> bool:
        """Whether a connection to a worker is kept open after its request is answered."""
        leader, deployment = self.leader, self.settings.deployment
        if leader is not None:
            leading_s = self.reactor.seconds() - leader.lease.began_at
            is_claiming = leading_s < CLAIMING_LEASES * deployment.workers.lease_s
            if is_claiming and 2 * len(leader.cluster.machines) > KEEP_COMMANDS_SHARE * deployment.quota.max_sockets:
                return False  # the workers' own connections will need the sockets
        return self.sockets.keeps_worker_connections()

    # -- leadership ---------------------------------------------------------------------

    def _on_elected(self, token: int) -> None:
        if self.rebuild is not None and self.integrity.is_rebuilding():
            self.rebuild.begin_rebuild(token)
        else:
            self.begin_leading(token)

    def begin_leading(self, token: int) -> None:
        """Starts to lead, with a store that has all its records."""
        lease = LeaderLease(self.election, self.reactor, self.renewal_grace_s)
        tokens = FencingTokens(token, self.election.key_version)
        self.leader = Leader(self._leader_environment(), lease, tokens)
        self.leader.begin()

    def _leader_environment(self) -> LeaderEnvironment:
        return LeaderEnvironment(
            settings=self.settings,
            clock=self.reactor,
            wall_clock=self.wall_clock,
            state=self.clients.state,
            cloud=self.clients.cloud,
            workers=self.clients.workers,
            peers=self.clients.peers,
            write_budget=self.budgets.leader_writes,
            catalog=self.catalog,
            record_format=self.record_format,
            integrity=self.integrity,
            invariants=self.invariants,
            operator_settings=lambda: self.operator_settings.current,
            run_in_thread=lambda function, *arguments: self.in_thread(function, *arguments),
            nonce=self.nonce,
        )

    def _on_deposed(self, _reason: str) -> None:
        if self.rebuild is not None:
            self.rebuild.stop_rebuild()
        if self.leader is not None:
            self.leader.end()
            self.leader = None

    def _on_format_advance(self) -> None:
        if self.leader is not None:
            self.leader.upgrade.on_format_advanced()

    def _on_local_cancellation(self, job: str, revision: int) -> None:
        """If this controller leads, applies a cancellation that this controller stored; does not wait for the watch."""
        if self.leader is not None:
            self.leader.watch.on_change(job, None, revision)

    def handle_heartbeat(self, heartbeat: Heartbeat) -> Response:
        """Answers a worker's heartbeat if this controller leads; otherwise refers the worker to the leader."""
        self.integrity.observe_token(heartbeat.token)
        answer = None if self.rebuild is None else self.rebuild.on_heartbeat(heartbeat)
        if answer is not None:
            return answer
        leader = self.leader
        if leader is not None and leader.tokens.is_from_successor(heartbeat.token):
            self.election.suspect(f"machine {heartbeat.machine} has later token {heartbeat.token}")
            leader = None
        if leader is None:
            return self._refer_to_leader(heartbeat)
        if not leader.may_renew_worker_leases():
            leader.on_unanswered_heartbeat(heartbeat)
            return retry_later(503, "leadership is not confirmed, or cancellations are not known", 1)
        return Response(200, leader.on_heartbeat(heartbeat))

    def _refer_to_leader(self, heartbeat: Heartbeat) -> Response:
        self.referrals.record(heartbeat)
        member = self.election.leader_member
        if member is not None and member != self.settings.member:
            return Response(421, {"steward": member})
        return Response(421, {})
