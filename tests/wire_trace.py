"""Characterization of the controllers: digests of all that they send, answer and store in simulated runs.

A run on the simulated cluster is deterministic, to the byte and to the microsecond. This tool runs seeds with mixed
jobs and faults and computes a digest of all messages and stored records of each run. A change that does not alter the
behaviour leaves the digests unchanged. A change of behaviour updates the file of digests, and its commit says why.

    python3 -m tests.wire_trace                     compares all seeds with tests/wire_digests.json
    python3 -m tests.wire_trace --seed 7 --dump F   writes the events of a run to F, a line each, to find a difference
    python3 -m tests.wire_trace --update            rewrites the file of digests
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
from tests.held_starts import cloud_outage, freeze_leader
from tests.simulation import faults, timed_faults
from tests.simulation.clients import SimulatedClient
from tests.simulation.cluster import SimulatedCluster
from tests.simulation.network import MessageDelay
from tests.simulation.workloads import submit_mixed_jobs
from tests.test_gangs import gang_job, submit_gangs
from tests.versions import CURRENT, production

DIGESTS = Path(__file__).parent / "wire_digests.json"
SEEDS = range(1, 25)
RUN_S = 110.0
"""The simulated length of a run."""
FIRST_FAULT_S, LAST_FAULT_S = 18.0, 80.0
"""The period in which faults begin."""

Fault = Callable[[SimulatedCluster], None]


def hold_starts(cluster: SimulatedCluster) -> None:
    """Delays start commands for 20 to 60 s, so that some arrive later than a cancellation may take."""
    cluster.message_delays.append(MessageDelay(cluster.now + 8.0, 20.0, 60.0, verb="launch"))


def hold_answers(cluster: SimulatedCluster) -> None:
    """Delays the responses to half of the commands by 2 to 12 s; the commands are executed without delay."""
    cluster.message_delays.append(MessageDelay(cluster.now + 8.0, 2.0, 12.0, share=0.5, answers=True))


FAULTS: tuple[Fault, ...] = (
    faults.crash_leader,
    faults.crash_all_controllers,
    faults.restart_during_elections,
    faults.outage,
    faults.refuse_leader,
    faults.partition_leader_from_state_service,
    faults.partition_leader_from_workers,
    faults.reclaim_spot_machines,
    faults.crash_machines,
    faults.hang_two_machines(9.0),
    faults.hang_two_machines(20.0),
    faults.partition_machines,
    faults.cloud_outage,
    faults.make_machine_faulty,
    faults.block_traffic_to_machines(9.0),
    faults.duplicate_messages,
    faults.freeze_leader,
    faults.refuse_peer_connections,
    faults.restart_machines,
    timed_faults.delay_writes(12.0, 0.4),
    timed_faults.delay_writes(12.0, 0.4, at_once=True),
    timed_faults.slow_state_service(12.0),
    timed_faults.query_all_after_answers(15.0),
    timed_faults.replay_heartbeats_to_next_leader(10.0),
    timed_faults.delay_commands(10.0),
    timed_faults.set_boot_failures(30.0, 0.2, 0.3, 4.0),
    timed_faults.cancel_running_jobs(4, 9.0),
    timed_faults.cancel_at_completion,
    timed_faults.isolate_leader_with_workers(12.0),
    timed_faults.partition_zone(14.0),
    timed_faults.submit_infeasible_and_repeated_jobs,
    timed_faults.flood_with_queries,
    hold_starts,
    hold_answers,
    cloud_outage,
    freeze_leader,
)


class Trace:
    """A running digest of the events of a run."""

    def __init__(self, lines: list[str] | None = None) -> None:
        self.count = 0
        self._hash = hashlib.sha256()
        self._lines = lines

    def add(self, kind: str, *parts: Any) -> None:
        """Adds an event to the digest, with all of its parts in their order."""
        line = repr((kind, *parts))
        self.count += 1
        self._hash.update(line.encode("utf-8", "surrogatepass") + b"\n")
        if self._lines is not None:
            self._lines.append(line)

    def digest(self) -> str:
        return self._hash.hexdigest()


class StoredChanges(list[tuple[str, Any, int]]):
    """The state service's list of changes, which traces each change that is appended."""

    def __init__(self, cluster: "TracedCluster") -> None:
        super().__init__()
        self._cluster = cluster

    def append(self, change: tuple[str, Any, int]) -> None:
        self._cluster.trace.add("stored", self._cluster.now, *change)
        super().append(change)


class TracedClient(SimulatedClient):
    """A controller's client that traces requests, responses and failures."""

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


class TracedUserRequest:
    """A user's request to a controller, which traces the answer or the error."""

    def __init__(self, cluster: "TracedCluster", request: Callable[[Any], Any], job: str) -> None:
        self._cluster, self._request, self._job = cluster, request, job

    def __call__(self, node: Any) -> Any:
        answer: defer.Deferred[Any] = defer.ensureDeferred(self._request(node))
        return answer.addCallbacks(self._answered, self._refused)

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
    """A simulated cluster that traces all messages and stored records."""

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

    def _request(self, request: Callable[[Any], Any], on_answer: Callable[[str, Any], None], job: str) -> None:
        super()._request(self._traced(request, job), on_answer, job)

    def _request_once(self, name: str, request: Callable[[Any], Any], job: str) -> None:
        super()._request_once(name, self._traced(request, job), job)

    def _traced(self, request: Callable[[Any], Any], job: str) -> TracedUserRequest:
        return request if isinstance(request, TracedUserRequest) else TracedUserRequest(self, request, job)


class RunDigest(NamedTuple):
    """The digest of a run; its fields are the keys in the file of digests."""

    events: int
    """The number of events."""
    digest: str
    broken: list[str]
    """The rules that were broken."""


