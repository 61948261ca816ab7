"""The machine types that the cloud offers."""

import logging

from stileloft.protocol.cloud import CloudClient, CloudError
from stileloft.protocol.messages import MachineType
from stileloft.transport.clock import Clock
from stileloft.transport.retry import RetryPolicy, repeat
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

REFRESH_S = 30.0
"""How often the types are read, for their prices of the moment, in seconds."""
FIRST_RETRY_S = 1.0
"""Pause between attempts while no types are known, in seconds."""
RETRY = RetryPolicy((), FIRST_RETRY_S, FIRST_RETRY_S)


class MachineCatalog:
    """The cloud's machine types by name; empty until they were read once."""

    def __init__(self, cloud: CloudClient, clock: Clock) -> None:
        self._cloud = cloud
        self._clock = clock
        self.types: dict[str, MachineType] = {}

    async def run(self) -> None:
        """Reads the types again and again, for as long as the process lives."""
        await repeat("machine types", self._refresh, RETRY, self._clock)

    async def _refresh(self) -> None:
        pause_s = REFRESH_S if self.types else FIRST_RETRY_S
        try:
            self.types = {kind.name: kind for kind in await self._cloud.machine_types()}
            pause_s = REFRESH_S
        except CloudError as error:
            log.debug("machine types failed: %s", error)
        await sleep(self._clock, pause_s)
