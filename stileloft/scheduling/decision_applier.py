"""Applies scheduling decisions that are still valid to the leader's state of the cluster."""

import logging

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.machines.catalog import MachineCatalog
from stileloft.machines.scale_in import MachineReleaser
from stileloft.machines.scale_out import MachineProvisioner
from stileloft.model import gangs
from stileloft.model.chunks import Chunk
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.nominations import Nomination
from stileloft.model.placements import Placement, PlacementState, TaskKey
from stileloft.model.quota import QuotaUsage, within_limit
from stileloft.model.resources import EPSILON
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling.autoscaling import ScalingPlan
from stileloft.scheduling.constraints import zone_allowed
from stileloft.scheduling.preemption import Preemption
from stileloft.scheduling.scheduling_cycle import Decision
from stileloft.settings import Team
from stileloft.transport.clock import Clock, WallClock

log = logging.getLogger(__name__)

NOMINATION_HEARTBEATS = 3.0
"""A nomination expires this many heartbeat intervals after the longest grace period of its victims."""


class DecisionApplier:
    """Applies decisions made from a snapshot. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lifecycle: TaskLifecycle,
        provisioner: MachineProvisioner,
        releaser: MachineReleaser,
        catalog: MachineCatalog,
        teams: dict[str, Team],
        clock: Clock,
        wall_clock: WallClock,
        heartbeat_s: float,
    ) -> None:
        self._cluster = cluster
        self._lifecycle = lifecycle
        self._provisioner = provisioner
        self._releaser = releaser
        self._catalog = catalog
        self._teams = teams
        self._clock = clock
        self._wall_clock = wall_clock
        self._heartbeat_s = heartbeat_s

    def apply(self, decision: Decision) -> None:
        """Places tasks, and preempts others for tasks that fit nowhere."""
        usage = self._cluster.usage(self._teams)
        orphaned_task_names = self._cluster.orphaned_task_names()
        for key, machine_id in decision.placed:
            self._place(key, machine_id, usage, orphaned_task_names, key[0] in decision.promoted)
        for job_id in dict.fromkeys(key[0] for key, _ in decision.placed):
            self._check_gang(job_id)
        for key, preemption in decision.preemptions:
            self._preempt(key, preemption)

    def apply_scaling(self, plan: ScalingPlan) -> None:
        """Releases machines that are still idle, and provisions others."""
        for machine_id in plan.release:
            machine = self._cluster.machines.get(machine_id)
            if machine is not None and not machine.placements and not machine.orphaned_tasks:
                self._releaser.release(machine, "it is idle")
        for offer, count in plan.provision.items():
            self._provisioner.provision(offer, count)

    def _place(
        self,
        key: TaskKey,
        machine_id: str,
        usage: dict[str, QuotaUsage],
        orphaned_task_names: set[str],
        preemption_exempt: bool,
    ) -> None:
        """Places a task on a machine, unless the cluster has changed so that it may not be placed there."""
        job = self._cluster.jobs.get(key[0])
        machine = self._cluster.machines.get(machine_id)
        if job is None or machine is None or not self._is_free(job, key[1], orphaned_task_names):
            return
        used = usage.setdefault(job.spec.team, QuotaUsage())
        if not self._can_place(job, machine, used):
            return
        used.add(job.spec.cpus, job.spec.gpus or 0.0)
        self._bind(job, key[1], machine, preemption_exempt)

    @staticmethod
    def _is_free(job: Job, index: int, orphaned_task_names: set[str]) -> bool:
        """Whether the task is neither done nor on a machine, and its job has not ended and is not being reloaded."""
        if job.end_phase or job.reload_pending or f"{job.id}/{index}" in orphaned_task_names:
            return False
        if index // job.chunk_size in job.finished_chunks:
            return False
        chunk = job.chunks.get(index // job.chunk_size)
        return chunk is None or (index not in chunk.done and index not in chunk.placements)

    def _can_place(self, job: Job, machine: Machine, used: QuotaUsage) -> bool:
        """Whether the machine, the job's zone constraints and the team's limit allow one more task."""
        spec = job.spec
        machine_type = self._catalog.types.get(machine.type)
        if machine_type is None or machine.drain_reason or machine.releasing or not machine.has_current_token:
            return False
        if not within_limit(spec, self._teams.get(spec.team), used):
            return False
        if not zone_allowed(spec, {zone: count for zone, count in job.zones.items() if count > 0}, machine.zone):
            return False
        return self._has_room(machine, machine_type, spec)

    def _has_room(self, machine: Machine, machine_type: MachineType, spec: JobSpec) -> bool:
        cpus, gpus, memory_gb = spec.cpus, spec.gpus or 0.0, spec.memory_gb
        for placement in machine.placements.values():
            job = self._cluster.jobs.get(placement.job)
            if job is not None and placement.state != PlacementState.ENDED:
                cpus += job.spec.cpus
                gpus += job.spec.gpus or 0.0
                memory_gb += job.spec.memory_gb
        for orphan in machine.orphaned_tasks.values():
            cpus += orphan.cpus
            gpus += orphan.gpus
            memory_gb += orphan.memory_gb
        return (
            cpus <= machine_type.cpus + EPSILON
            and gpus <= machine_type.gpus + EPSILON
            and memory_gb <= machine_type.memory_gb + EPSILON
        )

    def _bind(self, job: Job, index: int, machine: Machine, preemption_exempt: bool) -> None:
        spec = job.spec
        chunk = job.chunks.setdefault(index // job.chunk_size, Chunk())
        chunk.attempt = gangs.next_attempt(job) if spec.is_gang else chunk.attempt + 1
        chunk.dirty = True
        placement = Placement(
            job.id,
            index,
            chunk.attempt,
            machine.id,
            machine.zone,
            machine.spot,
            PlacementState.PLANNED,
            preemption_exempt=preemption_exempt,
        )
        placement.placed_by_this_leader = True
        job.add_placement(placement)
        job.last_placed_at = self._clock.seconds()
        machine.placements[placement.key] = placement
        machine.idle_since = machine.scheduling_view = None
        self._cluster.nominations.pop(placement.key, None)
        self._cluster.mark_dirty(job)
        log.info(
            "task placed task=%s attempt=%d machine=%s waited_s=%.1f image_present=%s",
            placement.task,
            placement.attempt,
            machine.id,
            self._wall_clock() - job.submitted,
            spec.image in machine.images,
        )

    def _check_gang(self, job_id: str) -> None:
        """Ends the new placements of a gang if not all of its tasks could be placed."""
        job = self._cluster.jobs.get(job_id)
        if job is not None and job.spec.is_gang and gangs.stage(job) is gangs.Stage.BROKEN:
            for placement in list(job.placements()):
                if placement.state == PlacementState.PLANNED:
                    self._lifecycle.end(placement, "gang could not be placed completely")

    def _preempt(self, key: TaskKey, preemption: Preemption) -> None:
        job = self._cluster.jobs.get(key[0])
        machine = self._cluster.machines.get(preemption.machine_id)
        if job is None or machine is None or job.end_phase or machine.drain_reason:
            return
        now = self._clock.seconds()
        longest_grace_s = 0.0
        for victim in preemption.victims:
            placement = machine.placements.get(victim.key)
            if placement is None or placement.stop_grace_s is not None:
                continue  # gone, or already being stopped, as after the stop of another task of its gang
            log.info(
                "task preempted task=%s attempt=%d machine=%s preemptor=%s/%d",
                placement.task,
                placement.attempt,
                machine.id,
                key[0],
                key[1],
            )
            self._lifecycle.stop(placement)
            victim_job = self._cluster.jobs.get(placement.job)
            if victim_job is not None:
                victim_job.preemption_count += victim.group_size
            longest_grace_s = max(longest_grace_s, placement.stop_grace_s or 0.0)
        for lower_key in [
            k for k, n in self._cluster.nominations.items() if n.machine_id == machine.id and n.rank < job.spec.rank
        ]:
            del self._cluster.nominations[lower_key]
        expires_at = now + longest_grace_s + NOMINATION_HEARTBEATS * self._heartbeat_s
        self._cluster.nominations[key] = Nomination(key, machine.id, job.spec.rank, job.spec, expires_at)
