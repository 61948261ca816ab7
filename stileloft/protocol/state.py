"""The client of the state service: what was executed, what was not, and what is unknown."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

from stileloft.protocol.errors import RemoteError
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError, Reply
from stileloft.transport.clock import Clock

PAGE_SIZE = 1000
"""Items that the service gives in one reply."""


class Item(NamedTuple):
    """A key with its value and version, as a scan or a watch tells it."""

    key: str
    value: Any
    """None: the key was deleted."""
    version: int


class VersionedValue(NamedTuple):
    """The value of a key, and the store's revision when it was written."""

    value: Any
    version: int


class LeasedValue(NamedTuple):
    """The value of a key, its version, and the lease that it is attached to, if any."""

    value: Any
    version: int
    lease: int | None


class StateServiceError(RemoteError):
    """A request to the state service was not executed, or nobody knows whether it was."""


class UnavailableError(StateServiceError):
    """The request was not executed (503, 429, no connection, or our own budget is spent)."""


class ThrottledError(UnavailableError):
    """The request was not executed, as there were too many (429): repeating it soon makes that worse."""


class TooLargeError(UnavailableError):
    """A value or a transaction is beyond the service's limits: it will never be executed as it is."""


class StoreLostError(UnavailableError):
    """The store is not the one that is known: it has lost records, and what it says can't be believed."""


class UnknownOutcomeError(StateServiceError):
    """The request may have been executed, or may still be."""


class ConflictError(StateServiceError):
    """Guards failed, so nothing was written; `failed` are their keys."""

    def __init__(self, failed: list[str], *, operation: str = "", target: str = "", status: int | None = None) -> None:
        super().__init__(", ".join(failed), operation=operation, target=target, status=status)
        self.failed = failed


class LeaseExpiredError(StateServiceError):
    """The lease has ended."""


class CompactedError(StateServiceError):
    """The watch's revision is too old; the keys have to be read again."""


class _Context(TypedDict):
    """What `RemoteError` knows of a request."""

    operation: str
    target: str
    status: int | None


