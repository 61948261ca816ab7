"""The cluster of a soak run: three controller processes, a plan of troubles, users, and a checker of the rules."""

import argparse
import math
import os
import random
import re
import signal
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from twisted.internet import defer, reactor

from stileloft.model import records
from stileloft.protocol.users import HEARTBEAT_PATH
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError, Reply
from tests.loopback_cluster import LOCAL, LoopbackCloud, LoopbackCluster, LoopbackMachine
from tests.simulation.command_copies import CommandCopies
from tests.simulation.deployment import MACHINE_TYPES, with_settings
from tests.simulation.workers import Machine
from tests.soak.links import Fault, Links
from tests.soak.plan import Plan, Trouble

SUBMIT_S = 0.6
"""The interval between submissions of jobs."""
REQUEST_S = 0.25
"""The interval between rounds of repeated requests about jobs that were submitted before."""
LONG_JOBS = 4
"""The first jobs run for `LONG_RUN_S` and are cancelled after the last trouble; others run for a few seconds."""
LONG_RUN_S = 300.0
CANCELLED_RUN_S = 150.0
"""The run time of jobs that are cancelled during their placement."""
STARTUP_TIMEOUT_S = 30.0
"""The maximum time until the first leader is elected."""
DEFECT_PATTERN = re.compile(r"Traceback|invariant violated|Unhandled")
"""Log lines of the controllers that record_failure the run."""
LOG_PATTERNS = {
    "tokens_raised": re.compile(r"fencing token raised"),
    "starts_barred": re.compile(r"reason='start fenced'"),
    "starts_in_doubt": re.compile(r"start in doubt"),
    "renewals_withheld": re.compile(r"lease renewal withheld"),
    "withdrawn": re.compile(r"commands withdrawn"),
    "elections": re.compile(r"leader elected"),
}
"""Log lines of the controllers that are counted, by their key in the result."""


@dataclass
class Result:
    """The result of a run; its fields are the keys of the printed JSON."""

    seed: int
    failures: list[str] = field(default_factory=list)
    jobs: int = 0
    cancelled: int = 0
    cancelled_in_trouble: int = 0
    """Cancellations that were confirmed before the end of the last trouble and of its delayed messages."""
    longest_part: float = 0.0
    """The longest time from a confirmed cancellation to the end of one of its tasks, as a fraction of `cancel_s`."""
    refused_by_token: int = 0
    refused_by_session: int = 0
    sessions_lost: int = 0
    starts: int = 0
    messages_hit: dict[str, int] = field(default_factory=dict)
    logged: dict[str, int] = field(default_factory=dict)
    took_s: float = 0.0
    folder: str = ""


class SoakMachine(LoopbackMachine):
    """A worker with fault injection on its links."""

    def __init__(self, cluster: "SoakCluster", name: str, *arguments: Any) -> None:
        Machine.__init__(self, cluster, name, *arguments)
        port = cluster.listen(
            lambda _method, _path, body: cluster.links.transmit("leader", name, body, self._command(body))
        )
        self.address = f"{LOCAL}:{port}"

    def _command(self, body: Any) -> Any:
        def handle() -> Reply:
            if self.gone or not self.up or self.cluster.inbound_blocked.get(self.name, 0.0) > self.cluster.now:
                raise NoResponseError("no response")
            return self.command(body)

        return handle

    def deliver(self, target: str, body: Any) -> defer.Deferred:
        return self.cluster.links.transmit(self.name, target, body, lambda: self._report(target, body))

    def _report(self, target: str, body: Any) -> defer.Deferred:
        if self.cluster.outbound_blocked.get(self.name, 0.0) > self.cluster.now:
            raise NoResponseError("no response")
        answered = self.cluster.client.request("POST", self.cluster.public[target], HEARTBEAT_PATH, body, 4.0)
        return defer.ensureDeferred(answered).addCallback(self._receive_response)

    def _receive_response(self, reply: Reply) -> Reply:
        if self.cluster.inbound_blocked.get(self.name, 0.0) > self.cluster.now:
            raise NoResponseError("no response")
        return reply


