"""What a controller has in place of the pooled HTTP client."""

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


def ask_peer(peer: Any, version: Version, path: str, sent: Any) -> Reply:
    """What a node of a version answers another one."""
    if path == CHANGE_NOTICE_PATH:
        receive_change_notice = version.attribute(peer, "receive_change_notice")
        return Reply(200 if receive_change_notice(sent) else 400, None)
    if path.startswith(SNAPSHOT_PATH):
        piece = peer.snapshot_piece(int(path[len(SNAPSHOT_PATH) :]))
        return Reply(404, None) if piece is None else Reply(200, {"piece": piece.decode()})
    return Reply(200, msgspec.to_builtins(peer.view()))


class SimulatedClient:
    """What a node has in place of the pooled client; bodies go through the real encoding."""

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
            await defer.Deferred()  # the process is over: nothing goes on in it
        sent = messages.decode(messages.encode(body)) if body is not None else None

        def work() -> Any:
            if target == "state":
                return cluster.state.receive(self.name, method, path, sent)
            if target == "cloud":
                return cluster.cloud.handle(self.name, method, path, sent)
            if target in cluster.names:
                peer, peer_version = cluster.nodes[target], cluster.versions[target]
                if peer is None or cluster.now < cluster.peers_refuse_until:
                    raise ConnectionFailedError("no process, or a filter")
                resources = peer_version.peer_resources(peer)
                return cluster.deliver_to_node(target, lambda: ask_peer(resources, peer_version, path, sent))
            machine = cluster.all_machines[target]
            if machine.gone or not machine.up:
                raise NoResponseError("silence")
            return machine.command(sent)

        if not is_wanted():
            raise version.connection_failed("withdrawn before it was sent")
        keep_alive = self.keep_alive()
        connections = cluster.connections[self.name]
        connections[address] = math.inf
        held = cluster.message_delay_s(target, sent) if target in cluster.all_machines else (0.0, 0.0)
        waiting = cluster.send(self.name, target, work, held)
        timer = cluster.clock.callLater(timeout_s, cluster.run_in_process, self.name, waiting.cancel)
        try:
            reply = await waiting
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
        body_back = messages.decode(messages.encode(reply.body)) if reply.body is not None else None
        return Reply(reply.status, body_back)
