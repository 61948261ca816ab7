"""Records in the store of recently provisioned machines, for the next leader."""

import logging

from stileloft.machines.registry import MachineRegistry
from stileloft.model import records
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.scheduling.instance_offers import InstanceOffer
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock, WallClock

log = logging.getLogger(__name__)

RETENTION_LAGS = 4
RETENTION_MARGIN_S = 5.0


class ProvisionRecords:
    """Records newly provisioned machines, which the cloud's list may not show yet, for the next leader.

    Each request has its own record, which is overwritten once it is no longer needed: one record for all machines of a
    large cluster would exceed the store's limit on values.
    """

    def __init__(
        self, store: LeaderStore, machines: MachineRegistry, clock: Clock, wall_clock: WallClock, list_lag_s: float
    ) -> None:
        self._store = store
        self._machines = machines
        self._clock = clock
        self._wall_clock = wall_clock
        self._retention_s = RETENTION_LAGS * list_lag_s + RETENTION_MARGIN_S
        """Age at which a machine is certain to be in the cloud's list, so that its record is no longer needed."""
        self._slots: dict[int, float] = {}
        """Unix time in seconds until which each record may be needed, by its slot: the number that ends its key."""

    async def write(self, offer: InstanceOffer, machines: list[str]) -> None:
        """Records machines if the write budget allows; a store error is only logged."""
        now = self._wall_clock()
        record = records.to_stored(records.ProvisionRecord(round(now, 1), records.StoredOffer(*offer), machines))
        if len(machines) > 1 and records.json_bytes(record) > self._store.limits.max_value_bytes:
            for half in (machines[: len(machines) // 2], machines[len(machines) // 2 :]):
                await self.write(offer, half)
            return
        if not self._store.write_budget.try_take(1.0):
            return
        slot = next(n for n in range(len(self._slots) + 1) if self._slots.get(n, 0.0) < now)
        self._slots[slot] = now + self._retention_s
        try:
            await self._store.commit({records.provisioned_key(slot): record})
        except TooLargeError:
            self._store.limits.reduce_after_refusal([record], 1)
            await self.write(offer, machines)
        except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
            log.debug("provision record not written slot=%d machines=%d error=%s", slot, len(machines), error)

    def load(self, key: str, value: records.StoredValue) -> None:
        """Adds the machines that a former leader provisioned, unless the cloud's list certainly shows them by now."""
        time_of_day, now = self._wall_clock(), self._clock.seconds()
        record = records.read_provision(value)
        provisioned_at = record.provisioned_at
        self._slots[int(key[len(records.PROVISIONED) :])] = provisioned_at + self._retention_s
        if time_of_day > provisioned_at + self._retention_s:
            return
        for machine_id in record.machines:
            machine = self._machines.get_or_create(machine_id)
            offer = record.offer
            machine.type, machine.zone, machine.spot = offer.type, offer.zone, offer.spot
            machine.provisioned_at = now - max(0.0, time_of_day - provisioned_at)
