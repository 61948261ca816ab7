"""The client of the cloud that rents machines."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from stileloft.protocol.messages import ListedMachine, MachineType
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError, Reply
from stileloft.transport.rate_limit import TokenBucket

# Machines in one request or answer, as the protocol limits them.
PROVISION_LIMIT = 50
RELEASE_LIMIT = 100
PAGE_LIMIT = 500


@dataclass(frozen=True, slots=True)
class MachinePage:
    """A part of the cloud's list of machines, in the order of their names."""

    machines: list[ListedMachine]
    more: bool
    """Whether there are machines after the last of these."""


class CloudError(Exception):
    """The call failed; a rental or a release may have been carried out all the same."""


class NoCapacityError(Exception):
    """Nothing of this type, zone and kind is to be had now."""


class CloudClient:
    """Requests to the cloud. What changes something there is asked for once more when its connection is there."""

    def __init__(self, client: Client, address: str, timeout_s: float, budget: TokenBucket) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._budget = budget

    async def _ask(
        self, method: str, path: str, body: object = None, is_wanted: Callable[[], bool] = lambda: True
    ) -> Reply:
        if not self._budget.try_take():
            raise CloudError("own budget spent")
        try:
            return await self._client.request(method, self._address, path, body, self._timeout_s, is_wanted)
        except (ConnectionFailedError, NoResponseError) as error:
            raise CloudError(str(error)) from None

    async def machine_types(self) -> list[MachineType]:
        reply = await self._ask("GET", "/machine_types")
        if reply.status != 200:
            raise CloudError(f"status {reply.status}")
        return msgspec.convert(reply.body["builds"], list[MachineType])

    @property
    def requests_per_s(self) -> float:
        """Our own budget of requests."""
        return self._budget.rate_per_s

    async def machines_after(self, name: str) -> MachinePage:
        """The machines that follow a name in the cloud's list; the first ones for an empty name."""
        since = f"since={name}&" if name else ""
        reply = await self._ask("GET", f"/hosts?{since}limit={PAGE_LIMIT}")
        if reply.status != 200:
            raise CloudError(f"status {reply.status}")
        machines = msgspec.convert(reply.body["hosts"], list[ListedMachine])
        return MachinePage(machines, bool(reply.body.get("more")) and bool(machines))

    async def provision(
        self, request: str, type_name: str, zone: str, spot: bool, count: int, is_wanted: Callable[[], bool]
    ) -> list[str]:
        """The machines rented under a request's name, which is never used for another request."""
        body = {"hire": request, "build": type_name, "yard": zone, "loaner": spot, "count": min(count, PROVISION_LIMIT)}
        reply = await self._ask("POST", "/hosts", body, is_wanted)
        if reply.status == 200:
            return list(reply.body["hosts"])
        if reply.status == 503 and isinstance(reply.body, dict) and reply.body.get("error") == "no capacity":
            raise NoCapacityError
        raise CloudError(f"status {reply.status}: {reply.body}")

    async def release(self, machines: list[str], is_wanted: Callable[[], bool]) -> None:
        """Returns machines; once it has returned without an error, they and all on them are gone."""
        reply = await self._ask("POST", "/hosts/release", {"hosts": machines[:RELEASE_LIMIT]}, is_wanted)
        if reply.status != 200:
            raise CloudError(f"status {reply.status}")
