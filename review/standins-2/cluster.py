"""A small deployment on loopback: three controllers as processes, and stand-ins of all else."""

import asyncio
import os
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import tomllib
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from pathlib import Path
from typing import Any

from state_service import StateService
from wire import LOCAL, Answer, Proxy, Record, request, succeeded
from workers import Cloud, Timings, World

ROOT = Path(__file__).resolve().parents[2]
DEPLOY_FILE = ROOT / "deploy" / "service.toml"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MEMBERS = ("loftnode-0", "loftnode-1", "loftnode-2")
POLL_S = 2.0
SUBMIT_S = 5.0
RETRY_S = 1.0
START_S = 25.0
"""How long the controllers may take until one leads and all are healthy."""
MEMORY_CHECK_S = 0.05
KIB_PER_MIB = 1024
LONGEST_S = 117.0
CLOSING_S = 0.3
"""The time in which the connections of ended controllers close."""

SMALL_SITE = Timings(report_s=1.0, lease_s=10.0, cancel_s=30.0)
"""The workers' times of the small site of the puzzle grid."""
TYPES = [
    {
        "label": "jigsaw-small",
        "vcpus": 8.0,
        "accelerators": 0.0,
        "memGb": 64.0,
        "cacheGb": 35.0,
        "pullGbPerS": 0.25,
        "price": 0.42,
        "spotPrice": 0.16,
        "bootS": 35.0,
        "yards": ["austin-east", "austin-west", "dallas-rented"],
    }
]

SETTINGS = """member = "{member}"
site = "austin-east"
listen = "{public}"
peer_bind = "{peer}"
{peers}
[external]
cloud = "{cloud}"
state = "{state}"

[deployment]
size = 3
zones = ["austin-east", "austin-west", "dallas-rented"]
time_bound_ms = 25.0

[[deployment.teams]]
name = "level-design"
cpus = 0.0
cpus_max = 0.0
gpus = 0.0
gpus_max = 0.0
{more_teams}
[deployment.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 45.0
gang_peer_s = 8.0
cancel_s = {cancel_s}

[deployment.state]
rps = 60.0
write_rps = 20.0
value_kb = 4.0
txn_ops = 12

[deployment.cloud]
rps = 6.0
list_lag_s = 4.0

[deployment.quota]
cpu = 0.36
ram_mb = 146.0
max_sockets = 900
"""


class NotRunError(Exception):
    """The case couldn't run."""


