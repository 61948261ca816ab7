"""Detection of machines that boot late, and of instance offers whose machines repeatedly do."""

import logging

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.catalog import MachineCatalog
from stileloft.model.machines import Machine
from stileloft.scheduling.instance_offers import InstanceOffer
from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

OVERDUE_BOOT_TIMES = 1.6
"""Multiple of its type's boot time after which a machine is overdue; normal boots take at most 1.5 times that time."""
ABANDONED_BOOT_TIMES = 3.0
"""Multiple of its type's boot time after which a machine that is not up is released."""
UNRELIABLE_AFTER_OVERDUE_BOOTS = 2
"""Consecutive overdue machines after which their offer counts as unreliable."""
MAX_UNRELIABLE_BOOT_TIMES = 8.0
"""Longest time for which an offer is unreliable, in boot times; each further overdue machine doubles the time."""


class BootMonitor:
    """Detects machines that are not up in time, and the offers that are unreliable because of them."""

    def __init__(
        self,
        lease: LeaderLease,
        catalog: MachineCatalog,
        clock: Clock,
        failure_timeout_s: float,
        default_boot_s: float,
        list_lag_s: float,
    ) -> None:
        """`default_boot_s` is the boot time of types that are not in the catalog, in seconds."""
        self._lease = lease
        self._catalog = catalog
        self._clock = clock
        self._failure_timeout_s = failure_timeout_s
        self._default_boot_s = default_boot_s
        self._list_lag_s = list_lag_s
        self._consecutive_overdue: dict[InstanceOffer, int] = {}
        self._unreliable_until: dict[InstanceOffer, float] = {}
        """Offers whose machines are repeatedly overdue, and the time until which other offers are preferred."""

    def check(self, machine: Machine, now: float) -> None:
        """Marks a machine that is not up yet as overdue if it should be up by now."""
        if not machine.boot_overdue and self._is_overdue(machine, now):
            self._record_overdue(machine, now)

    def is_abandoned(self, machine: Machine, now: float) -> bool:
        """Whether a machine that is not up, and has no placements, is no longer expected to come up."""
        limit_s = ABANDONED_BOOT_TIMES * self.boot_s(machine.type) + self._list_lag_s
        unused = machine.cloud_state != "running" and not machine.placements
        return unused and now - (machine.provisioned_at or machine.first_seen_at) > limit_s

    def record_boot(self, machine: Machine) -> None:
        """Records that a machine is up; if it is up in time, its offer counts as reliable again."""
        if not machine.boot_overdue:
            offer = _offer_of(machine)
            self._consecutive_overdue.pop(offer, None)
            self._unreliable_until.pop(offer, None)

    def unreliable_offers(self) -> frozenset[InstanceOffer]:
        """Returns the offers whose machines are repeatedly overdue."""
        now = self._clock.seconds()
        return frozenset(offer for offer, until in self._unreliable_until.items() if until > now)

    def boot_s(self, machine_type: str) -> float:
        """Returns the boot time of machines of this type, in seconds."""
        known_type = self._catalog.types.get(machine_type)
        return known_type.boot_s if known_type else self._default_boot_s

    def _is_overdue(self, machine: Machine, now: float) -> bool:
        """Whether a machine is not up although it should be.

        A machine that the cloud lists as running is up, even without a heartbeat: it is silent, or its heartbeat has
        not reached a new leader yet. For one failure time-out after its election a leader counts no machine as overdue,
        because workers need time to find a new leader.
        """
        if machine.cloud_state == "running" or now - self._lease.began_at < self._failure_timeout_s:
            return False
        return now - (machine.provisioned_at or machine.first_seen_at) > OVERDUE_BOOT_TIMES * self.boot_s(machine.type)

    def _record_overdue(self, machine: Machine, now: float) -> None:
        """Marks a machine as overdue, so that other machines are provisioned for the tasks that wait for it."""
        machine.boot_overdue = True
        offer = _offer_of(machine)
        overdue = self._consecutive_overdue[offer] = self._consecutive_overdue.get(offer, 0) + 1
        if overdue >= UNRELIABLE_AFTER_OVERDUE_BOOTS:
            boot_times = min(MAX_UNRELIABLE_BOOT_TIMES, 2.0 ** (overdue - UNRELIABLE_AFTER_OVERDUE_BOOTS))
            self._unreliable_until[offer] = now + boot_times * self.boot_s(machine.type)
            log.info(
                "offer unreliable type=%s zone=%s spot=%s consecutive_overdue=%d",
                machine.type,
                machine.zone,
                machine.spot,
                overdue,
            )


def _offer_of(machine: Machine) -> InstanceOffer:
    return InstanceOffer(machine.type, machine.zone, machine.spot)
