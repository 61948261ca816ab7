"""Characterization of the controllers: all that they send, answer and store on simulated days.

On the simulated cluster everything that a controller does is the same at each run, to the byte and to the microsecond.
This tool plays days with mixed jobs and faults and keeps a digest of every message and stored record of each day. A
change that is meant to leave the behaviour alone leaves the digests alone; a change of behaviour updates the file of
digests on purpose, and its commit says why.

    python3 -m tests.wire_trace                     compare all days with tests/wire_digests.json
    python3 -m tests.wire_trace --seed 7 --dump F   write the events of a day, a line each, to find a first difference
    python3 -m tests.wire_trace --update            write the file of digests anew
"""

import argparse
import hashlib
import json
import os
import random
import sys
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from typing import Any, NamedTuple
from unittest import mock

from twisted.internet import defer

from stileloft.features import Features, RebuildFeature
from stileloft.protocol import messages
from stileloft.transport.client import Reply
from tests import test_overlapping_faults as overlapping
from tests import test_rules as single
from tests.held_starts import cloud_outage, freeze_leader
from tests.simulation.clients import SimulatedClient
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.network import MessageDelay
from tests.test_gangs import gang_job, submit_gangs
from tests.versions import CURRENT, production

DIGESTS = Path(__file__).parent / "wire_digests.json"
SEEDS = range(1, 25)
DAY_S = 110.0
FAULTS_FROM_S, FAULTS_UNTIL_S = 18.0, 80.0

Fault = Callable[[SimulatedCluster], None]


def hold_starts(cluster: SimulatedCluster) -> None:
    """Start commands stay on their way for longer than a cancellation may take."""
    cluster.message_delays.append(MessageDelay(cluster.now + 8.0, 20.0, 60.0, verb="launch"))


def hold_answers(cluster: SimulatedCluster) -> None:
    """Commands are executed in time, and their answers come late."""
    cluster.message_delays.append(MessageDelay(cluster.now + 8.0, 2.0, 12.0, share=0.5, answers=True))


FAULTS: tuple[Fault, ...] = (
    single.crash_leader,
    single.crash_all_controllers,
    single.restart_during_elections,
    single.outage,
    single.refuse_leader,
    single.partition_leader_from_state_service,
    single.partition_leader_from_workers,
    single.reclaim_spot_machines,
    single.crash_machines,
    single.hang_two_machines(9.0),
    single.hang_two_machines(20.0),
    single.partition_machines,
    single.cloud_outage,
    single.make_machine_faulty,
    single.block_traffic_to_machines(9.0),
    single.duplicate_messages,
    single.freeze_leader,
    single.refuse_peer_connections,
    single.restart_machines,
    overlapping.delay_writes(12.0, 0.4),
    overlapping.delay_writes(12.0, 0.4, at_once=True),
    overlapping.slow_state_service(12.0),
    overlapping.query_all_after_answers(15.0),
    overlapping.replay_heartbeats_to_next_leader(10.0),
    overlapping.delay_commands(10.0),
    overlapping.set_boot_failures(30.0, 0.2, 0.3, 4.0),
    overlapping.cancel_running_jobs(4, 9.0),
    overlapping.cancel_at_completion,
    overlapping.isolate_leader_with_workers(12.0),
    overlapping.partition_zone(14.0),
    overlapping.submit_infeasible_and_repeated_jobs,
    overlapping.flood_with_queries,
    hold_starts,
    hold_answers,
    cloud_outage,
    freeze_leader,
)


class Trace:
    """The events of a day, as a running digest."""

    def __init__(self, lines: list[str] | None = None) -> None:
        self.count = 0
        self._hash = hashlib.sha256()
        self._lines = lines

    def add(self, kind: str, *parts: Any) -> None:
        """Takes in an event; all of its parts count, in their order."""
        line = repr((kind, *parts))
        self.count += 1
        self._hash.update(line.encode("utf-8", "surrogatepass") + b"\n")
        if self._lines is not None:
            self._lines.append(line)

    def digest(self) -> str:
        return self._hash.hexdigest()


