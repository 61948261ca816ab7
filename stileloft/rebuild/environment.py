"""What the feature needs of the controller that it runs in."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Protocol

from stileloft.features import RebuildFeature
from stileloft.protocol.peers import PeerClient
from stileloft.protocol.state import StateClient
from stileloft.settings import Settings
from stileloft.transport.clock import Clock
from stileloft.transport.rate_limit import TokenBucket


class Leadership(Protocol):
    """What the feature asks of this controller's part in the election."""

    @property
    def key_version(self) -> int:
        """The version of the leader key under which it leads."""
        ...

    def holds_lease(self) -> bool:
        """Whether it is certain that it still leads."""
        ...

    def suspect(self, reason: str) -> None:
        """Has the leadership verified soon: something shows that another may lead."""
        ...


@dataclass(frozen=True, slots=True)
class RebuildEnvironment:
    """Clients, settings and callbacks of one controller."""

    clock: Clock
    sleep: Callable[[float], Awaitable[None]]
    settings: Settings
    feature: RebuildFeature
    state: StateClient
    peers: PeerClient
    leader_write_budget: TokenBucket
    """The changes of the store that the leader may make."""
    leadership: Callable[[], Leadership]
    """Asked for when it is needed: the election begins after the feature."""
    first_chunk_size: int
    """Tasks per chunk of jobs whose records don't say."""
    renewal_grace_s: float
    """How long a leader may answer heartbeats without a confirmed lease."""
    forget_record_versions: Callable[[], None]
    """Called when the store was rebuilt: its records have other versions now."""
    begin_leading: Callable[[int], None]
    """Begins the ordinary leadership with this token, once all records are there."""

    @property
    def member(self) -> str:
        """The name of this controller."""
        return self.settings.member

    @property
    def other_members(self) -> set[str]:
        """The names of the other controllers."""
        return {peer.member for peer in self.settings.peers}

    @property
    def worker_lease_s(self) -> float:
        """How long a worker's lease lasts."""
        return self.settings.deployment.workers.lease_s
