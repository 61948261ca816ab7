"""The cluster of a soak run: three processes, a plan of troubles, users that never leave it alone, and the rules."""

import argparse
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
from tests.simulation.deployment import MACHINE_TYPES, with_settings
from tests.simulation.workers import Machine
from tests.soak.links import Fault, Links
from tests.soak.plan import Plan, Trouble

# Jobs are submitted this often, and each of them is asked about, submitted again or cancelled again this often.
SUBMIT_S = 0.6
ASK_S = 0.25
LONG_JOBS = 4
# A job that is called off runs for long; if it is not, it is short.
LONG_S = 300.0
FRESH_S = 150.0
READY_S = 30.0
# What the controllers' logs must not hold, and what is counted there.
DEFECT = re.compile(r"Traceback|invariant violated|Unhandled")
LOG_PATTERNS = {
    "tokens_raised": re.compile(r"fencing token raised"),
    "starts_barred": re.compile(r"reason='start fenced'"),
    "starts_in_doubt": re.compile(r"start in doubt"),
    "renewals_withheld": re.compile(r"lease renewal withheld"),
    "withdrawn": re.compile(r"commands withdrawn"),
    "elections": re.compile(r"leader elected"),
}


@dataclass
class Result:
    """What came of a run."""

    seed: int
    failures: list[str] = field(default_factory=list)
    jobs: int = 0
    cancelled: int = 0
    cancelled_in_trouble: int = 0
    """Cancellations confirmed while a trouble lasted, or a message was held."""
    longest_part: float = 0.0
    """From a confirmation to its task's last moment at the most, as a part of `cancel_s`."""
    refused_by_token: int = 0
    refused_by_session: int = 0
    sessions_lost: int = 0
    starts: int = 0
    messages_hit: dict[str, int] = field(default_factory=dict)
    logged: dict[str, int] = field(default_factory=dict)
    took_s: float = 0.0
    folder: str = ""


class SoakMachine(LoopbackMachine):
    """A worker whose links may fail."""

    def __init__(self, cluster: "SoakCluster", name: str, *arguments: Any) -> None:
        Machine.__init__(self, cluster, name, *arguments)
        port = cluster.listen(
            lambda _method, _path, body: cluster.links.carry("leader", name, body, self._command(body))
        )
        self.address = f"{LOCAL}:{port}"

    def _command(self, body: Any) -> Any:
        def work() -> Reply:
            if self.gone or not self.up or self.cluster.inbound_blocked.get(self.name, 0.0) > self.cluster.now:
                raise NoResponseError("silence")
            return self.command(body)

        return work

    def deliver(self, target: str, body: Any) -> defer.Deferred:
        return self.cluster.links.carry(self.name, target, body, lambda: self._report(target, body))

    def _report(self, target: str, body: Any) -> defer.Deferred:
        if self.cluster.outbound_blocked.get(self.name, 0.0) > self.cluster.now:
            raise NoResponseError("silence")
        answered = self.cluster.client.request("POST", self.cluster.public[target], HEARTBEAT_PATH, body, 4.0)
        return defer.ensureDeferred(answered).addCallback(self._unless_deaf)

    def _unless_deaf(self, reply: Reply) -> Reply:
        if self.cluster.inbound_blocked.get(self.name, 0.0) > self.cluster.now:
            raise NoResponseError("silence")
        return reply


class SoakCloud(LoopbackCloud):
    """Rents workers whose links may fail."""

    def machine(self, name: str, kind: dict, zone: str, spot: bool) -> Machine:
        return SoakMachine(self.cluster, name, kind, zone, spot)


