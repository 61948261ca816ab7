"""The inventory of machines, reconciled with the cloud's machine list."""

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
LIST_INTERVAL_LAG_FRACTION = 0.25
"""Interval between two reads of the list, as a fraction of the list's lag."""
UNPACED_PAGES = 2
"""Pages at the start of the list that are read without a pause between them."""
LIST_BUDGET_FRACTION = 0.5
"""Fraction of the leader's request rate to the cloud that further pages may use: scaling out and in needs the rest."""


class MachineInventory:
    """Reads the cloud's machine list page by page, in a loop.

    Each page is applied as it arrives, and a failed page is requested again by itself. If a list of many pages were
    read without pauses and from the start, it would exhaust the cloud's request limit before its end, and would never
    be complete.
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
        self._list_interval_s = max(MIN_LIST_INTERVAL_S, LIST_INTERVAL_LAG_FRACTION * list_lag_s)
        self._page_interval_s = 1.0 / (LIST_BUDGET_FRACTION * cloud.requests_per_s)
        self._cursor = ""
        """Id of the last machine on the page read last; empty at the start of the list."""
        self._pages = 0

    async def run(self) -> None:
        """Keeps the inventory up to date while the leadership lasts."""
        policy = RetryPolicy((CloudError,), self._list_interval_s, self._list_interval_s)
        await repeat("machine list read", self._read_page, policy, self._clock, lambda: self._lease.active)

    async def _read_page(self) -> None:
        page = await self._cloud.machines_after(self._cursor)
        if not self._lease.active:
            return
        with self._cluster.lock:
            self._reconcile(page.machines)
        self._request_scheduling()
        self._pages += 1
        pause_s = self._list_interval_s
        if page.more:
            self._cursor = page.machines[-1].id
            pause_s = self._page_interval_s if self._pages >= UNPACED_PAGES else 0.0
        else:
            self._cursor, self._pages = "", 0
        await sleep(self._clock, pause_s)

    def _reconcile(self, listed: list[ListedMachine]) -> None:
        """Adds and updates listed machines; never removes unlisted ones, because the list may be out of date."""
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
