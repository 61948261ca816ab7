"""Release of the machines that have sent no heartbeat since the store lost its records.

Such a machine may hang with tasks that no replica places there. Its tasks may be placed elsewhere only once the cloud
has confirmed that the machine is gone: the expiry of the worker's lease does not end the tasks of a hanging machine.
"""

import logging
from collections.abc import Collection, Mapping
from typing import Any

from stileloft.model import records
from stileloft.protocol.cloud import RELEASE_LIMIT, CloudError
from stileloft.rebuild.environment import RebuildEnvironment

log = logging.getLogger(__name__)

MAX_PAGE_RETRIES = 5
"""How often a page of the list is read again before the attempt is given up."""
PAGE_RETRY_S = 1.0
"""Pause before a page is read again, in seconds; the request budget recovers meanwhile."""


def machines_named_in(stored: Mapping[str, Any]) -> set[str]:
    """Returns the machines that records name: provisioned ones, and those on which tasks are placed."""
    named: set[str] = set()
    for key, value in stored.items():
        if key.startswith(records.PROVISIONED):
            named |= set(value["m"])
        elif key.startswith((records.TASKS, records.ACTIVE)):
            placed = value.get("p") or value.get(records.INLINE_CHUNK, {}).get("p", {})
            named |= {placement[1] for placement in placed.values()}
    return named


class SilentMachineReleaser:
    """Releases the machines that the records or the cloud's list name, and that have not been heard."""

    def __init__(self, environment: RebuildEnvironment) -> None:
        self._environment = environment
        self._released: set[str] = set()

    async def release(self, named: Collection[str], heard: Collection[str]) -> None:
        """Releases the silent machines, and returns once the cloud has confirmed that all of them are gone.

        `named`: machines in the records. `heard`: machines with a heartbeat, read anew before each request. Raises
        `CloudError`; a further call continues with the machines that are left.
        """
        known = set(named) | await self._listed_machines()
        while silent := sorted(known - self._released - set(heard))[:RELEASE_LIMIT]:
            await self._environment.cloud.release(silent, self._environment.leadership().holds_lease)
            log.info("silent machines released machines=%s", ",".join(silent))
            self._released.update(silent)

    async def _listed_machines(self) -> set[str]:
        """Returns the machines in the cloud's list. Pages that fail are read again; raises `CloudError` if all fail."""
        listed: set[str] = set()
        cursor, more, failures = "", True, 0
        while more:
            try:
                page = await self._environment.cloud.machines_after(cursor)
            except CloudError:
                failures += 1
                if failures > MAX_PAGE_RETRIES:
                    raise
                await self._environment.sleep(PAGE_RETRY_S)
                continue
            failures, more = 0, page.more
            listed |= {machine.id for machine in page.machines}
            cursor = page.machines[-1].id if more else cursor
        return listed