class SoakCluster(LoopbackCluster):
    """Plays a plan; `result` says what came of it."""

    MANY_REPORT_S, MANY_LEASE_S, MANY_CANCEL_S = 1.0, 8.0, 22.0
    """With some hundred workers, which share one process with everything else."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.result = Result(plan.seed)
        if plan.machines:
            self.REPORT_S, self.LEASE_S, self.CANCEL_S = self.MANY_REPORT_S, self.MANY_LEASE_S, self.MANY_CANCEL_S
        self.inbound_blocked: dict[str, float] = {}
        self.outbound_blocked: dict[str, float] = {}
        self.ended_by_us: set[str] = set()
        self.troubled_until = 0.0
        self.links = Links(reactor, lambda: self.now, random.Random(f"links {plan.seed}"))
        self.raw = Client(
            reactor, bytes, bytes, b"application/json", max_idle_per_host=8, connect_timeout_s=1.0, idle_s=30.0
        )
        self._ports: dict[tuple[str, str], int] = {}
        super().__init__(argparse.Namespace(seed=plan.seed, without=not plan.rebuild, logs=False))
        self.cloud = self._make_cloud()

    def _make_cloud(self) -> SoakCloud:
        cloud = SoakCloud(self, capacity=max(8, self.plan.machines))
        cloud.boot_s, cloud.failed_boot_share = 0.5, 0.0
        return cloud

    # -- addresses: a port for each link, so that it is known who asks
    # ---------------------------------------------------

    def _link(self, source: str, target: str, work: Any, **encoding: Any) -> str:
        port = self._ports.get((source, target))
        if port is None:

            def handle(method: str, path: str, body: Any) -> Any:
                return self.links.carry(source, target, body, lambda: work(method, path, body))

            port = self._ports[source, target] = self.listen(handle, **encoding)
        return f"{LOCAL}:{port}"

    def state_address(self, name: str) -> str:
        return self._link(name, "state", lambda method, path, body: self.state.receive(name, method, path, body))

    def cloud_address(self, name: str) -> str:
        return self._link(name, "cloud", lambda method, path, body: self.cloud.handle(name, method, path, body))

    def peer_address(self, name: str, other: str) -> str:
        def forward(method: str, path: str, body: Any) -> Any:
            return defer.ensureDeferred(self.raw.request(method, self.peers[other], path, body, 4.0))

        return self._link(name, other, forward, encode=lambda data: data or b"", decode=bytes)

    def settings(self, name: str) -> str:
        return with_settings(super().settings(name), {"max_sockets = 200": "max_sockets = 1000"})

    # -- the run
    # ---------------------------------------------------------------------------------------------------------

    def begin(self) -> None:
        """Starts the work and the troubles once a controller leads."""
        if self.leader() is None:
            if self.now > READY_S:
                self.fail(f"no controller led within {READY_S} s")
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
            reactor.callLater(trouble.at_s, self._start, trouble)
        reactor.callLater(ASK_S, self._keep_asking)
        reactor.callLater(1.0, self._look_after)

    def _submit(self, number: int, **changes: Any) -> str:
        wide = max(1, self.plan.machines // 10)
        body = self.job(
            number,
            pieces=1 + number % 4 * wide,
            vcpus=0.5,
            memGb=0.5,
            guessS=LONG_S if number < LONG_JOBS else 0.5 + number % 4,
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

    def _keep_asking(self) -> None:
        """Users ask about old and new jobs at all nodes, submit them again, and cancel again what they cancelled."""
        reactor.callLater(ASK_S, self._keep_asking)
        jobs = list(self.jobs)
        for job in self.random.sample(jobs, min(3, len(jobs))):
            asks = [self._status_request(job), self._status_request(job), self._submit_request(self.jobs[job])]
            if job in self.checker.cancel_requests:
                asks.append(("POST", f"/v2/runs/{job}/cancel", {}))
            for name in self.names:
                defer.ensureDeferred(self._look_once(name, self.random.choice(asks), job))

    async def _look_once(self, name: str, ask: tuple[str, str, Any], job: str) -> None:
        asked_at = self.now
        try:
            reply = await self.client.request(ask[0], self.public[name], ask[1], ask[2], 2.0)
        except (ConnectionFailedError, NoResponseError):
            return
        if reply.status in (200, 201, 404):
            self.checker.observe_status(job, reply.body if reply.status != 404 else None, asked_at)
        elif reply.status in (400, 422):
            self.fail(f"{name} answers {reply.status} about {job}")

    def told_cancelled(self) -> None:
        """Counts what was confirmed while something was wrong."""
        self.result.cancelled = len(self.checker.cancelled_at)
        until = self.began_at + self.troubled_until
        self.result.cancelled_in_trouble = sum(1 for at in self.checker.cancelled_at.values() if at < until)

    def _look_after(self) -> None:
        """Checks the rules, and ends the run when all jobs have ended, or it takes too long."""
        self.checker.check_cancelled()
        for name, process in self.processes.items():
            if process.poll() is not None and name not in self.ended_by_us:
                self.fail(f"{name} ended by itself, code {process.returncode}")
        elapsed = self.now - self.began_at
        self.checker.faults_until = self.began_at + max(self.plan.ends_s, self.troubled_until)
        self.checker.check_answered()
        if elapsed > self.plan.ends_s + 1.0:
            self._end_long_jobs()
            left = [job for job in self.jobs if not self.checker.is_final(job)]
            if not left and elapsed > min(self.troubled_until, self.plan.ends_s + self.plan.settle_s):
                self.finish()
                return
            if elapsed > self.plan.ends_s + self.plan.settle_s:
                if left:
                    self.fail(
                        f"{len(left)} jobs have not ended: "
                        f"{[(job, self.checker.last_phase.get(job)) for job in left[:5]]}"
                    )
                self.finish()
                return
        reactor.callLater(0.1, self._look_after)

    def _end_long_jobs(self) -> None:
        for job, body in list(self.jobs.items()):
            if body["guessS"] == LONG_S and job not in self.checker.cancel_requests:
                self.cancel(job)

    def fail(self, what: str) -> None:
        """Takes note of a failure, once."""
        if what not in self.result.failures:
            self.result.failures.append(what)

    def finish(self) -> None:
        for process in self.processes.values():
            process.kill()
            process.wait()
        result, checker = self.result, self.checker
        self.told_cancelled()
        result.failures += checker.violations[:20]
        result.jobs, result.starts, result.took_s = len(self.jobs), checker.starts, round(self.now, 1)
        result.longest_part = round(checker.longest_after_cancel_s / self.CANCEL_S, 3)
        result.refused_by_token, result.refused_by_session = (
            checker.refused_starts["token"],
            checker.refused_starts["epoch"],
        )
        result.sessions_lost, result.messages_hit = self.expired_leases, self.links.hit
        result.folder = str(self.folder)
        self._read_logs()
        reactor.stop()

    def _read_logs(self) -> None:
        counted: Counter[str] = Counter()
        for name in self.names:
            text = (self.folder / f"{name}.log").read_text(errors="replace")
            for line in text.splitlines():
                if DEFECT.search(line):
                    self.fail(f"{name} logs: {line}")
            counted.update({what: len(pattern.findall(text)) for what, pattern in LOG_PATTERNS.items()})
        self.result.logged = dict(counted)

    # -- troubles
    # --------------------------------------------------------------------------------------------------------

    def _start(self, trouble: Trouble) -> None:
        self.troubled_until = max(self.troubled_until, trouble.at_s + trouble.for_s + trouble.most_s)
        getattr(self, f"_{trouble.kind}")(trouble)

    def _end_process(self, name: str | None, back_s: float) -> None:
        if name is None or name in self.ended_by_us:
            return
        self.ended_by_us.add(name)
        self.processes[name].send_signal(signal.SIGKILL)
        self.processes[name].wait()
        reactor.callLater(back_s, self._spawn_again, name)

    def _spawn_again(self, name: str) -> None:
        self.processes[name] = self.spawn(name)
        self.ended_by_us.discard(name)

    def _kill(self, trouble: Trouble) -> None:
        self._end_process(trouble.target, trouble.for_s)

    def _kill_leader(self, trouble: Trouble) -> None:
        self._end_process(self.leader(), min(trouble.for_s, 5.0))

    def _leaders_in_series(self, trouble: Trouble) -> None:
        for number in range(trouble.count):
            reactor.callLater(number * trouble.for_s, lambda: self._end_process(self.leader(), 0.2))

    def _pause_process(self, name: str | None, for_s: float) -> None:
        if name is None or name in self.ended_by_us:
            return
        process = self.processes[name]
        process.send_signal(signal.SIGSTOP)
        reactor.callLater(for_s, self._resume, process)

    @staticmethod
    def _resume(process: Any) -> None:
        if process.poll() is None:
            os.kill(process.pid, signal.SIGCONT)

    def _pause(self, trouble: Trouble) -> None:
        self._pause_process(trouble.target, trouble.for_s)

    def _pause_leader(self, trouble: Trouble) -> None:
        self._pause_process(self.leader(), min(trouble.for_s, 8.0))

    def _fault(self, trouble: Trouble, source: str, target: str, mode: str) -> None:
        until = self.now + trouble.for_s
        self.links.faults.append(
            Fault(until, source, target, mode, trouble.share, trouble.least_s, trouble.most_s, trouble.verb)
        )

    def _cut(self, trouble: Trouble) -> None:
        self._fault(trouble, trouble.source, trouble.target, trouble.mode)

    def _hold_commands(self, trouble: Trouble) -> None:
        self._fault(trouble, "leader", "n-*", trouble.mode if trouble.mode.startswith("hold") else "hold")

    def _hold_reports(self, trouble: Trouble) -> None:
        self._fault(trouble, "n-*", "node-*", "hold")

    def _copies(self, trouble: Trouble) -> None:
        self._fault(trouble, "n-*", "node-*", "copy")
        self._fault(trouble, "leader", "n-*", "copy")

    def _refuse_leader(self, trouble: Trouble) -> None:
        name = self.leader()
        if name is not None:
            self.state.refused_until[name] = self.now + trouble.for_s

    def _store_out(self, trouble: Trouble) -> None:
        self.state.outage(trouble.for_s)

    def _store_slow(self, trouble: Trouble) -> None:
        self.state.slow_responses = self.now + trouble.for_s, trouble.most_s

    def _writes_lost(self, trouble: Trouble) -> None:
        self.state.late_writes = self.now + trouble.for_s, trouble.share, self.random.random() < 0.5

    def _cloud_out(self, trouble: Trouble) -> None:
        self.cloud.down_until = self.now + trouble.for_s

    def _some_machines(self, trouble: Trouble) -> list[Machine]:
        return [m for m in self.cloud.machines.values() if m.up and self.random.random() < trouble.share]

    def _hang(self, trouble: Trouble) -> None:
        for machine in self._some_machines(trouble):
            machine.hung = True
            reactor.callLater(min(trouble.for_s, 0.8 * self.LEASE_S), self._wake, machine)

    @staticmethod
    def _wake(machine: Machine) -> None:
        machine.hung = False
        machine.check_lease()

    def _deaf(self, trouble: Trouble) -> None:
        self.inbound_blocked |= {machine.name: self.now + trouble.for_s for machine in self._some_machines(trouble)}

    def _mute(self, trouble: Trouble) -> None:
        self.outbound_blocked |= {machine.name: self.now + trouble.for_s for machine in self._some_machines(trouble)}

    def _spot_wave(self, trouble: Trouble) -> None:
        for machine in [machine for machine in self._some_machines(trouble) if machine.spot]:
            machine.preempted_at = self.now + 2.0
            reactor.callLater(2.0, self._taken, machine)

    def _taken(self, machine: Machine) -> None:
        self.cloud.machines.pop(machine.name, None)
        machine.die()

    def _cancel_running(self, trouble: Trouble) -> None:
        running = list(dict.fromkeys(records.split_task(task)[0] for task in self.checker.machine_by_task))
        for job in self.random.sample(running, min(trouble.count, len(running))):
            self.cancel(job)

    def _cancel_fresh(self, trouble: Trouble) -> None:
        """Jobs that are called off just as their tasks are placed and started, as in the incident."""
        for number in range(trouble.count):
            fresh = {"guessS": FRESH_S, "shape": "array", "pieces": 1 + number % 2, "vcpus": 3.0}
            job = self._submit(10_000 + len(self.jobs), **fresh)
            reactor.callLater(self.random.uniform(0.3, 6.0), self.cancel, job)
