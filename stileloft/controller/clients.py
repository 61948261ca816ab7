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
"""A worker drops answers after so long, so waiting longer for one of its own has no use."""
STATE_TIMEOUT_S = 1.5
CLOUD_TIMEOUT_S = 5.0
PEER_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 2.0
WORKER_CONNECT_TIMEOUT_S = 1.0
IDLE_S = 60.0
"""How long an unused connection is kept, in seconds."""
CONNECTIONS_TO_SERVICES = 8
CLOUD_BUDGET_PART = 0.75
"""The leader's part of the cloud's limit; the others ask for prices, and a former leader may ask a little."""


@dataclass(frozen=True, slots=True)
class Clients:
    """Everything that a controller asks others with."""

    state: StateClient
    cloud: CloudClient
    peers: PeerClient
    workers: WorkerClient


def make_clients(
    clock: Clock, settings: Settings, connect: Callable[..., Any], keep_worker_connection: Callable[[], bool]
) -> Clients:
    """Makes the clients; `connect` makes a pooled HTTP client, for which tests have a fake.

    `keep_worker_connection` says whether a connection to a worker is kept once its request is answered.
    """
    external, cloud_limits = settings.external, settings.deployment.cloud
    services = connect(
        clock,
        messages.encode,
        messages.decode,
        CBOR,
        max_idle_per_host=CONNECTIONS_TO_SERVICES,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_s=IDLE_S,
    )
    workers = connect(
        clock,
        messages.encode,
        messages.decode,
        CBOR,
        max_idle_per_host=1,
        connect_timeout_s=WORKER_CONNECT_TIMEOUT_S,
        idle_s=IDLE_S,
        keep_alive=keep_worker_connection,
    )
    peers = connect(
        clock, orjson.dumps, orjson.loads, JSON, max_idle_per_host=1, connect_timeout_s=PEER_TIMEOUT_S, idle_s=IDLE_S
    )
    return Clients(
        state=StateClient(clock, services, external.state, STATE_TIMEOUT_S),
        cloud=CloudClient(
            services, external.cloud, CLOUD_TIMEOUT_S, TokenBucket(clock, cloud_limits.rps * CLOUD_BUDGET_PART)
        ),
        peers=PeerClient(peers, [peer.address for peer in settings.peers], PEER_TIMEOUT_S),
        workers=WorkerClient(workers, WORKER_TIMEOUT_S),
    )
