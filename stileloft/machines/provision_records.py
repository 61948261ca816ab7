"""Records in the store of machines that were provisioned lately, for a successor."""

import logging

from stileloft.machines.registry import MachineRegistry
from stileloft.model import records
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.scheduling.instance_offers import InstanceOffer
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock, WallClock

log = logging.getLogger(__name__)

LISTED_LAGS = 4
LISTED_MARGIN_S = 5.0


class ProvisionRecords:
    """Tells a successor of machines that the cloud's list may not show yet.

    There is a record for each request, written over when it is no longer needed: all of a large cluster's in one would
    be over the store's limit for a value.
    """

    def __init__(
        self, store: LeaderStore, machines: MachineRegistry, clock: Clock, wall_clock: WallClock, list_lag_s: float
    ) -> None:
        self._store = store
        self._machines = machines
        self._clock = clock
        self._wall_clock = wall_clock
        self._listed_after_s = LISTED_LAGS * list_lag_s + LISTED_MARGIN_S
        """After this long a machine is surely in the cloud's list."""
        self._slots: dict[int, float] = {}
        """The records, and the time of day until which each may be needed."""

    async def write(self, offer: InstanceOffer, machines: list[str]) -> None:
        """Records machines, as far as the write budget allows; an error of the store is logged only."""
        now = self._wall_clock()
        record = records.to_stored(records.ProvisionRecord(round(now, 1), records.StoredOffer(*offer), machines))
        if len(machines) > 1 and records.json_bytes(record) > self._store.limits.max_value_bytes:
            for half in (machines[: len(machines) // 2], machines[len(machines) // 2 :]):
                await self.write(offer, half)
            return
        if not self._store.write_budget.try_take(1.0):
            return
        slot = next(n for n in range(len(self._slots) + 1) if self._slots.get(n, 0.0) < now)
        self._slots[slot] = now + self._listed_after_s
        try:
            await self._store.commit({records.provisioned_key(slot): record})
        except TooLargeError:
            self._store.limits.reduce_after_refusal([record], 1)
            await self.write(offer, machines)
        except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
            log.debug("recording provisioned machines failed: %s", error)

    def load(self, key: str, value: records.StoredValue) -> None:
        """Takes in what a former leader provisioned, unless the cloud's list shows it by now."""
        wall, now = self._wall_clock(), self._clock.seconds()
        record = records.read_provision(value)
        provisioned_at = record.provisioned_at
        self._slots[int(key[len(records.PROVISIONED) :])] = provisioned_at + self._listed_after_s
        if wall > provisioned_at + self._listed_after_s:
            return
        for machine_id in record.machines:
            machine = self._machines.get_or_create(machine_id)
            offer = record.offer
            machine.type, machine.zone, machine.spot = offer.type, offer.zone, offer.spot
            machine.provisioned_at = now - max(0.0, wall - provisioned_at)
