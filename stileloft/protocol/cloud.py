"""The client of the cloud that provisions machines."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from stileloft.protocol.errors import RemoteError
from stileloft.protocol.messages import ListedMachine, MachineType
from stileloft.transport.client import Client, Reply, TransportError
from stileloft.transport.rate_limit import TokenBucket

# Machines in one request or reply, as the protocol limits them.
PROVISION_LIMIT = 50
RELEASE_LIMIT = 100
PAGE_LIMIT = 500


@dataclass(frozen=True, slots=True)
class MachinePage:
    """A part of the cloud's list of machines, in the order of their names."""

    machines: list[ListedMachine]
    more: bool
    """Whether there are machines after the last of these."""


class CloudError(RemoteError):
    """The call failed; machines may have been provisioned or released all the same."""


class NoCapacityError(CloudError):
    """The cloud has no machine of this type, zone and kind now."""


class CloudClient:
    """Requests to the cloud, within a budget of our own.

    One that changes something there is checked by its `is_wanted` once more when its connection is made.
    """

    def __init__(self, client: Client, address: str, timeout_s: float, budget: TokenBucket) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._budget = budget

    @property
    def requests_per_s(self) -> float:
        """Our own budget of requests."""
        return self._budget.rate_per_s

    async def machine_types(self) -> list[MachineType]:
        """All types that the cloud offers, at the present prices; raises `CloudError`."""
        reply = await self._request("GET", "/machine_types")
        return msgspec.convert(reply.body["builds"], list[MachineType])

    async def machines_after(self, name: str) -> MachinePage:
        """The machines that follow a name in the cloud's list, the first ones for an empty name.

        Raises `CloudError`.
        """
        since = f"since={name}&" if name else ""
        reply = await self._request("GET", f"/hosts?{since}limit={PAGE_LIMIT}")
        machines = msgspec.convert(reply.body["hosts"], list[ListedMachine])
        return MachinePage(machines, bool(reply.body.get("more")) and bool(machines))

    async def provision(
        self, request: str, type_name: str, zone: str, spot: bool, count: int, is_wanted: Callable[[], bool]
    ) -> list[str]:
        """Provisions machines and returns their names; raises `NoCapacityError` or `CloudError`.

        `request` makes it idempotent: repeated under the same name it provisions nothing more, so a name is never used
        for another request.
        """
        body = {"hire": request, "build": type_name, "yard": zone, "loaner": spot, "count": min(count, PROVISION_LIMIT)}
        reply = await self._request("POST", "/hosts", body, is_wanted)
        return list(reply.body["hosts"])

    async def release(self, machines: list[str], is_wanted: Callable[[], bool]) -> None:
        """Releases machines; raises `CloudError`. Once it has returned, they and all on them are gone."""
        await self._request("POST", "/hosts/release", {"hosts": machines[:RELEASE_LIMIT]}, is_wanted)

    async def _request(
        self, method: str, path: str, body: object = None, is_wanted: Callable[[], bool] = lambda: True
    ) -> Reply:
        """A reply whose status is 200."""
        operation = f"{method} {path}"
        if not self._budget.try_take():
            raise CloudError("own budget spent", operation=operation, target=self._address)
        try:
            reply = await self._client.request(method, self._address, path, body, self._timeout_s, is_wanted)
        except TransportError as error:
            raise CloudError(str(error), operation=operation, target=self._address) from None
        if reply.status == HTTPStatus.OK:
            return reply
        kind = NoCapacityError if _has_no_capacity(reply) else CloudError
        raise kind(
            f"status {reply.status}: {reply.body}", operation=operation, target=self._address, status=reply.status
        )


def _has_no_capacity(reply: Reply) -> bool:
    return (
        reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        and isinstance(reply.body, dict)
        and reply.body.get("error") == "no capacity"
    )
