"""A fake of the cloud: rentals, releases, and a machine list that lags behind."""

import math
from typing import TYPE_CHECKING, Any

from stileloft.transport.client import Reply
from tests.simulation.deployment import MACHINE_TYPES
from tests.simulation.workers import Machine

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster


LIST_LAG_S = 5.0
"""Nominal lag of the machine list; the actual one varies from half to twice of it."""
MAX_LIST_LAGS = 3.0
"""Age up to which past lists are kept, in units of `LIST_LAG_S`."""
MAX_LISTED = 500
MAX_RENTED = 50


class Cloud:
    """Rents machines on request, boots them with simulated failures, and lists them."""

    def __init__(self, cluster: "SimulatedCluster", capacity: int) -> None:
        self.cluster = cluster
        self.capacity = capacity
        """The limit of machines for each type, zone and pricing."""
        self.max_machines = 1000
        """The limit of machines of all types together."""
        self.available_types = {kind["label"] for kind in MACHINE_TYPES}
        """Machine types that can be rented."""
        self.machines: dict[str, Machine] = {}
        self.requests: dict[str, list[str]] = {}
        """Machines rented for each idempotency key."""
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        """Past machine lists, each with its time; one a second."""
        self.rps = 8.0
        self._tokens = (2 * self.rps, 0.0)
        """The tokens left in the rate limiter's bucket, and the time of their last update."""
        self.throttled_requests = 0
        self.down_until = 0.0
        self.boot_s = 15.0
        self.failed_boot_share = 0.03
        """The share of machines that never boot."""
        self.boot_faults_until = 0.0
        self.boot_faults = (0.0, 0.0, 0.0)
        """Until `boot_faults_until`: the share of machines that never boot, the share that boots in six times the time,
        and the boot time in seconds, where 0 means `boot_s` with its usual variation."""
        self.record_list_periodically()

    def record_list_periodically(self) -> None:
        self.cluster.clock.callLater(1.0, self.record_list_periodically)
        del self.history[: -math.ceil(MAX_LIST_LAGS * LIST_LAG_S)]
        self.history.append(
            (
                self.cluster.now,
                [
                    {
                        "nameId": m.name,
                        "endpoint": m.address,
                        "build": m.kind["label"],
                        "yard": m.zone,
                        "loaner": m.spot,
                        "phase": "running" if m.up else "starting",
                        "ageS": self.cluster.now - m.rented_at,
                    }
                    for m in self.machines.values()
                ],
            )
        )

    def handle(self, _caller: str, _method: str, path: str, body: Any) -> Reply:
        if self.cluster.now < self.down_until:
            return Reply(503, {"error": "trouble"})
        if not self._take_token():
            self.throttled_requests += 1
            return Reply(429, {"error": "too many"})
        if path == "/machine_types":
            return Reply(200, {"builds": MACHINE_TYPES})
        if path == "/hosts/release":
            for name in body["hosts"]:
                machine = self.machines.pop(name, None)
                if machine is not None:
                    machine.die()
            return Reply(200, {})
        if path == "/hosts":
            return self.rent(body)
        return self.list_machines(dict(part.split("=", 1) for part in path.partition("?")[2].split("&")))

    def list_machines(self, arguments: dict[str, str]) -> Reply:
        """Returns a page of the machine list as it was half to two times `LIST_LAG_S` ago."""
        lag = LIST_LAG_S * self.cluster.random.uniform(0.5, 2.0)
        visible = [listed for at, listed in self.history if at <= self.cluster.now - lag]
        since, limit = arguments.get("since", ""), min(MAX_LISTED, int(arguments.get("limit", MAX_LISTED)))
        following = [item for item in (visible[-1] if visible else []) if item["nameId"] > since]
        return Reply(200, {"hosts": following[:limit], "more": len(following) > limit})

    def _take_token(self) -> bool:
        """Takes a token for a request if there is one; the bucket holds the tokens of two seconds."""
        tokens, updated_at = self._tokens
        tokens = min(2 * self.rps, tokens + (self.cluster.now - updated_at) * self.rps)
        allowed = tokens >= 1.0
        self._tokens = tokens - allowed, self.cluster.now
        return allowed

    def rent(self, body: Any) -> Reply:
        if body["hire"] in self.requests:
            return Reply(200, {"hosts": self.requests[body["hire"]]})
        kind = next(k for k in MACHINE_TYPES if k["label"] == body["build"])
        matching = [
            m for m in self.machines.values() if (m.kind, m.zone, m.spot) == (kind, body["yard"], body["loaner"])
        ]
        count = min(body["count"], MAX_RENTED, self.capacity - len(matching), self.max_machines - len(self.machines))
        if count <= 0 or kind["label"] not in self.available_types:
            return Reply(503, {"error": "no capacity"})
        names = [self.add(kind, body["yard"], body["loaner"]).name for _ in range(count)]
        self.requests[body["hire"]] = names
        return Reply(200, {"hosts": names})

    def machine(self, name: str, kind: dict, zone: str, spot: bool) -> Machine:
        """Returns a new machine; subclasses return their own kind of machine."""
        return Machine(self.cluster, name, kind, zone, spot)

    def add(self, kind: dict, zone: str, spot: bool) -> Machine:
        """Rents a machine and schedules its boot."""
        name = f"n-{len(self.cluster.all_machines):06d}"
        machine = self.machine(name, kind, zone, spot)
        self.machines[name] = machine
        self.cluster.all_machines[name] = machine
        draw = self.cluster.random.random()
        boot_s = self.boot_s * self.cluster.random.uniform(0.6, 1.5)
        if self.cluster.now < self.boot_faults_until:
            failed_share, late_share, fixed_boot_s = self.boot_faults
            boot_s = fixed_boot_s or boot_s
            if draw < failed_share:
                return machine
            if draw < failed_share + late_share:
                boot_s *= 6
        if draw > self.failed_boot_share:
            self.cluster.clock.callLater(boot_s, machine.boot)
        return machine
