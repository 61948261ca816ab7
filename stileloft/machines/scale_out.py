"""Scale-out: provisions machines from the cloud."""

import logging
from collections.abc import Callable

from stileloft.leadership.authority import Authority
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.boot_monitor import BootMonitor
from stileloft.machines.provision_records import ProvisionRecords
from stileloft.machines.registry import MachineRegistry
from stileloft.model.cluster import ClusterState
from stileloft.protocol.cloud import PROVISION_LIMIT, CloudClient, CloudError, NoCapacityError
from stileloft.scheduling.instance_offers import InstanceOffer
from stileloft.transport import background
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

NO_CAPACITY_BACKOFF_BOOT_TIMES = 0.5
"""Back-off after the cloud had no capacity for an offer, in boot times of the offer's type."""
MAX_ATTEMPTS = 6
"""Attempts at one request; the pause between them grows by a second each time."""
FIRST_RETRY_S = 1.0


class MachineProvisioner:
    """Provisions machines; each request has an id, so that a retry provisions no further machines."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        lease: LeaderLease,
        authority: Authority,
        boots: BootMonitor,
        records: ProvisionRecords,
        cloud: CloudClient,
        clock: Clock,
        request_prefix: str,
        request_scheduling: Callable[[], None],
    ) -> None:
        """`request_prefix` makes request ids unique across controllers, restarts and leaderships."""
        self._cluster = cluster
        self._machines = machines
        self._lease = lease
        self._authority = authority
        self._boots = boots
        self._records = records
        self._cloud = cloud
        self._clock = clock
        self._request_prefix = request_prefix
        self._request_scheduling = request_scheduling
        self.pending: dict[str, tuple[InstanceOffer, int]] = {}
        """Requests in flight by id: the offer, and the number of machines requested."""
        self._no_capacity_until: dict[InstanceOffer, float] = {}
        self._requests = 0

    def offers_without_capacity(self) -> frozenset[InstanceOffer]:
        """Returns the offers for which the cloud recently had no capacity. Called with the cluster's lock held."""
        now = self._clock.seconds()
        return frozenset(offer for offer, until in self._no_capacity_until.items() if until > now)

    def provision(self, offer: InstanceOffer, wanted: int) -> None:
        """Starts to provision `wanted` machines of an offer."""
        # A request for more than the limit would be filled in part, which would be taken for a lack of capacity.
        for first in range(0, wanted, PROVISION_LIMIT):
            self._begin_request(offer, min(PROVISION_LIMIT, wanted - first))

    def _begin_request(self, offer: InstanceOffer, count: int) -> None:
        self._requests += 1
        request = f"{self._request_prefix}-{self._requests}"
        self.pending[request] = (offer, count)
        background.start_without(self._cluster.lock, "scale-out", self._provision, request, offer, count)

    async def _provision(self, request: str, offer: InstanceOffer, count: int) -> None:
        machine_type, zone, spot = offer
        sent_at = self._clock.seconds()
        try:
            machines = await self._request_machines(request, offer, count)
        except Exception:
            # The request must not stay pending, as machines that never come would then count as coming.
            log.exception("scale-out failed request=%s", request)
            machines = []
        if not self._lease.active:
            return
        with self._cluster.lock:
            self.pending.pop(request, None)
            for machine_id in machines:
                machine = self._machines.get_or_create(machine_id)
                if not machine.heartbeat_received:
                    machine.type, machine.zone, machine.spot = machine_type, zone, spot
                machine.provisioned_at = sent_at
        log.info(
            "scale-out finished request=%s type=%s zone=%s spot=%s provisioned=%d wanted=%d",
            request,
            machine_type,
            zone,
            spot,
            len(machines),
            count,
        )
        if machines:
            await self._records.write(offer, machines)
        self._request_scheduling()

    async def _request_machines(self, request: str, offer: InstanceOffer, count: int) -> list[str]:
        """Returns the ids of the provisioned machines; fewer than `count` without capacity, authority or an answer."""
        machine_type, zone, spot = offer
        for attempt in range(MAX_ATTEMPTS):
            if self._authority.check_scale_out() is not None:
                return []
            try:
                machines = await self._cloud.provision(
                    request, machine_type, zone, spot, count, lambda: not self._authority.check_scale_out()
                )
            except NoCapacityError:
                self._back_off(offer)
                return []
            except CloudError as error:
                # The retry has the same id: if the first request was executed, no further machines are provisioned.
                log.info("scale-out failed request=%s attempt=%d error=%s", request, attempt + 1, error)
                await sleep(self._clock, FIRST_RETRY_S + attempt)
                continue
            if len(machines) < count:
                self._back_off(offer)
            return machines
        return []

    def _back_off(self, offer: InstanceOffer) -> None:
        """Excludes an offer from scaling plans for a while, after the cloud had too few machines of it."""
        backoff_s = NO_CAPACITY_BACKOFF_BOOT_TIMES * self._boots.boot_s(offer.machine_type)
        with self._cluster.lock:  # the scheduling thread reads the offers
            self._no_capacity_until[offer] = self._clock.seconds() + backoff_s
