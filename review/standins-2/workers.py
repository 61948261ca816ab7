"""A stand-in of the cloud and of the workers on its machines."""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from http import HTTPStatus
from typing import Any

from wire import Answer, Record, Server, Silent, in_background, request, succeeded

ANSWER_S = 4.0
"""How long a worker waits for the answer to a report."""
NEXT_NODE_S = 1.0
CHANGE_S = 0.5
"""A change is reported no sooner than this after the report before."""
CHECK_S = 0.05
FAIL_S = 1.0
"""How long a task runs that fails."""
CLOUD_DELETE_LIMIT = 100


@dataclass
class Task:
    """An attempt on a machine."""

    attempt: int
    phase: str = "fetching"
    cause: str | None = None
    kept: bool = False
    stopping: bool = False


@dataclass(frozen=True)
class Timings:
    """The settings of the workers."""

    report_s: float
    lease_s: float
    cancel_s: float


class Worker:
    """The worker of one machine."""

    def __init__(
        self, record: Record, world: "World", name: str, kind: dict[str, Any], yard: str, *, loaner: bool
    ) -> None:
        """`kind` is the machine type as the cloud describes it."""
        self._record, self._world = record, world
        self.name, self.kind, self.yard, self.loaner = name, kind, yard, loaner
        self.began = record.now()
        self.up = self.gone = self.hangs = False
        self.stint, self.tick, self.baton = 1, 0, 0
        self.renewed_at = 0.0
        self.tasks: dict[str, Task] = {}
        self._images: set[str] = set()
        self._changed = False
        self._target = 0
        self.hold_commands: Callable[[], float] = lambda: 0.0
        """Seconds for which a direct command that comes now is held up on its way, unanswered; 0: not at all."""
        self.refuse_commands = False
        self._server = Server(self._command)

    @property
    def address(self) -> str:
        """The address for direct commands."""
        return self._server.address

    async def start(self) -> None:
        """Listens for direct commands."""
        await self._server.start()

    def boot(self) -> None:
        """The machine is up: its worker begins to report."""
        self.up, self.renewed_at = True, self._record.now()
        self._record.write(f"{self.name}: up")
        in_background(self._report())
        in_background(self._check_lease())

    def end(self, why: str) -> None:
        """The machine is gone, with all that is on it."""
        self.gone, self.up = True, False
        self._record.write(f"{self.name}: gone, {why}")
        for task in self.tasks:
            self._world.left(task, self)
        self.tasks.clear()

    # -- reports ---------------------------------------------------------------

    def _state(self) -> dict[str, Any]:
        self.tick += 1
        pieces = [
            {"piece": name, "try": task.attempt, "phase": task.phase, "cause": task.cause, "kept": task.kept}
            for name, task in self.tasks.items()
        ]
        fixed = {"host": self.name, "endpoint": self.address, "build": self.kind["label"], "yard": self.yard}
        seen = {"stint": self.stint, "tick": self.tick, "baton": self.baton, "warningS": None}
        return fixed | seen | {"loaner": self.loaner, "pieces": pieces}

    async def _report(self) -> None:
        timings = self._world.timings
        while not self.gone:
            await self._while_hanging()
            sent_at, stint, self._changed = self._record.now(), self.stint, False
            members = list(self._world.nodes)
            member = members[self._target % len(members)]
            answer = await request(self._world.nodes[member], "POST", "/checkin", self._state(), ANSWER_S)
            await self._while_hanging()
            self._end_overdue_session()
            if self._record.now() - sent_at > ANSWER_S + CHECK_S:
                answer = None
            if not self._take_answer(member, answer, sent_at, stint):
                self._target += 1
                await asyncio.sleep(NEXT_NODE_S)
                continue
            if answer is not None and answer[0] != HTTPStatus.OK:
                continue  # referred to the leader
            due = sent_at + timings.report_s * random.uniform(0.75, 1.25)
            while self._record.now() < due and not (self._changed and self._record.now() >= sent_at + CHANGE_S):
                await asyncio.sleep(CHECK_S)

    async def _while_hanging(self) -> None:
        while self.hangs and not self.gone:
            await asyncio.sleep(CHECK_S)

    def _take_answer(self, member: str, answer: Answer | None, sent_at: float, stint: int) -> bool:
        """Whether the worker stays with the node that it reports to now."""
        if answer is not None and answer[0] == HTTPStatus.MISDIRECTED_REQUEST:
            steward = answer[1].get("steward")
            if steward in self._world.nodes and steward != member:
                self._target = list(self._world.nodes).index(steward)
                return True
            return False
        if not succeeded(answer):
            return False
        assert answer is not None
        if stint == self.stint and not self.gone and answer[1].get("baton", -1) >= self.baton:
            self._see(answer[1]["baton"])
            self.renewed_at = max(self.renewed_at, sent_at)
            self._execute(answer[1]["orders"])
        return True

    def _see(self, baton: int) -> None:
        if baton > self.baton:
            self.baton, self._changed = baton, True

    async def _check_lease(self) -> None:
        while not self.gone:
            await asyncio.sleep(CHECK_S)
            await self._while_hanging()
            self._end_overdue_session()

    def _end_overdue_session(self) -> None:
        if self.gone or self._record.now() - self.renewed_at <= self._world.timings.lease_s:
            return
        self._record.write(f"{self.name}: lease over, session {self.stint} ends with {list(self.tasks)}")
        for name in self.tasks:
            self._world.left(name, self)
        self.tasks.clear()
        self.stint, self.renewed_at, self._changed = self.stint + 1, self._record.now(), True

    # -- commands --------------------------------------------------------------

    async def _command(self, _method: str, path: str, body: Any) -> Answer:
        if path != "/do":
            return HTTPStatus.OK, self._state()
        held_s = self.hold_commands()
        if held_s:
            self._record.write(f"{self.name}: held up for {held_s} s: {body}")
            await asyncio.sleep(held_s)
        await self._while_hanging()
        self._end_overdue_session()
        if not self.up:
            raise Silent
        if body["baton"] < self.baton or body["stint"] != self.stint:
            self._record.write(f"{self.name}: refuses {body}")
            answer = HTTPStatus.CONFLICT, self._state()
        else:
            self._see(body["baton"])
            self._execute(body["orders"])
            answer = HTTPStatus.OK, self._state()
        if held_s:
            raise Silent
        return answer

    def _execute(self, orders: list[dict[str, Any]]) -> None:
        for order in orders:
            name, attempt = order["piece"], order["try"]
            self._record.write(f"{self.name}: {order}")
            task = self.tasks.get(name)
            if order["verb"] == "launch":
                self._launch(name, attempt, task)
            elif task is None or task.attempt != attempt:
                continue
            elif order["verb"] == "forget" and task.phase == "exited":
                del self.tasks[name]
            elif order["verb"] == "stop" and task.phase != "exited":
                self._exit(name, task, "halted")

    def _launch(self, name: str, attempt: int, present: Task | None) -> None:
        if present is not None and (present.attempt == attempt or present.phase != "exited"):
            return
        task = self.tasks[name] = Task(attempt)
        self._changed = True
        job = self._world.jobs[name.rpartition("/")[0]]
        used = sum(
            self._world.jobs[other.rpartition("/")[0]]["vcpus"]
            for other, state in self.tasks.items()
            if state.phase != "exited"
        )
        if used > self.kind["vcpus"]:
            task.phase, task.cause = "exited", "full"
            self._record.write(f"{self.name}: no room for {name}")
            return
        in_background(self._run(name, task, job))

    async def _run(self, name: str, task: Task, job: dict[str, Any]) -> None:
        if job["bundle"] not in self._images:
            await asyncio.sleep(job["imageGb"] / self.kind["pullGbPerS"])
        if self.tasks.get(name) is not task or task.phase != "fetching":
            return
        self._images.add(job["bundle"])
        if name in self._world.completed:
            self._exit(name, task, "done")
            return
        task.phase, self._changed = "running", True
        self._world.started(name, self, task.attempt)
        fails = name in self._world.failing
        self._world.failing.discard(name)
        await asyncio.sleep(FAIL_S if fails else job["guessS"])
        await self._while_hanging()
        if self.tasks.get(name) is task and task.phase == "running":
            self._exit(name, task, "error" if fails else "done")

    def _exit(self, name: str, task: Task, cause: str) -> None:
        self._record.write(f"{self.name}: {name} try {task.attempt} exits: {cause}")
        if task.phase == "running":
            self._world.left(name, self)
        task.phase, task.cause, self._changed = "exited", cause, True
        if cause == "done":
            self._world.completed.add(name)


