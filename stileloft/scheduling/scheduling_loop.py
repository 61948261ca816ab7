"""The scheduling loop, which runs scheduling cycles and applies their decisions.

Decisions are computed from a snapshot in a separate thread. The cluster may have changed in the meantime, so they are
checked again under its lock when they are applied.
"""

import logging
from collections.abc import Callable
from typing import Any

from twisted.internet import defer

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.boot_monitor import BootMonitor
from stileloft.machines.catalog import MachineCatalog
from stileloft.machines.scale_out import MachineProvisioner
from stileloft.model.cluster import ClusterState
from stileloft.protocol.admin import OperatorSettings
from stileloft.scheduling import placement
from stileloft.scheduling.autoscaling import Autoscaler, ScalingPlan
from stileloft.scheduling.decision_applier import DecisionApplier
from stileloft.scheduling.provisioning_planner import ScalingDemand
from stileloft.scheduling.scheduling_cycle import Decision
from stileloft.scheduling.snapshot_builder import SnapshotBuilder
from stileloft.scheduling.workload import Workload
from stileloft.transport.clock import Clock, Timer

log = logging.getLogger(__name__)

MIN_CYCLE_INTERVAL_S = 0.15
"""Minimum seconds from the start of one cycle to the start of the next."""
DEBOUNCE_S = 0.02
"""Minimum seconds from a request to the cycle that it causes, so that several requests share a cycle."""
PAUSE_RATIO = 1.0
"""Pause after a cycle as a multiple of its duration, which leaves processor time for heartbeats and submissions."""
SCALING_INTERVAL_S = 2.0
"""Minimum seconds between cycles that also plan scaling."""
MAX_PLACED_TRANSACTIONS = 2
"""Limit of the tasks that a cycle places, as a multiple of a transaction's limit of changes: many tasks share one."""
MAX_PREEMPTIONS = 8
"""Limit of the tasks that a cycle makes room for by preemption."""
MAX_REPORTED_UNMET = 50
"""Limit of the jobs in the unmet demand that the administration API shows."""

RunInThread = Callable[..., defer.Deferred[Any]]
"""Calls a function with its arguments in a separate thread."""


class SchedulingLoop:
    """Runs the leader's scheduling cycles, one at a time."""

    def __init__(
        self,
        cluster: ClusterState,
        lease: LeaderLease,
        snapshots: SnapshotBuilder,
        applier: DecisionApplier,
        workload: Workload,
        provisioner: MachineProvisioner,
        boots: BootMonitor,
        catalog: MachineCatalog,
        operator_settings: Callable[[], OperatorSettings],
        clock: Clock,
        run_in_thread: RunInThread,
        transaction_ops: int,
        flush: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._lease = lease
        self._snapshots = snapshots
        self._applier = applier
        self._workload = workload
        self._provisioner = provisioner
        self._boots = boots
        self._catalog = catalog
        self._operator_settings = operator_settings
        self._clock = clock
        self._run_in_thread = run_in_thread
        self._max_placed = MAX_PLACED_TRANSACTIONS * transaction_ops
        self._flush = flush
        self.last_decision: dict[str, Any] = {}
        """The decision of the last cycle as the administration API shows it."""
        self._cycle_running = False
        self._requested_again = False
        self._timer: Timer | None = None
        self._cycle_started_at = 0.0
        self._cycle_duration_s = 0.0
        self._last_scaling_at = 0.0

    def stop(self) -> None:
        """Cancels the next cycle if it has not started."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def request(self) -> None:
        """Requests a cycle; requests close together share one."""
        if not self._lease.active or not self._cluster.loaded:
            return
        if self._cycle_running:
            self._requested_again = True
            return
        if self._timer is not None and self._timer.active():
            return
        wait_s = max(DEBOUNCE_S, self._next_cycle_at() - self._clock.seconds())
        self._timer = self._clock.callLater(wait_s, self._begin_cycle)

    def _next_cycle_at(self) -> float:
        """Returns the earliest start of the next cycle: after the last one and a pause."""
        return self._cycle_started_at + max(MIN_CYCLE_INTERVAL_S, (1.0 + PAUSE_RATIO) * self._cycle_duration_s)

    def _begin_cycle(self) -> None:
        if not self._lease.is_held() or not self._catalog.types:
            return
        self._cycle_running = True
        self._requested_again = False
        self._cycle_started_at = self._clock.seconds()
        scale = self._cycle_started_at - self._last_scaling_at >= SCALING_INTERVAL_S
        if scale:
            self._last_scaling_at = self._cycle_started_at
        deferred = self._run_in_thread(self._decide, scale)
        deferred.addCallbacks(
            self._apply, lambda failure: log.error("scheduling cycle failed traceback=%s", failure.getTraceback())
        )
        deferred.addErrback(
            lambda failure: log.error("applying scheduling decision failed traceback=%s", failure.getTraceback())
        )
        deferred.addBoth(self._end_cycle)

    def _end_cycle(self, _: Any) -> None:
        self._cycle_running = False
        self._cycle_duration_s = self._clock.seconds() - self._cycle_started_at
        if self._requested_again:
            self.request()

    def _decide(self, scale: bool) -> tuple[Decision, ScalingPlan | None]:
        """Computes a decision, and a scaling plan if `scale` is set. Runs in the scheduling thread, on a snapshot."""
        with self._cluster.lock:
            snapshot = self._snapshots.build()
            no_capacity = self._provisioner.offers_without_capacity()
            unreliable = self._boots.unreliable_offers()
            headroom = self._snapshots.headroom(gang=False)
            jobs_arriving = self._workload.has_active_classes()
        decision = placement.decide(snapshot, self._max_placed, MAX_PREEMPTIONS)
        plan = None
        if scale:
            demand = ScalingDemand(decision.unmet, headroom, jobs_arriving, no_capacity, unreliable)
            plan = Autoscaler(snapshot, demand, self._operator_settings()).plan()
        return decision, plan

    def _apply(self, outcome: tuple[Decision, ScalingPlan | None]) -> None:
        """Applies the parts of a decision and plan that are still valid, if the lease is still held."""
        decision, plan = outcome
        if not self._lease.is_held():
            return
        with self._cluster.lock:
            self._applier.apply(decision)
            if plan is not None:
                self._applier.apply_scaling(plan)
        self._record_decision(decision)
        if plan is not None and log.isEnabledFor(logging.DEBUG):
            self._log_cluster()
        if self._cluster.dirty:
            self._flush()

    def _record_decision(self, decision: Decision) -> None:
        """Keeps the decision for the administration API."""
        self.last_decision = {
            "placed": len(decision.placed),
            "preemptions": [
                {
                    "for": f"{key[0]}/{key[1]}",
                    "machine": preemption.machine_id,
                    "victims": [f"{victim.key[0]}/{victim.key[1]}" for victim in preemption.victims],
                }
                for key, preemption in decision.preemptions
            ],
            "unmet": {job.spec.id: count for job, count in decision.unmet[:MAX_REPORTED_UNMET]},
        }

    def _log_cluster(self) -> None:
        log.debug(
            "scheduling state unmet=%s placements=%s nominations=%s",
            self.last_decision["unmet"],
            {m.id: [p.task for p in m.placements.values()] for m in self._cluster.machines.values()},
            {f"{n.key[0]}/{n.key[1]}": n.machine_id for n in self._cluster.nominations.values()},
        )
