"""Answers to heartbeats: each renews its worker's lease, or is one that the worker ignores."""

import logging

from stileloft.machines.registry import MachineRegistry
from stileloft.model.machines import Machine
from stileloft.protocol.commands import Command, CommandMessage
from stileloft.protocol.messages import Heartbeat
from stileloft.transport.clock import Clock
from stileloft.workers.command_assertions import CommandAssertions
from stileloft.workers.command_metrics import CommandMetrics
from stileloft.workers.command_planner import CommandPlanner
from stileloft.workers.dispatcher import CommandDispatcher
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.heartbeats import HeartbeatProcessor

log = logging.getLogger(__name__)

UNANSWERED_RETRY_S = 4.5
"""A worker that got no answer sends its next heartbeat to the same controller after this long at the earliest."""
MAX_COMMANDS_PER_ANSWER = 500
"""A body may hold 64 KiB, and a stop takes some 110 bytes at the most."""
NO_TOKEN = 0
"""The token of an answer that its worker ignores: it renews no lease."""


class HeartbeatResponder:
    """Answers workers' heartbeats. Called with the cluster's lock held."""

    def __init__(
        self,
        machines: MachineRegistry,
        heartbeats: HeartbeatProcessor,
        planner: CommandPlanner,
        fencing: MachineFencing,
        assertions: CommandAssertions,
        dispatcher: CommandDispatcher,
        clock: Clock,
        metrics: CommandMetrics,
    ) -> None:
        self._machines = machines
        self._heartbeats = heartbeats
        self._planner = planner
        self._fencing = fencing
        self._assertions = assertions
        self._dispatcher = dispatcher
        self._clock = clock
        self._metrics = metrics

    def on_heartbeat(self, heartbeat: Heartbeat) -> CommandMessage:
        """Processes a heartbeat that a worker sent, and answers it."""
        now = self._clock.seconds()
        machine = self._machines.get_or_create(heartbeat.machine)
        epoch, sequence = machine.epoch, machine.sequence
        previous_at, was_claimed = machine.last_heartbeat_at, machine.claimed
        self._heartbeats.process(heartbeat)
        if (machine.epoch, machine.sequence) == (epoch, sequence):
            # A late copy must show no sign of life. If it is the original, overtaken by the answer to a command, its
            # worker is to ignore this answer: it must renew no lease that we don't count.
            return CommandMessage(NO_TOKEN, [])
        if machine.epoch != epoch:
            machine.last_reachable_at = float("-inf")  # its tasks were lost though we answered: does it hear us?
        elif was_claimed and now - previous_at < UNANSWERED_RETRY_S:
            # Unanswered it would not have come to us again so soon. The previous heartbeat may have been an old one,
            # so this counts only once the worker is known to have our token.
            machine.last_reachable_at = max(machine.last_reachable_at, previous_at)
        machine.last_pushed_heartbeat_at = now
        answer = self._renew_lease(machine, now)
        if not machine.has_current_token or (not machine.command_in_flight and self._planner.due_starts(machine)):
            self._dispatcher.send(machine)
        return answer

    def _renew_lease(self, machine: Machine, now: float) -> CommandMessage:
        """An answer that renews a worker's lease, or one that its worker ignores if that would break the bound.

        A worker that does not know our token learns it with this answer. So it has to tell of all that is cancelled:
        the stops of what may run, and a token that fences what may still start. If not all of it fits in, the lease is
        not renewed; direct commands stop the rest, and if they don't come through, the lease's expiry does.
        """
        required = self._planner.stops_required_for_renewal(machine)
        is_fenced = self._fencing.fence_starts_of_ended_jobs(machine, now)
        if not is_fenced or len(required) > MAX_COMMANDS_PER_ANSWER:
            self._metrics.lease_renewals_withheld += 1
            log.info(
                "lease renewal withheld machine=%s token=%d epoch=%d fenced=%s required_stops=%d",
                machine.id,
                machine.token,
                machine.epoch,
                is_fenced,
                len(required),
            )
            self._dispatcher.send(machine)
            return CommandMessage(NO_TOKEN, [])
        stops = self._planner.due_stops(machine, MAX_COMMANDS_PER_ANSWER, for_renewal=True)
        stopped = {(stop.task, stop.attempt) for stop in stops} if required else set()
        if not self._assertions.check_renewal(machine, stopped):
            return CommandMessage(NO_TOKEN, [])
        machine.lease_renewed_at = now
        commands: list[Command] = [*stops, *self._planner.due_forgets(machine, MAX_COMMANDS_PER_ANSWER - len(stops))]
        return CommandMessage(machine.token, commands)
