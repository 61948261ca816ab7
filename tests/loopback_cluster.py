"""Real controller processes on loopback, with fakes of all other services.

`python3 -m tests.loopback_cluster --seed 1 --wipe-at 6 --kill-leader --lose-machines 2` runs a batch of jobs, wipes the
state service after 6 s, and prints the final phase of each job, as JSON. Without `--wipe-at` the batch is undisturbed.
"""

import argparse
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from twisted.internet import defer, reactor
from twisted.web import resource, server

from stileloft.model.records import split_task
from stileloft.protocol import messages
from stileloft.protocol.users import HEARTBEAT_PATH
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError, Reply
from tests.rules import RuleChecker
from tests.simulation.cloud import Cloud
from tests.simulation.command_copies import CopyingNetwork
from tests.simulation.deployment import SETTINGS, with_settings
from tests.simulation.gangs import Gang
from tests.simulation.state_service import StateService
from tests.simulation.users import Users
from tests.simulation.workers import Machine

ROOT = Path(__file__).parent.parent
# A loopback address used by this process only. On 127.0.0.1, another run or any outgoing connection could take a port
# between its selection by `free_ports` and the start of the controller, which then failed with "address already in
# use".
LOCAL = f"127.{10 + (os.getpid() >> 16) % 200}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
POLL_S = 0.5
CANCEL_AFTER_S = 1.5
REPLICA_LOADED = "replica loaded"
REBUILD_FINISHED = re.compile(r"rebuild finished .*took_s=([0-9.]+) transactions=([0-9]+)")
# Below the system's ephemeral ports, from which the run's own fakes, which listen on port 0, get theirs.
FIRST_PORT, LAST_PORT = 20_000, 30_000


def free_ports(count: int) -> list[int]:
    """Returns ports without a listener, outside the range from which the system assigns ports."""
    ports: list[int] = []
    for port in range(FIRST_PORT, LAST_PORT):
        try:
            socket.create_server((LOCAL, port)).close()
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise RuntimeError(f"found {len(ports)} of {count} free ports from {FIRST_PORT} to {LAST_PORT} at {LOCAL}")


class FakeResource(resource.Resource):
    """Passes HTTP requests to a fake and sends its replies."""

    isLeaf = True

    def __init__(
        self,
        handle: Any,
        encode: Callable[[Any], bytes] = messages.encode,
        decode: Callable[[bytes], Any] = messages.decode,
    ) -> None:
        super().__init__()
        self._handle, self._encode, self._decode = handle, encode, decode

    def render(self, request: server.Request) -> int:
        data = request.content.read()
        body = self._decode(data) if data else None
        disconnected: list[Any] = []
        # A request is executed even if its sender closes the connection before the reply.
        request.notifyFinish().addErrback(disconnected.append)
        answered = defer.maybeDeferred(self._handle, request.method.decode(), request.uri.decode(), body)
        answered.addCallbacks(
            lambda reply: None if disconnected else self._send(request, reply),
            lambda _: None if disconnected else request.loseConnection(),
        )
        return server.NOT_DONE_YET

    def _send(self, request: server.Request, reply: Reply) -> None:
        request.setResponseCode(reply.status)
        request.write(self._encode(reply.body))
        request.finish()


class LoopbackMachine(Machine):
    """A worker that receives commands on a port of its own."""

    def __init__(self, cluster: "LoopbackCluster", *arguments: Any) -> None:
        super().__init__(cluster, *arguments)
        self.address = f"{LOCAL}:{cluster.listen(lambda _method, _path, body: self.command(body))}"

    def deliver(self, target: str, body: Any) -> defer.Deferred:
        return defer.ensureDeferred(self._deliver(target, body))

    async def _deliver(self, target: str, body: Any) -> Reply:
        reply = await self.cluster.client.request("POST", self.cluster.public[target], HEARTBEAT_PATH, body, 4.0)
        return Reply(reply.status, reply.body)


class LoopbackCloud(Cloud):
    """The fake cloud; its machines are `LoopbackMachine`s."""

    def machine(self, name: str, kind: dict, zone: str, spot: bool) -> Machine:
        return LoopbackMachine(self.cluster, name, kind, zone, spot)


