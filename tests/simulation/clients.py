"""The simulated HTTP client of the controllers."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import defer

from stileloft.protocol import messages
from stileloft.protocol.peers import CHANGE_NOTICE_PATH, SNAPSHOT_PATH
from stileloft.transport.client import ConnectionFailedError, NoResponseError, Reply
from tests.versions import Version

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster


def peer_reply(peer: Any, version: Version, path: str, body: Any) -> Reply:
    """Returns a controller's reply to a request of a peer, in the form of the controller's version."""
    if path == CHANGE_NOTICE_PATH:
        receive_change_notice = version.attribute(peer, "receive_change_notice")
        return Reply(200 if receive_change_notice(body) else 400, None)
    if path.startswith(SNAPSHOT_PATH):
        piece = peer.snapshot_piece(int(path[len(SNAPSHOT_PATH) :]))
        return Reply(404, None) if piece is None else Reply(200, {"piece": piece.decode()})
    return Reply(200, msgspec.to_builtins(peer.view()))


class SimulatedClient:
    """Replaces the pooled HTTP client of a controller; bodies are encoded and decoded as in production."""

    def __init__(
        self,
        cluster: "SimulatedCluster",
        name: str,
        process: int,
        idle_s: float = 60.0,
        keep_alive: Callable[[], bool] = lambda: True,
        keep: Callable[[], bool] | None = None,
        **_: Any,
    ) -> None:
        # Earlier versions name the argument `keep`.
        self.keep_alive = keep_alive if keep is None else keep
        self.cluster, self.name, self.process, self.idle_s = cluster, name, process, idle_s

    async def request(  # noqa: C901 - one case a target
        self,
        method: str,
        address: str,
        path: str,
        body: Any,
        timeout_s: float,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Reply:
        cluster = self.cluster
        target = {"10.9.0.1:1": "state", "10.9.0.2:1": "cloud"}.get(address, address.partition(":")[0])
        if address.endswith(":8081"):
            target = cluster.names[int(address.split(":")[0].split(".")[-1])]
        version = cluster.versions[self.name]
        if cluster.processes[self.name] != self.process:
            await defer.Deferred()  # never fires: the process has ended
        received_body = messages.decode(messages.encode(body)) if body is not None else None

        def handle_request() -> Any:
            if target == "state":
                return cluster.state.receive(self.name, method, path, received_body)
            if target == "cloud":
                return cluster.cloud.handle(self.name, method, path, received_body)
            if target in cluster.names:
                peer, peer_version = cluster.nodes[target], cluster.versions[target]
                if peer is None or cluster.now < cluster.peers_refuse_until:
                    raise ConnectionFailedError("no process, or a filter")
                resources = peer_version.peer_resources(peer)
                return cluster.deliver_to_node(target, lambda: peer_reply(resources, peer_version, path, received_body))
            machine = cluster.all_machines[target]
            if machine.gone or not machine.up:
                raise NoResponseError("silence")
            return machine.command(received_body)

        if not is_wanted():
            raise version.connection_failed("withdrawn before it was sent")
        keep_alive = self.keep_alive()
        connections = cluster.connections[self.name]
        connections[address] = math.inf
        delays = cluster.message_delay_s(target, received_body) if target in cluster.all_machines else (0.0, 0.0)
        pending_reply = cluster.send(self.name, target, handle_request, delays)
        timer = cluster.clock.callLater(timeout_s, cluster.run_in_process, self.name, pending_reply.cancel)
        try:
            reply = await pending_reply
        except ConnectionFailedError as error:
            raise version.connection_failed(str(error)) from None
        except NoResponseError as error:
            raise version.no_response(str(error)) from None
        except defer.CancelledError:
            raise version.no_response("timeout") from None
        finally:
            if timer.active():
                timer.cancel()
            connections[address] = cluster.now + self.idle_s if keep_alive else 0.0
        if cluster.processes[self.name] != self.process:
            await defer.Deferred()
        reply_body = messages.decode(messages.encode(reply.body)) if reply.body is not None else None
        return Reply(reply.status, reply_body)
