"""Answers the workers' heartbeats during a rebuild, and collects them as evidence."""

from stileloft.model import records
from stileloft.protocol.commands import Command, CommandMessage, StopCommand
from stileloft.protocol.messages import Heartbeat
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.job_outcomes import JobOutcomes
from stileloft.rebuild.loss_detector import LossDetector
from stileloft.rebuild.token_history import TokenHistory
from stileloft.transport.server import Response, retry_later

# Lower than every issued token: a worker drops an answer with it.
STALE_TOKEN = 0
RETRY_AFTER_S = 1


class HeartbeatCollector:
    """Renews the workers' leases during a rebuild, so that their tasks continue."""

    def __init__(
        self, environment: RebuildEnvironment, tokens: TokenHistory, detector: LossDetector, token: int
    ) -> None:
        self._environment = environment
        self._tokens = tokens
        self._detector = detector
        self._token = token
        self.outcomes: JobOutcomes | None = None
        """Outcomes of the jobs known to have ended; None until the replicas are merged."""
        self.newest_heartbeats: dict[str, Heartbeat] = {}
        """Newest heartbeat of each machine that has this leader's token."""

    def on_heartbeat(self, heartbeat: Heartbeat) -> Response:
        """Renews a worker's lease, and stops its tasks of ended jobs.

        Jobs cannot be cancelled during a rebuild. So an answer that stops the tasks of all jobs known to have ended
        keeps no task of a cancelled job alive.
        """
        leadership = self._environment.leadership()
        if heartbeat.token > self._token:
            self._tokens.observe(heartbeat.token)
            self._detector.request_check()
            leadership.suspect(f"machine {heartbeat.machine} reported token {heartbeat.token}, above {self._token}")
            return Response(421, {})
        if self.outcomes is None or not leadership.holds_lease():
            return retry_later(503, "lost records are being rebuilt", RETRY_AFTER_S)
        if self._is_outdated(heartbeat):
            return Response(200, CommandMessage(STALE_TOKEN, []))
        if heartbeat.token == self._token:
            # A worker without this leader's token still executes a former leader's commands, so its tasks may change.
            self.newest_heartbeats[heartbeat.machine] = heartbeat
        return Response(200, CommandMessage(self._token, self._stop_commands(heartbeat, self.outcomes)))

    def _is_outdated(self, heartbeat: Heartbeat) -> bool:
        newest = self.newest_heartbeats.get(heartbeat.machine)
        return newest is not None and (heartbeat.epoch, heartbeat.sequence) <= (newest.epoch, newest.sequence)

    def _stop_commands(self, heartbeat: Heartbeat, outcomes: JobOutcomes) -> list[Command]:
        """Returns commands that stop the tasks of ended jobs."""
        ended = [task for task in heartbeat.tasks if outcomes.get(records.split_task(task.task)[0]) is not None]
        return [StopCommand(task.task, task.attempt, 0.0) for task in ended]
