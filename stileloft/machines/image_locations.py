"""Where images are: learned from the tasks that run, and recorded as a hint for the next leader."""

import logging
from dataclasses import dataclass

from stileloft.leadership.lease import LeaderLease
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

RECORD_INTERVAL_S = 4.0
"""How often it is recorded where images are, in seconds."""
MIN_RECORD_INTERVAL_S = 0.5
"""The same while there are many machines to record, in seconds."""
MAX_ROUNDS = 64
"""Intervals are shorter when all machines would take more than so many transactions."""
MAX_IMAGES = 40
"""Images that a machine is believed to have."""


@dataclass(frozen=True, slots=True)
class ImageChanges:
    """What one transaction changes: records of machines to write, and of machines that are gone."""

    written: list[Machine]
    deleted: list[str]

    @property
    def count(self) -> int:
        """Changes of the store."""
        return len(self.written) + len(self.deleted)


class ImageLocations:
    """The images that machines are likely to have, as far as seen."""

    def __init__(self, store: LeaderStore, cluster: ClusterState, lease: LeaderLease, clock: Clock) -> None:
        self._store = store
        self._cluster = cluster
        self._lease = lease
        self._clock = clock
        self._loaded: dict[str, list[str]] = {}
        """What a former leader recorded of machines that are not known yet."""
        self._released: set[str] = set()
        """Machines that are gone, and whose records have to be deleted."""

    def machine_released(self, machine: Machine) -> None:
        """Has the record of a machine removed."""
        if machine.images:
            self._released.add(machine.id)

    def record_use(self, machine: Machine, image: str) -> None:
        """A task that needs this image runs there."""
        if image not in machine.images:
            machine.images_recorded = False
            machine.scheduling_view = None
        machine.images.pop(image, None)
        machine.images[image] = None
        while len(machine.images) > MAX_IMAGES:
            del machine.images[next(iter(machine.images))]

    def load(self, machine_id: str, images: list[str]) -> None:
        """Takes in what a former leader recorded of a machine."""
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            self._loaded[machine_id] = images
        else:
            machine.images = dict.fromkeys([*images, *machine.images])

    def take_loaded(self, machine_id: str) -> list[str]:
        """What a former leader recorded of a machine that is new to us."""
        return self._loaded.pop(machine_id, [])

    async def run(self) -> None:
        """Records where images are, for a successor, with what others leave of the write budget."""
        interval_s = RECORD_INTERVAL_S
        while self._lease.active:
            await sleep(self._clock, interval_s)
            if not self._lease.is_held():
                continue
            unrecorded = [m for m in self._cluster.machines.values() if not m.images_recorded]
            interval_s = self._interval_s(len(unrecorded))
            changes = ImageChanges(unrecorded[: self._max_changes()], sorted(self._released)[: self._max_changes()])
            if self._take_budget(changes):
                await self._commit(changes)

    def _max_changes(self) -> int:
        """Records that are written, and that are deleted, in one transaction."""
        return max(1, self._store.limits.max_changes // 2)

    def _interval_s(self, unrecorded: int) -> float:
        rounds = max(unrecorded / self._max_changes(), 1.0)
        return max(MIN_RECORD_INTERVAL_S, RECORD_INTERVAL_S * min(1.0, MAX_ROUNDS / rounds))

    def _take_budget(self, changes: ImageChanges) -> bool:
        """Takes the changes from the write budget, if at least as much is left for others."""
        budget = self._store.write_budget
        return changes.count > 0 and budget.level() >= 2 * changes.count and budget.try_take(changes.count)

    async def _commit(self, changes: ImageChanges) -> None:
        """Writes the changes; after an error of the store they are tried again at the next interval."""
        images = {machine.id: self._recorded_images(machine) for machine in changes.written}
        puts = {records.images_key(machine_id): value for machine_id, value in images.items()}
        deletes = [records.images_key(machine_id) for machine_id in changes.deleted]
        try:
            await self._store.commit(puts, deletes)
        except TooLargeError as error:
            log.debug("image records too large changes=%d: %s", changes.count, error)
            self._store.limits.reduce_after_refusal(puts.values(), changes.count)
        except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
            log.debug("image records not written changes=%d: %s", changes.count, error)
        else:
            for machine in changes.written:
                machine.images_recorded = images[machine.id] == self._recorded_images(machine)
            self._released -= set(changes.deleted)

    def _recorded_images(self, machine: Machine) -> list[str]:
        """The images that a machine has, the ones used last, as far as a value holds them."""
        images = list(machine.images)
        while records.json_bytes(images) > self._store.limits.max_value_bytes:
            images = images[1 + len(images) // 8 :]
        return images
