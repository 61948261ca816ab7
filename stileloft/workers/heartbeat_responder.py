"""Answers to heartbeats: an answer either renews the worker's lease or is ignored by the worker."""

import logging
from dataclasses import dataclass

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
"""Minimum time until a worker that got no answer sends a heartbeat to the same controller again, in seconds."""
MAX_COMMANDS_PER_ANSWER = 500
"""Limit of commands in an answer: a body may hold 64 KiB, and a stop takes at most about 110 bytes."""
NO_TOKEN = 0
"""The token of an answer that the worker ignores, and that renews no lease."""


@dataclass(frozen=True, slots=True)
class _FormerState:
    """What was known of a machine before a heartbeat was processed."""

    epoch: int
    sequence: int
    acknowledged_token: int
    last_heartbeat_at: float
    claimed: bool

    @classmethod
    def of(cls, machine: Machine) -> "_FormerState":
        """Returns the current state of a machine."""
        return cls(
            machine.epoch, machine.sequence, machine.acknowledged_token, machine.last_heartbeat_at, machine.claimed
        )


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
        """Processes a heartbeat and returns the answer to it."""
        now = self._clock.seconds()
        machine = self._machines.get_or_create(heartbeat.machine)
        former = _FormerState.of(machine)
        self._heartbeats.process(heartbeat)
        if (machine.epoch, machine.sequence) == (former.epoch, former.sequence):
            return self._answer_outdated(machine, heartbeat, now)
        if machine.epoch == former.epoch and heartbeat.token < former.acknowledged_token:
            self._fencing.fence_restarted_worker(machine, now)  # within an epoch a worker never forgets a token
        _update_reachability(machine, former, now)
        machine.last_pushed_heartbeat_at = now
        answer = self._renew_lease(machine, now)
        if not machine.has_current_token or (not machine.command_in_flight and self._planner.due_starts(machine)):
            self._dispatcher.send(machine)
        return answer

    def _answer_outdated(self, machine: Machine, heartbeat: Heartbeat, now: float) -> CommandMessage:
        """Returns the answer to a heartbeat that is older than the newest one.

        It is a late duplicate, whose answer nobody receives; or the original, overtaken by the heartbeat in an answer
        to a command; or from a worker that was restarted with its counters at the start. The last has to learn a token
        above those of all starts before late copies of them arrive. It still counts as silent, and is released.
        """
        if heartbeat.token >= machine.token or heartbeat.tasks:
            # A worker with tasks that nothing accounts for must not have its lease renewed.
            return CommandMessage(NO_TOKEN, [])
        self._fencing.fence_restarted_worker(machine, now)
        return self._renew_lease(machine, now)

    def _renew_lease(self, machine: Machine, now: float) -> CommandMessage:
        """Returns the answer to a heartbeat.

        The answer renews the worker's lease, unless a renewal could keep cancelled tasks alive beyond their bound; the
        worker then ignores the answer.

        A worker that does not know the leader's token learns it from this answer. So the answer must cover all
        cancelled jobs: it stops their tasks that may run, and its token fences their starts that may still be executed.
        If not all stops fit in, the lease is not renewed; direct commands then stop the tasks, or, if these commands
        don't arrive, the expiry of the lease does.
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
        commands: list[Command] = [*stops, *self._planner.due_forgets(machine, MAX_COMMANDS_PER_ANSWER - len(stops))]
        return CommandMessage(machine.token, commands)


def _update_reachability(machine: Machine, former: _FormerState, now: float) -> None:
    """Records what a new heartbeat shows of whether answers reach the worker."""
    if machine.epoch != former.epoch:
        # The worker has lost its tasks despite the answers to its heartbeats, so answers may not reach it.
        machine.last_reachable_at = float("-inf")
    elif former.claimed and now - former.last_heartbeat_at < UNANSWERED_RETRY_S:
        # The answer to the previous heartbeat reached the worker: without an answer, it would not have sent another
        # heartbeat to this controller so soon. A previous heartbeat that was delayed would prove nothing, so the
        # machine counts as reachable only if the worker was already known to have the leader's token.
        machine.last_reachable_at = max(machine.last_reachable_at, former.last_heartbeat_at)
