"""The client of the state service; its errors tell whether a request was executed."""

from collections.abc import Callable
from http import HTTPStatus
from typing import Any, NamedTuple, TypedDict

from stileloft.protocol.errors import RemoteError
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError, Reply
from stileloft.transport.clock import Clock

PAGE_SIZE = 1000
"""Maximum number of items that the service returns in one reply."""


class Item(NamedTuple):
    """A key with its value and version, as returned by a scan or a watch."""

    key: str
    value: Any
    """The key's value; None if the key was deleted."""
    version: int


class VersionedValue(NamedTuple):
    """A key's value, and the store's revision at which it was written."""

    value: Any
    version: int


class LeasedValue(NamedTuple):
    """A key's value and version, and the lease that the key is attached to, or None."""

    value: Any
    version: int
    lease: int | None


class StateServiceError(RemoteError):
    """A request to the state service was not executed, or its outcome is unknown."""


class UnavailableError(StateServiceError):
    """The request was not executed: status 503 or 429, an unexpected status, or no connection."""


class ThrottledError(UnavailableError):
    """The request was throttled (status 429); an immediate retry would add to the load."""


class TooLargeError(UnavailableError):
    """A value or transaction exceeds the service's limits; a retry without changes cannot succeed."""


class StoreLostError(UnavailableError):
    """The store has lost records or was replaced by another one; its replies cannot be trusted."""


class UnknownOutcomeError(StateServiceError):
    """The request may have been executed, or may still be executed later."""


class ConflictError(StateServiceError):
    """The guards of the keys in `failed` did not hold, so nothing was written."""

    def __init__(self, failed: list[str], *, operation: str = "", target: str = "", status: int | None = None) -> None:
        super().__init__(", ".join(failed), operation=operation, target=target, status=status)
        self.failed = failed


class LeaseExpiredError(StateServiceError):
    """The lease has ended."""


class CompactedError(StateServiceError):
    """The watch's revision has been compacted; the keys must be read again."""


class _ErrorFields(TypedDict):
    """The keyword arguments of `RemoteError`, which describe a request."""

    operation: str
    target: str
    status: int | None


