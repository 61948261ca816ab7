"""The client of the state service: what was executed, what was not, and what is unknown."""

from collections.abc import Callable
from typing import Any

from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError
from stileloft.transport.clock import Clock

Item = tuple[str, Any, int]
"""Key, value (None: deleted) and version."""

# Items that the service gives in one answer.
PAGE = 1000


class UnavailableError(Exception):
    """The request was not executed (503, 429, no connection, or our own budget is spent)."""

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s


class ThrottledError(UnavailableError):
    """The request was not executed, as there were too many (429): repeating it soon makes that worse."""


class UnknownOutcomeError(Exception):
    """The request may have been executed, or may still be."""


class ConflictError(Exception):
    """A guard failed, so nothing was written."""

    def __init__(self, failed: list[str]) -> None:
        super().__init__(", ".join(failed))
        self.failed = failed


class LeaseExpiredError(Exception):
    """The lease has ended."""


class TooLargeError(UnavailableError):
    """A value or a transaction is beyond the service's limits: it will never be executed as it is."""


class StoreLostError(UnavailableError):
    """The store is not the one that is known: it has lost records, and what it says can't be believed."""


class CompactedError(Exception):
    """The watch's revision is too old; the keys have to be read again."""


class StateClient:
    """Requests to the store; each ends in a value or one of this module's errors."""

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
        """The highest that was seen, while a store that goes back is looked out for."""
        self._era = 0
        """How often revisions were forgotten."""
        self.on_regress: Callable[[int, int], None] | None = None
        """Called when the store answers with a lower revision than it had when it was asked: both are given."""

    async def _ask(self, method: str, path: str, body: Any = None, timeout_s: float | None = None) -> Any:
        known, era = self.highest_revision, self._era
        try:
            reply = await self._client.request(method, self._address, path, body, timeout_s or self._timeout_s)
        except ConnectionFailedError as error:
            raise UnavailableError(f"no connection: {error}") from None
        except NoResponseError as error:
            raise UnknownOutcomeError(str(error)) from None
        if reply.status == 429:
            raise ThrottledError("status 429")
        if reply.status == 503:
            raise UnavailableError(f"status {reply.status}")
        self.served_at = self._clock.seconds()
        if self.on_regress is not None and isinstance(reply.body, dict) and "epoch" in reply.body:
            if era != self._era:
                raise StoreLostError("it was asked before the store was found to be lost")
            self._check_revision(known, reply.body["epoch"])
        return reply

    def forget_revisions(self) -> None:
        """The store begins again where it is now: what is still under way was asked of another one."""
        self.highest_revision = 0
        self._era += 1

    def _check_revision(self, known: int, revision: int) -> None:
        """A store that is consistent never answers with a revision from before one that was known when it was asked."""
        if revision < known:
            if self.on_regress is not None:
                self.on_regress(known, revision)
            raise StoreLostError(f"the store has gone back from revision {known} to {revision}")
        self.highest_revision = max(self.highest_revision, revision)

    async def lookup(self, key: str) -> tuple[Any, int] | None:
        """Value and version of a key; with the store's revision checked, if that is looked out for.

        The answer about a single key does not tell the revision, that about a range of keys does.
        """
        if self.on_regress is None:
            found = await self.get(key)
            return None if found is None else found[:2]
        return (await self.lookup_at(key))[0]

    async def lookup_at(self, key: str) -> tuple[tuple[Any, int] | None, int]:
        """Value and version of a key, or None, and the store's revision at that moment."""
        items, revision = await self.first_items(key, 1)
        return (items[0][1:] if items and items[0][0] == key else None), revision

    async def first_items(self, prefix: str, limit: int) -> tuple[list[Item], int]:
        """The first items under a prefix, and the revision."""
        reply = await self._ask("GET", f"/kv?under={prefix}&limit={limit}")
        if reply.status != 200:
            raise UnavailableError(f"status {reply.status}")
        return [(item["path"], item["v"], item["stamp"]) for item in reply.body["pairs"]], reply.body["epoch"]

    async def get(self, key: str) -> tuple[Any, int, int | None] | None:
        """Value, version and lease of a key, or None if it does not exist."""
        reply = await self._ask("GET", f"/kv/{key}")
        if reply.status == 404:
            self.revision = (reply.body or {}).get("epoch", self.revision)
            return None
        if reply.status != 200:
            raise UnavailableError(f"status {reply.status}")
        return reply.body["v"], reply.body["stamp"], reply.body.get("hold")

    async def scan(self, prefix: str, limit: int = PAGE) -> tuple[list[Item], int]:
        """All items under a prefix, and the revision of the first page."""
        items: list[Item] = []
        revision: int | None = None
        after = ""
        while True:
            since = f"&since={after}" if after else ""
            reply = await self._ask("GET", f"/kv?under={prefix}{since}&limit={limit}")
            if reply.status != 200:
                raise UnavailableError(f"status {reply.status}")
            if revision is None:
                # Changes during later pages are seen again by a watch from here.
                revision = reply.body["epoch"]
            items.extend((item["path"], item["v"], item["stamp"]) for item in reply.body["pairs"])
            if not reply.body.get("more") or not reply.body["pairs"]:
                return items, revision
            after = items[-1][0]

    async def commit(
        self, guards: dict[str, int], puts: dict[str, Any], deletes: list[str], lease: int | None = None
    ) -> int:
        """One transaction; `lease` is attached to its puts. Returns the revision."""
        writes: list[dict[str, Any]] = []
        for key, value in puts.items():
            write = {"set": key, "v": value}
            if lease is not None:
                write["hold"] = lease
            writes.append(write)
        writes += [{"delete": key} for key in deletes]
        body = {"guards": [{"path": key, "stamp": version} for key, version in guards.items()], "writes": writes}
        reply = await self._ask("POST", "/commit", body)
        if reply.status == 200:
            return int(reply.body["epoch"])
        if reply.status == 409:
            raise ConflictError(list(reply.body.get("failed", [])))
        if reply.status == 400 and lease is not None:
            raise LeaseExpiredError
        if reply.status in (400, 413):
            raise TooLargeError(f"status {reply.status}: {reply.body}")
        raise UnavailableError(f"status {reply.status}: {reply.body}")

    async def new_lease(self, life_s: float) -> int:
        reply = await self._ask("POST", "/holds", {"lifeMs": int(life_s * 1000)}, life_s / 2)
        if reply.status != 200:
            raise UnavailableError(f"status {reply.status}")
        return int(reply.body["hold"])

    async def renew(self, lease: int, timeout_s: float) -> None:
        reply = await self._ask("POST", f"/holds/{lease}/extend", {}, timeout_s)
        if reply.status == 404:
            raise LeaseExpiredError
        if reply.status != 200:
            raise UnavailableError(f"status {reply.status}")

    async def end_lease(self, lease: int) -> None:
        await self._ask("DELETE", f"/holds/{lease}")

    async def watch(self, prefix: str, revision: int, wait_s: float) -> tuple[int, list[Item]]:
        """Changes after a revision: key, value (None: deleted), version."""
        reply = await self._ask(
            "GET",
            f"/watch?under={prefix}&since={revision}&blockMs={int(wait_s * 1000)}",
            timeout_s=wait_s + self._timeout_s,
        )
        if reply.status == 410:
            raise CompactedError
        if reply.status != 200:
            raise UnavailableError(f"status {reply.status}")
        events = []
        for event in reply.body["news"]:
            if "set" in event:
                events.append((event["set"], event["v"], event["stamp"]))
            else:
                events.append((event["delete"], None, event["stamp"]))
        return reply.body["epoch"], events