class StoredChanges(list[tuple[str, Any, int]]):
    """The store's changes; each that is added is traced."""

    def __init__(self, cluster: "TracedCluster") -> None:
        super().__init__()
        self._cluster = cluster

    def append(self, change: tuple[str, Any, int]) -> None:
        self._cluster.trace.add("stored", self._cluster.now, *change)
        super().append(change)


class TracedClient(SimulatedClient):
    """A controller's client whose requests and answers are traced."""

    cluster: "TracedCluster"

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: Any,
        timeout_s: float,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Reply:
        cluster, sender = self.cluster, f"{self.name}#{self.process}"
        encoded = None if body is None else messages.encode(body)
        cluster.trace.add("request", cluster.now, sender, method, address, path, body, encoded, timeout_s)
        try:
            reply = await super().request(method, address, path, body, timeout_s, is_wanted)
        except Exception as error:
            version = cluster.versions[self.name]
            kinds = {version.connection_failed: "connection failed", version.no_response: "no response"}
            cluster.trace.add("failed", cluster.now, sender, address, path, kinds.get(type(error)), str(error))
            raise
        cluster.trace.add("answered", cluster.now, sender, address, path, reply.status, reply.body)
        return reply


class TracedQuestion:
    """What a user asks a controller, with its answer traced."""

    def __init__(self, cluster: "TracedCluster", ask: Callable[[Any], Any], job: str) -> None:
        self._cluster, self._request, self._job = cluster, ask, job

    def __call__(self, node: Any) -> Any:
        asked: defer.Deferred[Any] = defer.ensureDeferred(self._request(node))
        return asked.addCallbacks(self._answered, self._refused)

    def _answered(self, answer: Any) -> Any:
        self._cluster.trace.add("told", self._cluster.now, self._job, answer)
        return answer

    def _refused(self, failure: Any) -> Any:
        error = failure.value
        self._cluster.trace.add(
            "refused", self._cluster.now, self._job, str(error), getattr(error, "retry_after_s", None)
        )
        return failure


class TracedCluster(SimulatedCluster):
    """A simulated cluster of which every message and stored record is traced."""

    CLIENT_CLASS = TracedClient

    def __init__(self, trace: Trace, **options: Any) -> None:
        self.trace = trace
        super().__init__(**options)
        self.state.changes = StoredChanges(self)

    def deliver_heartbeat(self, name: str, body: Any) -> Reply:
        reply = super().deliver_heartbeat(name, body)
        self.trace.add("heartbeat", self.now, name, body, reply.status, reply.body)
        return reply

    def deliver_duplicate(self, name: str, body: Any) -> None:
        self.trace.add("copy", self.now, name, body)
        super().deliver_duplicate(name, body)

    def _request(self, ask: Callable[[Any], Any], told: Callable[[str, Any], None], job: str) -> None:
        super()._request(self._traced(ask, job), told, job)

    def _request_once(self, name: str, ask: Callable[[Any], Any], job: str) -> None:
        super()._request_once(name, self._traced(ask, job), job)

    def _traced(self, ask: Callable[[Any], Any], job: str) -> TracedQuestion:
        return ask if isinstance(ask, TracedQuestion) else TracedQuestion(self, ask, job)


class DayDigest(NamedTuple):
    """What a day came to."""

    events: int
    digest: str
    broken: list[str]


def _submit_jobs(cluster: SimulatedCluster) -> None:
    """Arrays of several kinds, gangs, a job of many tasks, and standing services."""
    single.submit_mixed_jobs(cluster, jobs=14, every=2.5)
    submit_gangs(cluster, count=5, every=7.0)
    cluster.clock.callLater(6.0, cluster.submit, gang_job(cluster, 300, pieces=3, loaner=True))
    cluster.clock.callLater(9.0, cluster.submit, cluster.job(400, shape="standing", pieces=2, vcpus=1.0, crew="edge"))
    cluster.clock.callLater(
        12.0, cluster.submit, cluster.job(500, pieces=90, vcpus=0.25, memGb=0.2, guessS=12.0, crew="guest")
    )


def _replace_old_version(cluster: SimulatedCluster, dice: random.Random) -> None:
    """The processes of the version in production are replaced one after the other."""
    for number, name in enumerate(dice.sample(cluster.names, 3)):
        cluster.clock.callLater(26.0 + 16.0 * number, cluster.kill, name, 1.5, CURRENT)