class StateClient:
    """Sends requests to the state service; each returns a value or raises a `StateServiceError`.

    All methods may raise `UnavailableError` (including its subclasses `ThrottledError` and `StoreLostError`) and
    `UnknownOutcomeError`; their docstrings name only further errors.
    """

    def __init__(self, clock: Clock, client: Client, address: str, timeout_s: float) -> None:
        self._clock = clock
        self._client = client
        self._address = address
        self._timeout_s = timeout_s
        self.served_at = float("-inf")
        """Clock reading at the service's last reply with a status other than 429 or 503."""
        self.revision = 0
        """The store's revision when `get` last found a key missing."""
        self.highest_revision = 0
        """The highest revision in a reply so far; updated only while `on_revision_regression` is set."""
        self._resets = 0
        """How many times `reset_revisions` was called."""
        self.on_revision_regression: Callable[[int, int], None] | None = None
        """Called with the highest known and the received revision if the latter is lower; None turns the check off."""

    def reset_revisions(self) -> None:
        """Forgets the highest revision after the store was lost; replies to requests in flight are then rejected."""
        self.highest_revision = 0
        self._resets += 1

    async def lookup(self, key: str) -> VersionedValue | None:
        """Returns a key's value and version, or None if it does not exist.

        While `on_revision_regression` is set, the key is read as a range, since only replies about ranges contain the
        store's revision, which is then checked.
        """
        if self.on_revision_regression is not None:
            return (await self.lookup_at(key))[0]
        found = await self.get(key)
        return None if found is None else VersionedValue(found.value, found.version)

    async def lookup_at(self, key: str) -> tuple[VersionedValue | None, int]:
        """Returns a key's value and version, or None if it does not exist, and the store's revision."""
        items, revision = await self.first_items(key, 1)
        if not items or items[0].key != key:
            return None, revision
        return VersionedValue(items[0].value, items[0].version), revision

    async def first_items(self, prefix: str, limit: int) -> tuple[list[Item], int]:
        """Returns the first items under a prefix, and the store's revision."""
        reply = await self._request("GET", f"/kv?under={prefix}&limit={limit}", expected=(HTTPStatus.OK,))
        return _items(reply), reply.body["epoch"]

    async def get(self, key: str) -> LeasedValue | None:
        """Returns a key's value, version and lease, or None if it does not exist."""
        reply = await self._request("GET", f"/kv/{key}", expected=(HTTPStatus.OK, HTTPStatus.NOT_FOUND))
        if reply.status == HTTPStatus.NOT_FOUND:
            self.revision = (reply.body or {}).get("epoch", self.revision)
            return None
        return LeasedValue(reply.body["v"], reply.body["stamp"], reply.body.get("hold"))

    async def scan(self, prefix: str, limit: int = PAGE_SIZE) -> tuple[list[Item], int]:
        """Returns all items under a prefix, and the revision of the first page."""
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            since = f"&since={after}" if after else ""
            reply = await self._request("GET", f"/kv?under={prefix}{since}&limit={limit}", expected=(HTTPStatus.OK,))
            if revision is None:
                # A watch from the first page's revision repeats the changes made while later pages are read.
                revision = reply.body["epoch"]
            page = _items(reply)
            items.extend(page)
            if not reply.body.get("more") or not page:
                return items, revision
            after = items[-1].key

    async def commit(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], lease: int | None = None
    ) -> int:
        """Executes a transaction and returns its revision.

        `guards` are the versions that keys must have; the keys put are attached to `lease`, if given. Raises
        `ConflictError`, `LeaseExpiredError` or `TooLargeError`; in these cases nothing was written.
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
            raise ConflictError(failed, **self._error_fields(method, path, reply.status))
        reason = f"status {reply.status}: {reply.body}"
        if reply.status == HTTPStatus.BAD_REQUEST and lease is not None:
            raise LeaseExpiredError(reason, **self._error_fields(method, path, reply.status))
        if reply.status in (HTTPStatus.BAD_REQUEST, HTTPStatus.REQUEST_ENTITY_TOO_LARGE):
            raise TooLargeError(reason, **self._error_fields(method, path, reply.status))
        raise UnavailableError(reason, **self._error_fields(method, path, reply.status))

    async def grant_lease(self, life_s: float) -> int:
        """Returns a new lease, which expires after `life_s` unless it is renewed."""
        body = {"lifeMs": int(life_s * 1000)}
        reply = await self._request("POST", "/holds", body, life_s / 2, expected=(HTTPStatus.OK,))
        return int(reply.body["hold"])

    async def renew_lease(self, lease: int, timeout_s: float) -> None:
        """Renews a lease for its full lifetime; raises `LeaseExpiredError`."""
        method, path = "POST", f"/holds/{lease}/extend"
        reply = await self._request(method, path, {}, timeout_s, expected=(HTTPStatus.OK, HTTPStatus.NOT_FOUND))
        if reply.status == HTTPStatus.NOT_FOUND:
            raise LeaseExpiredError("the lease has ended", **self._error_fields(method, path, reply.status))

    async def revoke_lease(self, lease: int) -> None:
        """Revokes a lease, which deletes the keys that are attached to it."""
        await self._request("DELETE", f"/holds/{lease}")

    async def watch(self, prefix: str, revision: int, wait_s: float) -> tuple[int, list[Item]]:
        """Waits for changes under a prefix after a revision; returns the newest revision and the changes.

        The list is empty if nothing changed within `wait_s`. Raises `CompactedError`.
        """
        method, path = "GET", f"/watch?under={prefix}&since={revision}&blockMs={int(wait_s * 1000)}"
        expected = (HTTPStatus.OK, HTTPStatus.GONE)
        reply = await self._request(method, path, timeout_s=wait_s + self._timeout_s, expected=expected)
        if reply.status == HTTPStatus.GONE:
            raise CompactedError(f"revision {revision} is too old", **self._error_fields(method, path, reply.status))
        return reply.body["epoch"], [_changed_item(event) for event in reply.body["news"]]

    async def _request(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
        expected: tuple[HTTPStatus, ...] | None = None,
    ) -> Reply:
        """Returns a reply with one of the expected statuses; with any status but 429 and 503 if `expected` is None."""
        known_revision, resets = self.highest_revision, self._resets
        try:
            reply = await self._client.request(method, self._address, path, body, timeout_s or self._timeout_s)
        except ConnectionFailedError as error:
            raise UnavailableError(f"no connection: {error}", **self._error_fields(method, path)) from None
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error), **self._error_fields(method, path)) from None
        if reply.status == HTTPStatus.TOO_MANY_REQUESTS:
            raise ThrottledError("status 429", **self._error_fields(method, path, reply.status))
        if reply.status == HTTPStatus.SERVICE_UNAVAILABLE:
            raise UnavailableError("status 503", **self._error_fields(method, path, reply.status))
        self.served_at = self._clock.seconds()
        if self.on_revision_regression is not None and isinstance(reply.body, dict) and "epoch" in reply.body:
            if resets != self._resets:
                raise StoreLostError("it was asked before the store was found to be lost")
            self._check_revision(known_revision, reply.body["epoch"])
        if expected is not None and reply.status not in expected:
            raise UnavailableError(f"status {reply.status}", **self._error_fields(method, path, reply.status))
        return reply

    def _error_fields(self, method: str, path: str, status: int | None = None) -> _ErrorFields:
        """Returns the keyword arguments of an error in a request."""
        return {"operation": f"{method} {path}", "target": self._address, "status": status}

    def _check_revision(self, known_revision: int, revision: int) -> None:
        """Raises `StoreLostError` if a reply's revision is lower than the highest known when its request was sent.

        A linearizable store never returns such a revision.
        """
        if revision < known_revision:
            if self.on_revision_regression is not None:
                self.on_revision_regression(known_revision, revision)
            raise StoreLostError(f"the store has gone back from revision {known_revision} to {revision}")
        self.highest_revision = max(self.highest_revision, revision)


def _items(reply: Reply) -> list[Item]:
    """Returns the items of a page."""
    return [Item(item["path"], item["v"], item["stamp"]) for item in reply.body["pairs"]]


def _changed_item(event: dict[str, Any]) -> Item:
    """Returns the item of a watch event."""
    if "set" in event:
        return Item(event["set"], event["v"], event["stamp"])
    return Item(event["delete"], None, event["stamp"])
