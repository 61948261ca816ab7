"""The cloud: rentals, returns, and a list that lags."""

import math
from typing import TYPE_CHECKING, Any

from stileloft.transport.client import Reply
from tests.simulation.deployment import MACHINE_TYPES
from tests.simulation.workers import Machine

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster


LIST_LAG_S = 5.0
# The oldest list that is shown, in lags.
MAX_LIST_LAGS = 3.0
MAX_LISTED = 500
MAX_RENTED = 50


class Cloud:
    def __init__(self, cluster: "SimulatedCluster", capacity: int) -> None:
        self.cluster = cluster
        self.capacity = capacity
        self.max_machines = 1000
        """Machines of all kinds together."""
        self.available_types = {kind["label"] for kind in MACHINE_TYPES}
        """Types of which there are any."""
        self.machines: dict[str, Machine] = {}
        self.requests: dict[str, list[str]] = {}
        self.history: list[tuple[float, list[dict[str, Any]]]] = []
        self.rps = 8.0
        self._allowed = (2 * self.rps, 0.0)
        """What is left of the burst of requests, and when that was counted."""
        self.throttled_requests = 0
        self.down_until = 0.0
        self.boot_s = 15.0
        self.failed_boot_share = 0.03
        """The share of machines that never come up."""
        self.boot_faults_until = 0.0
        self.boot_faults = (0.0, 0.0, 0.0)
        """Until then: the share of machines that never come up, that of late ones, and how long a boot takes."""
        self.loop()

    def loop(self) -> None:
        self.cluster.clock.callLater(1.0, self.loop)
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
        if not self._within_rate():
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
        return self.listed(dict(part.split("=", 1) for part in path.partition("?")[2].split("&")))

    def listed(self, arguments: dict[str, str]) -> Reply:
        """A page of the list, as it was a while ago."""
        lag = LIST_LAG_S * self.cluster.random.uniform(0.5, 2.0)
        shown = [listed for at, listed in self.history if at <= self.cluster.now - lag]
        since, limit = arguments.get("since", ""), min(MAX_LISTED, int(arguments.get("limit", MAX_LISTED)))
        following = [item for item in (shown[-1] if shown else []) if item["nameId"] > since]
        return Reply(200, {"hosts": following[:limit], "more": len(following) > limit})

    def _within_rate(self) -> bool:
        """Whether a request is within the limit, with bursts of two seconds' worth."""
        left, at = self._allowed
        left = min(2 * self.rps, left + (self.cluster.now - at) * self.rps)
        taken = left >= 1.0
        self._allowed = left - taken, self.cluster.now
        return taken

    def rent(self, body: Any) -> Reply:
        if body["hire"] in self.requests:
            return Reply(200, {"hosts": self.requests[body["hire"]]})
        kind = next(k for k in MACHINE_TYPES if k["label"] == body["build"])
        present = [
            m for m in self.machines.values() if (m.kind, m.zone, m.spot) == (kind, body["yard"], body["loaner"])
        ]
        count = min(body["count"], MAX_RENTED, self.capacity - len(present), self.max_machines - len(self.machines))
        if count <= 0 or kind["label"] not in self.available_types:
            return Reply(503, {"error": "no capacity"})
        names = [self.add(kind, body["yard"], body["loaner"]).name for _ in range(count)]
        self.requests[body["hire"]] = names
        return Reply(200, {"hosts": names})

    def machine(self, name: str, kind: dict, zone: str, spot: bool) -> Machine:
        return Machine(self.cluster, name, kind, zone, spot)

    def add(self, kind: dict, zone: str, spot: bool) -> Machine:
        name = f"n-{len(self.cluster.all_machines):06d}"
        machine = self.machine(name, kind, zone, spot)
        self.machines[name] = machine
        self.cluster.all_machines[name] = machine
        draw = self.cluster.random.random()
        boot_s = self.boot_s * self.cluster.random.uniform(0.6, 1.5)
        if self.cluster.now < self.boot_faults_until:
            never, late, self_made = self.boot_faults
            boot_s = self_made or boot_s
            if draw < never:
                return machine
            if draw < never + late:
                boot_s *= 6
        if draw > self.failed_boot_share:
            self.cluster.clock.callLater(boot_s, machine.boot)
        return machine