class World:
    """The machines, the jobs that were submitted and the controllers' addresses; judges starts."""

    def __init__(self, record: Record, timings: Timings) -> None:
        """No machine and no job yet."""
        self._record = record
        self.timings = timings
        self.nodes: dict[str, str] = {}
        self.jobs: dict[str, dict[str, Any]] = {}
        self.completed: set[str] = set()
        self.failing: set[str] = set()
        """Tasks whose next start fails."""
        self.machines: dict[str, Worker] = {}
        self.where: dict[str, Worker] = {}
        """The machine of each task that runs."""
        self.starts: list[tuple[float, str, str]] = []
        """Time, task and machine of each start."""
        self.broken: list[str] = []

    def started(self, task: str, worker: Worker, attempt: int) -> None:
        """A task has its image and runs."""
        self._record.write(f"{worker.name}: {task} try {attempt} runs")
        self.starts.append((self._record.now(), task, worker.name))
        other = self.where.get(task)
        if other is not None and other is not worker:
            self.broken.append(f"ran_twice: {task} is on {other.name} and starts on {worker.name}")
            self._record.write(self.broken[-1])
        self.where[task] = worker

    def left(self, task: str, worker: Worker) -> None:
        """A task is off its machine."""
        if self.where.get(task) is worker:
            del self.where[task]


