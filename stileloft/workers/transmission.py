"""Transmission of direct commands: sends one message to a worker, and records the outcome."""

import logging
from dataclasses import dataclass

from stileloft.leadership.authority import Authority
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.lease import LeaderLease
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.protocol.commands import Command
from stileloft.protocol.messages import Heartbeat
from stileloft.protocol.workers import NotDeliveredError, UncertainDeliveryError, WithdrawnError, WorkerClient
from stileloft.store.integrity import StoreIntegrity
from stileloft.transport.clock import Clock
from stileloft.workers.command_assertions import CommandAssertions
from stileloft.workers.command_metrics import CommandMetrics

log = logging.getLogger(__name__)

RETRY_PAUSE_HEARTBEATS = 0.4
"""Pause before the first retry of a message, in heartbeat intervals; it grows with each further failure."""
MAX_RETRY_FACTOR = 4
"""Upper limit of the back-off, as a multiple of the first pause."""


@dataclass(frozen=True, slots=True)
class CommandBatch:
    """One message to a worker."""

    machine: Machine
    token: int
    epoch: int
    """The worker's epoch for which the commands are meant; the worker refuses them in any other epoch."""
    commands: list[Command]
    starts: list[Placement]
    """The placements whose tasks the message starts."""
    is_claim: bool
    """Whether the message only conveys the leader's token and probes reachability, possibly with forget commands."""


@dataclass(frozen=True, slots=True)
class CommandReply:
    """A worker's answer to a message."""

    executed: bool
    """Whether the commands were executed; if not, the worker refused the message's token or epoch."""
    heartbeat: Heartbeat


class CommandTransmitter:
    """Sends messages to workers, and records the outcomes of their starts."""

    def __init__(
        self,
        authority: Authority,
        assertions: CommandAssertions,
        lease: LeaderLease,
        tokens: FencingTokens,
        integrity: StoreIntegrity,
        client: WorkerClient,
        clock: Clock,
        heartbeat_s: float,
        metrics: CommandMetrics,
    ) -> None:
        self._authority = authority
        self._assertions = assertions
        self._lease = lease
        self._tokens = tokens
        self._integrity = integrity
        self._client = client
        self._clock = clock
        self._retry_s = RETRY_PAUSE_HEARTBEATS * heartbeat_s
        self._metrics = metrics

    async def transmit(self, batch: CommandBatch) -> CommandReply | None:
        """Sends a message; returns None if it was not answered, or if the leadership has ended or is in doubt."""
        machine = batch.machine
        if batch.starts and log.isEnabledFor(logging.DEBUG):
            tasks = [f"{placement.task}:{placement.attempt}" for placement in batch.starts]
            log.debug(
                "sending starts machine=%s token=%d epoch=%d tasks=%s", machine.id, batch.token, batch.epoch, tasks
            )
        try:
            executed, heartbeat = await self._client.command(
                machine.address,
                batch.token,
                batch.epoch,
                batch.commands,
                lambda: self._is_still_allowed(batch),
            )
        except WithdrawnError:
            machine.command_in_flight = False
            machine.retry_at = self._clock.seconds() + self._retry_s
            return None
        except (NotDeliveredError, UncertainDeliveryError) as error:
            self._record_failure(batch, error)
            return None
        except Exception as error:
            log.exception("command failed machine=%s", machine.id)
            self._record_failure(batch, error)
            return None
        machine.command_in_flight = False
        if not self._lease.active:
            return None
        machine.send_failures = 0
        if executed:
            self._record_executed(batch)
        if self._tokens.is_from_successor(heartbeat.token):
            self._integrity.observe_token(heartbeat.token)
            self._lease.suspect(
                f"machine {machine.id} knows token {heartbeat.token}, above {self._tokens.highest_issued}"
            )
            return None
        return CommandReply(executed, heartbeat)

    def _is_still_allowed(self, batch: CommandBatch) -> bool:
        """Returns whether a message may be sent now that its connection is made; the state may have changed since."""
        refusal = self._authority.check_transmission(batch.starts, batch.machine)
        if refusal is not None:
            log.info(
                "commands withdrawn machine=%s token=%d epoch=%d commands=%d starts=%d reason=%r",
                batch.machine.id,
                batch.token,
                batch.epoch,
                len(batch.commands),
                len(batch.starts),
                str(refusal),
            )
            self._metrics.messages_withdrawn += 1
            return False
        if not self._assertions.check_transmission(batch.machine, batch.starts):
            return False
        self._metrics.starts_sent += len(batch.starts)
        return True

    def _record_executed(self, batch: CommandBatch) -> None:
        """Records that the worker has executed the commands."""
        now = batch.machine.last_reachable_at = self._clock.seconds()
        self._metrics.starts_answered += len(batch.starts)
        for placement in batch.starts:
            start = batch.machine.inflight_starts.get(placement.task, placement.attempt)
            if start is not None and start.answered_at is None:
                start.answered_at = now

    def _record_failure(self, batch: CommandBatch, error: Exception) -> None:
        """Records that a message was not delivered, or may have been, and backs off."""
        machine, now = batch.machine, self._clock.seconds()
        machine.command_in_flight = False
        machine.send_failures += 1
        machine.retry_at = now + self._retry_s * min(MAX_RETRY_FACTOR, machine.send_failures)
        is_uncertain = not isinstance(error, NotDeliveredError)
        log.info(
            "%s machine=%s token=%d epoch=%d commands=%d starts=%d failures=%d error=%s",
            "command outcome unknown" if is_uncertain else "commands not delivered",
            machine.id,
            batch.token,
            batch.epoch,
            len(batch.commands),
            len(batch.starts),
            machine.send_failures,
            error,
        )
        if is_uncertain:
            for placement in batch.starts:
                self._record_in_doubt(machine, placement, now)

    def _record_in_doubt(self, machine: Machine, placement: Placement, now: float) -> None:
        """Marks a start as in doubt: the worker may execute it at any later time."""
        start = machine.inflight_starts.get(placement.task, placement.attempt)
        if start is None or start.in_doubt_since is not None:
            return
        start.in_doubt_since = now
        self._metrics.starts_in_doubt += 1
        log.info(
            "start in doubt task=%s attempt=%d machine=%s token=%d epoch=%d first_sent_at=%.3f answered_at=%s",
            placement.task,
            placement.attempt,
            machine.id,
            start.token,
            start.epoch,
            start.first_sent_at,
            "never" if start.answered_at is None else f"{start.answered_at:.3f}",
        )
