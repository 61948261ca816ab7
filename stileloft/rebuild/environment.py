"""Clients, settings and callbacks that a controller provides to the feature `rebuild`."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from stileloft.features import RebuildFeature
from stileloft.protocol.cloud import CloudClient
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient
from stileloft.settings import Settings
from stileloft.transport.clock import Clock
from stileloft.transport.rate_limit import TokenBucket


class Leadership(Protocol):
    """The leadership of this controller, as its election knows it."""

    @property
    def key_version(self) -> int:
        """Version of the leader key under which this controller leads."""
        ...

    def holds_lease(self) -> bool:
        """Whether this controller is certain that it still leads."""
        ...

    def suspect(self, reason: str) -> None:
        """Requests a check of the leadership, after a sign that another controller may lead."""
        ...


@dataclass(frozen=True, slots=True)
class RebuildEnvironment:
    """What the feature `rebuild` needs of its controller."""

    clock: Clock
    sleep: Callable[[float], Awaitable[None]]
    settings: Settings
    feature: RebuildFeature
    state: StateClient
    peers: PeerClient
    cloud: CloudClient
    leader_write_budget: TokenBucket
    """Limits the rate of changes that the leader makes in the store."""
    leadership: Callable[[], Leadership]
    """Returns the current leadership; a callable, as the election is created after this object."""
    legacy_chunk_size: int
    """Tasks per chunk of jobs whose records do not hold a chunk size."""
    renewal_grace_s: float
    """Time for which a leader may answer heartbeats without a confirmed lease."""
    forget_record_versions: Callable[[], None]
    """Called when the store has been rebuilt, which gives its records new versions."""
    begin_leading: Callable[[int], None]
    """Begins normal leadership with this token; called when all records are written back."""

    @property
    def member(self) -> str:
        """Name of this controller."""
        return self.settings.member

    @property
    def other_members(self) -> set[str]:
        """Names of the other controllers."""
        return {peer.member for peer in self.settings.peers}

    @property
    def worker_lease_s(self) -> float:
        """Duration of a worker's lease."""
        return self.settings.deployment.workers.lease_s
