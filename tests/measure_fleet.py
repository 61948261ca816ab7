"""Measures what a fleet's size costs a leader: `python3 -m tests.measure_fleet 600 2000 4000`.

Processor time is that of this machine, on the fakes; it is no part of the tests. The HTTP side of a report is measured
apart, with the real server on a transport in memory.
"""

import sys
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.testing import StringTransport

from stileloft.leadership.leader import Leader
from stileloft.machines.inventory import MachineInventory
from stileloft.protocol import messages
from stileloft.protocol.commands import CommandMessage
from stileloft.scheduling.scheduling_loop import SchedulingLoop
from stileloft.transport.server import Response, Router, make_site
from stileloft.workers.heartbeat_responder import HeartbeatResponder
from tests.simulation.fleet import FleetCluster

REPEATS = 2000


@dataclass
class Cost:
    """Processor time of the calls of one function."""

    calls: int = 0
    total_s: float = 0.0
    longest_s: float = 0.0

    def add(self, seconds: float) -> None:
        self.calls += 1
        self.total_s += seconds
        self.longest_s = max(self.longest_s, seconds)


@dataclass
class Costs:
    """Costs of the functions that are watched, by their names."""

    by_name: dict[str, Cost] = field(default_factory=dict)

    def watch(self, owner: Any, method: str) -> None:
        """Has the processor time of a method counted."""
        plain: Callable[..., Any] = getattr(owner, method)
        cost = self.by_name[f"{owner.__name__}.{method}"] = Cost()

        def timed(*arguments: Any, **more: Any) -> Any:
            began = time.process_time()
            try:
                return plain(*arguments, **more)
            finally:
                cost.add(time.process_time() - began)

        setattr(owner, method, timed)

    def reset(self) -> None:
        for cost in self.by_name.values():
            cost.calls, cost.total_s, cost.longest_s = 0, 0.0, 0.0

    def table(self, title: str) -> None:
        print(f"  {title}")
        for name, cost in self.by_name.items():
            mean_ms = 1000 * cost.total_s / max(1, cost.calls)
            print(f"    {name:22} {cost.calls:6} calls, mean {mean_ms:8.3f} ms, most {1000 * cost.longest_s:8.2f} ms")


def measure_size(machines: int, costs: Costs) -> None:
    """A batch, then a change of leader, with so many machines."""
    costs.reset()
    cluster = FleetCluster(1, machines)
    cluster.submit_batch(12.0)
    cluster.run(12)
    costs.reset()
    cluster.run(20)
    print(f"{machines} machines, {sum(len(m.tasks) for m in cluster.all_machines.values())} tasks on them")
    costs.table("20 s with a batch")
    costs.reset()
    cluster.kill(cluster.leader())
    killed_at = cluster.now
    while True:
        cluster.run(0.5)
        name = cluster.leader()
        if name is not None and cluster.nodes[name].leader.cluster.loaded:
            known = sum(
                1 for machine in cluster.nodes[name].leader.cluster.machines.values() if machine.has_current_token
            )
            if known >= machines:
                break
    print(
        f"  all machines known to the new leader {cluster.now - killed_at:.1f} s (simulated) after the loss of the old"
    )
    costs.table("take-over")


def measure_memory(machines: int) -> None:
    """What the leader's picture takes: all that was allocated by the program's own modules."""
    tracemalloc.start()
    cluster = FleetCluster(1, machines)
    cluster.submit_batch(8.0)
    cluster.run(20)
    own = tracemalloc.take_snapshot().filter_traces([tracemalloc.Filter(True, "*/stileloft/*")])
    tracemalloc.stop()
    held = sum(trace.size for trace in own.traces)
    print(f"{machines} machines: {held / 2**20:.1f} MB are held by the program's modules on three nodes")


def measure_report_requests(connections_kept: bool) -> None:
    """A report through the real server, with an answer that has nothing to say."""
    handlers = {"POST": lambda _body, _arguments: Response(200, CommandMessage(7, []))}
    router = Router(
        lambda _path: (handlers, {}), messages.encode, messages.decode, "application/cbor", lambda _: connections_kept
    )
    site = make_site(router, 60.0)
    body = messages.encode(
        {"host": "n-000231", "endpoint": "10.1.0.232:9000", "build": "g8", "yard": "a", "loaner": True}
        | {"stint": 1, "tick": 88, "baton": 41, "warningS": None}
        | {"pieces": [{"piece": f"j-000412/{n}", "try": 1, "phase": "running"} for n in range(4)]}
    )
    request = b"POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Type: application/cbor\r\n"
    request += b"Content-Length: %d\r\n\r\n" % len(body) + body

    def connect() -> tuple[Any, StringTransport]:
        protocol = site.buildProtocol(None)
        transport = StringTransport()
        protocol.makeConnection(transport)
        return protocol, transport

    protocol, transport = connect()
    began = time.process_time()
    for _ in range(REPEATS):
        if not connections_kept:
            protocol, transport = connect()
        protocol.dataReceived(request)
        assert transport.value().startswith(b"HTTP/1.1 200")
        transport.clear()
    took = (time.process_time() - began) / REPEATS
    print(f"a report's request, connection {'kept' if connections_kept else 'made anew'}: {1000 * took:.3f} ms")


def main() -> None:
    sizes = [int(text) for text in sys.argv[1:]] or [600, 2000, 4000]
    for kept in (True, False):
        measure_report_requests(kept)
    for machines in sizes:
        measure_memory(machines)
    costs = Costs()
    for owner, method in (
        (SchedulingLoop, "_decide"),
        (SchedulingLoop, "_apply"),
        (Leader, "_check_machines"),
        (HeartbeatResponder, "on_heartbeat"),
    ):
        costs.watch(owner, method)
    costs.watch(MachineInventory, "_reconcile")
    for machines in sizes:
        measure_size(machines, costs)


if __name__ == "__main__":
    main()