class StateClient:
    """Requests to the store; each ends in a value or a `StateServiceError`.

    Any of them may raise `UnavailableError` (and its subclasses `ThrottledError` and `StoreLostError`) or
    `UnknownOutcomeError`; a method's comment names the others.
    """

    def __init__(self, clock: Clock, client: Client, address: str, timeout_s: float) -> None:
        self._clock = clock
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self.served_at = float("-inf")
        """When the service last executed a request of ours."""
        self.revision = 0
        """Of the store, when a key was last found to be missing."""
        self.highest_revision = 0
        """The highest that was seen, while a store that goes back is watched for."""
        self._resets = 0
        """How often revisions were forgotten."""
        self.on_revision_regression: Callable[[int, int], None] | None = None
        """Called when the store answers with a lower revision than it had when it was asked: both are given."""

    def reset_revisions(self) -> None:
        """The store begins again where it is now: requests still under way were made to another one."""
        self.highest_revision = 0
        self._resets += 1

    async def lookup(self, key: str) -> VersionedValue | None:
        """Value and version of a key; with the store's revision checked, if that is watched.

        The reply about a single key does not tell the revision, that about a range of keys does.
        """
        if self.on_revision_regression is not None:
            return (await self.lookup_at(key))[0]
        found = await self.get(key)
        return None if found is None else VersionedValue(found.value, found.version)

    async def lookup_at(self, key: str) -> tuple[VersionedValue | None, int]:
        """Value and version of a key, or None, and the store's revision at that moment."""
        items, revision = await self.first_items(key, 1)
        if not items or items[0].key != key:
            return None, revision
        return VersionedValue(items[0].value, items[0].version), revision

    async def first_items(self, prefix: str, limit: int) -> tuple[list[Item], int]:
        """The first items under a prefix, and the revision."""
        reply = await self._request("GET", f"/kv?under={prefix}&limit={limit}", expected=(HTTPStatus.OK,))
        return _items(reply), reply.body["epoch"]

    async def get(self, key: str) -> LeasedValue | None:
        """Value, version and lease of a key, or None if it does not exist."""
        reply = await self._request("GET", f"/kv/{key}", expected=(HTTPStatus.OK, HTTPStatus.NOT_FOUND))
        if reply.status == HTTPStatus.NOT_FOUND:
            self.revision = (reply.body or {}).get("epoch", self.revision)
            return None
        return LeasedValue(reply.body["v"], reply.body["stamp"], reply.body.get("hold"))

    async def scan(self, prefix: str, limit: int = PAGE_SIZE) -> tuple[list[Item], int]:
        """All items under a prefix, and the revision of the first page."""
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            since = f"&since={after}" if after else ""
            reply = await self._request("GET", f"/kv?under={prefix}{since}&limit={limit}", expected=(HTTPStatus.OK,))
            if revision is None:
                # Changes during later pages are seen again by a watch from here.
                revision = reply.body["epoch"]
            page = _items(reply)
            items.extend(page)
            if not reply.body.get("more") or not page:
                return items, revision
            after = items[-1].key

    async def commit(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], lease: int | None = None
    ) -> int:
        """One transaction; `guards` are the versions that keys must have, and `lease` is attached to the puts.

        Returns the revision. Raises `ConflictError`, `LeaseExpiredError` or `TooLargeError` if nothing was written.
        """
        attached = {} if lease is None else {"hold": lease}
        writes: list[dict[str, Any]] = [{"set": key, "v": value, **attached} for key, value in puts.items()]
        writes += [{"delete": key} for key in deletes]
        body = {"guards": [{"path": key, "stamp": version} for key, version in guards.items()], "writes": writes}
        method, path = "POST", "/commit"
        reply = await self._request(method, path, body)
        if reply.status == HTTPStatus.OK:
            return int(reply.body["epoch"])
        if reply.status == HTTPStatus.CONFLICT:
            failed = list(reply.body.get("failed", []))
            raise ConflictError(failed, **self._context(method, path, reply.status))
        reason = f"status {reply.status}: {reply.body}"
        if reply.status == HTTPStatus.BAD_REQUEST and lease is not None:
            raise LeaseExpiredError(reason, **self._context(method, path, reply.status))
        if reply.status in (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE):
            raise TooLargeError(reason, **self._context(method, path, reply.status))
        raise UnavailableError(reason, **self._context(method, path, reply.status))

    async def grant_lease(self, life_s: float) -> int:
        """A new lease, which expires after so many seconds unless it is renewed."""
        body = {"lifeMs": int(life_s * 1000)}
        reply = await self._request("POST", "/holds", body, life_s / 2, expected=(HTTPStatus.OK,))
        return int(reply.body["hold"])

    async def renew_lease(self, lease: int, timeout_s: float) -> None:
        """Has a lease run its full time again; raises `LeaseExpiredError`."""
        method, path = "POST", f"/holds/{lease}/extend"
        reply = await self._request(method, path, {}, timeout_s, expected=(HTTPStatus.OK, HTTPStatus.NOT_FOUND))
        if reply.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError("the lease has ended", **self._context(method, path, reply.status))

    async def revoke_lease(self, lease: int) -> None:
        """Ends a lease, and deletes the keys that are attached to it."""
        await self._request("DELETE", f"/holds/{lease}")

    async def watch(self, prefix: str, revision: int, wait_s: float) -> tuple[int, list[Item]]:
        """Waits for changes under a prefix after a revision: the newest one's revision, and the changes.

        There are none if nothing has changed within `wait_s`. Raises `CompactedError`.
        """
        method, path = "GET", f"/watch?under={prefix}&since={revision}&blockMs={int(wait_s * 1000)}"
        expected = (HTTPStatus.OK, HTTPStatus.GONE)
        reply = await self._request(method, path, timeout_s=wait_s + self._timeout_s, expected=expected)
        if reply.status == HTTPStatus.GONE:
            raise CompactedError(f"revision {revision} is too old", **self._context(method, path, reply.status))
        return reply.body["epoch"], [_change(event) for event in reply.body["news"]]

    async def _request(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
        expected: tuple[HTTPStatus, ...] | None = None,
    ) -> Reply:
        """A reply with one of the expected statuses; with any status if none are named."""
        known, resets = self.highest_revision, self._resets
        try:
            reply = await self._client.request(method, self._address, path, body, timeout_s or self._timeout_s)
        except ConnectionFailedError as error:
            raise UnavailableError(f"no connection: {error}", **self._context(method, path)) from None
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error), **self._context(method, path)) from None
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise ThrottledError("status 429", **self._context(method, path, reply.status))
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise UnavailableError("status 503", **self._context(method, path, reply.status))
        self.served_at = self._clock.seconds()
        if self.on_revision_regression is not None and isinstance(reply.body, dict) and "epoch" in reply.body:
            if resets != self._resets:
                raise StoreLostError("it was asked before the store was found to be lost")
            self._check_revision(known, reply.body["epoch"])
        if expected is not None and reply.status not in expected:
            raise UnavailableError(f"status {reply.status}", **self._context(method, path, reply.status))
        return reply

    def _context(self, method: str, path: str, status: int | None = None) -> _Context:
        """The fields of an error in a request."""
        return {"operation": f"{method} {path}", "target": self._address, "status": status}

    def _check_revision(self, known: int, revision: int) -> None:
        """Raises `StoreLostError` if a reply's revision is older than one that was known when it was asked for.

        A consistent store never answers so.
        """
        if revision < known:
            if self.on_revision_regression is not None:
                self.on_revision_regression(known, revision)
            raise StoreLostError(f"the store has gone back from revision {known} to {revision}")
        self.highest_revision = max(self.highest_revision, revision)


def _items(reply: Reply) -> list[Item]:
    """The items of a page."""
    return [Item(item["path"], item["v"], item["stamp"]) for item in reply.body["pairs"]]


def _change(event: dict[str, Any]) -> Item:
    """A change that a watch tells."""
    if "set" in event:
        return Item(event["set"], event["v"], event["stamp"])
    return Item(event["delete"], None, event["stamp"])
