"""The leader's talk with workers: answers to their reports, and direct commands."""

import logging
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import defer

from stileloft.leadership.authority import Authority
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.registry import MachineRegistry
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.protocol import messages
from stileloft.protocol.messages import Heartbeat
from stileloft.protocol.workers import NotDeliveredError, UncertainDeliveryError, WorkerClient
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.clock import Clock
from stileloft.workers.command_planner import MAX_COMMANDS_PER_MESSAGE, CommandPlanner
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.heartbeats import HeartbeatProcessor

log = logging.getLogger(__name__)

UNANSWERED_RETRY_S = 4.5
"""A worker that got no answer sends its next heartbeat to the same controller after this long at the earliest."""
# Commands in an answer; a body may hold 64 KiB, and a stop takes some 110 bytes at the most.
MAX_COMMANDS_PER_ANSWER = 500
# The token of an answer that its worker is to drop: it renews no lease.
NO_TOKEN = 0
# Starts in doubt that `GET /status` shows one by one.
MAX_IN_DOUBT_SHOWN = 50
# A message is repeated after this part of the report interval, and later after several failures.
RETRY_HEARTBEATS = 0.4
# Claims under way at once, as a part of the sockets: a new leader claims hundreds of machines, and some hang.
MAX_CLAIMS_PART = 0.125


class CommandMetrics(msgspec.Struct):
    """What was sent in this term; counts."""

    starts_sent: int = 0
    """Starts that went out, repeats included."""
    starts_answered: int = 0
    starts_in_doubt: int = 0
    """Attempts of which a message got no answer."""
    messages_withdrawn: int = 0
    """Messages that were not right any more when their connection was there."""
    lease_renewals_withheld: int = 0
    """Answers that would have kept a cancelled task alive, and renewed no lease."""


