"""Where images are: learned from the tasks that run, and recorded as a hint for the next leader."""

import logging

from stileloft.leadership.lease import LeaderLease
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.protocol.state import ConflictError, TooLargeError, UnavailableError, UnknownOutcomeError
from stileloft.store.access import LeaderStore
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

# How often it is recorded where images are; more often when the machines would else take more than so many rounds,
# and how many a machine is believed to have.
IMAGES_S = 4.0
IMAGES_ROUNDS = 64
IMAGES_LEAST_S = 0.5
IMAGES_KNOWN = 40


class ImageLocations:
    """The images that machines are likely to have, as far as seen."""

    def __init__(self, store: LeaderStore, cluster: ClusterState, lease: LeaderLease, clock: Clock) -> None:
        self._store = store
        self._cluster = cluster
        self._lease = lease
        self._clock = clock
        self._loaded: dict[str, list[str]] = {}
        """What a former leader recorded of machines that are not known yet."""
        self._dropped: set[str] = set()
        """Machines that are gone, and whose records have to go."""

    def machine_released(self, machine: Machine) -> None:
        """Has the record of a machine removed."""
        if machine.images:
            self._dropped.add(machine.id)

    def record_use(self, machine: Machine, image: str) -> None:
        """A task that needs this image runs there."""
        if image not in machine.images:
            machine.images_recorded = False
            machine.scheduling_view = None
        machine.images.pop(image, None)
        machine.images[image] = None
        while len(machine.images) > IMAGES_KNOWN:
            del machine.images[next(iter(machine.images))]

    def load(self, machine_id: str, images: list[str]) -> None:
        machine = self._cluster.machines.get(machine_id)
        if machine is None:
            self._loaded[machine_id] = images
        else:
            machine.images = dict.fromkeys([*images, *machine.images])

    def of_former_leader(self, machine_id: str) -> list[str]:
        """What a former leader recorded of a machine that is new to us."""
        return self._loaded.pop(machine_id, [])

    async def run(self) -> None:
        """Records where images are, for a successor; what is left of the write budget will do."""
        pause_s = IMAGES_S
        while self._lease.active:
            await sleep(self._clock, pause_s)
            if not self._lease.is_held():
                continue
            half = max(1, self._store.limits.ops // 2)
            unrecorded = [m for m in self._cluster.machines.values() if not m.images_recorded]
            rounds = len(unrecorded) / half
            pause_s = max(IMAGES_LEAST_S, IMAGES_S * min(1.0, IMAGES_ROUNDS / max(rounds, 1.0)))
            changed = unrecorded[:half]
            dropped = sorted(self._dropped)[:half]
            count = len(changed) + len(dropped)
            if (
                not count
                or self._store.write_budget.level() < 2 * count
                or not self._store.write_budget.try_take(count)
            ):
                continue
            puts = {records.IMAGES + m.id: self._recorded_images(m) for m in changed}
            try:
                await self._store.client.commit(self._lease.guard(), puts, [records.IMAGES + m for m in dropped])
            except TooLargeError:
                self._store.limits.reduce_after_refusal(puts.values(), count)
                continue
            except (ConflictError, UnavailableError, UnknownOutcomeError) as error:
                log.debug("recording images: %s", error)
                continue
            for machine in changed:
                machine.images_recorded = puts[records.IMAGES + machine.id] == self._recorded_images(machine)
            self._dropped -= set(dropped)

    def _recorded_images(self, machine: Machine) -> list[str]:
        """The images that a machine has, the ones used last, as far as a value holds them."""
        images = list(machine.images)
        while records.json_bytes(images) > self._store.limits.value_bytes:
            images = images[1 + len(images) // 8 :]
        return images
