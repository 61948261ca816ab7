"""Supervision of the machines: failures, late boots, spot reclaims and drains."""

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.boot_monitor import BootMonitor
from stileloft.machines.partition_detector import PartitionDetector
from stileloft.machines.scale_in import MachineReleaser
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.transport.clock import Clock


class MachineSupervisor:
    """Decides which machines are released. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lease: LeaderLease,
        partitions: PartitionDetector,
        boots: BootMonitor,
        releaser: MachineReleaser,
        lifecycle: TaskLifecycle,
        clock: Clock,
        failure_timeout_s: float,
    ) -> None:
        self._cluster = cluster
        self._lease = lease
        self._partitions = partitions
        self._boots = boots
        self._releaser = releaser
        self._lifecycle = lifecycle
        self._clock = clock
        self._failure_timeout_s = failure_timeout_s

    def check(self) -> None:
        """Releases machines that are silent, did not come up or are drained; evicts tasks from reclaimed ones."""
        if not self._lease.is_held():
            return  # without the lease nothing may be decided, and heartbeats may be going to another leader
        now = self._clock.seconds()
        machines = list(self._cluster.machines.values())
        partitioned = self._partitions.is_suspected(machines, now)
        for machine in machines:
            self._check_machine(machine, now, partitioned)

    def _check_machine(self, machine: Machine, now: float, partitioned: bool) -> None:
        if machine.releasing:
            return
        if machine.up_since is None:
            self._check_boot(machine, now)
            if machine.cloud_state != "running" and not machine.placements:
                return
        silent_s = now - max(machine.last_heartbeat_at, self._lease.began_at)
        if silent_s > self._failure_timeout_s and not partitioned:
            self._releaser.release(machine, f"no heartbeat for {silent_s:.1f} s")
            return
        if machine.reclaim_at is not None:
            self._lifecycle.evict_gracefully(machine, now)
        if machine.drain_reason and not machine.placements and not machine.orphaned_tasks:
            self._releaser.release(machine, machine.drain_reason)

    def _check_boot(self, machine: Machine, now: float) -> None:
        """Marks a machine as overdue if it should be up and is not; releases it if it is not expected to come up."""
        self._boots.check(machine, now)
        if self._boots.is_abandoned(machine, now):
            self._releaser.release(machine, "it did not come up")
