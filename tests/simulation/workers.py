"""Fakes of machines with their workers: heartbeats, commands, leases, and running tasks."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.model.records import split_task
from stileloft.protocol import messages
from stileloft.transport.client import NoResponseError, Reply
from tests.simulation.gangs import Gang

if TYPE_CHECKING:
    from tests.simulation.cluster import SimulatedCluster


class Machine:
    """A rented machine with its worker."""

    def __init__(self, cluster: "SimulatedCluster", name: str, kind: dict, zone: str, spot: bool) -> None:
        self.cluster, self.name, self.kind, self.zone, self.spot = cluster, name, kind, zone, spot
        self.address = f"{name}:9000"
        self.rented_at = cluster.now
        self.up = self.gone = self._hung = False
        self.held_commands: list[Callable[[], Any]] = []
        """Handlers of the command messages that arrived while the machine hung; they run when it goes on."""
        self.epoch, self.sequence, self.token = 1, 0, 0
        self.incarnation = 0
        """The number of restarts of the worker's process; answers to earlier processes are lost."""
        self.lease_renewed_at = cluster.now
        self.preempted_at: float | None = None
        """When the cloud takes a spot machine back; None if no preemption is announced."""
        self.tasks: dict[str, dict[str, Any]] = {}
        """The state of each task: attempt, phase, cause of exit and others."""
        number = int(name.rpartition("-")[2])
        self.ends_epoch_first = number % 2 == 1
        """Whether a machine that goes on after a hang ends an expired session before it executes held commands."""
        self.remembers_attempts = number // 2 % 2 == 1
        """Whether the worker knows exited attempts of a task beside the newest one; the protocol allows both."""
        self.former_attempts: dict[tuple[str, int], str] = {}
        """The cause of exit of each former attempt that the worker remembers and reports."""
        self.target = cluster.random.choice(cluster.names)
        self.connected_to: str | None = None
        """The controller to which the heartbeat connection is open."""
        self.heartbeat_in_flight = False
        self.images: set[str] = set()

    @property
    def hung(self) -> bool:
        """Whether the machine hangs: it executes and sends nothing until it goes on."""
        return self._hung

    @hung.setter
    def hung(self, hangs: bool) -> None:
        goes_on = self._hung and not hangs
        self._hung = hangs
        if goes_on:
            self.execute_held_commands()

    def execute_held_commands(self) -> None:
        """Executes the commands that arrived while the machine hung; their senders get no answer."""
        if self.ends_epoch_first:
            self.check_lease()
        held, self.held_commands = self.held_commands, []
        for handle in held:
            if not self.gone:
                handle()

    def boot(self) -> None:
        if not self.gone:
            self.up = True
            self.lease_renewed_at = self.cluster.now
            self.send_heartbeats_periodically()
            self.check_lease_periodically()

    def boot_once(self) -> None:
        if not self.up:
            self.boot()

    def heartbeat(self) -> dict[str, Any]:
        """Returns the body of the next heartbeat."""
        self.sequence += 1
        return {
            "host": self.name,
            "endpoint": self.address,
            "build": self.kind["label"],
            "yard": self.zone,
            "loaner": self.spot,
            "stint": self.epoch,
            "tick": self.sequence,
            "baton": self.token,
            "warningS": None if self.preempted_at is None else max(0.0, self.preempted_at - self.cluster.now),
            "pieces": [
                {"piece": t, "try": s["try"], "phase": s["phase"], "cause": s["cause"], "kept": s.get("kept", False)}
                for t, s in self.tasks.items()
            ]
            + [
                {"piece": t, "try": attempt, "phase": "exited", "cause": cause, "kept": False}
                for (t, attempt), cause in self.former_attempts.items()
            ],
        }

    def check_lease_periodically(self) -> None:
        if self.gone:
            return
        self.cluster.clock.callLater(self.cluster.LEASE_CHECK_S, self.check_lease_periodically)
        if not self.hung:
            self.check_lease()

    def check_lease(self) -> None:
        """Ends all tasks and starts a new epoch if the lease has expired."""
        if self.cluster.now - self.lease_renewed_at > self.cluster.LEASE_S:
            self.cluster.expired_leases += 1
            self.restart_in_next_epoch()

    def send_heartbeats_periodically(self) -> None:
        if self.gone:
            return
        self.cluster.clock.callLater(
            self.cluster.REPORT_S * self.cluster.random.uniform(0.75, 1.25), self.send_heartbeats_periodically
        )
        self.send_heartbeat()

    def send_heartbeat(self) -> None:  # noqa: C901 - one case an answer
        if self.gone or self.hung or not self.up or self.heartbeat_in_flight:
            return
        self.heartbeat_in_flight = True
        sent_at, epoch, incarnation, target = self.cluster.now, self.epoch, self.incarnation, self.target
        if not self.connect(target):
            self.heartbeat_in_flight = False
            self.next_node()
            self.cluster.clock.callLater(1.0, self.send_heartbeat)
            return
        pending_reply = self.deliver(target, messages.decode(messages.encode(self.heartbeat())))
        timer = self.cluster.clock.callLater(4.0, pending_reply.cancel)

        def answered(reply: Reply) -> None:
            if timer.active():
                timer.cancel()
            if incarnation != self.incarnation:
                return
            self.heartbeat_in_flight = False
            if reply.status != 200 or not self.cluster.keeps_heartbeat_connection(target):
                self.disconnect()
            if self.gone or self.hung or epoch != self.epoch:
                return
            if reply.status == 421:
                steward = (reply.body or {}).get("steward")
                names = self.cluster.names
                next_node = names[(names.index(self.target) + 1) % len(names)]
                self.target = steward if steward in names and steward != self.target else next_node
                self.cluster.clock.callLater(0.3, self.send_heartbeat)
            elif reply.status == 200:
                if reply.body["baton"] >= self.token:
                    if reply.body["baton"] > self.token:
                        self.cluster.clock.callLater(0.5, self.send_heartbeat)
                    self.token = reply.body["baton"]
                    self.lease_renewed_at = max(self.lease_renewed_at, sent_at)
                    self.execute(reply.body["orders"])
            else:
                failed(None)

        def failed(_: Any) -> None:
            if timer.active():
                timer.cancel()
            if incarnation != self.incarnation:
                return
            self.heartbeat_in_flight = False
            self.disconnect()
            self.next_node()

        pending_reply.addCallbacks(answered, failed)

    def deliver(self, target: str, body: Any) -> defer.Deferred:
        """Sends a heartbeat to a controller; the Deferred fires with the reply."""
        return self.cluster.send(
            self.name,
            target,
            lambda: self.cluster.deliver_to_node(target, lambda: self.cluster.deliver_heartbeat(target, body)),
        )

    def connect(self, target: str) -> bool:
        """Opens a connection to a controller if none is open; returns whether there is one.

        A controller without a free socket accepts none.
        """
        if self.connected_to == target:
            return True
        if self.cluster.sockets(target) >= self.cluster.max_sockets:
            return False
        self.disconnect()
        self.connected_to = target
        self.cluster.heartbeat_connections[target].add(self.name)
        return True

    def disconnect(self) -> None:
        if self.connected_to is not None:
            self.cluster.heartbeat_connections[self.connected_to].discard(self.name)
            self.connected_to = None

    def next_node(self) -> None:
        names = self.cluster.names
        self.target = names[(names.index(self.target) + 1) % len(names)]

    def command(self, body: Any) -> Reply:
        """Handles a command message of a controller.

        While the machine hangs, the message is kept until it goes on, and `NoResponseError` is raised.
        """
        if self.hung:
            self.held_commands.append(lambda: self.execute_and_copy(body))
            raise NoResponseError("hangs")
        self.check_lease()
        return self.execute_and_copy(body)

    def execute_and_copy(self, body: Any) -> Reply:
        """Executes a command message that arrives for the first time; the network may deliver copies of it later."""
        reply = self.handle_command(body)
        if reply.status == 200:
            self.cluster.copy_executed_command(self, body)
        return reply

    def receive_copy(self, body: Any) -> None:
        """Receives a late copy of a message that was executed; the answer is lost."""
        if self.gone or not self.up or (self.token == 0 and not self.cluster.copies_reach_new_workers):
            return
        if self.hung:
            self.held_commands.append(lambda: self.execute_copy(body))
            return
        self.check_lease()
        self.execute_copy(body)

    def execute_copy(self, body: Any) -> None:
        """Executes a copy like any other message, as the worker cannot tell that it is one."""
        if self.handle_command(body).status == 200:
            self.cluster.copies_executed += 1
        else:
            self.cluster.copies_refused += 1

    def handle_command(self, body: Any) -> Reply:
        """Executes a command message if its token and epoch are valid, and returns the answer."""
        if body["baton"] < self.token or body["stint"] != self.epoch:
            self.count_refused_starts(body)
            return Reply(409, self.heartbeat())
        if body["baton"] > self.token:
            self.cluster.clock.callLater(0.5, self.send_heartbeat)
        self.token = body["baton"]
        self.execute(body["orders"])
        return Reply(200, self.heartbeat())

    def count_refused_starts(self, body: Any) -> None:
        """Counts starts that are refused because of their outdated token or epoch."""
        reason = "token" if body["baton"] < self.token else "epoch"
        self.cluster.checker.refused_starts[reason] += sum(order["verb"] == "launch" for order in body["orders"])

    def execute(self, commands: list[dict[str, Any]]) -> None:
        for command in commands:
            name, attempt = command["piece"], command["try"]
            task = self.tasks.get(name)
            if command["verb"] == "launch":
                self.start(name, attempt, task)
            elif task is None or task["try"] != attempt:
                if command["verb"] == "forget":
                    self.former_attempts.pop((name, attempt), None)
            elif command["verb"] == "forget":
                if task["phase"] == "exited":
                    del self.tasks[name]
            elif task["phase"] != "exited":
                gang = self.cluster.gang_of(name, attempt)
                if gang is not None and task["phase"] in ("running", "flushing"):
                    gang.stop(name, self, command["windDownS"])
                else:
                    self.finish(name, "halted")

    def start(self, name: str, attempt: int, present: dict[str, Any] | None) -> None:
        """Starts an attempt of a task; `present` is the state of an attempt that the machine already has."""
        if (name, attempt) in self.former_attempts or (present is not None and present["try"] == attempt):
            return  # the worker has this attempt already
        if present is not None and self.remembers_attempts:
            if present["phase"] != "exited":
                self.former_attempts[name, attempt] = "in_use"
                return
            self.former_attempts[name, present["try"]] = present["cause"]
        elif present is not None and present["phase"] != "exited":
            return  # refused, without a trace in the reports
        job = self.cluster.jobs.get(split_task(name)[0])
        state = {"try": attempt, "phase": "fetching", "cause": None, "epoch": self.epoch}
        self.tasks[name] = state
        if job is None:
            state["phase"], state["cause"] = "exited", "no_such"
            return
        used = sum(
            self.cluster.jobs[split_task(t)[0]]["vcpus"] for t, s in self.tasks.items() if s["phase"] != "exited"
        )
        if used > self.kind["vcpus"]:
            state["phase"], state["cause"] = "exited", "full"
            return
        fetch_s = 0.0 if job["bundle"] in self.images else self.cluster.random.uniform(0.6, 1.4)
        self.cluster.clock.callLater(fetch_s, self.begin, name, state)

    def begin(self, name: str, state: dict[str, Any]) -> None:
        """Runs a task whose image has been fetched."""
        if self.tasks.get(name) is not state or state["phase"] != "fetching" or self.gone:
            return
        if self.hung:
            self.cluster.clock.callLater(0.5, self.begin, name, state)
            return
        job = self.cluster.jobs[split_task(name)[0]]
        self.images.add(job["bundle"])
        if name in self.cluster.checker.completed_tasks:  # an earlier attempt has stored its result
            state.update(phase="exited", cause="done")
            self.send_heartbeat()
            return
        self.cluster.checker.task_started(name, self, self.cluster.now)
        if job["shape"] == "gang":
            state["phase"] = "gathering"
            gang = self.cluster.gangs.setdefault((job["nameId"], state["try"]), Gang(self.cluster, job))
            gang.join(name, self, state)
            self.send_heartbeat()
            return
        state["phase"] = "running"
        self.send_heartbeat()
        self.cluster.clock.callLater(self.cluster.run_time_s(name), self.complete, name, state)

    def complete(self, name: str, state: dict[str, Any]) -> None:
        if self.tasks.get(name) is not state or state["phase"] != "running" or self.gone:
            return
        if self.hung:
            self.cluster.clock.callLater(0.5, self.complete, name, state)
            return
        cause = (
            "error"
            if split_task(name)[0] in self.cluster.failing_jobs or self.name in self.cluster.faulty_machines
            else "done"
        )
        self.finish(name, cause)

    def finish(self, name: str, cause: str) -> None:
        """Ends a task with a cause of exit, and sends a heartbeat."""
        self.record_end(name)
        self.tasks[name].update(phase="exited", cause=cause)
        if cause == "done":
            self.cluster.checker.task_completed(name)
        self.cluster.clock.callLater(0.01, self.send_heartbeat)

    def record_end(self, name: str) -> None:
        """Reports the end of a task to the checker if the task was running on this machine."""
        if self.tasks[name]["phase"] in ("running", "gathering", "flushing"):
            self.cluster.checker.task_ended(name, self)

    def restart(self) -> None:
        """Restarts the worker without tasks; its epoch, sequence number and token are reset."""
        self.restart_in_next_epoch()
        self.epoch, self.sequence, self.token = 1, 0, 0
        self.incarnation += 1
        self.heartbeat_in_flight = False
        self.disconnect()
        self.cluster.clock.callLater(0.0, self.send_heartbeat)

    def restart_in_next_epoch(self) -> None:
        """Restarts the worker without tasks; it continues with the next epoch and knows its token."""
        for name in list(self.tasks):
            self.record_end(name)
        self.tasks.clear()
        self.former_attempts.clear()
        self.epoch += 1
        self.lease_renewed_at = self.cluster.now

    def die(self) -> None:
        """Ends the machine at once; its tasks are lost."""
        self.gone = True
        self.disconnect()
        for name in list(self.tasks):
            self.record_end(name)
