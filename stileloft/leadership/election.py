"""Leader election: the key `leader` on a lease of the state service; its version is the fencing token."""

import contextlib
import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

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
from stileloft.transport.clock import MAX_CLOCK_DRIFT, Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)


RENEWALS_PER_LEASE = 4
"""How often a lease is renewed while it lasts."""
CAMPAIGNS_PER_LEASE = 8
"""How often a vacant leadership is sought while a lease would last."""
RENEWAL_TIMEOUT_DIVISOR = 3
"""A renewal is given up after one part in so many of the lease."""
WATCH_TIMEOUT_LEASES = 4
"""How long one watch of another's leadership waits, in leases."""


class Election:
    """Campaigns for the leadership, renews its lease, and knows for how long it is surely held."""

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
        """`nonce` tells this process from others that ran as the same member; `lease_s` is the lease in seconds.

        `on_elected` is called with the fencing token, `on_deposed` with the reason.
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
        """Why the leadership is in doubt, while it is found out whether it is over or the store is lost."""
        self.key_version = 0
        """The version of the leader key while we lead: it guards our transactions."""
        self.token: int | None = None
        self.leader_member: str | None = None
        """The member that leads, as far as is known."""
        self._lease: int | None = None
        self._held_until = 0.0
        self.last_renewed_at = 0.0
        self._campaign_paused_until = 0.0

    @property
    def leading(self) -> bool:
        """Whether this controller was elected, and has not stepped down."""
        return self.token is not None

    def holds_lease(self) -> bool:
        """Whether nobody else can have been elected yet."""
        return self.token is not None and self._clock.seconds() < self._held_until

    def seconds_since_renewal(self) -> float:
        """Seconds since the lease was last known to be alive."""
        return max(0.0, self._clock.seconds() - self.last_renewed_at)

    def pause_campaign(self, seconds: float) -> None:
        """Leaves the leadership to others for a while, as long as there are any."""
        self._campaign_paused_until = self._clock.seconds() + seconds

    def suspect(self, reason: str) -> None:
        """The leadership seems to be over: nothing is decided any more until it is known why.

        If the store has lost its records, nobody else can lead either, and heartbeats are answered for the grace.
        """
        if not self._integrity.detects_loss:
            self.step_down(reason)
        elif self.token is not None:
            self._held_until = 0.0
            self._suspicion_reason = self._suspicion_reason or reason

    def step_down(self, reason: str) -> None:
        """Gives up the leadership, and ends its lease."""
        if self.token is None:
            return
        self.token = self._suspicion_reason = None
        lease, self._lease = self._lease, None
        log.info("leader stepped down member=%s reason=%r", self._member, reason)
        self._on_deposed(reason)
        if lease is not None:
            defer.ensureDeferred(self._end_lease(lease))

    async def _end_lease(self, lease: int) -> None:
        with contextlib.suppress(UnavailableError, UnknownOutcomeError):  # it ends by itself
            await self._state.revoke_lease(lease)

    async def run(self) -> None:
        """Campaigns for the leadership and keeps it, for as long as the process lives."""
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
        """Finds out whether the leadership is over, or the store has lost its records."""
        try:
            await self._integrity.verify()
        except StoreLostError:
            # Whoever gets the leader key next writes the records back; until then our leadership goes on, unconfirmed.
            # Its lease is lost with the rest, and another may have the same number by now.
            self._lease = None
            await self._campaign()
            return
        self.step_down(reason)

    def _record_renewal(self, sent: float) -> None:
        """The lease was renewed by a request that was sent at this moment."""
        self.last_renewed_at = sent
        self._held_until = sent + self.lease_s * (1 - 2 * MAX_CLOCK_DRIFT)

    async def _campaign(self) -> None:
        """Looks who leads, and acquires the leadership if nobody does."""
        found = await self._state.get(records.LEADER)
        if found is not None:
            await self._observe_leader(*found)
            return
        if self._integrity.is_sound():
            self.leader_member = None
        if self._clock.seconds() < self._campaign_paused_until or not self._integrity.may_campaign():
            await sleep(self._clock, self.lease_s / CAMPAIGNS_PER_LEASE)
            return
        await self._acquire_lease()

    async def _observe_leader(self, value: dict[str, Any], version: int, lease: int | None) -> None:
        """Waits for the end of another's leadership, or ends what is left of one of our own."""
        self.leader_member = value["member"]
        if self._suspicion_reason is not None and value["member"] != self._member:
            self.step_down("another controller leads")
        if value["member"] != self._member or lease is None:
            await self._state.watch(records.LEADER, version, self.lease_s * WATCH_TIMEOUT_LEASES)
            return
        if value["nonce"] != self._nonce:
            # Only one process runs as this member, so the one that held the key is over.
            log.info("ending lease of former process member=%s lease=%d", self._member, lease)
        # Or else it is our own acquisition, whose answer was lost or whose key was given up: start anew.
        await self._state.revoke_lease(lease)

    async def _acquire_lease(self) -> None:
        """Takes the leader key, unless another does so first."""
        sent = self._clock.seconds()
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
            self.step_down("elected anew")
        self._lease = lease
        self.key_version = version
        self._record_renewal(sent)
        if not self._clock.seconds() < self._held_until:
            await self._end_lease(lease)
            return
        self.leader_member = self._member
        self.token = token
        log.info("leader elected member=%s token=%d", self._member, token)
        self._on_elected(token)

    async def _renew_lease(self) -> None:
        """Renews the lease, and waits until the next renewal."""
        if self._lease is None:
            return
        sent = self._clock.seconds()
        try:
            await self._state.renew_lease(self._lease, self.lease_s / RENEWAL_TIMEOUT_DIVISOR)
        except LeaseExpiredError:
            self.suspect("the lease expired")
            return
        if self.token is not None:
            self._record_renewal(sent)
        await sleep(self._clock, self.lease_s / RENEWALS_PER_LEASE)