def _submit_jobs(cluster: SimulatedCluster) -> None:
    """Submits arrays of several kinds, gangs, a job of 90 tasks, and a standing service."""
    submit_mixed_jobs(cluster, jobs=14, every=2.5)
    submit_gangs(cluster, count=5, every=7.0)
    cluster.clock.callLater(6.0, cluster.submit, gang_job(cluster, 300, pieces=3, loaner=True))
    cluster.clock.callLater(9.0, cluster.submit, cluster.job(400, shape="standing", pieces=2, vcpus=1.0, crew="edge"))
    cluster.clock.callLater(
        12.0, cluster.submit, cluster.job(500, pieces=90, vcpus=0.25, memGb=0.2, guessS=12.0, crew="guest")
    )


def _roll_out_new_version(cluster: SimulatedCluster, rng: random.Random) -> None:
    """Replaces the processes of the version in production one after the other."""
    for number, name in enumerate(rng.sample(cluster.names, 3)):
        cluster.clock.callLater(26.0 + 16.0 * number, cluster.kill, name, 1.5, CURRENT)


def _options(seed: int, rng: random.Random) -> dict[str, Any]:
    """Returns the options of a seed's simulated cluster; several seeds cover each feature and each version."""
    options: dict[str, Any] = {
        "seed": seed,
        "loss": rng.choice((0.0, 0.002, 0.01)),
        "value_kb": rng.choice((4.0, 16.0)),
        "capacity": rng.choice((3, 6)),
    }
    if seed % 3 == 0:
        options["features"] = Features(rebuild=RebuildFeature(enabled=True))
    elif seed % 4 == 1:
        old = production()
        if old is None:
            raise RuntimeError(f"seed {seed} needs the version in production, which is not in this checkout's history")
        options["version"] = old
    if seed % 4 == 2:
        options["upcoming_limits"] = {"value_kb": 2.0, "txn_ops": 6, "write_rps": 45.0}
    return options


def run_seed(seed: int, lines: list[str] | None = None) -> RunDigest:
    """Runs a seed and returns its digest.

    Args:
        lines: if not None, each event is appended as a line.
    """
    identities = random.Random(f"identities {seed}")
    with mock.patch("secrets.token_hex", lambda size: identities.randbytes(size).hex()):
        return _run_seed(seed, lines)


def _run_seed(seed: int, lines: list[str] | None) -> RunDigest:
    rng = random.Random(f"day {seed}")
    options = _options(seed, rng)
    trace = Trace(lines)
    cluster = TracedCluster(trace, **options)
    _submit_jobs(cluster)
    for fault in rng.sample(FAULTS, 4):
        cluster.clock.callLater(rng.uniform(FIRST_FAULT_S, LAST_FAULT_S), fault, cluster)
    for job in ("j-000001", "j-000006", "j-000101", "j-000400", "j-000500"):
        cluster.clock.callLater(rng.uniform(15.0, 90.0), cluster.cancel, job)
    if "version" in options:
        _roll_out_new_version(cluster, rng)
    if "features" in options and seed % 2:
        cluster.clock.callLater(45.0, cluster.state.wipe)
    if "upcoming_limits" in options:
        cluster.clock.callLater(50.0, cluster.apply_upcoming_limits)
    cluster.run(RUN_S)
    trace.add("end", sorted(cluster.state.items.items()), cluster.checker.violations)
    return RunDigest(trace.count, trace.digest(), cluster.checker.violations)


def read_digests() -> dict[int, RunDigest]:
    """Returns the committed digests by seed."""
    return {int(seed): RunDigest(**run) for seed, run in json.loads(DIGESTS.read_text()).items()}


def _write_digests(runs: dict[int, RunDigest]) -> None:
    DIGESTS.write_text(json.dumps({str(seed): run._asdict() for seed, run in runs.items()}, indent=1) + "\n")


def main() -> None:
    parser = argparse.ArgumentParser(description="Digests of all that controllers send and store in simulated runs.")
    parser.add_argument("--seed", type=int, action="append", help="the seed to run, may be repeated; all by default")
    parser.add_argument("--processes", type=int, default=6, help="parallel runs")
    parser.add_argument("--dump", type=Path, help="with one --seed: the file for its events")
    parser.add_argument("--update", action="store_true", help="rewrite the file of digests")
    options = parser.parse_args()
    if os.environ.get("PYTHONHASHSEED") != "0":
        # The order of sets of strings depends on the hash seed, which can only be set before the interpreter starts.
        os.execve(
            sys.executable,
            [sys.executable, "-m", "tests.wire_trace", *sys.argv[1:]],
            os.environ | {"PYTHONHASHSEED": "0"},
        )
    seeds = options.seed or list(SEEDS)
    if options.dump is not None:
        lines: list[str] = []
        print(run_seed(seeds[0], lines))
        options.dump.write_text("\n".join(lines) + "\n", errors="surrogatepass")
        return
    with ProcessPoolExecutor(options.processes) as pool:
        digests = dict(zip(seeds, pool.map(run_seed, seeds), strict=True))
    if options.update:
        _write_digests(digests)
    recorded = read_digests()
    different = [seed for seed, run in digests.items() if recorded.get(seed) != run]
    for seed, run in digests.items():
        difference = " DIFFERENT" if seed in different else ""
        print(f"seed {seed}: {run.events} events, {run.digest[:16]}{difference} {run.broken[:2]}")
    print(f"{len(digests) - len(different)} of {len(digests)} runs as recorded")
    sys.exit(1 if different else 0)


if __name__ == "__main__":
    main()
