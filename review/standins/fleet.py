"""Stand-ins of the cloud and of the workers, for arrays of tasks."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from state import Bucket
from wire import LOCAL, Reply, call, serve

MAX_RENTED, MAX_LISTED = 50, 500
ANSWER_TIMEOUT_S, NEXT_NODE_S, MIN_REPORT_GAP_S = 4.0, 1.0, 0.5
SNAPSHOT_S, CHECK_S = 0.25, 0.05

Record = Callable[..., None]
"""Writes an event and its details to the record of the case."""


@dataclass
class Task:
    """An attempt of a task on a worker."""

    phase: str = "fetching"
    cause: str | None = None
    kept: bool = False


@dataclass
class World:
    """What the stand-ins share: times from the settings, the jobs that users have submitted, and the record."""

    report_s: float
    lease_s: float
    nodes: dict[str, str]
    """Public addresses of the controllers, by member."""
    record: Record
    jobs: dict[str, dict[str, Any]] = field(default_factory=dict)
    vary: float = 0.0
    """By how much, as a fraction, a task's run time differs at most from the estimate of its job."""
    results: set[str] = field(default_factory=set)
    """Tasks that have completed."""
    started: int = 0
    """Tasks that have begun to run."""
    killed: int = 0
    """Tasks that ran or waited for their image when the lease of their worker expired."""


