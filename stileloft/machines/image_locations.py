"""The images cached on machines: inferred from the tasks that run there, and recorded as a hint for the next leader."""

import logging
from dataclasses import dataclass

from stileloft.leadership.lease import LeaderLease
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

RECORD_INTERVAL_S = 4.0
"""Interval between writes of image records, in seconds."""
MIN_RECORD_INTERVAL_S = 0.5
"""Shortest interval, used while the images of many machines are unrecorded, in seconds."""
FULL_INTERVAL_TRANSACTIONS = 64
"""Intervals become shorter when the unrecorded machines take more transactions than this."""
RETRY = RetryPolicy((), RECORD_INTERVAL_S, RECORD_INTERVAL_S)
MAX_IMAGES_PER_MACHINE = 40
"""Images that a machine is assumed to keep; beyond these the least recently used image is dropped."""


@dataclass(frozen=True, slots=True)
class ImageChanges:
    """Image records that one transaction writes, and the released machines whose records it deletes."""

    written: list[Machine]
    deleted: list[str]

    @property
    def count(self) -> int:
        """Number of records written or deleted."""
        return len(self.written) + len(self.deleted)


class ImageLocations:
    """Tracks the images that machines probably have, judged by the tasks seen on them."""

    def __init__(self, store: LeaderStore, cluster: ClusterState, lease: LeaderLease, clock: Clock) -> None:
        self._store = store
        self._cluster = cluster
        self._lease = lease
        self._clock = clock
        self._loaded_images: dict[str, list[str]] = {}
        """Images that a former leader recorded, by the ids of machines that this leader does not know yet."""
        self._records_to_delete: set[str] = set()
        """Ids of released machines whose records have to be deleted."""
        self._write_interval_s = RECORD_INTERVAL_S
        """Interval until the next write of image records, in seconds."""

    def machine_released(self, machine: Machine) -> None:
        """Schedules the deletion of a released machine's record."""
        if machine.images:
            self._records_to_delete.add(machine.id)

    def record_use(self, machine: Machine, image: str) -> None:
        """Records that a task that uses this image runs on the machine."""
        if image not in machine.images:
            machine.images_recorded = False
            machine.scheduling_view = None
        machine.images.pop(image, None)
        machine.images[image] = None
        while len(machine.images) > MAX_IMAGES_PER_MACHINE:
            del machine.images[next(iter(machine.images))]

    def load(self, machine_id: str, images: list[str]) -> None:
        """Adds the images that a former leader recorded for a machine."""
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            self._loaded_images[machine_id] = images
        else:
            machine.images = dict.fromkeys([*images, *machine.images])

    def take_loaded(self, machine_id: str) -> list[str]:
        """Removes and returns the images that a former leader recorded for a machine that is new to this leader."""
        return self._loaded_images.pop(machine_id, [])

    async def run(self) -> None:
        """Writes image records periodically for the next leader, from write budget that other writes leave unused."""
        await repeat("image records", self._wait_and_write, RETRY, self._clock, lambda: self._lease.active)

    async def _wait_and_write(self) -> None:
        await sleep(self._clock, self._write_interval_s)
        if not self._lease.is_held():
            return
        unrecorded = [m for m in self._cluster.machines.values() if not m.images_recorded]
        self._write_interval_s = self._interval_s(len(unrecorded))
        changes = ImageChanges(
            unrecorded[: self._max_changes()], sorted(self._records_to_delete)[: self._max_changes()]
        )
        if self._take_budget(changes):
            await self._commit(changes)

    def _max_changes(self) -> int:
        """Limit on the records written, and on the records deleted, by one transaction."""
        return max(1, self._store.limits.max_changes // 2)

    def _interval_s(self, unrecorded: int) -> float:
        transactions = max(unrecorded / self._max_changes(), 1.0)
        return max(MIN_RECORD_INTERVAL_S, RECORD_INTERVAL_S * min(1.0, FULL_INTERVAL_TRANSACTIONS / transactions))

    def _take_budget(self, changes: ImageChanges) -> bool:
        """Takes the changes from the write budget if at least as much remains for other writes."""
        budget = self._store.write_budget
        return changes.count > 0 and budget.level() >= 2 * changes.count and budget.try_take(changes.count)

    async def _commit(self, changes: ImageChanges) -> None:
        """Writes the changes; after a store error they are retried at the next interval."""
        images = {machine.id: self._recorded_images(machine) for machine in changes.written}
        puts = {records.images_key(machine_id): value for machine_id, value in images.items()}
        deletes = [records.images_key(machine_id) for machine_id in changes.deleted]
        try:
            await self._store.commit(puts, deletes)
        except TooLargeError as error:
            log.debug("image records too large changes=%d error=%s", changes.count, error)
            self._store.limits.reduce_after_refusal(puts.values(), changes.count)
        except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
            log.debug("image records not written changes=%d error=%s", changes.count, error)
        else:
            for machine in changes.written:
                machine.images_recorded = images[machine.id] == self._recorded_images(machine)
            self._records_to_delete -= set(changes.deleted)

    def _recorded_images(self, machine: Machine) -> list[str]:
        """Returns the machine's most recently used images, limited to what fits into one value of the store."""
        images = list(machine.images)
        while records.json_bytes(images) > self._store.limits.max_value_bytes:
            images = images[1 + len(images) // 8 :]
        return images
