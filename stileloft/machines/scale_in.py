"""Scale-in: releases machines to the cloud, which ends the tasks on them."""

import logging
from collections.abc import Callable

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.authority import Authority
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.image_locations import ImageLocations
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.protocol.cloud import RELEASE_LIMIT, CloudClient, CloudError
from stileloft.transport import background
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

BATCH_DELAY_S = 0.05
"""How long machines to release are collected into one request, in seconds."""
REFUSED_RETRY_S = 0.5
"""Pause while the leader may not release machines, in seconds."""
FAILED_RETRY_S = 1.0
"""Pause after a failed request, in seconds."""
RELEASED_RETENTION_LEASES = 40.0
"""How long released machines are remembered, in worker leases: their delayed heartbeats may arrive minutes late."""


class MachineReleaser:
    """Releases machines; once the cloud has confirmed a release, all tasks on the machine are gone.

    Only this confirmation, or a heartbeat, ends the tasks of a silent machine. The time since the worker's lease was
    renewed does not: a machine that hangs keeps its tasks, and ends them only when it goes on.
    """

    def __init__(
        self,
        cluster: ClusterState,
        lease: LeaderLease,
        authority: Authority,
        lifecycle: TaskLifecycle,
        images: ImageLocations,
        cloud: CloudClient,
        clock: Clock,
        worker_lease_s: float,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._lease = lease
        self._authority = authority
        self._lifecycle = lifecycle
        self._images = images
        self._cloud = cloud
        self._clock = clock
        self._worker_lease_s = worker_lease_s
        self._request_scheduling = request_scheduling
        self._queue: dict[str, Machine] = {}
        self.released: dict[str, float] = {}
        """When the cloud confirmed the release of each machine, by machine id, on the leader's clock."""

    def release(self, machine: Machine, reason: str) -> None:
        """Queues a machine for release, unless it is queued; sets its drain reason to `reason` if it has none."""
        if machine.releasing:
            return
        machine.releasing = True
        machine.drain_reason = machine.drain_reason or reason
        log.info("scale-in queued machine=%s reason=%r", machine.id, reason)
        self._queue[machine.id] = machine
        if len(self._queue) == 1:
            background.start_without(self._cluster.lock, "scale-in", self._release_queued)

    async def _release_queued(self) -> None:
        """Releases machines until the queue is empty, many per request, because the cloud limits the request rate."""
        while self._lease.active and self._queue:
            await sleep(self._clock, BATCH_DELAY_S)
            if self._authority.check_scale_in() is not None:
                await sleep(self._clock, REFUSED_RETRY_S)
                continue
            batch = list(self._queue.values())[:RELEASE_LIMIT]
            try:
                await self._cloud.release(
                    [machine.id for machine in batch], lambda: not self._authority.check_scale_in()
                )
            except CloudError as error:
                log.debug("scale-in failed machines=%d error=%s", len(batch), error)
                await sleep(self._clock, FAILED_RETRY_S)
                continue
            except Exception:
                log.exception("scale-in failed machines=%d", len(batch))
                await sleep(self._clock, FAILED_RETRY_S)
                continue
            if not self._lease.active:
                return
            with self._cluster.lock:
                for machine in batch:
                    self._complete_release(machine)
            self._request_scheduling()

    def _complete_release(self, machine: Machine) -> None:
        """Removes a machine whose release the cloud has confirmed, and ends the tasks that were on it."""
        self._queue.pop(machine.id, None)
        now = self.released[machine.id] = self._clock.seconds()
        while (
            now - self.released[oldest := next(iter(self.released))] > RELEASED_RETENTION_LEASES * self._worker_lease_s
        ):
            del self.released[oldest]
        for placement in list(machine.placements.values()):
            self._lifecycle.end(placement, "machine released")
        self._cluster.machines.pop(machine.id, None)
        self._images.machine_released(machine)
