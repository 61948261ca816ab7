"""Leader election: the leader holds the key `leader` on a lease of the state service.

The key's version determines the fencing token.
"""

import contextlib
import logging
from collections.abc import Callable
from typing import Any

from stileloft.model import records
from stileloft.protocol.state import (
    CompactedError,
    ConflictError,
    LeaseExpiredError,
    StateClient,
    StoreLostError,
    UnavailableError,
    UnknownOutcomeError,
)
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport import background
from stileloft.transport.clock import MAX_CLOCK_DRIFT, Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)


RENEWALS_PER_LEASE = 4
"""Number of renewals within one lease duration."""
CAMPAIGNS_PER_LEASE = 8
"""Number of campaigns for a vacant leadership within one lease duration."""
RENEWAL_TIMEOUT_DIVISOR = 3
"""The time-out of a renewal is the lease duration divided by this."""
WATCH_TIMEOUT_LEASES = 4
"""Time-out of one watch of the leader key while another controller holds it, in lease durations."""


class Election:
    """Campaigns for the leadership, renews its lease, and tracks until when the lease is certainly held."""

    def __init__(
        self,
        clock: Clock,
        state: StateClient,
        member: str,
        nonce: str,
        lease_s: float,
        on_elected: Callable[[int], None],
        on_deposed: Callable[[str], None],
        integrity: StoreIntegrity,
    ) -> None:
        """`nonce` distinguishes this process from the member's former processes.

        `lease_s` is the lease duration in seconds. `on_elected` is called with the fencing token, `on_deposed` with the
        reason.
        """
        self._clock = clock
        self._state = state
        self._member = member
        self._nonce = nonce
        self.lease_s = lease_s
        self._on_elected = on_elected
        self._on_deposed = on_deposed
        self._integrity = integrity
        self._suspicion_reason: str | None = None
        """Why the leadership is in doubt: it may have ended, or the store may be lost. None if there is no doubt."""
        self.key_version = 0
        """The version of the leader key while this controller leads; it guards the leader's transactions."""
        self.token: int | None = None
        self.leader_member: str | None = None
        """The member last observed to lead; None if there is none."""
        self._lease: int | None = None
        self._held_until = 0.0
        self.last_renewed_at = 0.0
        self._campaign_paused_until = 0.0

    @property
    def leading(self) -> bool:
        """Whether this controller was elected, and has not stepped down."""
        return self.token is not None

    def holds_lease(self) -> bool:
        """Returns whether the lease is certainly still held, so that no other controller can have been elected."""
        return self.token is not None and self._clock.seconds() < self._held_until

    def seconds_since_renewal(self) -> float:
        """Returns the seconds since the lease was last known to be valid."""
        return max(0.0, self._clock.seconds() - self.last_renewed_at)

    def pause_campaign(self, seconds: float) -> None:
        """Does not campaign for this many seconds, so that another controller, if there is one, can be elected."""
        self._campaign_paused_until = self._clock.seconds() + seconds

    def suspect(self, reason: str) -> None:
        """Suspends all decisions until it is known whether the leadership has ended.

        If the store has lost its records, no other controller can lead, and this one still answers heartbeats for the
        renewal grace, the time for which that is allowed without a confirmed lease. If losses of the store cannot be
        detected, this controller steps down at once.
        """
        if not self._integrity.detects_loss:
            self.step_down(reason)
        elif self.token is not None:
            self._held_until = 0.0
            self._suspicion_reason = self._suspicion_reason or reason

    def step_down(self, reason: str) -> None:
        """Gives up the leadership and revokes its lease; without effect if this controller does not lead."""
        if self.token is None:
            return
        self.token = self._suspicion_reason = None
        lease, self._lease = self._lease, None
        log.info("leader stepped down member=%s reason=%r", self._member, reason)
        self._on_deposed(reason)
        if lease is not None:
            background.start("end of lease", self._end_lease(lease))

    async def _end_lease(self, lease: int) -> None:
        with contextlib.suppress(UnavailableError, UnknownOutcomeError):  # the lease then expires by itself
            await self._state.revoke_lease(lease)

    async def run(self) -> None:
        """Campaigns for the leadership and holds it, for the lifetime of the process."""
        policy = RetryPolicy(
            (UnavailableError, UnknownOutcomeError, CompactedError),
            retry_s=self.lease_s / CAMPAIGNS_PER_LEASE,
            unexpected_retry_s=self.lease_s / RENEWALS_PER_LEASE,
        )
        await repeat("election", self._step, policy, self._clock)

    async def _step(self) -> None:
        if self.token is None:
            await self._campaign()
        elif self._suspicion_reason is not None:
            await self._resolve_suspicion(self._suspicion_reason)
        else:
            await self._renew_lease()

    async def _resolve_suspicion(self, reason: str) -> None:
        """Determines whether the leadership has ended or the store has lost its records."""
        try:
            await self._integrity.verify()
        except StoreLostError:
            # The next holder of the leader key writes the records back; until then this leadership continues,
            # unconfirmed. The lease was lost with the records, and another lease may have the same number by now.
            self._lease = None
            await self._campaign()
            return
        self.step_down(reason)

    def _record_renewal(self, sent_at: float) -> None:
        """Records that the lease was renewed by a request that was sent at this time."""
        self.last_renewed_at = sent_at
        self._held_until = sent_at + self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT)

    async def _campaign(self) -> None:
        """Reads the leader key, and acquires the leadership if it is vacant."""
        leader_key = await self._state.get(records.LEADER)
        if leader_key is not None:
            await self._observe_leader(*leader_key)
            return
        if self._integrity.is_sound():
            self.leader_member = None
        if self._clock.seconds() < self._campaign_paused_until or not self._integrity.may_campaign():
            await sleep(self._clock, self.lease_s / CAMPAIGNS_PER_LEASE)
            return
        await self._acquire_lease()

    async def _observe_leader(self, value: dict[str, Any], version: int, lease: int | None) -> None:
        """Waits for the end of another controller's leadership, or revokes a remaining lease of this member."""
        self.leader_member = value["member"]
        if self._suspicion_reason is not None and value["member"] != self._member:
            self.step_down(f"controller {value['member']} holds the leader key")
        if value["member"] != self._member or lease is None:
            await self._state.watch(records.LEADER, version, self.lease_s * WATCH_TIMEOUT_LEASES)
            return
        if value["nonce"] != self._nonce:
            # Only one process runs as this member, so the process that acquired the key has ended.
            log.info("revoking lease of former process member=%s lease=%d", self._member, lease)
        # Otherwise this process acquired the key, and either lost the answer or gave up the leadership: campaign again.
        await self._state.revoke_lease(lease)

    async def _acquire_lease(self) -> None:
        """Acquires the leader key, unless another controller does so first."""
        sent_at = self._clock.seconds()
        lease = await self._state.grant_lease(self.lease_s)
        guards = {records.LEADER: 0} | self._integrity.guards()
        try:
            version = await self._state.commit(
                guards, {records.LEADER: {"member": self._member, "nonce": self._nonce}}, [], lease
            )
            token = await self._integrity.begin_term(version)
        except ConflictError as conflict:
            if records.LEADER not in conflict.failed:
                self._integrity.request_verification()
            await self._end_lease(lease)
            return
        except LeaseExpiredError:
            return
        if self.token is not None:
            self.step_down("elected again after the store lost its records")
        self._lease = lease
        self.key_version = version
        self._record_renewal(sent_at)
        if not self._clock.seconds() < self._held_until:
            await self._end_lease(lease)
            return
        self.leader_member = self._member
        self.token = token
        log.info("leader elected member=%s token=%d", self._member, token)
        self._on_elected(token)

    async def _renew_lease(self) -> None:
        """Renews the lease, and waits until the next renewal is due."""
        if self._lease is None:
            return
        sent_at = self._clock.seconds()
        try:
            await self._state.renew_lease(self._lease, self.lease_s / RENEWAL_TIMEOUT_DIVISOR)
        except LeaseExpiredError:
            self.suspect("the leader's lease expired")
            return
        if self.token is not None:
            self._record_renewal(sent_at)
        await sleep(self._clock, self.lease_s / RENEWALS_PER_LEASE)
