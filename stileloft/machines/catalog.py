"""The machine types that the cloud offers, and their prices."""

import logging

from stileloft.protocol.cloud import CloudClient, CloudError
from stileloft.protocol.messages import MachineType
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

REFRESH_INTERVAL_S = 30.0
"""Interval between reads of the machine types, whose prices change, in seconds."""
FIRST_RETRY_S = 1.0
"""Pause between attempts until the machine types have been read once, in seconds."""
RETRY = RetryPolicy((), FIRST_RETRY_S, FIRST_RETRY_S)


class MachineCatalog:
    """The cloud's machine types by name; empty until the first successful read."""

    def __init__(self, cloud: CloudClient, clock: Clock) -> None:
        self._cloud = cloud
        self._clock = clock
        self.types: dict[str, MachineType] = {}

    async def run(self) -> None:
        """Refreshes the machine types periodically for the lifetime of the process."""
        await repeat("machine type refresh", self._refresh, RETRY, self._clock)

    async def _refresh(self) -> None:
        pause_s = REFRESH_INTERVAL_S if self.types else FIRST_RETRY_S
        try:
            self.types = {machine_type.name: machine_type for machine_type in await self._cloud.machine_types()}
            pause_s = REFRESH_INTERVAL_S
        except CloudError as error:
            log.debug("machine type refresh failed error=%s", error)
        await sleep(self._clock, pause_s)
