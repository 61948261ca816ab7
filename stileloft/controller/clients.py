"""The clients of a controller: state service, cloud, peers and workers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import orjson

from stileloft.protocol import messages
from stileloft.protocol.cloud import CloudClient
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient
from stileloft.protocol.workers import WorkerClient
from stileloft.settings import Settings
from stileloft.transport.clock import Clock
from stileloft.transport.rate_limit import TokenBucket

CBOR = b"application/cbor"
JSON = b"application/json"
WORKER_TIMEOUT_S = 4.0
"""Workers drop answers after this time, so waiting longer for an answer from a worker is useless."""
STATE_TIMEOUT_S = 1.5
CLOUD_TIMEOUT_S = 5.0
PEER_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
WORKER_CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 60.0
"""How long an unused connection is kept open, in seconds."""
MAX_CONNECTIONS_PER_SERVICE = 8
CLOUD_BUDGET_FRACTION = 0.75
"""The leader's fraction of the cloud's limit; the rest is for other controllers' price reads and a former leader."""


@dataclass(frozen=True, slots=True)
class Clients:
    """The clients for all services that a controller uses."""

    state: StateClient
    cloud: CloudClient
    peers: PeerClient
    workers: WorkerClient


def make_clients(
    clock: Clock, settings: Settings, connect: Callable[..., Any], keep_worker_connection: Callable[[], bool]
) -> Clients:
    """Creates the clients; `connect` creates a pooled HTTP client, which tests replace by a fake.

    `keep_worker_connection` returns whether a connection to a worker is kept open after its request is answered.
    """
    external, cloud_limits = settings.external, settings.deployment.cloud
    services = connect(
        clock,
        messages.encode,
        messages.decode,
        CBOR,
        max_idle_per_host=MAX_CONNECTIONS_PER_SERVICE,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_s=IDLE_TIMEOUT_S,
    )
    workers = connect(
        clock,
        messages.encode,
        messages.decode,
        CBOR,
        max_idle_per_host=1,
        connect_timeout_s=WORKER_CONNECT_TIMEOUT_S,
        idle_s=IDLE_TIMEOUT_S,
        keep_alive=keep_worker_connection,
    )
    peers = connect(
        clock,
        orjson.dumps,
        orjson.loads,
        JSON,
        max_idle_per_host=1,
        connect_timeout_s=PEER_TIMEOUT_S,
        idle_s=IDLE_TIMEOUT_S,
    )
    return Clients(
        state=StateClient(clock, services, external.state, STATE_TIMEOUT_S),
        cloud=CloudClient(
            services, external.cloud, CLOUD_TIMEOUT_S, TokenBucket(clock, cloud_limits.rps * CLOUD_BUDGET_FRACTION)
        ),
        peers=PeerClient(peers, [peer.address for peer in settings.peers], PEER_TIMEOUT_S),
        workers=WorkerClient(workers, WORKER_TIMEOUT_S),
    )
