"""Machines that come up late, and the offers whose machines keep doing so."""

import logging

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.catalog import MachineCatalog
from stileloft.model.machines import Machine
from stileloft.scheduling.instance_offers import InstanceOffer
from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

OVERDUE_BOOTS = 1.6
"""Boot times after which a machine counts as overdue; a good boot takes 1.5 times as long as its type says at most."""
ABANDONED_BOOTS = 3.0
"""Boot times after which a machine that is not up is released."""
SLOW_BOOTS_IN_A_ROW = 2
"""Overdue machines of an offer in a row that make it unreliable."""
MAX_UNRELIABLE_BOOTS = 8.0
"""The longest that an offer counts as unreliable, in boot times; it is doubled with each further overdue machine."""


class BootMonitor:
    """Finds machines that are not up in time, and judges offers by them."""

    def __init__(
        self,
        lease: LeaderLease,
        catalog: MachineCatalog,
        clock: Clock,
        failure_timeout_s: float,
        default_boot_s: float,
        list_lag_s: float,
    ) -> None:
        """`default_boot_s` stands for the boot time of types that the catalog doesn't have."""
        self._lease = lease
        self._catalog = catalog
        self._clock = clock
        self._failure_timeout_s = failure_timeout_s
        self._default_boot_s = default_boot_s
        self._list_lag_s = list_lag_s
        self._overdue_in_a_row: dict[InstanceOffer, int] = {}
        self._unreliable_until: dict[InstanceOffer, float] = {}
        """Offers whose machines keep coming late, and until when others are preferred."""

    def check(self, machine: Machine, now: float) -> None:
        """Notes whether a machine that is not up yet is overdue."""
        if not machine.boot_overdue and self._is_overdue(machine, now):
            self._record_overdue(machine, now)

    def is_abandoned(self, machine: Machine, now: float) -> bool:
        """Whether a machine that is not up, and on which nothing is placed, will not come up any more."""
        limit_s = ABANDONED_BOOTS * self.boot_s(machine.type) + self._list_lag_s
        unused = machine.cloud_state != "running" and not machine.placements
        return unused and now - (machine.provisioned_at or machine.first_seen_at) > limit_s

    def record_boot(self, machine: Machine) -> None:
        """A machine is up; one that is in time shows that its offer can be relied on."""
        if not machine.boot_overdue:
            offer = _offer_of(machine)
            self._overdue_in_a_row.pop(offer, None)
            self._unreliable_until.pop(offer, None)

    def unreliable_offers(self) -> frozenset[InstanceOffer]:
        """Offers whose machines keep coming late."""
        now = self._clock.seconds()
        return frozenset(offer for offer, until in self._unreliable_until.items() if until > now)

    def boot_s(self, machine_type: str) -> float:
        """How long a machine of this type takes to boot, in seconds."""
        kind = self._catalog.types.get(machine_type)
        return kind.boot_s if kind else self._default_boot_s

    def _is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether a machine should be up by now.

        One that is listed as running is up, and reports to us soon if we have just begun, or is silent. Of the others
        a new leader can't say so before they had the time to come to it.
        """
        if machine.cloud_state == "running" or now - self._lease.began_at < self._failure_timeout_s:
            return False
        return now - (machine.provisioned_at or machine.first_seen_at) > OVERDUE_BOOTS * self.boot_s(machine.type)

    def _record_overdue(self, machine: Machine, now: float) -> None:
        """It does not count as coming any more: others are provisioned for what waits for it."""
        machine.boot_overdue = True
        offer = _offer_of(machine)
        overdue = self._overdue_in_a_row[offer] = self._overdue_in_a_row.get(offer, 0) + 1
        if overdue >= SLOW_BOOTS_IN_A_ROW:
            boots = min(MAX_UNRELIABLE_BOOTS, 2.0 ** (overdue - SLOW_BOOTS_IN_A_ROW))
            self._unreliable_until[offer] = now + boots * self.boot_s(machine.type)
            log.info(
                "offer unreliable, boots overdue type=%s zone=%s spot=%s in_a_row=%d",
                machine.type,
                machine.zone,
                machine.spot,
                overdue,
            )


def _offer_of(machine: Machine) -> InstanceOffer:
    return InstanceOffer(machine.type, machine.zone, machine.spot)