@dataclass
class Outcome:
    """The result of a run; its fields are the keys of the printed JSON."""

    answers: dict[str, str] = field(default_factory=dict)
    """The last phase that a user received for each job."""
    broken: list[str] = field(default_factory=list)
    starts: int = 0
    repeated: list[str] = field(default_factory=list)
    """Tasks that were started more than once."""
    first_start_after_s: float | None = None
    """Seconds from the wipe to the next start of a task; None without a wipe or without a start after it."""
    rebuilt: list[tuple[float, int]] = field(default_factory=list)
    """The duration in seconds and the number of transactions of each rebuild."""
    took_s: float = 0.0


class LoopbackCluster(CopyingNetwork, Users):
    """Controller processes, users, and the fakes that the controllers are connected to, on real time and sockets."""

    REPORT_S, LEASE_S, CANCEL_S, LEASE_CHECK_S = 0.5, 4.0, 14.0, 0.1

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.clock = reactor
        self._began = reactor.seconds()
        self.random = random.Random(options.seed)
        self.names = ["node-0", "node-1", "node-2"]
        ports = free_ports(2 * len(self.names))
        self.public = {name: f"{LOCAL}:{ports[2 * n]}" for n, name in enumerate(self.names)}
        self.peers = {name: f"{LOCAL}:{ports[2 * n + 1]}" for n, name in enumerate(self.names)}
        self.client = Client(
            reactor,
            messages.encode,
            messages.decode,
            b"application/cbor",
            max_idle_per_host=20,
            connect_timeout_s=1.0,
            idle_s=30.0,
        )
        self.value_kb = 4.0
        self.max_sockets, self.expired_leases = 10_000, 0
        self.heartbeat_connections: dict[str, set[str]] = {name: set() for name in self.names}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.run_times: dict[str, float] = {}
        self.gangs: dict[tuple[str, int], Gang] = {}
        self.saved_progress: dict[str, float] = {}
        self.gang_rollbacks, self.dense_polling_until = 0, 0.0
        self.failing_jobs: set[str] = set()
        self.faulty_machines: set[str] = set()
        self.all_machines: dict[str, Machine] = {}
        self.checker = RuleChecker(self)
        self.state = StateService(self)
        self.cloud = LoopbackCloud(self, capacity=8)
        self.cloud.boot_s, self.cloud.failed_boot_share = 0.5, 0.0
        self.to_cancel: set[str] = set()
        self.outcome = Outcome()
        self.wiped_at: float | None = None
        self.folder = Path(tempfile.mkdtemp())
        self.state_port = self.listen(lambda method, path, body: self.state.receive("", method, path, body))
        self.cloud_port = self.listen(lambda method, path, body: self.cloud.handle("", method, path, body))
        self.processes = {name: self.spawn(name) for name in self.names}

    @property
    def now(self) -> float:
        return reactor.seconds() - self._began

    def listen(self, handle: Any, **encoding: Any) -> int:
        """Starts a server for a fake and returns its port."""
        port = reactor.listenTCP(0, server.Site(FakeResource(handle, **encoding)), interface=LOCAL)
        return port.getHost().port

    def state_address(self, _name: str) -> str:
        """Returns the address of the state service in the settings of a controller."""
        return f"{LOCAL}:{self.state_port}"

    def cloud_address(self, _name: str) -> str:
        """Returns the address of the cloud in the settings of a controller."""
        return f"{LOCAL}:{self.cloud_port}"

    def peer_address(self, _name: str, other: str) -> str:
        """Returns the address of another controller in the settings of a controller."""
        return self.peers[other]

    # -- called by the fakes ------------------------------------------------------------

    def sockets(self, _name: str) -> int:
        return 0

    def keeps_heartbeat_connection(self, _name: str) -> bool:
        return True

    def gang_of(self, task: str, attempt: int) -> Gang | None:
        return self.gangs.get((split_task(task)[0], attempt))

    def run_time_s(self, task: str) -> float:
        return self.run_times.setdefault(task, self.jobs[split_task(task)[0]]["guessS"])

    # -- controllers ---------------------------------------------------------------------

    def settings(self, name: str) -> str:
        """Returns the settings file of a controller."""
        peers = "".join(
            f'[[peers]]\nmember = "{other}"\nsite = "a"\naddress = "{self.peer_address(name, other)}"\n'
            for other in self.names
            if other != name
        )
        text = SETTINGS.format(
            n=self.names.index(name), zone="a", peers=peers, value_kb=self.value_kb, upcoming_limits=""
        )
        number = self.names.index(name)
        changes = {
            f"10.0.0.{number}:8080": self.public[name],
            f"10.0.0.{number}:8081": self.peers[name],
            "10.9.0.1:1": self.state_address(name),
            "10.9.0.2:1": self.cloud_address(name),
            "report_s = 2.0": f"report_s = {self.REPORT_S}",
            "lease_s = 12.0": f"lease_s = {self.LEASE_S}",
            "cancel_s = 30.0": f"cancel_s = {self.CANCEL_S}",
        }
        return with_settings(text, changes)

    def spawn(self, name: str) -> subprocess.Popen:
        """Starts a controller process, which appends its log to a file."""
        settings, features = self.folder / f"{name}.toml", self.folder / "features.toml"
        settings.write_text(self.settings(name))
        features.write_text(f"[rebuild]\nenabled = {str(not self.options.without).lower()}\nfollow_s = 0.1\n")
        command = [sys.executable, str(ROOT / "run.py"), "--features", str(features), "--config", str(settings)]
        log = (self.folder / f"{name}.log").open("ab")
        return subprocess.Popen(command, stderr=log, env=os.environ | {"LOG_LEVEL": "info"})

    def leader(self) -> str | None:
        """Returns the member that holds the leader key; None if no member does."""
        item = self.state.items.get("leader")
        return None if item is None else item[0]["member"]

    def kill_leader(self, name: str | None) -> None:
        """Kills a controller process and restarts it after 1 s."""
        if name is not None:
            self.processes[name].send_signal(signal.SIGKILL)
            self.processes[name].wait()
            self.clock.callLater(1.0, lambda: self.processes.update({name: self.spawn(name)}))

    # -- users ---------------------------------------------------------------------------

    def _request(self, request: Any, on_answer: Any, job: str) -> None:
        """Sends a user's request; `request` is the method, path and body instead of a call of a node."""
        defer.ensureDeferred(self._repeat_request(request, on_answer, job))

    async def _repeat_request(self, request: tuple[str, str, Any], on_answer: Any, job: str) -> None:
        """Repeats a request to random controllers until one of them answers."""
        method, path, body = request
        while True:
            requested_at = self.now
            self.checker.request_sent(job)
            try:
                address = self.public[self.random.choice(self.names)]
                reply = await self.client.request(method, address, path, body, 2.0)
            except (ConnectionFailedError, NoResponseError):
                reply = Reply(503, None)
            if reply.status in (200, 201, 404):
                answer = reply.body if reply.status != 404 else None
                self.checker.observe_status(job, answer, requested_at)
                self.checker.request_answered(job)
                on_answer(job, answer)
                return
            await self.sleep(POLL_S)

    def sleep(self, seconds: float) -> defer.Deferred:
        """Returns a Deferred that fires after this time."""
        done: defer.Deferred = defer.Deferred()
        self.clock.callLater(seconds, done.callback, None)
        return done

    def _on_accepted(self, job: str, _result: Any) -> None:
        if job in self.to_cancel:
            self.clock.callLater(CANCEL_AFTER_S, self.cancel, job)
        self._poll(job)

    def _poll(self, job: str) -> None:
        if not self.checker.is_final(job):
            self.clock.callLater(
                POLL_S, self._request, self._status_request(job), lambda other, _: self._poll(other), job
            )

    @staticmethod
    def _status_request(job: str) -> Any:
        return "GET", f"/v2/runs/{job}", None

    def _submit_request(self, body: dict[str, Any]) -> Any:
        return "POST", "/v2/runs", body

    def cancel(self, job: str) -> None:
        self.checker.cancel_requested(job)
        self._request(("POST", f"/v2/runs/{job}/cancel", {}), lambda *_: None, job)

    # -- the batch -------------------------------------------------------------------------

    def is_protected(self) -> bool:
        """Whether every controller has loaded a replica; only then can a rebuild restore the records.

        Always true without the rebuild feature.
        """
        logs = [(self.folder / f"{name}.log").read_text(errors="replace") for name in self.names]
        return self.options.without or all(REPLICA_LOADED in text for text in logs)

    def begin(self) -> None:
        """Starts the batch once `is_protected`, but after `--longest-s` in any case."""
        if not self.is_protected() and self.now < self.options.longest_s:
            self.clock.callLater(0.2, self.begin)
            return
        self._began = reactor.seconds()
        options = self.options
        for number in range(options.jobs):
            body = self.job(
                number,
                pieces=1 + number % 4,
                vcpus=1.0,
                guessS=1.0 + number % 3,
                crew=("core", "edge")[number % 2],
                shape="gang" if number % 7 == 5 else "array",
            )
            self.clock.callLater(1.0 + options.spacing_s * number, self.submit, body)
            if number % 6 == 4:
                # Cancelled after its acceptance. It runs long, so that its final phase does not depend on timing.
                body["guessS"] = 300.0
                self.to_cancel.add(body["nameId"])
        if options.wipe_at is not None:
            self.clock.callLater(options.wipe_at, self.wipe_state_service)
        self.clock.callLater(1.0, self.check_progress)

    def wipe_state_service(self) -> None:
        """Wipes the state service, and with it kills the leader and machines if the options say so."""
        self.wiped_at = self.now
        self.starts_at_wipe = self.checker.starts
        leader = self.leader()
        self.state.wipe()
        if self.options.kill_leader:
            self.kill_leader(leader)
        for machine in [m for m in self.cloud.machines.values() if m.up][: self.options.lose_machines]:
            machine.die()

    def check_progress(self) -> None:
        """Ends the run when all jobs have ended or `--longest-s` has passed."""
        self.checker.check_cancelled()
        awaits_start = self.wiped_at is not None and self.outcome.first_start_after_s is None
        if awaits_start and self.checker.starts > self.starts_at_wipe:
            self.outcome.first_start_after_s = round(self.now - self.wiped_at, 2)
        all_submitted = len(self.jobs) == self.options.jobs
        if (
            all_submitted and all(self.checker.is_final(job) for job in self.jobs)
        ) or self.now > self.options.longest_s:
            self.finish()
        else:
            self.clock.callLater(0.1, self.check_progress)

    def finish(self) -> None:
        """Kills the controllers, completes the outcome and stops the reactor."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        outcome = self.outcome
        outcome.answers = {job: self.checker.last_phase.get(job, "unanswered") for job in sorted(self.jobs)}
        outcome.broken, outcome.starts, outcome.took_s = (
            self.checker.violations,
            self.checker.starts,
            round(self.now, 1),
        )
        outcome.repeated = sorted(task for task, times in self.checker.starts_by_task.items() if times > 1)
        for name in self.names:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            outcome.rebuilt += [(float(seconds), int(count)) for seconds, count in REBUILD_FINISHED.findall(text)]
            if self.options.logs:
                print(f"--- {name}\n{text}", file=sys.stderr)
        reactor.stop()


def main() -> None:
    parser = argparse.ArgumentParser(
        description="Runs a batch of jobs on real controller processes and prints the result as JSON."
    )
    parser.add_argument("--seed", type=int, default=1, help="the seed of the fakes and users")
    parser.add_argument("--jobs", type=int, default=16, help="jobs of the batch")
    parser.add_argument("--spacing-s", type=float, default=0.4, help="seconds between submissions")
    parser.add_argument("--wipe-at", type=float, help="seconds until the state service is wiped; never without it")
    parser.add_argument("--kill-leader", action="store_true", help="kill the leader at the wipe")
    parser.add_argument("--lose-machines", type=int, default=0, help="machines lost at the wipe")
    parser.add_argument("--without", action="store_true", help="without the rebuild feature")
    parser.add_argument("--longest-s", type=float, default=60.0, help="seconds until the run is ended")
    parser.add_argument("--logs", action="store_true", help="print the controllers' logs to stderr")
    cluster = LoopbackCluster(parser.parse_args())
    began = time.monotonic()
    reactor.callWhenRunning(cluster.begin)
    reactor.run()
    assert time.monotonic() > began
    print(json.dumps(cluster.outcome.__dict__))


if __name__ == "__main__":
    main()
