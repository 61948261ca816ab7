"""Applies scheduling decisions to the leader's state of the cluster, as far as they still hold."""

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
"""A nomination is given up after so many heartbeat intervals beyond its victims' time to save."""


class DecisionApplier:
    """Carries out what was decided of a snapshot. Called with the cluster's lock held."""

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
        """Places tasks, and preempts others for those that fit nowhere."""
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
        for offer, wanted in plan.provision.items():
            self._provisioner.provision(offer, wanted)

    def _place(
        self,
        key: TaskKey,
        machine_id: str,
        usage: dict[str, QuotaUsage],
        orphaned_task_names: set[str],
        preemption_exempt: bool,
    ) -> None:
        """Plans a task on a machine, if nothing has changed meanwhile that forbids it."""
        job = self._cluster.jobs.get(key[0])
        machine = self._cluster.machines.get(machine_id)
        if job is None or machine is None or not self._is_free(job, key[1], orphaned_task_names):
            return
        used = usage.setdefault(job.spec.team, QuotaUsage())
        if not self._may_take(job, machine, used):
            return
        used.add(job.spec.cpus, job.spec.gpus or 0.0)
        self._bind(job, key[1], machine, preemption_exempt)

    @staticmethod
    def _is_free(job: Job, index: int, orphaned_task_names: set[str]) -> bool:
        """Whether the task has still to run, and is nowhere now."""
        if job.end_phase or job.reload_pending or f"{job.id}/{index}" in orphaned_task_names:
            return False
        if index // job.chunk_size in job.finished_chunks:
            return False
        chunk = job.chunks.get(index // job.chunk_size)
        return chunk is None or (index not in chunk.done and index not in chunk.placements)

    def _may_take(self, job: Job, machine: Machine, used: QuotaUsage) -> bool:
        """Whether the machine, the job's zones and the team's limit allow one more task."""
        spec = job.spec
        kind = self._catalog.types.get(machine.type)
        if kind is None or machine.drain_reason or machine.releasing or not machine.has_current_token:
            return False
        if not within_limit(spec, self._teams.get(spec.team), used):
            return False
        if not zone_allowed(spec, {zone: count for zone, count in job.zones.items() if count > 0}, machine.zone):
            return False
        return self._has_room(machine, kind, spec)

    def _has_room(self, machine: Machine, kind: MachineType, spec: JobSpec) -> bool:
        cpus, gpus, memory_gb = spec.cpus, spec.gpus or 0.0, spec.memory_gb
        for placed in machine.placements.values():
            job = self._cluster.jobs.get(placed.job)
            if job is not None and placed.state != PlacementState.ENDED:
                cpus += job.spec.cpus
                gpus += job.spec.gpus or 0.0
                memory_gb += job.spec.memory_gb
        for orphan in machine.orphaned_tasks.values():
            cpus += orphan.cpus
            gpus += orphan.gpus
            memory_gb += orphan.memory_gb
        return cpus <= kind.cpus + EPSILON and gpus <= kind.gpus + EPSILON and memory_gb <= kind.memory_gb + EPSILON

    def _bind(self, job: Job, index: int, machine: Machine, preemption_exempt: bool) -> None:
        spec = job.spec
        chunk = job.chunks.setdefault(index // job.chunk_size, Chunk())
        chunk.attempt = gangs.next_attempt(job) if spec.is_gang else chunk.attempt + 1
        chunk.dirty = True
        planned = Placement(
            job.id,
            index,
            chunk.attempt,
            machine.id,
            machine.zone,
            machine.spot,
            PlacementState.PLANNED,
            preemption_exempt=preemption_exempt,
        )
        planned.placed_by_this_leader = True
        job.add_placement(planned)
        job.last_placed_at = self._clock.seconds()
        machine.placements[planned.key] = planned
        machine.idle_since = machine.scheduling_view = None
        self._cluster.nominations.pop(planned.key, None)
        self._cluster.mark_dirty(job)
        log.info(
            "task %s attempt %d goes to %s, %.1f s after acceptance, image %s",
            planned.task,
            planned.attempt,
            machine.id,
            self._wall_clock() - job.submitted,
            "there" if spec.image in machine.images else "to fetch",
        )

    def _check_gang(self, job_id: str) -> None:
        """Takes a gang back if not all of it could be placed."""
        job = self._cluster.jobs.get(job_id)
        if job is not None and job.spec.is_gang and gangs.stage(job) is gangs.Stage.BROKEN:
            for placed in list(job.placements()):
                if placed.state == PlacementState.PLANNED:
                    self._lifecycle.end(placed, "its gang is not complete")

    def _preempt(self, key: TaskKey, preemption: Preemption) -> None:
        job = self._cluster.jobs.get(key[0])
        machine = self._cluster.machines.get(preemption.machine_id)
        if job is None or machine is None or job.end_phase or machine.drain_reason:
            return
        now = self._clock.seconds()
        longest = 0.0
        for victim in preemption.victims:
            placed = machine.placements.get(victim.key)
            if placed is None or placed.stop_grace_s is not None:
                continue  # a gang is stopped with the first of its tasks
            log.info("task %s on %s is stopped to make room for %s/%d", placed.task, machine.id, key[0], key[1])
            self._lifecycle.stop(placed)
            stopped = self._cluster.jobs.get(placed.job)
            if stopped is not None:
                stopped.preemption_count += victim.group_size
            longest = max(longest, placed.stop_grace_s or 0.0)
        for other in [
            k for k, n in self._cluster.nominations.items() if n.machine_id == machine.id and n.rank < job.spec.rank
        ]:
            del self._cluster.nominations[other]
        until = now + longest + NOMINATION_HEARTBEATS * self._heartbeat_s
        self._cluster.nominations[key] = Nomination(key, machine.id, job.spec.rank, job.spec, until)