class CommandDispatcher:
    """Answers and direct commands. What may be sent is decided by `authority`, which tokens by `fence`."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        authority: Authority,
        planner: CommandPlanner,
        fencing: MachineFencing,
        heartbeats: HeartbeatProcessor,
        tokens: FencingTokens,
        lease: LeaderLease,
        integrity: StoreIntegrity,
        client: WorkerClient,
        clock: Clock,
        heartbeat_s: float,
        reachability_timeout_s: float,
        max_sockets: int,
        after_heartbeat: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._authority = authority
        self._planner = planner
        self.fencing = fencing
        self._heartbeats = heartbeats
        self._tokens = tokens
        self._lease = lease
        self._integrity = integrity
        self._client = client
        self._clock = clock
        self._after_heartbeat = after_heartbeat
        self._reachability_timeout_s = reachability_timeout_s
        self.metrics = CommandMetrics()
        self.heartbeat_s = heartbeat_s
        self.claims_in_flight = 0
        """Claims under way. Those beyond the most at once are made in a later check."""
        self.max_claims_in_flight = int(MAX_CLAIMS_PART * max_sockets)

    # -- reports --------------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> dict[str, Any]:
        """Takes in a report that a worker sent, and answers it."""
        now = self._clock.seconds()
        machine = self._machines.get_or_create(heartbeat.machine)
        epoch, sequence, before, claimed = machine.epoch, machine.sequence, machine.last_heartbeat_at, machine.claimed
        machine = self._heartbeats.process(heartbeat)
        if (machine.epoch, machine.sequence) == (epoch, sequence):
            # A copy that comes late must show no sign of life. If it is the report itself, overtaken by the
            # answer to a command, its worker is to drop this answer: it must renew no lease that we don't count.
            return messages.command_message(NO_TOKEN, [])
        if machine.epoch != epoch:
            machine.last_reachable_at = float("-inf")  # its tasks were lost though we answered: ask whether it hears us
        elif claimed and now - before < UNANSWERED_RETRY_S:
            # Or it would not report to us again so soon. What came first may have been an old report, so it counts
            # only once the worker is known to have our token.
            machine.last_reachable_at = max(machine.last_reachable_at, before)
        machine.last_pushed_heartbeat_at = now
        answer = self._renew_lease(machine, now)
        if not machine.has_current_token or (not machine.command_in_flight and self._planner.due_starts(machine)):
            self.send(machine)
        return answer

    def _renew_lease(self, machine: Machine, now: float) -> dict[str, Any]:
        """An answer that renews a worker's lease, or one that its worker drops if that would break the bound.

        A worker that does not know our token learns it with this answer. So it has to tell of all that is cancelled:
        the stops of what may run, and a token that bars what may still start. If not all of it fits in, the lease is
        not renewed; direct commands stop the rest, and if they don't come through, the end of the lease does.
        """
        required = self._planner.stops_required_for_renewal(machine)
        if not self.fencing.fence_unwanted_starts(machine, now) or len(required) > MAX_COMMANDS_PER_ANSWER:
            self.metrics.lease_renewals_withheld += 1
            log.info("the lease of %s is not renewed: its answer cannot bar and stop all that is cancelled", machine.id)
            self.send(machine)
            return messages.command_message(NO_TOKEN, [])
        commands = self._planner.due_stops(machine, MAX_COMMANDS_PER_ANSWER, renewing=True)
        told = {(command["piece"], command["try"]) for command in commands} if required else set()
        if not self.fencing.check_renewal(machine, told):
            return messages.command_message(NO_TOKEN, [])
        machine.lease_renewed_at = now
        commands += self._planner.due_forgets(machine, MAX_COMMANDS_PER_ANSWER - len(commands))
        return messages.command_message(machine.token, commands)

    # -- commands ---------------------------------------------------------------

    def is_reachable(self, machine: Machine, now: float) -> bool:
        """Whether the machine showed lately that it hears us: one that is only heard is of no use."""
        return now - machine.last_reachable_at <= self._reachability_timeout_s

    def send(self, machine: Machine) -> None:
        """Sends what the machine has to do, one message at a time."""
        now = self._clock.seconds()
        if (
            machine.command_in_flight
            or not machine.address
            or now < machine.retry_at
            or self._has_nothing_to_send(machine, now)
        ):
            return
        if self._authority.check_commands() is not None:
            return
        self.fencing.fence_unwanted_starts(machine, now)
        starts = self._planner.due_starts(machine)[:MAX_COMMANDS_PER_MESSAGE]
        commands = self._planner.due_stops(machine, MAX_COMMANDS_PER_MESSAGE)
        known = machine.has_current_token and (self.is_reachable(machine, now) or not machine.heartbeat_received)
        known = known and not self.fencing.is_acknowledgement_overdue(machine, now)
        if not commands and not starts and (known or not self._may_answer_claim(machine)):
            return  # exited tasks can wait for the answer to the next report
        is_claim = not commands and not starts
        if is_claim and self.claims_in_flight >= self.max_claims_in_flight:
            return
        commands += self._planner.due_forgets(machine, MAX_COMMANDS_PER_MESSAGE - len(commands))
        commands += [messages.start_command(p.task, p.attempt) for p in starts]
        machine.command_in_flight = True
        epoch = machine.epoch or 1
        for placement in starts:
            placement.sent_epoch = epoch
            machine.inflight_starts.record_sent(placement.task, placement.attempt, now, machine.token, epoch)
        self.claims_in_flight += is_claim
        defer.ensureDeferred(self._deliver(machine, epoch, commands, starts, is_claim))

    def _has_nothing_to_send(self, machine: Machine, now: float) -> bool:
        """Whether it is plain that there is nothing to send, as for most of a large fleet, which is looked at often."""
        return (
            machine.has_current_token
            and not machine.placements
            and not machine.orphaned_tasks
            and not self.fencing.is_acknowledgement_overdue(machine, now)
            and self.is_reachable(machine, now)
        )

    @staticmethod
    def _may_answer_claim(machine: Machine) -> bool:
        """A machine that is still booting answers nothing, and reports by itself when it is up."""
        return machine.heartbeat_received or bool(machine.placements) or machine.cloud_state == "running"

    def _check_transmission(self, machine: Machine, starts: list[Placement]) -> bool:
        """Whether a message is still right now that its connection is there: what was known may have changed since."""
        refusal = self._authority.check_transmission(starts, machine)
        if refusal is not None:
            log.info("commands to %s are withdrawn before they are sent: %s", machine.id, refusal)
            self.metrics.messages_withdrawn += 1
            return False
        if not self.fencing.check_transmission(machine, starts):
            return False
        self.metrics.starts_sent += len(starts)
        return True

    async def _deliver(
        self, machine: Machine, epoch: int, commands: list[dict[str, Any]], starts: list[Placement], is_claim: bool
    ) -> None:
        token = machine.token
        if starts and log.isEnabledFor(logging.DEBUG):
            tasks = [f"{p.task} attempt {p.attempt}" for p in starts]
            log.debug("starts to %s under token %d, session %d: %s", machine.id, token, epoch, tasks)
        try:
            try:
                executed, heartbeat = await self._client.command(
                    machine.address, token, epoch, commands, lambda: self._check_transmission(machine, starts)
                )
            finally:
                self.claims_in_flight -= is_claim
        except (NotDeliveredError, UncertainDeliveryError) as error:
            self._record_failure(machine, starts, error)
            return
        machine.command_in_flight = False
        if not self._lease.active:
            return
        machine.send_failures = 0
        now = self._clock.seconds()
        if executed:
            machine.last_reachable_at = now
            self._record_answer(machine, starts, now)
        if self._tokens.is_later(heartbeat.token):
            self._integrity.observe_token(heartbeat.token)
            self._lease.suspect(f"{machine.id} knows token {heartbeat.token}")
            return
        with self._cluster.lock:
            self._heartbeats.process(heartbeat)
        if not executed and (epoch, token) != (machine.epoch, machine.token):
            self.send(machine)
        elif (
            self._planner.due_starts(machine)
            or machine.has_current_token
            and any(p.stop_grace_s is not None and p.stop_sent_at == 0.0 for p in machine.placements.values())
        ):
            self._clock.callLater(RETRY_HEARTBEATS * self.heartbeat_s, self.send, machine)
        self._after_heartbeat()

    def _record_failure(
        self, machine: Machine, starts: list[Placement], error: NotDeliveredError | UncertainDeliveryError
    ) -> None:
        """A message was not delivered, or it is not known whether it was."""
        machine.command_in_flight = False
        now = self._clock.seconds()
        machine.send_failures += 1
        machine.retry_at = now + RETRY_HEARTBEATS * self.heartbeat_s * min(4, machine.send_failures)
        log.info("commands to %s: %s", machine.id, error)
        if isinstance(error, NotDeliveredError):
            return
        for placement in starts:
            start = machine.inflight_starts.get(placement.task, placement.attempt)
            if start is not None and start.in_doubt_since is None:
                start.in_doubt_since = now
                self.metrics.starts_in_doubt += 1
                log.info(
                    "start of %s attempt %d on %s in doubt: first sent at %.3f, token %d, session %d, answered %s",
                    placement.task,
                    placement.attempt,
                    machine.id,
                    start.first_sent_at,
                    start.token,
                    start.epoch,
                    "never" if start.answered_at is None else f"at {start.answered_at:.3f}",
                )

    def _record_answer(self, machine: Machine, starts: list[Placement], now: float) -> None:
        """A message was executed."""
        self.metrics.starts_answered += len(starts)
        for placement in starts:
            start = machine.inflight_starts.get(placement.task, placement.attempt)
            if start is not None and start.answered_at is None:
                start.answered_at = now

    def status(self) -> dict[str, Any]:
        """What the administration API shows of the commands."""
        in_doubt = [row for m in self._cluster.machines.values() for row in m.inflight_starts.describe(m.id)]
        return msgspec.structs.asdict(self.metrics) | {
            "tokens": self.fencing.status(),
            "in_doubt_now": len(in_doubt),
            "in_doubt": in_doubt[:MAX_IN_DOUBT_SHOWN],
        }
