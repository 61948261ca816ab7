"""The inventory of machines, reconciled with the cloud's list."""

import logging
from collections.abc import Callable

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.registry import MachineRegistry
from stileloft.machines.scale_in import MachineReleaser
from stileloft.model.cluster import ClusterState
from stileloft.protocol.cloud import CloudClient, CloudError
from stileloft.protocol.messages import ListedMachine, MachineState
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

MIN_LIST_INTERVAL_S = 1.0
LAG_PART = 0.25
"""The list is read anew after this part of the time by which it lags."""
PAGES_AT_ONCE = 2
"""Pages of the list that are read without a pause."""
LIST_BUDGET_PART = 0.5
"""The part of our requests to the cloud that further pages may take: scaling out and in needs the rest."""


class MachineInventory:
    """Reads the cloud's list page by page, over and over.

    Each page is taken in as it comes, and a page that fails is asked for again: a list of many pages that had to be
    read in one go would use up the cloud's limit of requests before its end, and would never be complete.
    """

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        releaser: MachineReleaser,
        lease: LeaderLease,
        cloud: CloudClient,
        clock: Clock,
        list_lag_s: float,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._releaser = releaser
        self._lease = lease
        self._cloud = cloud
        self._clock = clock
        self._list_lag_s = list_lag_s
        self._request_scheduling = request_scheduling
        self._between_lists_s = max(MIN_LIST_INTERVAL_S, LAG_PART * list_lag_s)
        self._between_pages_s = 1.0 / (LIST_BUDGET_PART * cloud.requests_per_s)
        self._after = ""
        """The last machine of the page that was read last; empty at the start of a list."""
        self._pages = 0

    async def run(self) -> None:
        """Keeps the inventory for as long as the leadership lasts."""
        policy = RetryPolicy((CloudError,), self._between_lists_s, self._between_lists_s)
        await repeat("machine list", self._read_page, policy, self._clock, lambda: self._lease.active)

    async def _read_page(self) -> None:
        page = await self._cloud.machines_after(self._after)
        if not self._lease.active:
            return
        with self._cluster.lock:
            self._reconcile(page.machines)
        self._request_scheduling()
        self._pages += 1
        pause_s = self._between_lists_s
        if page.more:
            self._after = page.machines[-1].id
            pause_s = self._between_pages_s if self._pages >= PAGES_AT_ONCE else 0.0
        else:
            self._after, self._pages = "", 0
        await sleep(self._clock, pause_s)

    def _reconcile(self, listed: list[ListedMachine]) -> None:
        """Adds machines; a list never removes what may be alive, since it can be old."""
        now = self._clock.seconds()
        for item in listed:
            if item.id in self._releaser.released:
                continue
            machine = self._machines.get_or_create(item.id)
            machine.cloud_state = item.state
            if not machine.heartbeat_received:
                machine.type, machine.zone, machine.spot = item.type, item.zone, item.spot
                machine.address = machine.address or item.address
            if not machine.provisioned_at:
                machine.provisioned_at = now - item.age_s - self._list_lag_s
            if item.state == MachineState.FAILED:
                self._releaser.release(machine, "it failed")
