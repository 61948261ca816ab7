"""Entry point of the feature `rebuild` in a controller."""

import logging
from typing import Any

import msgspec
from msgspec import UNSET

from stileloft.model import records
from stileloft.protocol.messages import Heartbeat
from stileloft.rebuild.change_notice import parse_change_notice
from stileloft.rebuild.decision_recorder import DecisionRecorder
from stileloft.rebuild.environment import RebuildEnvironment
from stileloft.rebuild.errors import InvalidChangeNoticeError
from stileloft.rebuild.local_replicas import LocalReplicas
from stileloft.rebuild.loss_detector import LossDetector
from stileloft.rebuild.missed_changes import MissedChangesReconciler
from stileloft.rebuild.protection import StoreProtection
from stileloft.rebuild.rebuilder import Rebuilder, RebuildParts
from stileloft.rebuild.replica_follower import ReplicaFollower
from stileloft.rebuild.snapshot_provider import SnapshotProvider
from stileloft.rebuild.status_report import RebuildReport, ReplicaReport
from stileloft.rebuild.store_status import StoreStatus
from stileloft.rebuild.token_history import TokenHistory
from stileloft.transport import background
from stileloft.transport.server import Response

log = logging.getLogger(__name__)


class RebuildService:
    """Detects lost records, maintains a replica of the store, and rebuilds the store when this controller leads."""

    def __init__(self, environment: RebuildEnvironment) -> None:
        self._environment = environment
        self.tokens = TokenHistory()
        self.replicas = LocalReplicas()
        self.store = StoreStatus(environment.state, environment.clock, self.tokens, environment.forget_record_versions)
        self.snapshots = SnapshotProvider(environment, self.store, self.tokens, self.replicas)
        self._detector = LossDetector(environment, self.store, self.tokens, self.replicas, self.snapshots)
        self.protection = StoreProtection(environment, self.store, self.tokens, self.replicas, self._detector)
        self._decisions = DecisionRecorder(environment.state, self.protection)
        self._follower = ReplicaFollower(
            environment,
            self.store,
            self.replicas,
            self.snapshots,
            MissedChangesReconciler(environment, self.store, self.replicas, self._detector),
        )
        self._rebuilder: Rebuilder | None = None
        """The rebuild that this controller is leading; None if it leads no rebuild."""
        self._refused_notices = 0

    def start(self) -> None:
        """Starts the background loops that check the store and follow its changes."""
        background.start("loss detector", self._detector.run())
        background.start("replica follower", self._follower.run())

    # -- leading a rebuild ------------------------------------------------------------

    def is_leading_rebuild(self) -> bool:
        """Whether this controller is leading a rebuild."""
        return self._rebuilder is not None

    def begin_rebuild(self, token: int) -> None:
        """Starts a rebuild, as the leader with this fencing token."""
        parts = RebuildParts(self._environment, self.store, self.tokens, self.replicas, self.snapshots, self._detector)
        self._rebuilder = Rebuilder(parts, token, lambda: self._finish(token))
        background.start("rebuild", self._rebuilder.run())

    def _finish(self, token: int) -> None:
        self._rebuilder = None
        self._environment.begin_leading(token)

    def stop_rebuild(self) -> None:
        """Stops the rebuild that this controller is leading, if any, when its leadership ends."""
        if self._rebuilder is not None:
            self._rebuilder.stop()
            self._rebuilder = None

    def on_heartbeat(self, heartbeat: Heartbeat) -> Response | None:
        """Answers a worker's heartbeat during a rebuild; returns None if this controller leads no rebuild."""
        return None if self._rebuilder is None else self._rebuilder.on_heartbeat(heartbeat)

    # -- requests of other controllers and operators --------------------------------------

    def receive_change_notice(self, body: Any) -> bool:
        """Applies another controller's change notice; returns whether the notice was valid."""
        try:
            notice = parse_change_notice(body)
        except InvalidChangeNoticeError as error:
            self._refused_notices += 1
            if self._refused_notices == 1:
                log.error("change notice refused, later ones are only counted error=%s", error)  # noqa: TRY400 - expected error, needs no traceback
            return False
        self.protection.apply_notice(notice)
        return True

    async def decide(self, job: str, task: int | None, decision: str) -> dict[str, Any] | None:
        """Stores an operator's decision about unresolved tasks; returns None if the job has no such tasks.

        Raises the errors of `DecisionRecorder.record`.
        """
        return await self._decisions.record(job, task, decision)

    def status(self) -> dict[str, Any]:
        """Returns the status of the store and of its rebuild, as `GET /rebuild` shows it."""
        answer: dict[str, Any] = msgspec.to_builtins(self._report())
        return answer

    def _report(self) -> RebuildReport:
        store, replica = self.store, self.replicas.current
        lost_for_s = None if store.lost_at is None else round(self._environment.clock.seconds() - store.lost_at, 1)
        return RebuildReport(
            phase=str(store.phase),
            reason=store.reason,
            lost_for_s=lost_for_s,
            generation=store.generation,
            replica=ReplicaReport(replica.complete, replica.revision, len(replica.records), len(replica.outcomes)),
            unresolved={key[len(records.UNRESOLVED) :]: value for key, value in replica.values(records.UNRESOLVED)},
            refused_notices=self._refused_notices,
            rebuild=UNSET if self._rebuilder is None else self._rebuilder.progress(),
        )