class Worker:
    """A machine with its worker."""

    def __init__(self, world: World, name: str, kind: dict[str, Any], zone: str, spot: bool) -> None:
        self.world, self.name, self.kind, self.zone, self.spot = world, name, kind, zone, spot
        self.rented_at, self.up, self.gone = time.monotonic(), False, False
        self.address = ""
        self.tasks: dict[tuple[str, int], Task] = {}
        """Attempts that the worker knows, exited ones included, by task and attempt."""
        self.images: dict[str, asyncio.Task[None]] = {}
        self.stint, self.tick, self.baton = 1, 0, 0
        self.sessions_lost = 0
        self.rejected = 0
        """Reports that were answered with a status other than 200 and 421."""
        self._node = random.choice(list(world.nodes))
        self._changed = asyncio.Event()
        self._renewed_at = time.monotonic()

    async def boot(self, after_s: float) -> None:
        """Boots, and reports until the machine is gone."""
        self.address = f"{LOCAL}:{await serve(self._handle)}"
        await asyncio.sleep(after_s)
        self.up, self._renewed_at = True, time.monotonic()
        asyncio.ensure_future(self._check_lease())  # noqa: RUF006 - ends with the machine
        await self._report_forever()

    def report(self) -> dict[str, Any]:
        """Returns the worker's report."""
        self.tick += 1
        return {
            "host": self.name,
            "endpoint": self.address,
            "build": self.kind["label"],
            "yard": self.zone,
            "loaner": self.spot,
            "stint": self.stint,
            "tick": self.tick,
            "baton": self.baton,
            "warningS": None,
            "pieces": [
                {"piece": piece, "try": attempt, "phase": task.phase}
                | ({"cause": task.cause, "kept": task.kept} if task.cause else {})
                for (piece, attempt), task in self.tasks.items()
            ],
        }

    async def _report_forever(self) -> None:
        while not self.gone:
            began = time.monotonic()
            wait_s = self.world.report_s * random.uniform(0.75, 1.25)
            wait_s = max(wait_s, await self._send_report())
            try:
                async with asyncio.timeout(max(0.0, wait_s - (time.monotonic() - began))):
                    await self._changed.wait()
                    await asyncio.sleep(max(0.0, MIN_REPORT_GAP_S - (time.monotonic() - began)))
            except TimeoutError:
                pass

    async def _send_report(self) -> float:
        """Sends a report; returns the least time until the next one."""
        self._changed.clear()
        sent_at, stint = time.monotonic(), self.stint
        reply = await call(self.world.nodes[self._node], "POST", "/checkin", self.report(), ANSWER_TIMEOUT_S)
        if self.gone or stint != self.stint:
            return 0.0
        if reply is not None and reply.status == HTTPStatus.OK:
            if reply.body.get("baton", -1) >= self.baton:
                self._see(reply.body["baton"])
                self._renewed_at = max(self._renewed_at, sent_at)
                self._execute(reply.body["orders"])
            return 0.0
        nodes = list(self.world.nodes)
        steward = (
            reply.body.get("steward") if reply is not None and reply.status == HTTPStatus.MISDIRECTED_REQUEST else 0
        )
        if steward in nodes and steward != self._node:
            self._node = steward
            self._changed.set()
            return MIN_REPORT_GAP_S
        if steward == 0:
            self.rejected += 1
            self.world.record("report refused", self.name, self._node, reply and reply.status, len(self.tasks))
        self._node = nodes[(nodes.index(self._node) + 1) % len(nodes)]
        return NEXT_NODE_S

    async def _check_lease(self) -> None:
        while not self.gone:
            await asyncio.sleep(CHECK_S)
            if time.monotonic() - self._renewed_at > self.world.lease_s:
                self.world.record("lease expired", self.name, "stint", self.stint, "tasks", len(self.tasks))
                self.sessions_lost += 1
                for key, task in list(self.tasks.items()):
                    self.world.killed += task.phase != "exited"
                    self._end(key, "killed")
                self.tasks.clear()
                self.stint += 1
                self._renewed_at = time.monotonic()
                self._changed.set()

    def _see(self, baton: int) -> None:
        if baton > self.baton:
            self.baton = baton
            self._changed.set()

    async def _handle(self, _method: str, path: str, body: Any) -> Reply | None:
        if self.gone or not self.up:
            return None
        if path == "/inspect":
            return Reply(HTTPStatus.OK, self.report())
        if body.get("baton") is None or body.get("stint") is None:
            return Reply(HTTPStatus.BAD_REQUEST, {})
        if body["baton"] < self.baton or body["stint"] != self.stint:
            return Reply(HTTPStatus.CONFLICT, self.report())
        self._see(body["baton"])
        self._execute(body["orders"])
        return Reply(HTTPStatus.OK, self.report())

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            key = order["piece"], order["try"]
            task = self.tasks.get(key)
            if order["verb"] == "launch":
                if task is None:
                    self._launch(*key)
            elif task is None:
                continue
            elif order["verb"] == "stop" and task.phase != "exited":
                self._end(key, "halted")
            elif order["verb"] == "forget" and task.phase == "exited":
                del self.tasks[key]

    def _launch(self, piece: str, attempt: int) -> None:
        job = self.world.jobs.get(piece.rpartition("/")[0])
        in_use = any(other == piece and task.phase != "exited" for (other, _), task in self.tasks.items())
        task = self.tasks[piece, attempt] = Task()
        self._changed.set()
        if job is None or in_use or not self._has_room():
            task.phase, task.cause = "exited", "no_such" if job is None else "in_use" if in_use else "full"
            return
        asyncio.ensure_future(self._run((piece, attempt), task, job))  # noqa: RUF006 - looks whether it is still wanted

    def _has_room(self) -> bool:
        """Whether all tasks fit that are listed and have not exited."""
        jobs = [self.world.jobs[p.rpartition("/")[0]] for (p, _), task in self.tasks.items() if task.phase != "exited"]
        return all(sum(job[amount] for job in jobs) <= self.kind[amount] + 1e-6 for amount in ("vcpus", "memGb"))

    async def _run(self, key: tuple[str, int], task: Task, job: dict[str, Any]) -> None:
        fetch = self.images.get(job["bundle"])
        if fetch is None:
            fetch = self.images[job["bundle"]] = asyncio.ensure_future(
                asyncio.sleep(job["imageGb"] / self.kind["pullGbPerS"])
            )
        await asyncio.shield(fetch)
        if self.tasks.get(key) is not task or task.phase != "fetching":
            return
        if key[0] not in self.world.results:
            self.world.started += 1
            self.world.record("runs", *key, self.name)
            task.phase = "running"
            self._changed.set()
            await asyncio.sleep(job["guessS"] * random.uniform(1 - self.world.vary, 1 + self.world.vary))
        if self.tasks.get(key) is task and task.phase in ("running", "fetching"):
            self._end(key, "done")

    def _end(self, key: tuple[str, int], cause: str) -> None:
        task = self.tasks[key]
        if task.phase == "exited":
            return
        if cause == "done":
            self.world.results.add(key[0])
        self.world.record("ends", *key, self.name, cause)
        task.phase, task.cause = "exited", cause
        self._changed.set()

    def remove(self) -> None:
        """Ends the machine and all that is on it."""
        self.gone = True
        for key in list(self.tasks):
            self._end(key, "machine gone")
        self.tasks.clear()


