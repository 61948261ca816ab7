"""The key-value store, with leases, watches, outages, and transactions that are late or lost."""

import json
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.transport.client import NoResponseError, Reply

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster


# What an answer holds at the most, and how many changes are kept for watches.
MAX_ITEMS = 1000
MAX_BYTES = 512 * 1024
MAX_CHANGES = 10_000


class StateService:
    """The key-value store, with leases, watches and outages."""

    def __init__(self, cluster: "SimulatedCluster") -> None:
        self.cluster = cluster
        self.items: dict[str, tuple[Any, int, int | None]] = {}
        self.revision = 0
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 0
        self.changes: list[tuple[str, Any, int]] = []
        self.compacted = 0
        """Changes up to this revision are no longer known."""
        self.down_until = 0.0
        self.refused_until: dict[str, float] = {}
        self.value_bytes = int(cluster.value_kb * 1024)
        self.txn_ops = 12
        self.oversized_requests = 0
        self.rps, self.write_rps = 200.0, 60.0
        self.allowed = {"requests": (self.rps, 0.0), "changes": (self.write_rps, 0.0)}
        """What is left of each limit's burst, and when that was counted."""
        self.throttled_requests = 0
        self.late_writes = (0.0, 0.0, False)
        """Until when, of which share of the transactions the answer is lost, and whether they are carried out at once;
        else they are 2 s to 12 s later."""
        self.slow_responses = (0.0, 0.0)
        """Until when answers take up to how long; what they say is read at the start or at the end of that."""
        cluster.clock.callLater(0.05, self.expire)

    def within(self, limit: str, per_s: float, amount: float) -> bool:
        left, at = self.allowed[limit]
        left = min(per_s, left + (self.cluster.now - at) * per_s)
        taken = left >= amount
        self.allowed[limit] = left - amount * taken, self.cluster.now
        return taken

    def receive(self, caller: str, method: str, path: str, body: Any) -> Any:
        """A request as it comes from the network, with the troubles of the service."""
        cluster = self.cluster
        until, share, at_once = self.late_writes
        if path == "/commit" and cluster.now < until and cluster.random.random() < share:
            if at_once:
                self.handle(caller, method, path, body)
            else:
                cluster.clock.callLater(cluster.random.uniform(2.0, 12.0), self.handle, caller, method, path, body)
            raise NoResponseError("the answer is lost")
        until, longest = self.slow_responses
        if cluster.now >= until:
            return self.handle(caller, method, path, body)
        answered: defer.Deferred = defer.Deferred()
        wait = cluster.random.uniform(0.0, longest)
        if cluster.random.random() < 0.5:
            early = defer.maybeDeferred(self.handle, caller, method, path, body)
            cluster.clock.callLater(wait, early.chainDeferred, answered)
        else:
            cluster.clock.callLater(
                wait, lambda: defer.maybeDeferred(self.handle, caller, method, path, body).chainDeferred(answered)
            )
        return answered

    def down_for(self, caller: str) -> bool:
        now = self.cluster.now
        return now < self.down_until or now < self.refused_until.get(caller, 0.0)

    def outage(self, seconds: float) -> None:
        self.down_until = self.cluster.now + seconds

        def renewed() -> None:
            for lease, (life, _) in list(self.leases.items()):
                self.leases[lease] = life, self.cluster.now + life

        self.cluster.clock.callLater(seconds, renewed)

    def wipe(self, keeps_counting: bool = False) -> None:
        """All records and leases are gone; revisions begin again, unless the service keeps counting."""
        self.restore({}, self.revision if keeps_counting else 0)

    def backup(self) -> tuple[dict[str, tuple[Any, int, int | None]], int]:
        """The present state, for `restore`."""
        return dict(self.items), self.revision

    def restore(self, items: dict[str, tuple[Any, int, int | None]], revision: int) -> None:
        """An older state comes back; leases, and all that hung on them, are gone."""
        self.items = {key: item for key, item in items.items() if item[2] is None}
        self.revision = revision
        self.leases.clear()
        self.changes.clear()
        self.compacted = 0

    def expire(self) -> None:
        self.cluster.clock.callLater(0.05, self.expire)
        if self.cluster.now < self.down_until:
            return
        for lease, (_, until) in list(self.leases.items()):
            if self.cluster.now >= until:
                self.end(lease)

    def end(self, lease: int) -> None:
        self.leases.pop(lease, None)
        for key in [k for k, item in self.items.items() if item[2] == lease]:
            self.revision += 1
            self.delete(key)

    def delete(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.changes.append((key, None, self.revision))

    def handle(self, caller: str, method: str, path: str, body: Any) -> Any:  # noqa: C901, PLR0911 - one case a request
        if self.down_for(caller) and not path.startswith("/watch"):
            return Reply(503, {"error": "trouble"})
        changes = len(body["writes"]) if path == "/commit" else 0
        if not self.within("requests", self.rps, 1) or not self.within("changes", self.write_rps, changes):
            self.throttled_requests += 1
            return Reply(429, {"error": "too many"})
        path, _, query = path.partition("?")
        arguments = dict(part.split("=", 1) for part in query.split("&") if part)
        if path.startswith("/kv/"):
            item = self.items.get(path[4:])
            if item is None:
                return Reply(404, {"epoch": self.revision})
            return Reply(200, {"path": path[4:], "v": item[0], "stamp": item[1], "hold": item[2]})
        if path == "/kv":
            since, limit = arguments.get("since", ""), int(arguments.get("limit", 1000))
            return self.page(arguments["under"], since, min(limit, MAX_ITEMS))
        if path == "/commit":
            return self.commit(body)
        if path == "/holds":
            self.next_lease += 1
            life = body["lifeMs"] / 1000
            self.leases[self.next_lease] = life, self.cluster.now + life
            return Reply(200, {"hold": self.next_lease})
        if path.startswith("/holds/"):
            lease = int(path.split("/")[2])
            if lease not in self.leases:
                return Reply(404, None)
            if method == "DELETE":
                self.end(lease)
            else:
                life = self.leases[lease][0]
                self.leases[lease] = life, self.cluster.now + life
            return Reply(200, {})
        return self.watch(caller, arguments)

    def page(self, prefix: str, since: str, limit: int) -> Reply:
        """Items in the order of their keys, as many as an answer holds."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > since)
        pairs: list[dict[str, Any]] = []
        size = 0
        for key in keys[:limit]:
            value, version, _ = self.items[key]
            size += len(json.dumps(value)) + len(key)
            if pairs and size > MAX_BYTES:
                break
            pairs.append({"path": key, "v": value, "stamp": version})
        return Reply(200, {"pairs": pairs, "more": len(keys) > len(pairs), "epoch": self.revision})

    def commit(self, body: Any) -> Reply:
        if len(body["writes"]) > self.txn_ops or len(body["guards"]) > 4 * self.txn_ops:
            self.oversized_requests += 1
            return Reply(400, {"error": "too many operations"})
        for write in body["writes"]:
            if len(json.dumps(write.get("v"))) > self.value_bytes:
                self.oversized_requests += 1
                return Reply(400, {"error": f"the value of {write.get('set')} is too large"})
            if write.get("hold") is not None and write["hold"] not in self.leases:
                return Reply(400, {"error": "no such lease"})
        failed = [g["path"] for g in body["guards"] if self.items.get(g["path"], (0, 0))[1] != g["stamp"]]
        if failed:
            return Reply(409, {"failed": failed, "epoch": self.revision})
        self.revision += 1
        for write in body["writes"]:
            if "set" in write:
                self.items[write["set"]] = write["v"], self.revision, write.get("hold")
                self.changes.append((write["set"], write["v"], self.revision))
            else:
                self.delete(write["delete"])
        return Reply(200, {"epoch": self.revision})

    def watch(self, caller: str, arguments: dict[str, str]) -> defer.Deferred:
        since, prefix = int(arguments["since"]), arguments["under"]
        if len(self.changes) > MAX_CHANGES:
            self.compacted = self.changes[-MAX_CHANGES - 1][2]
            del self.changes[:-MAX_CHANGES]
        if since < self.compacted:
            answer: defer.Deferred = defer.succeed(Reply(410, {"epoch": self.revision}))
            return answer
        until = self.cluster.now + int(arguments["blockMs"]) / 1000
        answered: defer.Deferred = defer.Deferred()

        def look() -> None:
            news = [c for c in self.changes if c[2] > since and c[0].startswith(prefix)]
            if self.down_for(caller) or (not news and self.cluster.now < until):
                self.cluster.clock.callLater(0.05, look)
                return
            answered.callback(
                Reply(
                    200,
                    {
                        "epoch": self.revision,
                        "news": [
                            {"delete": k, "stamp": r} if v is None else {"set": k, "v": v, "stamp": r}
                            for k, v, r in news
                        ],
                    },
                )
            )

        look()
        return answered
