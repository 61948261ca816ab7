"""The client of the cloud, which provisions machines."""

from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus

import msgspec

from stileloft.protocol.errors import RemoteError
from stileloft.protocol.messages import ListedMachine, MachineType
from stileloft.transport.client import Client, Reply, TransportError
from stileloft.transport.rate_limit import TokenBucket

# The protocol's limits on the number of machines in one request or reply.
PROVISION_LIMIT = 50
RELEASE_LIMIT = 100
PAGE_LIMIT = 500


@dataclass(frozen=True, slots=True)
class MachinePage:
    """One page of the cloud's machine list, sorted by name."""

    machines: list[ListedMachine]
    more: bool
    """Whether the list has machines after this page."""


class CloudError(RemoteError):
    """A request to the cloud failed; it may still have provisioned or released machines."""


class NoCapacityError(CloudError):
    """The cloud has no free machine of the requested type, zone and kind of price (spot or full)."""


class CloudClient:
    """Sends requests to the cloud, limited by a request budget of this controller.

    For a request that provisions or releases machines, `is_wanted` is called once its connection is open; if it returns
    False, the request is not sent.
    """

    def __init__(self, client: Client, address: str, timeout_s: float, budget: TokenBucket) -> None:
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self._budget = budget

    @property
    def requests_per_s(self) -> float:
        """The rate of the request budget, in requests a second."""
        return self._budget.rate_per_s

    async def machine_types(self) -> list[MachineType]:
        """Returns all machine types that the cloud offers, with current prices; raises `CloudError`."""
        reply = await self._request("GET", "/machine_types")
        return msgspec.convert(reply.body["builds"], list[MachineType])

    async def machines_after(self, name: str) -> MachinePage:
        """Returns the page of machines after `name` in the cloud's list; the first page if `name` is empty.

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

        `request` is the idempotency key: a repeated request provisions no further machines, and a key is never reused
        for another request.
        """
        body = {"hire": request, "build": type_name, "yard": zone, "loaner": spot, "count": min(count, PROVISION_LIMIT)}
        reply = await self._request("POST", "/hosts", body, is_wanted)
        return list(reply.body["hosts"])

    async def release(self, machines: list[str], is_wanted: Callable[[], bool]) -> None:
        """Releases machines; raises `CloudError`. After it returns, the machines and their tasks are gone."""
        await self._request("POST", "/hosts/release", {"hosts": machines[:RELEASE_LIMIT]}, is_wanted)

    async def _request(
        self, method: str, path: str, body: object = None, is_wanted: Callable[[], bool] = lambda: True
    ) -> Reply:
        """Returns a reply with status 200; raises `NoCapacityError` or `CloudError`."""
        operation = f"{method} {path}"
        if not self._budget.try_take():
            raise CloudError(
                f"{operation}: request budget of {self.requests_per_s:g}/s is spent",
                operation=operation,
                target=self._address,
            )
        try:
            reply = await self._client.request(method, self._address, path, body, self._timeout_s, is_wanted)
        except TransportError as error:
            raise CloudError(f"{operation}: {error}", operation=operation, target=self._address) from None
        if reply.status == HTTPStatus.OK:
            return reply
        kind = NoCapacityError if _has_no_capacity(reply) else CloudError
        raise kind(
            f"{operation}: status {reply.status}, body {reply.body}",
            operation=operation,
            target=self._address,
            status=reply.status,
        )


def _has_no_capacity(reply: Reply) -> bool:
    return (
        reply.status == HTTPStatus.SERVICE_UNAVAILABLE
        and isinstance(reply.body, dict)
        and reply.body.get("error") == "no capacity"
    )
