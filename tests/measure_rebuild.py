"""Measures what a rebuild and its replicas cost: `python3 -m tests.measure_rebuild 600 4000`.

Processor time is that of this machine, times of a rebuild are simulated; it is no part of the tests.
"""

import logging
import random
import sys
import time

from stileloft.features import Features, RebuildFeature
from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.replica import Replica
from stileloft.rebuild.snapshot import to_pieces
from tests.simulation.fleet import FleetCluster

REBUILD_ENABLED = Features(rebuild=RebuildFeature(enabled=True))
ENDED_JOBS = 20_000
LONGEST_S = 60.0


class RebuiltLines(logging.Handler):
    """Keeps what rebuilds say of themselves."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        text = record.getMessage()
        if text.startswith("rebuild finished"):
            self.lines.append(text)


class Applied:
    """Processor time of the changes that replicas take in."""

    def __init__(self) -> None:
        self.calls, self.total_s = 0, 0.0
        plain = Replica.apply

        def timed(replica: Replica, *arguments: object) -> None:
            began = time.process_time()
            plain(replica, *arguments)  # type: ignore[arg-type]
            self.total_s += time.process_time() - began
            self.calls += 1

        Replica.apply = timed  # type: ignore[method-assign]


def measure_fleet(machines: int, applied: Applied, lines: RebuiltLines) -> None:
    cluster = FleetCluster(1, machines, features=REBUILD_ENABLED)
    cluster.submit_batch(12.0)
    cluster.run(12)
    applied.calls, applied.total_s = 0, 0.0
    cluster.run(14)
    tasks = sum(len(machine.tasks) for machine in cluster.all_machines.values())
    rebuild = cluster.nodes[cluster.leader()].rebuild
    pieces = to_pieces(rebuild.snapshots.snapshot())
    held = sum(len(record.data) for record in rebuild.replicas.current.records.values())
    print(f"{machines} machines, {tasks} tasks on them, {len(cluster.jobs)} jobs")
    print(f"  a snapshot: {len(pieces)} pieces, {sum(map(len, pieces))} bytes; its records {held} bytes")
    print(f"  replicas: {applied.calls} changes in 14 s on three nodes, {1000 * applied.total_s:.1f} ms in all")
    wiped_at = cluster.now
    lines.lines.clear()
    cluster.state.wipe()
    while not lines.lines and cluster.now < wiped_at + LONGEST_S:
        cluster.run(0.05)
    rebuilt_s, starts = cluster.now - wiped_at, cluster.checker.starts
    while cluster.checker.starts == starts and cluster.now < wiped_at + LONGEST_S:
        cluster.run(0.05)
    print(f"  {lines.lines[0] if lines.lines else 'not rebuilt'}")
    print(f"  simulated: all records after {rebuilt_s:.1f} s, the next start after {cluster.now - wiped_at:.1f} s")


def measure_outcomes() -> None:
    """Bitmaps beside ranges, for job numbers in no order."""
    numbers = random.Random(1).sample(range(1_000_000), ENDED_JOBS)
    began = time.process_time()
    outcomes = JobOutcomes()
    for number in numbers:
        outcomes.add(f"j-{number:06d}", JobOutcome("done", 1 + number % 40))
    added_s = time.process_time() - began
    began = time.process_time()
    values = outcomes.to_records(16 * 1024)
    encoded_s = time.process_time() - began
    began = time.process_time()
    ranges = records.to_ranges(set(numbers))
    ranges_s = time.process_time() - began
    size = sum(map(records.json_bytes, values))
    print(f"{ENDED_JOBS} outcomes of forty kinds: bitmaps {size} bytes in {len(values)} records, ", end="")
    print(f"added in {1000 * added_s:.0f} ms, encoded in {1000 * encoded_s:.0f} ms; ", end="")
    print(f"ranges of the numbers alone {records.json_bytes(ranges)} bytes, {1000 * ranges_s:.0f} ms")


def main() -> None:
    lines = RebuiltLines()
    logging.getLogger().addHandler(lines)
    logging.getLogger().setLevel(logging.INFO)
    measure_outcomes()
    applied = Applied()
    for machines in [int(text) for text in sys.argv[1:]] or [600, 4000]:
        measure_fleet(machines, applied, lines)


if __name__ == "__main__":
    main()
