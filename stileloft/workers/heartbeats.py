"""Processing of heartbeats, which report the state of machines and their tasks."""

import logging
from collections.abc import Callable

from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.machines.boot_monitor import BootMonitor
from stileloft.machines.registry import MachineRegistry
from stileloft.model.cluster import ClusterState
from stileloft.model.drain_reason import DrainReason
from stileloft.model.machines import Machine
from stileloft.protocol.messages import Heartbeat
from stileloft.transport.clock import Clock
from stileloft.workers.task_reconciliation import TaskReconciler

log = logging.getLogger(__name__)


class HeartbeatProcessor:
    """Processes each worker's heartbeats in the order of their creation. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        tokens: FencingTokens,
        boots: BootMonitor,
        reconciler: TaskReconciler,
        clock: Clock,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._tokens = tokens
        self._boots = boots
        self._reconciler = reconciler
        self._clock = clock
        self._request_scheduling = request_scheduling

    def process(self, heartbeat: Heartbeat) -> Machine:
        """Updates the machine from a heartbeat, unless a newer one has been processed; returns the machine."""
        now = self._clock.seconds()
        machine = self._machines.get_or_create(heartbeat.machine)
        if machine.heartbeat_received and (heartbeat.epoch, heartbeat.sequence) <= (machine.epoch, machine.sequence):
            return machine
        machine.last_heartbeat_at = now
        self._update_description(machine, heartbeat)
        if machine.up_since is None:
            self._record_boot(machine, now)
        is_new_epoch = heartbeat.epoch != machine.epoch
        machine.epoch, machine.sequence = heartbeat.epoch, heartbeat.sequence
        self._update_token(machine, heartbeat.token, now)
        machine.heartbeat_received = True
        if is_new_epoch:
            _drop_former_epoch(machine)
        if heartbeat.reclaim_in_s is not None and machine.reclaim_at is None:
            self._record_reclaim(machine, heartbeat.reclaim_in_s, now)
        if machine.has_current_token and self._cluster.loaded:
            # Before the store has been read, all tasks on the machine would look orphaned, and be stopped.
            self._reconciler.reconcile(machine, heartbeat.tasks, now)
        machine.idle_since = None if machine.placements or machine.orphaned_tasks else (machine.idle_since or now)
        return machine

    @staticmethod
    def _update_description(machine: Machine, heartbeat: Heartbeat) -> None:
        if not machine.heartbeat_received or heartbeat.address != machine.address:
            machine.address = heartbeat.address
        machine.type, machine.zone, machine.spot = heartbeat.type, heartbeat.zone, heartbeat.spot

    def _record_boot(self, machine: Machine, now: float) -> None:
        """Records that the machine has sent its first heartbeat."""
        machine.up_since = now
        machine.scheduling_view = None
        # Commands that failed before the machine was up say nothing about it.
        machine.send_failures, machine.retry_at = 0, 0.0
        log.info("machine up machine=%s type=%s zone=%s spot=%s", machine.id, machine.type, machine.zone, machine.spot)
        self._boots.record_boot(machine)
        self._request_scheduling()

    def _update_token(self, machine: Machine, token: int, now: float) -> None:
        """Records the token that the worker knows; its heartbeats are trusted while this leader issued that token."""
        had_current_token = machine.has_current_token
        machine.has_current_token = self._tokens.is_own(token)
        machine.acknowledged_token = token
        if machine.has_current_token and not machine.claimed:
            machine.claimed = True
            machine.last_pushed_heartbeat_at = now  # a worker that learns a token sends a heartbeat at once
        if machine.has_current_token and not had_current_token:
            self._request_scheduling()

    def _record_reclaim(self, machine: Machine, reclaim_in_s: float, now: float) -> None:
        """Records that the cloud has announced the reclaim of the spot instance."""
        log.info("spot instance reclaim announced machine=%s seconds_left=%.1f", machine.id, reclaim_in_s)
        machine.reclaim_at = now + reclaim_in_s
        machine.drain_reason = DrainReason.RECLAIMED.value
        self._request_scheduling()


def _drop_former_epoch(machine: Machine) -> None:
    """Drops the state from the worker's former epoch: the worker has killed and forgotten its tasks."""
    machine.fenced_starts.clear()
    machine.pending_forgets.clear()
    machine.orphaned_tasks.clear()
    machine.scheduling_view = None
