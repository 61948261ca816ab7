"""Dispatch of direct commands: decides when a machine is sent a message, and with which commands."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec

from stileloft.leadership.authority import Authority
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.protocol.commands import Command, StartCommand, StopCommand
from stileloft.transport import background
from stileloft.transport.clock import Clock
from stileloft.workers.command_metrics import CommandMetrics
from stileloft.workers.command_planner import CommandPlanner
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.heartbeats import HeartbeatProcessor
from stileloft.workers.transmission import RETRY_PAUSE_HEARTBEATS, CommandBatch, CommandTransmitter

MAX_COMMANDS_PER_MESSAGE = 200
"""Limit of starts, and of stop and forget commands together, in one message: a body may hold 64 KiB."""
MAX_CLAIMS_SOCKET_FRACTION = 0.125
"""Limit of claims in flight, as a fraction of the sockets: a new leader claims hundreds of machines, and some don't
answer."""
MAX_IN_DOUBT_SHOWN = 50
"""Number of in-doubt starts that `GET /status` lists."""
FIRST_EPOCH = 1
"""The epoch assumed for a worker that has sent no heartbeat yet."""


@dataclass(frozen=True, slots=True)
class DispatchSettings:
    """Timings and limits of dispatch."""

    heartbeat_s: float
    """Interval of workers' heartbeats, in seconds."""
    reachability_timeout_s: float
    """Seconds without evidence that a machine receives answers or commands, after which it counts as unreachable."""
    max_sockets: int


class CommandDispatcher:
    """Sends each machine the commands that are due, one message at a time."""

    def __init__(
        self,
        cluster: ClusterState,
        authority: Authority,
        planner: CommandPlanner,
        fencing: MachineFencing,
        transmitter: CommandTransmitter,
        heartbeats: HeartbeatProcessor,
        clock: Clock,
        settings: DispatchSettings,
        metrics: CommandMetrics,
        after_heartbeat: Callable[[], None],
    ) -> None:
        """`after_heartbeat` is called after the heartbeat in a worker's answer has been processed."""
        self._cluster = cluster
        self._authority = authority
        self._planner = planner
        self._fencing = fencing
        self._transmitter = transmitter
        self._heartbeats = heartbeats
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._after_heartbeat = after_heartbeat
        self._claims_in_flight = 0
        self._max_claims = max(1, int(MAX_CLAIMS_SOCKET_FRACTION * settings.max_sockets))
        """Limit of claims in flight; the periodic check of the machines sends the other claims later."""

    def is_reachable(self, machine: Machine, now: float) -> bool:
        """Returns whether the machine recently showed that answers or commands reach it; heartbeats alone do not."""
        return now - machine.last_reachable_at <= self._settings.reachability_timeout_s

    def send(self, machine: Machine) -> None:
        """Sends due commands, unless a message to the machine is in flight or the machine is in back-off."""
        now = self._clock.seconds()
        if machine.command_in_flight or not machine.address or now < machine.retry_at:
            return
        if self._has_nothing_due(machine, now) or self._authority.check_commands() is not None:
            return
        self._fencing.fence_starts_of_ended_jobs(machine, now)
        starts = self._planner.due_starts(machine)[:MAX_COMMANDS_PER_MESSAGE]
        if not self._fencing.fence_former_attempts(machine, starts, now):
            starts = []
        stops = self._planner.due_stops(machine, MAX_COMMANDS_PER_MESSAGE)
        is_claim = not starts and not stops
        if is_claim and not self._may_claim(machine, now):
            return  # forget commands alone are sent with the answer to the next heartbeat
        self._send_batch(machine, starts, stops, is_claim, now)

    def _send_batch(
        self, machine: Machine, starts: list[Placement], stops: list[StopCommand], is_claim: bool, now: float
    ) -> None:
        """Sends one message with these starts and stops, and with due forget commands up to the limit."""
        forgets = self._planner.due_forgets(machine, MAX_COMMANDS_PER_MESSAGE - len(stops))
        commands: list[Command] = [*stops, *forgets]
        commands += [StartCommand(placement.task, placement.attempt) for placement in starts]
        machine.command_in_flight = True
        batch = CommandBatch(machine, machine.token, machine.epoch or FIRST_EPOCH, commands, starts, is_claim)
        for placement in starts:
            placement.sent_epoch = batch.epoch
            machine.inflight_starts.record_sent(placement.task, placement.attempt, now, batch.token, batch.epoch)
        self._claims_in_flight += is_claim
        background.start_without(self._cluster.lock, "command delivery", self._deliver, batch)

    async def _deliver(self, batch: CommandBatch) -> None:
        machine = batch.machine
        newest_when_sent = machine.epoch, machine.sequence
        try:
            reply = await self._transmitter.transmit(batch)
        finally:
            self._claims_in_flight -= batch.is_claim
        if reply is None:
            return
        with self._cluster.lock:
            if (reply.heartbeat.epoch, reply.heartbeat.sequence) <= newest_when_sent:
                # The worker made this heartbeat after the newest one, and yet counts it as older: it was restarted.
                self._fencing.fence_restarted_worker(machine, self._clock.seconds())
            self._heartbeats.process(reply.heartbeat)
        if not reply.executed and (batch.epoch, batch.token) != (machine.epoch, machine.token):
            self.send(machine)  # refused for a wrong epoch or token, which the heartbeat has corrected
        elif self._planner.due_starts(machine) or _has_unsent_stop(machine):
            self._clock.callLater(RETRY_PAUSE_HEARTBEATS * self._settings.heartbeat_s, self.send, machine)
        self._after_heartbeat()

    def _has_nothing_due(self, machine: Machine, now: float) -> bool:
        """Returns whether certainly nothing is due: a cheap test, since most of a large fleet is idle at each check."""
        return (
            machine.has_current_token
            and not machine.placements
            and not machine.orphaned_tasks
            and not self._fencing.is_acknowledgement_overdue(machine, now)
            and not self._needs_probe(machine, now)
        )

    def _needs_probe(self, machine: Machine, now: float) -> bool:
        """Returns whether the machine gets no tasks until a command is answered; other commands may never be due."""
        return not machine.accepts_commands or not self.is_reachable(machine, now)

    def _may_claim(self, machine: Machine, now: float) -> bool:
        """Returns whether the machine needs a claim or a reachability probe, may answer it, and a socket is free."""
        is_claimed = machine.has_current_token and not self._fencing.is_acknowledgement_overdue(machine, now)
        if is_claimed and not (machine.heartbeat_received and self._needs_probe(machine, now)):
            return False
        return _can_answer(machine) and self._claims_in_flight < self._max_claims

    def status(self) -> dict[str, Any]:
        """Returns what the administration API shows of commands."""
        machines = self._cluster.machines.values()
        in_doubt = [row for machine in machines for row in machine.inflight_starts.describe(machine.id)]
        return msgspec.structs.asdict(self._metrics) | {
            "tokens": self._fencing.status(),
            "in_doubt_now": len(in_doubt),
            "in_doubt": in_doubt[:MAX_IN_DOUBT_SHOWN],
        }


def _can_answer(machine: Machine) -> bool:
    """Returns whether the machine may be up and could thus answer a claim.

    A booting machine needs no claim, because it sends a heartbeat once it is up.
    """
    return machine.heartbeat_received or bool(machine.placements) or machine.cloud_state == "running"


def _has_unsent_stop(machine: Machine) -> bool:
    """Returns whether an unsent stop is due on a machine that knows the leader's token."""
    return machine.has_current_token and any(
        placement.stop_grace_s is not None and placement.stop_sent_at == 0.0
        for placement in machine.placements.values()
    )
