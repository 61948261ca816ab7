"""A stand-in of the state service: keys, leases, transactions, watches and limits, as the protocol's page has them."""

import asyncio
import json
import time
from collections import deque
from http import HTTPStatus
from typing import Any

from wire import Reply

MAX_ITEMS, MAX_PAGE_BYTES, MAX_BODY_BYTES, MAX_CHANGES = 1000, 512 * 1024, 64 * 1024, 10_000
GUARDS_PER_CHANGE = 4


def json_bytes(value: Any) -> int:
    """Returns the size of a value in its JSON form."""
    return len(json.dumps(value, separators=(",", ":")))


class Bucket:
    """A rate limit with bursts of some seconds' worth."""

    def __init__(self, rate_per_s: float, burst_s: float = 1.0) -> None:
        self._rate, self._most = rate_per_s, rate_per_s * burst_s
        self._level, self._at = self._most, time.monotonic()

    def take(self, amount: float) -> bool:
        """Takes tokens if there are enough."""
        now = time.monotonic()
        self._level, self._at = min(self._most, self._level + (now - self._at) * self._rate), now
        if self._level < amount:
            return False
        self._level -= amount
        return True


class State:
    """The state service."""

    def __init__(self, rps: float, write_rps: float, value_kb: float, txn_ops: int) -> None:
        self._requests, self._changes_budget = Bucket(rps), Bucket(write_rps)
        self._value_bytes, self._txn_ops = int(value_kb * 1024), txn_ops
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self._epoch, self._next_hold = 0, 0
        self._holds: dict[int, tuple[float, float]] = {}
        self._news: deque[tuple[int, str, Any]] = deque(maxlen=MAX_CHANGES)
        self._changed = asyncio.Event()
        self.throttled = 0

    async def expire_holds(self) -> None:
        """Ends leases that were not renewed in time."""
        while True:
            await asyncio.sleep(0.02)
            for hold, (_, until) in list(self._holds.items()):
                if time.monotonic() > until:
                    self._end(hold)

    def leader(self) -> str | None:
        """Returns the member that holds the leader key."""
        item = self.items.get("leader")
        return None if item is None else item[0]["member"]

    def _end(self, hold: int) -> None:
        self._holds.pop(hold, None)
        held = [key for key, item in self.items.items() if item[2] == hold]
        if held:
            self._write([{"delete": key} for key in held])

    def _write(self, writes: list[dict[str, Any]]) -> None:
        self._epoch += 1
        for write in writes:
            if "set" in write:
                self.items[write["set"]] = write["v"], self._epoch, write.get("hold")
                self._news.append((self._epoch, write["set"], write["v"]))
            elif self.items.pop(write["delete"], None) is not None:
                self._news.append((self._epoch, write["delete"], None))
        self._changed.set()
        self._changed = asyncio.Event()

    async def handle(self, method: str, path: str, body: Any) -> Reply:
        """Answers a request."""
        writes = len(body["writes"]) if path == "/commit" else 0
        if not self._requests.take(1) or not self._changes_budget.take(writes):
            self.throttled += 1
            return Reply(HTTPStatus.TOO_MANY_REQUESTS, {})
        path, _, query = path.partition("?")
        options = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/commit":
            return self._commit(body)
        if path == "/kv":
            return self._list(options["under"], options.get("since", ""), int(options.get("limit", MAX_ITEMS)))
        if path.startswith("/kv/"):
            return self._get(path.removeprefix("/kv/"))
        if path == "/watch":
            return await self._watch(options["under"], int(options["since"]), int(options.get("blockMs", 0)) / 1000)
        return self._lease(method, path, body)

    def _get(self, key: str) -> Reply:
        item = self.items.get(key)
        if item is None:
            return Reply(HTTPStatus.NOT_FOUND, {"epoch": self._epoch})
        return Reply(HTTPStatus.OK, {"path": key, "v": item[0], "stamp": item[1], "hold": item[2]})

    def _lease(self, method: str, path: str, body: Any) -> Reply:
        if path == "/holds":
            self._next_hold += 1
            life_s = body["lifeMs"] / 1000
            self._holds[self._next_hold] = life_s, time.monotonic() + life_s
            return Reply(HTTPStatus.OK, {"hold": self._next_hold})
        hold = int(path.split("/")[2])
        if hold not in self._holds:
            return Reply(HTTPStatus.NOT_FOUND, {})
        if method == "DELETE":
            self._end(hold)
        else:
            life_s = self._holds[hold][0]
            self._holds[hold] = life_s, time.monotonic() + life_s
        return Reply(HTTPStatus.OK, {})

    def _list(self, prefix: str, since: str, limit: int) -> Reply:
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > since)
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[: min(limit, MAX_ITEMS)]:
            value, stamp, _ = self.items[key]
            size += json_bytes(value) + len(key)
            if pairs and size > MAX_PAGE_BYTES:
                break
            pairs.append({"path": key, "v": value, "stamp": stamp})
        return Reply(HTTPStatus.OK, {"pairs": pairs, "more": len(keys) > len(pairs), "epoch": self._epoch})

    def _commit(self, body: Any) -> Reply:
        writes, guards = body["writes"], body["guards"]
        if (
            len(writes) > self._txn_ops
            or len(guards) > GUARDS_PER_CHANGE * self._txn_ops
            or json_bytes(body) > MAX_BODY_BYTES
            or any(json_bytes(write.get("v")) > self._value_bytes for write in writes)
        ):
            return Reply(HTTPStatus.BAD_REQUEST, {"error": "too large"})
        if any(write.get("hold") is not None and write["hold"] not in self._holds for write in writes):
            return Reply(HTTPStatus.BAD_REQUEST, {"error": "no such lease"})
        failed = [g["path"] for g in guards if self.items.get(g["path"], (None, 0, None))[1] != g["stamp"]]
        if failed:
            return Reply(HTTPStatus.CONFLICT, {"failed": failed, "epoch": self._epoch})
        if writes:
            self._write(writes)
        return Reply(HTTPStatus.OK, {"epoch": self._epoch})

    async def _watch(self, prefix: str, since: int, block_s: float) -> Reply:
        until = time.monotonic() + block_s
        while True:
            if len(self._news) == MAX_CHANGES and since < self._news[0][0]:
                return Reply(HTTPStatus.GONE, {"epoch": self._epoch})
            news = [
                {"delete": key, "stamp": epoch} if value is None else {"set": key, "v": value, "stamp": epoch}
                for epoch, key, value in self._news
                if epoch > since and key.startswith(prefix)
            ]
            left_s = until - time.monotonic()
            if news or left_s <= 0:
                return Reply(HTTPStatus.OK, {"epoch": self._epoch, "news": news})
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue
