"""Answers the workers' heartbeats during a rebuild, and keeps them as evidence."""

from stileloft.model import records
from stileloft.protocol.commands import Command, CommandMessage, StopCommand
from stileloft.protocol.messages import Heartbeat
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.loss_detector import LossDetector
from stileloft.rebuild.token_history import TokenHistory
from stileloft.transport.server import Response, retry_later

# An answer with a token below all that were ever issued is dropped by its worker.
DROPPED_TOKEN = 0
RETRY_AFTER_S = 1


class HeartbeatCollector:
    """Keeps workers' tasks alive while the records are written back."""

    def __init__(
        self, environment: RebuildEnvironment, tokens: TokenHistory, detector: LossDetector, token: int
    ) -> None:
        self._environment = environment
        self._tokens = tokens
        self._detector = detector
        self._token = token
        self.outcomes: JobOutcomes | None = None
        """The jobs known to be over; None until the replicas are merged."""
        self.newest_heartbeats: dict[str, Heartbeat] = {}
        """The newest heartbeat of each machine that has our token."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> Response:
        """Renews a worker's lease, and has it stop what is over.

        Nobody can cancel a job meanwhile, so an answer that names all jobs known to be over keeps no other alive.
        """
        leadership = self._environment.leadership()
        if heartbeat.token > self._token:
            self._tokens.observe(heartbeat.token)
            self._detector.request_check()
            leadership.suspect(f"{heartbeat.machine} knows token {heartbeat.token}")
            return Response(421, {})
        if self.outcomes is None or not leadership.holds_lease():
            return retry_later(503, "lost records are being rebuilt", RETRY_AFTER_S)
        if self._is_late_copy(heartbeat):
            return Response(200, CommandMessage(DROPPED_TOKEN, []))
        if heartbeat.token == self._token:
            # Only a worker that has our token can't be told anything by a former leader any more.
            self.newest_heartbeats[heartbeat.machine] = heartbeat
        return Response(200, CommandMessage(self._token, self._stop_commands(heartbeat, self.outcomes)))

    def _is_late_copy(self, heartbeat: Heartbeat) -> bool:
        known = self.newest_heartbeats.get(heartbeat.machine)
        return known is not None and (heartbeat.epoch, heartbeat.sequence) <= (known.epoch, known.sequence)

    def _stop_commands(self, heartbeat: Heartbeat, outcomes: JobOutcomes) -> list[Command]:
        """Commands that stop the tasks of jobs that are over."""
        over = [task for task in heartbeat.tasks if outcomes.get(records.split_task(task.task)[0]) is not None]
        return [StopCommand(task.task, task.attempt, 0.0) for task in over]
