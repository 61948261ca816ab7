"""A stand-in of the state service: keys, transactions, leases and watches."""

import asyncio
from http import HTTPStatus
from typing import Any, NamedTuple

from wire import Answer, Record, Server, in_background

CHECK_S = 0.02
"""Interval at which leases are ended and watches are answered."""
PAGE = 1000


class Stored(NamedTuple):
    """A key's value, version and lease."""

    value: Any
    stamp: int
    hold: int | None


class StateService:
    """Each controller has an address of its own, so that one of them can be refused or served slowly."""

    def __init__(self, record: Record, txn_ops: int) -> None:
        """`txn_ops` is the limit on puts and deletes in one transaction."""
        self._record = record
        self._txn_ops = txn_ops
        self.items: dict[str, Stored] = {}
        self.epoch = 0
        self._holds: dict[int, tuple[float, float]] = {}
        self._news: list[tuple[int, dict[str, Any]]] = []
        self.refused: set[str] = set()
        """Callers that get 503."""
        self.slow_s: dict[str, float] = {}
        """Seconds after which a caller's requests are carried out."""
        self._next_hold = 0
        self._out = False

    async def start(self) -> None:
        """Begins to end leases."""
        in_background(self._expire())

    async def address_for(self, caller: str) -> str:
        """Returns the address that this caller uses."""

        async def handle(method: str, path: str, body: Any) -> Answer:
            return await self._handle(caller, method, path, body)

        server = Server(handle)
        await server.start()
        return server.address

    def begin_outage(self) -> None:
        """Refuses everybody; no lease ends."""
        self._out = True
        self._record.write("state: outage")

    def end_outage(self) -> None:
        """Serves again; all leases have their full time."""
        self._out = False
        now = self._record.now()
        self._holds = {hold: (life_s, now + life_s) for hold, (life_s, _) in self._holds.items()}
        self._record.write("state: outage over")

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            if self._out:
                continue
            now = self._record.now()
            for hold, (_, until) in list(self._holds.items()):
                if now >= until:
                    self._end_hold(hold)

    def _end_hold(self, hold: int) -> None:
        self._holds.pop(hold, None)
        for key in [key for key, item in self.items.items() if item.hold == hold]:
            self.epoch += 1
            del self.items[key]
            self._news.append((self.epoch, {"delete": key, "stamp": self.epoch}))
            self._record.write(f"state: {key} ends with its lease")

    async def _handle(self, caller: str, method: str, path: str, body: Any) -> Answer:
        path, _, query = path.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if part)
        if path == "/watch":
            return await self._watch(caller, arguments)
        await asyncio.sleep(self.slow_s.get(caller, 0.0))
        if self._out or caller in self.refused:
            return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "trouble"}
        if path == "/commit":
            return self._commit(caller, body)
        if path.startswith("/holds"):
            return self._hold(method, path, body)
        return self._page(arguments) if path == "/kv" else self._get(path)

    def _get(self, path: str) -> Answer:
        item = self.items.get(path.removeprefix("/kv/"))
        if item is None:
            return HTTPStatus.NOT_FOUND, {"epoch": self.epoch}
        found = {"path": path.removeprefix("/kv/"), "v": item.value, "stamp": item.stamp, "hold": item.hold}
        return HTTPStatus.OK, found

    def _page(self, arguments: dict[str, str]) -> Answer:
        since, limit = arguments.get("since", ""), min(PAGE, int(arguments.get("limit", PAGE)))
        keys = sorted(key for key in self.items if key.startswith(arguments["under"]) and key > since)
        pairs = [{"path": key, "v": self.items[key].value, "stamp": self.items[key].stamp} for key in keys[:limit]]
        return HTTPStatus.OK, {"pairs": pairs, "more": len(keys) > limit, "epoch": self.epoch}

    def _commit(self, caller: str, body: Any) -> Answer:
        writes, guards = body["writes"], body["guards"]
        if len(writes) > self._txn_ops:
            return HTTPStatus.BAD_REQUEST, {"error": "too many operations"}
        if any(write.get("hold") is not None and write["hold"] not in self._holds for write in writes):
            return HTTPStatus.BAD_REQUEST, {"error": "no such lease"}
        failed = [g["path"] for g in guards if g["stamp"] != getattr(self.items.get(g["path"]), "stamp", 0)]
        if failed:
            return HTTPStatus.CONFLICT, {"failed": failed, "epoch": self.epoch}
        if writes:
            self.epoch += 1
            keys = [write.get("set") or write["delete"] for write in writes]
            self._record.write(f"state: {caller} commits {keys} as {self.epoch}")
        for write in writes:
            if "set" in write:
                self.items[write["set"]] = Stored(write["v"], self.epoch, write.get("hold"))
                self._news.append((self.epoch, {"set": write["set"], "v": write["v"], "stamp": self.epoch}))
            elif self.items.pop(write["delete"], None) is not None:
                self._news.append((self.epoch, {"delete": write["delete"], "stamp": self.epoch}))
        return HTTPStatus.OK, {"epoch": self.epoch}

    def _hold(self, method: str, path: str, body: Any) -> Answer:
        now = self._record.now()
        if path == "/holds":
            self._next_hold += 1
            self._holds[self._next_hold] = body["lifeMs"] / 1000, now + body["lifeMs"] / 1000
            return HTTPStatus.OK, {"hold": self._next_hold}
        hold = int(path.split("/")[2])
        if hold not in self._holds:
            return HTTPStatus.NOT_FOUND, {"error": "no such lease"}
        if method == "DELETE":
            self._end_hold(hold)
        else:
            self._holds[hold] = self._holds[hold][0], now + self._holds[hold][0]
        return HTTPStatus.OK, {}

    async def _watch(self, caller: str, arguments: dict[str, str]) -> Answer:
        until = self._record.now() + int(arguments.get("blockMs", 0)) / 1000
        since, prefix = int(arguments["since"]), arguments["under"]
        while True:
            changed = [
                change
                for epoch, change in self._news
                if epoch > since and (change.get("set") or change["delete"]).startswith(prefix)
            ]
            if not self._out and caller not in self.refused and (changed or self._record.now() >= until):
                return HTTPStatus.OK, {"epoch": self.epoch, "news": changed}
            await asyncio.sleep(CHECK_S)

    def leader(self) -> str | None:
        """Returns the member that holds the key `leader`; None if there is none."""
        item = self.items.get("leader")
        return None if item is None else item.value["member"]