class SoakCloud(LoopbackCloud):
    """The fake cloud; its machines are `SoakMachine`s."""

    def machine(self, name: str, kind: dict, zone: str, spot: bool) -> Machine:
        return SoakMachine(self.cluster, name, kind, zone, spot)


class SoakCluster(LoopbackCluster):
    """Runs a plan and stores the outcome in `result`."""

    MANY_REPORT_S, MANY_LEASE_S, MANY_CANCEL_S = 1.0, 8.0, 22.0
    """Longer times for plans with `machines`: some hundred workers share one process with all other fakes."""
    command_copies = CommandCopies(math.inf, (0.2, 1.5, 7.0))
    """Of each start command that a worker executes, copies arrive within a lease and after it."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.result = Result(plan.seed)
        if plan.machines:
            self.REPORT_S, self.LEASE_S, self.CANCEL_S = self.MANY_REPORT_S, self.MANY_LEASE_S, self.MANY_CANCEL_S
        self.inbound_blocked: dict[str, float] = {}
        """Workers that receive neither commands nor responses, with the end of this fault."""
        self.outbound_blocked: dict[str, float] = {}
        """Workers whose heartbeats are lost, with the end of this fault."""
        self.killed: set[str] = set()
        """Controllers that are down until their restart."""
        self.troubled_until = 0.0
        """The end of the troubles begun so far and of their delays, in seconds after the first submission."""
        self.links = Links(reactor, lambda: self.now, random.Random(f"links {plan.seed}"))
        self.passthrough_client = Client(
            reactor, bytes, bytes, b"application/json", max_idle_per_host=8, connect_timeout_s=1.0, idle_s=30.0
        )
        self._ports: dict[tuple[str, str], int] = {}
        super().__init__(argparse.Namespace(seed=plan.seed, without=not plan.rebuild, logs=False))
        self.cloud = self._make_cloud()

    def _make_cloud(self) -> SoakCloud:
        cloud = SoakCloud(self, capacity=max(8, self.plan.machines))
        cloud.boot_s, cloud.failed_boot_share = 0.5, 0.0
        return cloud

    # -- addresses: a port for each link, which identifies the sender of a request
    # ---------------------------------------------------

    def _link(self, source: str, target: str, respond: Any, **encoding: Any) -> str:
        """Returns the address at which `target` answers requests of `source`; opens its port at the first call."""
        port = self._ports.get((source, target))
        if port is None:

            def handle(method: str, path: str, body: Any) -> Any:
                return self.links.transmit(source, target, body, lambda: respond(method, path, body))

            port = self._ports[source, target] = self.listen(handle, **encoding)
        return f"{LOCAL}:{port}"

    def state_address(self, name: str) -> str:
        return self._link(name, "state", lambda method, path, body: self.state.receive(name, method, path, body))

    def cloud_address(self, name: str) -> str:
        return self._link(name, "cloud", lambda method, path, body: self.cloud.handle(name, method, path, body))

    def peer_address(self, name: str, other: str) -> str:
        def forward(method: str, path: str, body: Any) -> Any:
            return defer.ensureDeferred(self.passthrough_client.request(method, self.peers[other], path, body, 4.0))

        return self._link(name, other, forward, encode=lambda data: data or b"", decode=bytes)

    def settings(self, name: str) -> str:
        return with_settings(super().settings(name), {"max_sockets = 200": "max_sockets = 1000"})

    # -- the run
    # ---------------------------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Starts the submissions and the troubles once a leader is elected."""
        if self.leader() is None:
            if self.now > STARTUP_TIMEOUT_S:
                self.record_failure(f"no leader was elected within {STARTUP_TIMEOUT_S} s")
                self.finish()
                return
            reactor.callLater(0.1, self.begin)
            return
        for number in range(self.plan.machines):
            machine = self.cloud.add(MACHINE_TYPES[0], "ab"[number % 2], True)
            reactor.callLater(self.random.uniform(0.0, self.REPORT_S), machine.boot_once)
        self.began_at = self.now
        for number in range(int(self.plan.troubles_s / SUBMIT_S)):
            reactor.callLater(number * SUBMIT_S, self._submit, number)
        for trouble in self.plan.troubles:
            reactor.callLater(trouble.at_s, self._begin_trouble, trouble)
        reactor.callLater(REQUEST_S, self._send_random_requests)
        reactor.callLater(1.0, self._check_progress)

    def _submit(self, number: int, **changes: Any) -> str:
        """Submits an array or gang with parameters derived from its number; returns the job's id."""
        width = max(1, self.plan.machines // 10)
        body = self.job(
            number,
            pieces=1 + number % 4 * width,
            vcpus=0.5,
            memGb=0.5,
            guessS=LONG_RUN_S if number < LONG_JOBS else 0.5 + number % 4,
            crew=("core", "edge")[number % 2],
            shape="gang" if number % 7 == 5 else "array",
            snapshotS=(0.0, 1.0)[number % 3 == 0],
            stashS=(0.0, 0.5)[number % 3 == 0],
            bundle=f"img-{number % 3}",
            imageGb=0.1,
        )
        if body["shape"] == "gang":
            body["pieces"] = 2 + number % 2
        body |= changes
        self.submit(body)
        return body["nameId"]

    def _on_accepted(self, job: str, _result: Any) -> None:
        self._poll(job)

    def _send_random_requests(self) -> None:
        """Sends to all controllers status requests, repeated submissions and repeated cancellations of random jobs."""
        reactor.callLater(REQUEST_S, self._send_random_requests)
        jobs = list(self.jobs)
        for job in self.random.sample(jobs, min(3, len(jobs))):
            requests = [self._status_request(job), self._status_request(job), self._submit_request(self.jobs[job])]
            if job in self.checker.cancel_requests:
                requests.append(("POST", f"/v2/runs/{job}/cancel", {}))
            for name in self.names:
                defer.ensureDeferred(self._send_request(name, self.random.choice(requests), job))

    async def _send_request(self, name: str, request: tuple[str, str, Any], job: str) -> None:
        requested_at = self.now
        try:
            reply = await self.client.request(request[0], self.public[name], request[1], request[2], 2.0)
        except (ConnectionFailedError, NoResponseError):
            return
        if reply.status in (200, 201, 404):
            self.checker.observe_status(job, reply.body if reply.status != 404 else None, requested_at)
        elif reply.status in (400, 422):
            self.record_failure(f"{name} answered a request about {job} with status {reply.status}")

    def count_cancellations(self) -> None:
        """Counts the confirmed cancellations, also those confirmed before the end of the last trouble."""
        self.result.cancelled = len(self.checker.cancelled_at)
        until = self.began_at + self.troubled_until
        self.result.cancelled_in_trouble = sum(1 for at in self.checker.cancelled_at.values() if at < until)

    def _check_progress(self) -> None:
        """Checks the rules; ends the run when all jobs have ended or `settle_s` has passed."""
        self.checker.check_cancelled()
        for name, process in self.processes.items():
            if process.poll() is not None and name not in self.killed:
                self.record_failure(f"{name} exited unexpectedly with code {process.returncode}")
        elapsed = self.now - self.began_at
        self.checker.faults_until = self.began_at + max(self.plan.ends_s, self.troubled_until)
        self.checker.check_answered()
        if elapsed > self.plan.ends_s + 1.0:
            self._end_long_jobs()
            unfinished = [job for job in self.jobs if not self.checker.is_final(job)]
            if not unfinished and elapsed > min(self.troubled_until, self.plan.ends_s + self.plan.settle_s):
                self.finish()
                return
            if elapsed > self.plan.ends_s + self.plan.settle_s:
                if unfinished:
                    phases = [(job, self.checker.last_phase.get(job)) for job in unfinished[:5]]
                    self.record_failure(f"{len(unfinished)} of {len(self.jobs)} jobs have not ended: {phases}")
                self.finish()
                return
        reactor.callLater(0.1, self._check_progress)

    def _end_long_jobs(self) -> None:
        for job, body in list(self.jobs.items()):
            if body["guessS"] == LONG_RUN_S and job not in self.checker.cancel_requests:
                self.cancel(job)

    def record_failure(self, failure: str) -> None:
        """Adds a failure to the result, unless it is already there."""
        if failure not in self.result.failures:
            self.result.failures.append(failure)

    def finish(self) -> None:
        """Kills the controllers, completes the result and stops the reactor."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        result, checker = self.result, self.checker
        self.count_cancellations()
        result.failures += checker.violations[:20]
        result.jobs, result.starts, result.took_s = len(self.jobs), checker.starts, round(self.now, 1)
        result.longest_part = round(checker.longest_after_cancel_s / self.CANCEL_S, 3)
        result.refused_by_token, result.refused_by_session = (
            checker.refused_starts["token"],
            checker.refused_starts["epoch"],
        )
        result.sessions_lost, result.messages_hit = self.expired_leases, self.links.affected
        result.folder = str(self.folder)
        self._check_logs()
        reactor.stop()

    def _check_logs(self) -> None:
        """Adds logged defects to the failures and counts the lines of `LOG_PATTERNS`."""
        counted: Counter[str] = Counter()
        for name in self.names:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            for line in text.splitlines():
                if DEFECT_PATTERN.search(line):
                    self.record_failure(f"{name} logged: {line}")
            counted.update({key: len(pattern.findall(text)) for key, pattern in LOG_PATTERNS.items()})
        self.result.logged = dict(counted)

    # -- troubles
    # --------------------------------------------------------------------------------------------------------

    def _begin_trouble(self, trouble: Trouble) -> None:
        """Calls the method named after the trouble's kind."""
        self.troubled_until = max(self.troubled_until, trouble.at_s + trouble.for_s + trouble.most_s)
        getattr(self, f"_{trouble.kind}")(trouble)

    def _kill_process(self, name: str | None, restart_after_s: float) -> None:
        """Kills a controller process and restarts it later, unless it is down already."""
        if name is None or name in self.killed:
            return
        self.killed.add(name)
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        reactor.callLater(restart_after_s, self._restart_process, name)

    def _restart_process(self, name: str) -> None:
        self.processes[name] = self.spawn(name)
        self.killed.discard(name)

    def _kill(self, trouble: Trouble) -> None:
        self._kill_process(trouble.target, trouble.for_s)

    def _kill_leader(self, trouble: Trouble) -> None:
        self._kill_process(self.leader(), min(trouble.for_s, 5.0))

    def _leaders_in_series(self, trouble: Trouble) -> None:
        """Kills `count` leaders, one every `for_s` seconds."""
        for number in range(trouble.count):
            reactor.callLater(number * trouble.for_s, lambda: self._kill_process(self.leader(), 0.2))

    def _pause_process(self, name: str | None, for_s: float) -> None:
        """Stops a controller process by SIGSTOP and continues it later."""
        if name is None or name in self.killed:
            return
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        reactor.callLater(for_s, self._resume_process, process)

    @staticmethod
    def _resume_process(process: Any) -> None:
        if process.poll() is None:
            os.kill(process.pid, signal.SIGCONT)

    def _pause(self, trouble: Trouble) -> None:
        self._pause_process(trouble.target, trouble.for_s)

    def _pause_leader(self, trouble: Trouble) -> None:
        self._pause_process(self.leader(), min(trouble.for_s, 8.0))

    def _add_link_fault(self, trouble: Trouble, source: str, target: str, mode: str) -> None:
        until = self.now + trouble.for_s
        self.links.faults.append(
            Fault(until, source, target, mode, trouble.share, trouble.least_s, trouble.most_s, trouble.verb)
        )

    def _cut(self, trouble: Trouble) -> None:
        self._add_link_fault(trouble, trouble.source, trouble.target, trouble.mode)

    def _hold_commands(self, trouble: Trouble) -> None:
        self._add_link_fault(trouble, "leader", "n-*", trouble.mode if trouble.mode.startswith("hold") else "hold")

    def _hold_reports(self, trouble: Trouble) -> None:
        self._add_link_fault(trouble, "n-*", "node-*", "hold")

    def _copies(self, trouble: Trouble) -> None:
        """Delivers second copies of heartbeats and commands."""
        self._add_link_fault(trouble, "n-*", "node-*", "copy")
        self._add_link_fault(trouble, "leader", "n-*", "copy")

    def _refuse_leader(self, trouble: Trouble) -> None:
        """The state service refuses all requests of the leader."""
        name = self.leader()
        if name is not None:
            self.state.refused_until[name] = self.now + trouble.for_s

    def _store_out(self, trouble: Trouble) -> None:
        self.state.outage(trouble.for_s)

    def _store_slow(self, trouble: Trouble) -> None:
        self.state.slow_responses = self.now + trouble.for_s, trouble.most_s

    def _writes_lost(self, trouble: Trouble) -> None:
        """Loses responses to transactions; at random, all of these are executed at once or all some seconds later."""
        self.state.late_writes = self.now + trouble.for_s, trouble.share, self.random.random() < 0.5

    def _cloud_out(self, trouble: Trouble) -> None:
        self.cloud.down_until = self.now + trouble.for_s

    def _random_machines(self, trouble: Trouble) -> list[Machine]:
        """Returns a random selection of the machines, each with the probability `share`."""
        return [m for m in self.cloud.machines.values() if m.up and self.random.random() < trouble.share]

    def _hang(self, trouble: Trouble) -> None:
        """Suspends workers for up to two leases.

        That is less than `CANCEL_S`: while the cloud is out, nobody can end the tasks of a suspended worker.
        """
        for machine in self._random_machines(trouble):
            machine.hung = True
            reactor.callLater(min(trouble.for_s, 2.0 * self.LEASE_S), self._resume_machine, machine)

    @staticmethod
    def _resume_machine(machine: Machine) -> None:
        machine.hung = False
        machine.check_lease()

    def _deaf(self, trouble: Trouble) -> None:
        """Workers receive neither commands nor responses to their heartbeats."""
        self.inbound_blocked |= {machine.name: self.now + trouble.for_s for machine in self._random_machines(trouble)}

    def _mute(self, trouble: Trouble) -> None:
        """Heartbeats of the workers are lost; the workers still receive commands."""
        self.outbound_blocked |= {machine.name: self.now + trouble.for_s for machine in self._random_machines(trouble)}

    def _spot_wave(self, trouble: Trouble) -> None:
        """Takes away spot machines, 2 s after the warning."""
        for machine in [machine for machine in self._random_machines(trouble) if machine.spot]:
            machine.preempted_at = self.now + 2.0
            reactor.callLater(2.0, self._reclaim, machine)

    def _reclaim(self, machine: Machine) -> None:
        self.cloud.machines.pop(machine.name, None)
        machine.die()

    def _cancel_running(self, trouble: Trouble) -> None:
        running = list(dict.fromkeys(records.split_task(task)[0] for task in self.checker.machine_by_task))
        for job in self.random.sample(running, min(trouble.count, len(running))):
            self.cancel(job)

    def _cancel_fresh(self, trouble: Trouble) -> None:
        """Submits jobs and cancels them while their tasks are placed and started, as in the incident."""
        for number in range(trouble.count):
            changes = {"guessS": CANCELLED_RUN_S, "shape": "array", "pieces": 1 + number % 2, "vcpus": 3.0}
            job = self._submit(10_000 + len(self.jobs), **changes)
            reactor.callLater(self.random.uniform(0.3, 6.0), self.cancel, job)
