"""Heartbeats: what workers tell of their machines."""

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
    """Processes heartbeats in the order in which their workers made them. Called with the cluster's lock held."""

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
        """Takes in a heartbeat, unless a newer one is known."""
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
        self._update_token(machine, heartbeat.token, is_new_epoch, now)
        machine.heartbeat_received = True
        if is_new_epoch:
            _drop_former_epoch(machine)
        if heartbeat.reclaim_in_s is not None and machine.reclaim_at is None:
            self._record_reclaim(machine, heartbeat.reclaim_in_s, now)
        if machine.has_current_token and self._cluster.loaded:
            # Before the store was read, all of its tasks would look as if they were not to be there, and be stopped.
            self._reconciler.reconcile(machine, heartbeat.tasks, now)
        machine.idle_since = None if machine.placements or machine.orphaned_tasks else (machine.idle_since or now)
        return machine

    @staticmethod
    def _update_description(machine: Machine, heartbeat: Heartbeat) -> None:
        if not machine.heartbeat_received or heartbeat.address != machine.address:
            machine.address = heartbeat.address
        machine.type, machine.zone, machine.spot = heartbeat.type, heartbeat.zone, heartbeat.spot

    def _record_boot(self, machine: Machine, now: float) -> None:
        """The machine has sent its first heartbeat."""
        machine.up_since = now
        machine.scheduling_view = None
        # Failures from before it was up say nothing about it.
        machine.send_failures, machine.retry_at = 0, 0.0
        log.info("machine up machine=%s type=%s zone=%s spot=%s", machine.id, machine.type, machine.zone, machine.spot)
        self._boots.record_boot(machine)
        self._request_scheduling()

    def _update_token(self, machine: Machine, token: int, is_new_epoch: bool, now: float) -> None:
        """Notes the token that the worker knows: its heartbeats are trusted while that is one of ours."""
        had_current_token = machine.has_current_token
        machine.has_current_token = self._tokens.is_own(token)
        machine.acknowledged_token = token
        is_claimed_now = machine.has_current_token and not machine.claimed
        if is_new_epoch or is_claimed_now:
            # An epoch that nobody answers lasts for a lease as well, and what was started in it lives as long.
            machine.lease_renewed_at = now
        if is_claimed_now:
            machine.claimed = True
            machine.last_pushed_heartbeat_at = now  # having learned our token, it sends one by itself at once
        if machine.has_current_token and not had_current_token:
            self._request_scheduling()

    def _record_reclaim(self, machine: Machine, reclaim_in_s: float, now: float) -> None:
        """The cloud has announced that it takes the spot instance away."""
        log.info("spot instance to be reclaimed machine=%s seconds_left=%.1f", machine.id, reclaim_in_s)
        machine.reclaim_at = now + reclaim_in_s
        machine.drain_reason = DrainReason.RECLAIMED.value
        self._request_scheduling()


def _drop_former_epoch(machine: Machine) -> None:
    """Drops what was known of a worker that has begun a new epoch: it has killed its tasks, and forgotten them."""
    machine.fenced_starts.clear()
    machine.pending_forgets.clear()
    machine.orphaned_tasks.clear()
    machine.scheduling_view = None
