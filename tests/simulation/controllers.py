"""The controllers' processes: starts, ends, standing still, and the reports that come to them."""

import contextlib
import math
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from stileloft.model.records import split_task
from stileloft.protocol import messages
from stileloft.protocol.users import HEARTBEAT_PATH
from stileloft.transport.client import ConnectionFailedError, NoResponseError, Reply
from tests.simulation.clients import SimulatedClient
from tests.simulation.deployment import SETTINGS
from tests.simulation.gangs import Gang
from tests.simulation.processes import Process
from tests.versions import CURRENT, Version

# How often connections that were given up are cleared away.
PRUNE_S = 0.05


class Controllers:
    """The part of the world that runs nodes."""

    CLIENT_CLASS = SimulatedClient
    """What nodes have in place of the pooled HTTP client."""

    def init_connections(self) -> None:
        """Before any node has started."""
        self.connections: dict[str, dict[str, float]] = {name: {} for name in self.names}
        """Connections that each node has made, and until when they are kept."""
        self.pruned_at = dict.fromkeys(self.names, 0.0)
        self.heartbeat_connections: dict[str, set[str]] = {name: set() for name in self.names}
        """Machines that have a connection open to each node for their reports."""
        self.max_sockets = math.inf
        """A node with so many sockets takes no further connection for reports."""

    def settings(self, name: str) -> str:
        number = self.names.index(name)
        peers = "".join(
            f'[[peers]]\nmember = "{other}"\nsite = "a"\naddress = "10.0.0.{i}:8081"\n'
            for i, other in enumerate(self.names)
            if other != name
        )
        upcoming_limits = "".join(f"next.{limit} = {value}\n" for limit, value in self.upcoming_limits.items())
        return SETTINGS.format(
            n=number, zone="a" if number else "b", peers=peers, value_kb=self.value_kb, upcoming_limits=upcoming_limits
        )

    def apply_upcoming_limits(self) -> None:
        """The limits that were announced come into force."""
        self.state.value_bytes = int(self.upcoming_limits["value_kb"] * 1024)
        self.state.txn_ops = int(self.upcoming_limits["txn_ops"])

    def gang_of(self, task_name: str, attempt: int) -> Gang | None:
        return self.gangs.get((split_task(task_name)[0], attempt))

    def start(self, name: str) -> None:
        self.processes[name] += 1
        number = self.processes[name]
        process = Process(self, name, number)
        version = self.versions[name]
        node = version.controller_class(
            process,
            version.parse_settings(self.settings(name)),
            lambda: self.now + 1000.0,
            lambda *_, **options: self.CLIENT_CLASS(self, name, number, **options),
            **({"features": self.features[name]} if version is CURRENT and self.features[name] else {}),
        )
        node.in_thread = lambda function, *arguments: defer.maybeDeferred(function, *arguments)  # type: ignore
        node.nonce = f"{name}-{number}"
        node.election._nonce = node.nonce
        elected = node.election._on_elected

        def on_elected(token: int) -> None:
            elected(token)
            self.new_leader(name)

        node.election._on_elected = on_elected
        self.nodes[name] = node
        node.begin()

    def sockets(self, name: str) -> int:
        """Connections that a node has open: those of the workers that report to it, and its own."""
        made = self.connections[name]
        if self.now - self.pruned_at[name] >= PRUNE_S:
            self.pruned_at[name] = self.now
            for address in [address for address, until in made.items() if until < self.now]:
                del made[address]
        return len(made) + len(self.heartbeat_connections[name])

    def keeps_heartbeat_connection(self, name: str) -> bool:
        """Whether a node leaves a worker's connection open after its answer; the versions before always do."""
        keep = getattr(self.nodes[name], "keep_request_connection", None)
        return keep is None or keep(HEARTBEAT_PATH)

    def kill(self, name: str, restart_after_s: float | None = 5.0, version: Version | None = None) -> None:
        """Ends a process; it comes back as it was, or as another version."""
        self.processes[name] += 1
        self.versions[name] = version or self.versions[name]
        self.frozen_until.pop(name, None)
        self.connections[name] = {}
        for machine in list(self.heartbeat_connections[name]):
            self.all_machines[machine].disconnect()
        self.nodes[name] = None
        if restart_after_s is not None:
            self.clock.callLater(restart_after_s, self.start, name)

    def freeze(self, name: str, seconds: float) -> None:
        """The process stands still while its clocks run on; then all that was due meanwhile comes at once."""
        self.frozen_until[name] = self.now + seconds

    def run_in_process(self, name: str, function: Callable[..., Any], *arguments: Any) -> None:
        """Calls a function of a process, or has it called when the process goes on."""
        number = self.processes[name]
        wait = self.frozen_until.get(name, 0.0) - self.now
        if wait <= 0:
            function(*arguments)
            return

        def later() -> None:
            if self.processes[name] == number:
                self.run_in_process(name, function, *arguments)

        self.clock.callLater(wait + self.random.uniform(0.0, 0.005), later)

    def leader(self) -> str | None:
        return next((name for name, node in self.nodes.items() if node is not None and self._leads(name, node)), None)

    def _leads(self, name: str, node: Any) -> bool:
        holds_lease: Callable[[], bool] = self.versions[name].attribute(node.election, "holds_lease")
        return holds_lease()

    def deliver_to_node(self, name: str, work: Callable[[], Any]) -> Any:
        """A request that came to a process: a frozen one takes it up when it goes on."""
        if self.frozen_until.get(name, 0.0) <= self.now:
            return work()
        answered: defer.Deferred = defer.Deferred()

        def later() -> None:
            # Else the connection was reset: nobody waits any more.
            with contextlib.suppress(ConnectionFailedError, NoResponseError):
                answered.callback(work())

        self.run_in_process(name, later)
        return answered

    def deliver_heartbeat(self, name: str, body: Any) -> Reply:
        if self.duplicate_share and self.random.random() < self.duplicate_share:
            # A copy comes late, from seconds to well over a lease, to whatever process is there by then.
            self.clock.callLater(self.random.uniform(1.0, 40.0), self.deliver_duplicate, name, body)
        if self.now < self.keep_heartbeats_until and self.random.random() < 0.1:
            self.kept_heartbeats.append(body)
        node = self.nodes[name]
        if node is None:
            raise ConnectionFailedError("no process")
        answer = self.versions[name].handle_heartbeat(node, body)
        return Reply(answer.status, messages.decode(messages.encode(answer.body)))

    def new_leader(self, name: str) -> None:
        """A leader's first moments: what was kept for it comes to all controllers."""
        for tell in self.leader_listeners:
            tell(name)
        kept, self.kept_heartbeats = self.kept_heartbeats, []
        for body in kept:
            for other in self.names:
                self.clock.callLater(self.random.uniform(0.0, 0.4), self.deliver_duplicate, other, body)

    def deliver_duplicate(self, name: str, body: Any) -> None:
        node = self.nodes[name]
        if node is not None:
            self.versions[name].handle_heartbeat(node, body)