class Cloud:
    """The cloud."""

    def __init__(
        self, world: World, builds: list[dict[str, Any]], rps: float, list_lag_s: float, room: dict[str, int]
    ) -> None:
        self.world, self.builds, self._lag_s, self._room = world, builds, list_lag_s, room
        self._requests = Bucket(rps, 2.0)
        self.machines: dict[str, Worker] = {}
        self.all_machines: list[Worker] = []
        """All machines that were ever rented."""
        self._hires: dict[str, list[str]] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = []
        self._numbers = itertools.count(1)
        self._jobs: set[asyncio.Task[None]] = set()

    def add(self, build: str, zone: str, spot: bool, boot_s: float) -> Worker:
        """Adds a machine, which boots in this time."""
        kind = next(kind for kind in self.builds if kind["label"] == build)
        worker = Worker(self.world, f"n-{next(self._numbers):06d}", kind, zone, spot)
        self.machines[worker.name] = worker
        self.all_machines.append(worker)
        task = asyncio.ensure_future(worker.boot(boot_s))
        self._jobs.add(task)
        return worker

    async def keep_history(self) -> None:
        """Keeps the list as it was, since answers lag."""
        while True:
            now = time.monotonic()
            listed = [
                {
                    "nameId": m.name,
                    "endpoint": m.address,
                    "build": m.kind["label"],
                    "yard": m.zone,
                    "loaner": m.spot,
                    "phase": "running" if m.up else "starting",
                    "ageS": now - m.rented_at,
                }
                for m in self.machines.values()
                if m.address
            ]
            self._history.append((now, listed))
            while len(self._history) > 1 and self._history[1][0] < now - 2 * self._lag_s:
                del self._history[0]
            await asyncio.sleep(SNAPSHOT_S)

    async def handle(self, method: str, path: str, body: Any) -> Reply:
        """Answers a request."""
        if not self._requests.take(1):
            return Reply(HTTPStatus.TOO_MANY_REQUESTS, {})
        if path == "/machine_types":
            return Reply(HTTPStatus.OK, {"builds": self.builds})
        if path == "/hosts/release":
            for name in body["hosts"]:
                worker = self.machines.pop(name, None)
                if worker is not None:
                    self.world.record("released", name)
                    worker.remove()
            return Reply(HTTPStatus.OK, {})
        if method == "POST":
            return self.rent(body)
        options = dict(part.split("=", 1) for part in path.partition("?")[2].split("&") if part)
        then = time.monotonic() - self._lag_s
        seen = [listed for at, listed in self._history if at <= then]
        rest = [item for item in (seen[-1] if seen else []) if item["nameId"] > options.get("since", "")]
        limit = min(MAX_LISTED, int(options.get("limit", MAX_LISTED)))
        return Reply(HTTPStatus.OK, {"hosts": rest[:limit], "more": len(rest) > limit})

    def rent(self, body: Any) -> Reply:
        """Rents machines, or returns those of an earlier request of the same name."""
        if body["hire"] not in self._hires:
            present = sum(worker.kind["label"] == body["build"] for worker in self.machines.values())
            count = min(body["count"], MAX_RENTED, self._room[body["build"]] - present)
            if count <= 0:
                return Reply(HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no capacity"})
            kind = next(kind for kind in self.builds if kind["label"] == body["build"])
            boots = [kind["bootS"] * random.uniform(0.6, 1.5) for _ in range(count)]
            names = [self.add(body["build"], body["yard"], body["loaner"], boot_s).name for boot_s in boots]
            self._hires[body["hire"]] = names
            self.world.record("rented", body["build"], names)
        return Reply(HTTPStatus.OK, {"hosts": self._hires[body["hire"]]})
