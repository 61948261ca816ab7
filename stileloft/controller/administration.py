"""The requests of operators and peers that a controller answers on its peer address."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from stileloft.controller.budgets import StateBudgets
from stileloft.controller.clients import Clients
from stileloft.controller.heartbeat_referrals import HeartbeatReferrals
from stileloft.controller.operator_settings import OperatorSettingsStore
from stileloft.controller.state_service_check import StateServiceCheck
from stileloft.features import Features
from stileloft.leadership.election import Election
from stileloft.leadership.invariants import InvariantMonitor
from stileloft.machines.catalog import MachineCatalog
from stileloft.model import records
from stileloft.protocol.admin import OperatorSettings
from stileloft.protocol.peers import PeerView
from stileloft.transport.clock import Clock

if TYPE_CHECKING:
    from stileloft.rebuild.service import RebuildService

MAX_SERVED_AGE_S = 1e9
"""Age reported if the state service has never served this controller, in seconds."""


@dataclass(frozen=True, slots=True)
class Administration:
    """Answers the requests on the peer address."""

    member: str
    clock: Clock
    features: Features
    election: Election
    clients: Clients
    catalog: MachineCatalog
    operator_settings: OperatorSettingsStore
    referrals: HeartbeatReferrals
    state_service_check: StateServiceCheck
    invariants: InvariantMonitor
    budgets: StateBudgets
    rebuild: "RebuildService | None"
    leadership_status: Callable[[], dict[str, Any] | None]
    """Returns the status of the leadership; None while this controller does not lead."""

    def status(self) -> dict[str, Any]:
        """Returns the status of this controller for operators."""
        answer: dict[str, Any] = {
            "member": self.member,
            "role": "leader" if self.election.leading else "standby",
            "leader": self.election.leader_member,
            "token": self.election.token,
            "served": self.state_service_check.is_served(),
            "confirmed": self.election.holds_lease(),
            "machine_types": sorted(self.catalog.types),
            "settings": msgspec.to_builtins(self.operator_settings.current),
            "invariants": self.invariants.status(),
            "budgets": {"leader_writes": round(self.budgets.leader_writes.level(), 1)},
        }
        if self.rebuild is not None:
            answer["features"] = {"rebuild": msgspec.to_builtins(self.features.rebuild)}
            answer["rebuild"] = self.rebuild.status()
        leadership = self.leadership_status()
        if leadership is not None:
            answer["leadership"] = leadership
        return answer

    def view(self) -> PeerView:
        """Returns this controller's view of the state service and the machines, which a peer compares with its own."""
        return PeerView(
            min(self.clock.seconds() - self.clients.state.served_at, MAX_SERVED_AGE_S),
            self.referrals.recent(),
            self.member,
            records.NEWEST_FORMAT,
            protects=self.rebuild is not None,
            deployment=self.rebuild.store.deployment if self.rebuild else "",
            highest_token=self.rebuild.tokens.highest if self.rebuild else 0,
        )

    async def read_settings(self) -> tuple[OperatorSettings, int]:
        """Returns the operators' settings in the store, and their version (0: never set)."""
        return await self.operator_settings.read()

    async def change_settings(self, settings: OperatorSettings, version: int) -> int:
        """Replaces the operators' settings if `version` is the stored one; returns the new version."""
        return await self.operator_settings.change(settings, version)

    def rebuild_status(self) -> dict[str, Any] | None:
        """Returns the status of the store and of a rebuild; None if the feature is disabled."""
        return None if self.rebuild is None else self.rebuild.status()

    def snapshot_piece(self, number: int) -> bytes | None:
        """Returns a piece of this controller's replica for a peer that rebuilds the store; None if there is none."""
        return None if self.rebuild is None else self.rebuild.snapshots.piece(number)

    def receive_change_notice(self, body: Any) -> bool:
        """Applies a peer's change notice; returns whether it could be used."""
        return self.rebuild is not None and self.rebuild.receive_change_notice(body)

    async def decide(self, job: str, task: int | None, decision: str) -> dict[str, Any] | None:
        """Applies an operator's decision on a job's unresolved tasks; returns None if the job has none."""
        return None if self.rebuild is None else await self.rebuild.decide(job, task, decision)
