"""A small deployment on loopback: controllers as processes of their own, and the stand-ins around them."""

import asyncio
import json
import os
import random
import signal
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

from fleet import Cloud, World
from state import State
from wire import LOCAL, Reply, call, free_ports, serve

ROOT = Path(__file__).resolve().parents[2]
USER_TIMEOUT_S, POLL_TIMEOUT_S, RETRY_S, SUBMIT_FOR_S = 5.0, 2.0, 1.0, 60.0
LOG_CHUNK = 65536
PROBE_S, PROBE_TIMEOUT_S = 1.0, 1.0
FAILURES_TO_REMOVE, SUCCESSES_TO_RETURN = 2, 2

SETTINGS = """
member = "{member}"
site = "{zone}"
listen = "{listen}"
peer_bind = "{peer}"
{peers}
[external]
cloud = "{cloud}"
state = "{state}"
[deployment]
size = {size}
zones = {zones}
time_bound_ms = 5.0
{teams}
{site}
"""
TEAM = '[[deployment.teams]]\nname = "{}"\ncpus = {}\ncpus_max = {}\ngpus = 0.0\ngpus_max = 0.0\n'
PEER = '[[peers]]\nmember = "{}"\nsite = "{}"\naddress = "{}"\n'
LIMITS = """
[deployment.workers]
report_s = {report_s}
lease_s = {lease_s}
gang_wait_s = 45.0
gang_peer_s = 4.0
cancel_s = {cancel_s}
[deployment.state]
rps = {rps}
write_rps = {write_rps}
value_kb = {value_kb}
txn_ops = {txn_ops}
[deployment.cloud]
rps = 6.0
list_lag_s = {list_lag_s}
[deployment.quota]
cpu = {cpu}
ram_mb = {ram_mb}
max_sockets = {max_sockets}
"""


class Team(NamedTuple):
    """A team's guarantee and limit; 0: none."""

    name: str
    cpus: float = 0.0
    cpus_max: float = 0.0


class Site(NamedTuple):
    """A deployment's settings, and what its cloud offers."""

    zones: list[str]
    teams: list[Team]
    builds: list[dict[str, Any]]
    report_s: float
    lease_s: float
    cancel_s: float
    rps: float
    write_rps: float
    value_kb: float
    txn_ops: int
    list_lag_s: float
    cpu: float
    ram_mb: float
    max_sockets: int
    room: dict[str, int]
    """How many machines of each type the cloud has."""


def _build(label: str, vcpus: float, mem_gb: float, price: float, spot_price: float, pull: float) -> dict[str, Any]:
    """Returns a machine type as the cloud describes it."""
    return {
        "label": label,
        "vcpus": vcpus,
        "accelerators": 0,
        "memGb": mem_gb,
        "cacheGb": 60,
        "pullGbPerS": pull,
        "price": price,
        "spotPrice": spot_price,
        "bootS": 35.0,
    }


KUOROVUORO = Site(
    zones=["tampere-a", "tampere-b", "helsinki-c", "oulu-d"],
    teams=[
        Team("kuorotiimi", 700.0, 2000.0),
        Team("puhallintiimi", 1000.0, 3000.0),
        Team("tapahtumatiimi", 600.0, 2000.0),
        Team("laulujuhla-vieras"),
    ],
    builds=[
        _build("kantele-pieni", 8.0, 32.0, 0.57, 0.12, 0.3),
        _build("urut-iso", 64.0, 128.0, 4.11, 0.95, 0.3),
    ],
    report_s=3.0,
    lease_s=19.0,
    cancel_s=44.0,
    rps=150.0,
    write_rps=30.0,
    value_kb=16.0,
    txn_ops=24,
    list_lag_s=10.0,
    cpu=0.18,
    ram_mb=106.0,
    max_sockets=600,
    room={"kantele-pieni": 100, "urut-iso": 84},
)
BLUEBONNET = Site(
    zones=["austin-east", "austin-west", "dallas-rented"],
    teams=[Team("level-design"), Team("museum-guest")],
    builds=[
        _build("jigsaw-small", 8.0, 64.0, 0.42, 0.16, 0.25),
        _build("jigsaw-large", 64.0, 128.0, 2.51, 1.05, 0.25),
    ],
    report_s=1.0,
    lease_s=10.0,
    cancel_s=30.0,
    rps=60.0,
    write_rps=20.0,
    value_kb=4.0,
    txn_ops=12,
    list_lag_s=4.0,
    cpu=0.36,
    ram_mb=146.0,
    max_sockets=900,
    room={"jigsaw-small": 200, "jigsaw-large": 70},
)