def _options(seed: int, dice: random.Random) -> dict[str, Any]:
    """What a day's deployment is like: every feature and version is met by several seeds."""
    options: dict[str, Any] = {
        "seed": seed,
        "loss": dice.choice((0.0, 0.002, 0.01)),
        "value_kb": dice.choice((4.0, 16.0)),
        "capacity": dice.choice((3, 6)),
    }
    if seed % 3 == 0:
        options["features"] = Features(rebuild=RebuildFeature(enabled=True))
    elif seed % 4 == 1:
        old = production()
        if old is None:
            raise RuntimeError("the version in production is not in this checkout's history")
        options["version"] = old
    if seed % 4 == 2:
        options["upcoming_limits"] = {"value_kb": 2.0, "txn_ops": 6, "write_rps": 45.0}
    return options


def play(seed: int, lines: list[str] | None = None) -> DayDigest:
    """Plays the day of a seed."""
    drawn = random.Random(f"identities {seed}")
    with mock.patch("secrets.token_hex", lambda size: drawn.randbytes(size).hex()):
        return _play(seed, lines)


def _play(seed: int, lines: list[str] | None) -> DayDigest:
    dice = random.Random(f"day {seed}")
    options = _options(seed, dice)
    trace = Trace(lines)
    cluster = TracedCluster(trace, **options)
    _submit_jobs(cluster)
    for fault in dice.sample(FAULTS, 4):
        cluster.clock.callLater(dice.uniform(FAULTS_FROM_S, FAULTS_UNTIL_S), fault, cluster)
    for job in ("j-000001", "j-000006", "j-000101", "j-000400", "j-000500"):
        cluster.clock.callLater(dice.uniform(15.0, 90.0), cluster.cancel, job)
    if "version" in options:
        _replace_old_version(cluster, dice)
    if "features" in options and seed % 2:
        cluster.clock.callLater(45.0, cluster.state.wipe)
    if "upcoming_limits" in options:
        cluster.clock.callLater(50.0, cluster.apply_upcoming_limits)
    cluster.run(DAY_S)
    trace.add("end", sorted(cluster.state.items.items()), cluster.checker.violations)
    return DayDigest(trace.count, trace.digest(), cluster.checker.violations)


def read_digests() -> dict[int, DayDigest]:
    """The committed digests, by seed."""
    return {int(seed): DayDigest(**day) for seed, day in json.loads(DIGESTS.read_text()).items()}


def _write_digests(days: dict[int, DayDigest]) -> None:
    DIGESTS.write_text(json.dumps({str(seed): day._asdict() for seed, day in days.items()}, indent=1) + "\n")


def main() -> None:
    parser = argparse.ArgumentParser(description="Digests of all that controllers send and store on simulated days.")
    parser.add_argument("--seed", type=int, action="append", help="a day to play, several times if wished; else all")
    parser.add_argument("--processes", type=int, default=6)
    parser.add_argument("--dump", type=Path, help="with one seed: where its events are written")
    parser.add_argument("--update", action="store_true", help="write the file of digests anew")
    options = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":
        # Sets of text are ordered alike in every run only with a fixed seed, which has to be set before the start.
        os.execve(
            sys.executable,
            [sys.executable, "-m", "tests.wire_trace", *sys.argv[1:]],
            os.environ | {"PYTHONHASHSEED": "0"},
        )
    seeds = options.seed or list(SEEDS)
    if options.dump is not None:
        lines: list[str] = []
        print(play(seeds[0], lines))
        options.dump.write_text("\n".join(lines) + "\n", errors="surrogatepass")
        return
    with ProcessPoolExecutor(options.processes) as pool:
        found = dict(zip(seeds, pool.map(play, seeds), strict=True))
    if options.update:
        _write_digests(found)
    known = read_digests()
    different = [seed for seed, day in found.items() if known.get(seed) != day]
    for seed, day in found.items():
        verdict = " DIFFERENT" if seed in different else ""
        print(f"seed {seed}: {day.events} events, {day.digest[:16]}{verdict} {day.broken[:2]}")
    print(f"{len(found) - len(different)} of {len(found)} days as recorded")
    sys.exit(1 if different else 0)


if __name__ == "__main__":
    main()