def free_ports(count: int) -> list[int]:
    """Returns loopback ports that are free now."""
    sockets = [socket.create_server((LOCAL, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


def _own_memory_mib(pid: int) -> float:
    """Returns the memory that a process holds for itself, without what it shares with files."""
    try:
        lines = Path(f"/proc/{pid}/status").read_text(encoding="utf-8").splitlines()
    except OSError:
        return 0.0
    return sum(float(line.split()[1]) / KIB_PER_MIB for line in lines if line.startswith("RssAnon:"))


class Cluster:
    """The deployment."""

    def __init__(self, folder: Path, capacity: int, timings: Timings) -> None:
        """`folder` gets the record; `capacity` is the number of machines that can be had."""
        self.record = Record(folder / "record.txt")
        self.world = World(self.record, timings)
        self.state = StateService(self.record, txn_ops=12)
        self.cloud = Cloud(self.record, self.world, TYPES, capacity, lag_s=4.0)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self._temporary = tempfile.TemporaryDirectory()
        self._settings: dict[str, Path] = {}
        self.killed: list[str] = []
        """Controllers that were killed for memory, in order."""
        self.more_teams: list[str] = []
        """Teams without guarantee and limit beside the site's own."""
        self.peers: dict[str, Proxy] = {}
        """What stands before each controller's address for the others."""
        self._turn = 0

    # -- processes -------------------------------------------------------------

    async def start(self) -> None:
        """Starts the stand-ins and the controllers."""
        await self.state.start()
        await self.cloud.start()
        ports = free_ports(2 * len(MEMBERS))
        public = {member: f"{LOCAL}:{ports[2 * n]}" for n, member in enumerate(MEMBERS)}
        peer = {member: f"{LOCAL}:{ports[2 * n + 1]}" for n, member in enumerate(MEMBERS)}
        self.world.nodes = public
        self.peers = {member: Proxy(peer[member]) for member in MEMBERS}
        for proxy in self.peers.values():
            await proxy.open()
        timings = self.world.timings
        for member in MEMBERS:
            peers = "".join(
                f'\n[[peers]]\nmember = "{other}"\nsite = "austin-east"\naddress = "{self.peers[other].address}"\n'
                for other in MEMBERS
                if other != member
            )
            text = SETTINGS.format(
                member=member,
                public=public[member],
                peer=peer[member],
                peers=peers,
                cloud=self.cloud.server.address,
                state=await self.state.address_for(member),
                report_s=timings.report_s,
                lease_s=timings.lease_s,
                cancel_s=timings.cancel_s,
                more_teams="".join(f'\n[[deployment.teams]]\nname = "{team}"\n' for team in self.more_teams),
            )
            self._settings[member] = Path(self._temporary.name) / f"{member}.toml"
            self._settings[member].write_text(text, encoding="utf-8")
            self.spawn(member)

    def spawn(self, member: str) -> None:
        """Starts a controller with the command of the deploy file."""
        command = shlex.split(tomllib.loads(DEPLOY_FILE.read_text(encoding="utf-8"))["run"])
        if command[0] == "python3":
            command[0] = sys.executable
        log = (Path(self._temporary.name) / f"{member}.log").open("ab")
        environment = os.environ | {"LOG_LEVEL": "info"}
        self.processes[member] = subprocess.Popen(
            [*command, str(self._settings[member])], cwd=ROOT, stderr=log, env=environment
        )
        self.record.write(f"{member}: started")

    def signal(self, member: str, number: signal.Signals) -> None:
        """Sends a signal to a controller."""
        self.record.write(f"{member}: {number.name}")
        self.processes[member].send_signal(number)

    async def enforce_memory(self, limit_mib: float, back_s: float) -> None:
        """Kills a controller whose own memory exceeds the limit, and starts it again after this time."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            for member, process in list(self.processes.items()):
                held_mib = _own_memory_mib(process.pid) if process.poll() is None else 0.0
                if held_mib > limit_mib:
                    self.killed.append(member)
                    self.record.write(f"{member}: holds {held_mib:.0f} MiB, of {limit_mib:.0f} allowed: killed")
                    process.kill()
                    process.wait()
                    asyncio.get_running_loop().call_later(back_s, self.spawn, member)

    async def leader(self) -> str:
        """Waits until a controller leads; returns its name."""
        while (member := self.state.leader()) is None:
            await asyncio.sleep(0.1)
        return member

    async def ready(self) -> None:
        """Waits until one controller leads, all are healthy and all machines know its token."""
        while self.record.now() < START_S:
            healthy = [
                succeeded(await request(address, "GET", "/healthz", None, 1.0)) for address in self.world.nodes.values()
            ]
            machines = [machine for machine in self.world.machines.values() if not machine.gone]
            if all(healthy) and self.state.leader() and all(machine.baton for machine in machines):
                self.record.write(f"ready, leader {self.state.leader()}")
                return
            await asyncio.sleep(0.2)
        raise NotRunError("the deployment is not ready in time")

    def kill(self) -> None:
        """Ends all controllers."""
        for process in self.processes.values():
            process.kill()
            process.wait()

    def stop(self) -> None:
        """Appends the lines of the controllers' logs to the record."""
        self.kill()
        for member in MEMBERS:
            log = Path(self._temporary.name) / f"{member}.log"
            if log.exists():
                for line in log.read_text(encoding="utf-8", errors="replace").splitlines():
                    self.record.write(f"log of {member}: {line}")
        self._temporary.cleanup()

    # -- users -----------------------------------------------------------------

    async def ask(self, method: str, path: str, body: Any, timeout_s: float) -> Answer | None:
        """Sends a request of a user to the next controller in turn."""
        self._turn += 1
        member = MEMBERS[self._turn % len(MEMBERS)]
        answer = await request(self.world.nodes[member], method, path, body, timeout_s)
        self.record.write(f"user: {method} {path} at {member}: {answer}")
        return answer

    async def submit(self, name: str, pieces: int, **changes: Any) -> float:
        """Submits a job until it is accepted; returns when that was."""
        body = {
            "nameId": name,
            "lane": "morning-release",
            "crew": "level-design",
            "shape": "array",
            "urgency": "urgent",
            "pieces": pieces,
            "vcpus": 4.0,
            "accelerators": 0.0,
            "memGb": 4.9,
            "bundle": "img-01",
            "imageGb": 0.1,
            "builds": None,
            "yard": None,
            "together": False,
            "spread": False,
            "loaner": True,
            "guessS": 3.0,
            "snapshotS": 0.0,
            "stashS": 0.0,
            "dueS": None,
        } | changes
        self.world.jobs[name] = body
        while True:
            answer = await self.ask("POST", "/v2/runs", body, SUBMIT_S)
            if succeeded(answer):
                return self.record.now()
            await asyncio.sleep(RETRY_S)

    async def cancel(self, name: str) -> float:
        """Cancels a job until a final state is told; returns when that was."""
        while True:
            answer = await self.ask("POST", f"/v2/runs/{name}/cancel", {}, SUBMIT_S)
            if succeeded(answer):
                return self.record.now()
            await asyncio.sleep(RETRY_S)

    async def phase(self, name: str) -> str | None:
        """Asks once about a job; returns its phase, or None without an answer."""
        answer = await self.ask("GET", f"/v2/runs/{name}", None, POLL_S)
        return answer[1]["phase"] if answer is not None and answer[0] == HTTPStatus.OK else None

    async def done(self, name: str, within_s: float) -> bool:
        """Asks about a job until it is done; returns whether that was within this time."""
        until = self.record.now() + within_s
        while self.record.now() < until:
            if await self.phase(name) == "done":
                return True
            await asyncio.sleep(1.0)
        return False


def run(
    folder: Path,
    capacity: int,
    case: Callable[[Cluster, bool], Awaitable[list[str]]],
    timings: Timings = SMALL_SITE,
) -> int:
    """Runs a case, which returns what it found broken; returns the exit code.

    `RECORD_IN` names another folder for the record, for several runs at once.
    """
    cluster = Cluster(Path(os.environ.get("RECORD_IN", folder)), capacity, timings)
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play() -> list[str]:
        try:
            return await asyncio.wait_for(case(cluster, trouble), LONGEST_S)
        finally:
            cluster.kill()
            await asyncio.sleep(CLOSING_S)

    try:
        broken = asyncio.run(play())
        for line in broken:
            cluster.record.write(f"BROKEN {line}")
            print(line)
        cluster.record.write("the rule was broken" if broken else "the rule held")
        return BROKEN if broken else HELD
    except Exception as error:
        cluster.record.write(f"not run: {error!r}")
        print(f"not run: {error!r}")
        return NOT_RUN
    finally:
        cluster.stop()