class Cloud:
    """Rents machines up to a fixed number."""

    def __init__(self, record: Record, world: World, types: list[dict[str, Any]], capacity: int, lag_s: float) -> None:
        """`capacity` is the number of machines of all types together."""
        self._record, self._world, self._types = record, world, types
        self.capacity, self._lag_s = capacity, lag_s
        self._hires: dict[str, list[str]] = {}
        self._history: list[tuple[float, list[dict[str, Any]]]] = []
        self._made = 0
        self.server = Server(self._handle)

    async def start(self) -> None:
        """Listens, and begins to keep the lists that are shown later."""
        await self.server.start()
        in_background(self._keep_lists())

    async def _keep_lists(self) -> None:
        while True:
            listed = [
                {
                    "nameId": machine.name,
                    "endpoint": machine.address,
                    "build": machine.kind["label"],
                    "yard": machine.yard,
                    "loaner": machine.loaner,
                    "phase": "running" if machine.up else "starting",
                    "ageS": self._record.now() - machine.began,
                }
                for machine in self._world.machines.values()
                if not machine.gone
            ]
            self._history.append((self._record.now(), listed))
            await asyncio.sleep(0.5)

    async def add(self, label: str, yard: str, *, loaner: bool, boot_s: float) -> Worker:
        """Rents a machine, which is up after `boot_s`."""
        self._made += 1
        kind = next(kind for kind in self._types if kind["label"] == label)
        worker = Worker(self._record, self._world, f"n-{self._made:06d}", kind, yard, loaner=loaner)
        await worker.start()
        self._world.machines[worker.name] = worker

        def boot() -> None:
            if not worker.gone:
                worker.boot()

        asyncio.get_running_loop().call_later(boot_s, boot)
        return worker

    async def _handle(self, method: str, path: str, body: Any) -> Answer:
        path, _, query = path.partition("?")
        if path == "/machine_types":
            return HTTPStatus.OK, {"builds": self._types}
        if path == "/hosts/release":
            self._record.write(f"cloud: release {body['hosts']}")
            for name in body["hosts"][:CLOUD_DELETE_LIMIT]:
                machine = self._world.machines.get(name)
                if machine is not None and not machine.gone:
                    machine.end("released")
            return HTTPStatus.OK, {}
        if method == "POST":
            return await self._hire(body)
        arguments = dict(part.split("=", 1) for part in query.split("&") if part)
        shown = [listed for at, listed in self._history if at <= self._record.now() - self._lag_s]
        hosts = [host for host in (shown[-1] if shown else []) if host["nameId"] > arguments.get("since", "")]
        return HTTPStatus.OK, {"hosts": hosts, "more": False}

    async def _hire(self, body: Any) -> Answer:
        if body["hire"] in self._hires:
            return HTTPStatus.OK, {"hosts": self._hires[body["hire"]]}
        present = sum(not machine.gone for machine in self._world.machines.values())
        count = min(body["count"], self.capacity - present)
        self._record.write(f"cloud: hire {body}: {max(0, count)} to be had")
        if count <= 0:
            return HTTPStatus.SERVICE_UNAVAILABLE, {"error": "no capacity"}
        kind = next(kind for kind in self._types if kind["label"] == body["build"])
        added = [
            await self.add(body["build"], body["yard"], loaner=body["loaner"], boot_s=kind["bootS"])
            for _ in range(count)
        ]
        self._hires[body["hire"]] = [worker.name for worker in added]
        return HTTPStatus.OK, {"hosts": self._hires[body["hire"]]}