class Deployment:
    """Three controllers, the state service, the cloud, workers and users."""

    def __init__(self, folder: Path, site: Site) -> None:
        self.began = time.monotonic()
        self._file = (folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.members = ["loftnode-0", "loftnode-1", "loftnode-2"]
        ports = free_ports(2 * len(self.members))
        self.public = {m: f"{LOCAL}:{ports[2 * n]}" for n, m in enumerate(self.members)}
        self.peers = {m: f"{LOCAL}:{ports[2 * n + 1]}" for n, m in enumerate(self.members)}
        self.site = site
        self.world = World(site.report_s, site.lease_s, self.public, self.record)
        self.state = State(site.rps, site.write_rps, site.value_kb, site.txn_ops)
        builds = [kind | {"yards": site.zones} for kind in site.builds]
        self.cloud = Cloud(self.world, builds, 6.0, site.list_lag_s, site.room)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.healthy: dict[str, bool] = dict.fromkeys(self.members, False)
        self.background: list[asyncio.Task[Any]] = []
        self.on_log: Callable[[str, int, bytes], None] = lambda _member, _pid, _data: None
        """Called in a thread of its own with a member, its process and what it has written to its log."""

    def now(self) -> float:
        """Returns the seconds since the beginning of the run."""
        return time.monotonic() - self.began

    def record(self, event: str, *details: Any) -> None:
        """Writes a line to the record."""
        print(f"{self.now():8.3f} {event}", *details, file=self._file, flush=True)

    # -- controllers ----------------------------------------------------------------------

    async def start(self) -> None:
        """Starts the stand-ins and the controllers, and waits for a leader and for a healthy node."""
        state, cloud = await serve(self.state.handle), await serve(self.cloud.handle)
        for member in self.members:
            others = [other for other in self.members if other != member]
            zones = self.site.zones
            text = SETTINGS.format(
                member=member,
                zone=zones[self.members.index(member)],
                listen=self.public[member],
                peer=self.peers[member],
                peers="".join(PEER.format(o, zones[self.members.index(o)], self.peers[o]) for o in others),
                cloud=f"{LOCAL}:{cloud}",
                state=f"{LOCAL}:{state}",
                size=len(self.members),
                zones=json.dumps(zones),
                teams="".join(TEAM.format(*team) for team in self.site.teams),
                site=LIMITS.format(**self.site._asdict()),
            )
            (self.folder / f"{member}.toml").write_text(text)
        for coroutine in (self.state.expire_holds(), self.cloud.keep_history(), self._probe_forever()):
            self.background.append(asyncio.ensure_future(coroutine))
        for member in self.members:
            self.spawn(member)
        async with asyncio.timeout(20.0):
            while self.state.leader() is None or not all(self.healthy.values()):
                await asyncio.sleep(0.1)
        self.record("leader", self.state.leader())

    def spawn(self, member: str) -> None:
        """Starts a controller with the command of the deploy file."""
        run = tomllib.loads((ROOT / "deploy/service.toml").read_text())["run"].split()
        process = self.processes[member] = subprocess.Popen(
            [*run, str(self.folder / f"{member}.toml")],
            cwd=ROOT,
            stderr=subprocess.PIPE,
            env={k: v for k, v in os.environ.items() if k != "PYTHONPATH"} | {"LOG_LEVEL": "info"},
        )
        threading.Thread(target=self._follow_log, args=(member, process), daemon=True).start()

    def _follow_log(self, member: str, process: "subprocess.Popen[bytes]") -> None:
        assert process.stderr is not None
        with self.log_of(member).open("ab") as log:
            while data := os.read(process.stderr.fileno(), LOG_CHUNK):
                self.on_log(member, process.pid, data)
                log.write(data)
                log.flush()

    def log_of(self, member: str) -> Path:
        """Returns the path of a controller's log."""
        return self.folder / f"{member}.log"

    def signal(self, member: str, number: signal.Signals) -> None:
        """Sends a signal to a controller."""
        self.record("signal", member, number.name)
        self.processes[member].send_signal(number)

    def stop(self) -> None:
        """Ends all controllers."""
        for process in self.processes.values():
            process.kill()
            process.wait()
        for task in self.background:
            task.cancel()
        self._temporary.cleanup()

    # -- users ------------------------------------------------------------------------------

    async def _probe_forever(self) -> None:
        """Probes the nodes as the load balancer does: two failures remove a node, two successes bring it back."""
        results: dict[str, list[bool]] = {member: [] for member in self.members}
        while True:
            for member, seen in results.items():
                reply = await call(self.public[member], "GET", "/healthz", None, PROBE_TIMEOUT_S)
                seen.append(reply is not None and reply.status == HTTPStatus.OK)
                healthy = self.healthy[member]
                if healthy and not any(seen[-FAILURES_TO_REMOVE:]):
                    self.healthy[member] = False
                elif not healthy and all(seen[-SUCCESSES_TO_RETURN:]):
                    self.healthy[member] = True
                if healthy != self.healthy[member]:
                    self.record("health", member, self.healthy[member])
            await asyncio.sleep(PROBE_S)

    def node(self) -> str:
        """Returns the address of a healthy node, or of any if none is."""
        able = [member for member in self.members if self.healthy[member]]
        return self.public[random.choice(able or self.members)]

    def job(self, number: int, **changes: Any) -> dict[str, Any]:
        """Returns the body of a submission."""
        return {
            "nameId": f"j-{number:06d}",
            "lane": "hint-render",
            "crew": self.site.teams[0].name,
            "shape": "array",
            "urgency": "standard",
            "pieces": 2,
            "vcpus": 8.0,
            "accelerators": 0.0,
            "memGb": 10.0,
            "bundle": "img-1",
            "imageGb": 0.5,
            "builds": None,
            "yard": None,
            "together": False,
            "spread": False,
            "loaner": True,
            "guessS": 5.0,
            "snapshotS": 0.0,
            "stashS": 0.0,
            "dueS": None,
        } | changes

    async def submit(self, body: dict[str, Any]) -> bool:
        """Submits a job, with retries for up to 60 s; returns whether it was accepted."""
        job, began = body["nameId"], self.now()
        self.world.jobs[job] = body
        while self.now() - began < SUBMIT_FOR_S:
            reply = await call(self.node(), "POST", "/v2/runs", body, USER_TIMEOUT_S)
            self.record("submit", job, reply)
            if reply is not None and reply.status in (HTTPStatus.OK, HTTPStatus.CREATED):
                return True
            if reply is not None and reply.status in (HTTPStatus.BAD_REQUEST, HTTPStatus.UNPROCESSABLE_ENTITY):
                return False
            await asyncio.sleep(RETRY_S)
        return False

    async def poll(self, job: str) -> Reply | None:
        """Asks for the status of a job once."""
        reply = await call(self.node(), "GET", f"/v2/runs/{job}", None, POLL_TIMEOUT_S)
        self.record("poll", job, reply)
        return reply

    async def cancel(self, job: str) -> Reply | None:
        """Asks for the cancellation of a job once."""
        reply = await call(self.node(), "POST", f"/v2/runs/{job}/cancel", {}, USER_TIMEOUT_S)
        self.record("cancel", job, reply)
        return reply


def case(main: Callable[[Deployment, bool], Awaitable[int]], site: Site) -> int:
    """Runs a case; returns 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run."""
    folder = Path(os.environ.get("RECORD_FOLDER", Path(sys.argv[0]).resolve().parent))

    async def run() -> int:
        current = asyncio.current_task()
        assert current is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, current.cancel)
        deployment = Deployment(folder, site)
        code = await main(deployment, os.environ.get("TROUBLE", "1") != "0")
        deployment.record("exit code", code)
        return code

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        traceback.print_exc()
        return 2


@contextmanager
def running(deployment: Deployment) -> Iterator[Deployment]:
    """Ends all processes of the deployment in any case."""
    try:
        yield deployment
    finally:
        deployment.stop()
