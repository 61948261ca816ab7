"""Rounds of decisions: when one is made, and how its outcome is applied to the leader's picture.

The decisions themselves are functions of a snapshot and run in a thread of their own. What they
decide is checked again, under the lock, when it is applied.
"""

import logging
from typing import TYPE_CHECKING, Any

from stileloft.model import gangs
from stileloft.model.chunks import Chunk
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.nominations import Nomination
from stileloft.model.placements import Placement, PlacementState, TaskKey
from stileloft.model.quota import QuotaUsage, within_limit
from stileloft.model.resources import EPSILON
from stileloft.protocol.messages import JobSpec, MachineType
from stileloft.scheduling import placement
from stileloft.scheduling.autoscaling import Autoscaler, ScalingPlan
from stileloft.scheduling.constraints import zone_allowed
from stileloft.scheduling.preemption import Preemption
from stileloft.scheduling.provisioning_planner import ScalingDemand
from stileloft.scheduling.scheduling_cycle import Decision

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader

    pass

log = logging.getLogger(__name__)

# Rounds: at least this long apart, and after a change at the earliest this late.
ROUND_GAP_S = 0.15
ROUND_DELAY_S = 0.02
# Pause after a round, as a multiple of the time that it took: with hundreds of jobs waiting, rounds would else take
# all of the process's share, and reports and submissions would wait.
PAUSE_ROUNDS = 1.0
# How often a round also plans rentals.
PLAN_S = 2.0
# What one round places, as a multiple of the changes in a transaction.
PLACED_TXNS = 2
MAX_PREEMPTIONS = 8
# A nomination is given up after this many report intervals beyond its victims' time to save.
NOMINATION_HEARTBEATS = 3.0


class SchedulingLoop:
    """Runs the leader's rounds, one at a time."""

    def __init__(self, term: "Leader") -> None:
        self._term = term
        self._cluster = term.cluster
        self.last_decision: dict[str, Any] = {}
        self._round_running = False
        self._round_due: Any = None
        self._round_again = False
        self._round_at = 0.0
        self._took_s = 0.0
        self._planned_at = 0.0

    def stop(self) -> None:
        """Cancels a round that is due."""
        if self._round_due is not None and self._round_due.active():
            self._round_due.cancel()

    def request(self) -> None:
        """Asks for a round of decisions."""
        if not self._term.alive or not self._term.store_loaded:
            return
        if self._round_running:
            self._round_again = True
            return
        if self._round_due is not None and self._round_due.active():
            return
        wait = max(ROUND_DELAY_S, self._next_round_at() - self._term.clock.seconds())
        self._round_due = self._term.clock.callLater(wait, self._start_round)

    def _next_round_at(self) -> float:
        """When the next round may begin, after the last one and a pause."""
        return self._round_at + max(ROUND_GAP_S, (1.0 + PAUSE_ROUNDS) * self._took_s)

    def _start_round(self) -> None:
        if not self._term.holds_lease() or not self._term.types:
            return
        self._round_running = True
        self._round_again = False
        self._round_at = self._term.clock.seconds()
        scale = self._round_at - self._planned_at >= PLAN_S
        if scale:
            self._planned_at = self._round_at
        waiting = self._term.node.in_thread(self._decide, scale)
        waiting.addCallbacks(self._apply, lambda failure: log.error("round: %s", failure.getTraceback()))
        waiting.addErrback(lambda failure: log.error("applying a round: %s", failure.getTraceback()))
        waiting.addBoth(self._round_over)

    def _round_over(self, _: Any) -> None:
        self._round_running = False
        self._took_s = self._term.clock.seconds() - self._round_at
        if self._round_again:
            self.request()

    def _decide(self, scale: bool) -> tuple[Decision, ScalingPlan | None]:
        """Runs in its own thread; works on a copy."""
        term = self._term
        with term.lock:
            snapshot = term.snapshots.build()
            refused = term.fleet.offers_without_capacity()
            unreliable = term.fleet.unreliable_offers()
            headroom = term.headroom(gang=False)
            active = term.workload.any_active()
        max_placed = PLACED_TXNS * term.settings.state.txn_ops  # many of them share a change
        decision = placement.decide(snapshot, max_placed, MAX_PREEMPTIONS)
        plan = None
        if scale:
            demand = ScalingDemand(decision.unmet, headroom, active, refused, unreliable)
            plan = Autoscaler(snapshot, demand, term.node.operator_settings).plan()
        return decision, plan

    def _apply(self, outcome: tuple[Decision, ScalingPlan | None]) -> None:
        """Carries out what was decided, as far as it still holds."""
        decision, plan = outcome
        term = self._term
        if not term.holds_lease():
            return
        with term.lock:
            usage = self._cluster.usage(term.teams)
            orphaned_task_names = self._cluster.orphaned_task_names()
            for key, machine_id in decision.placed:
                self._place(key, machine_id, usage, orphaned_task_names, key[0] in decision.promoted)
            for job_id in dict.fromkeys(key[0] for key, _ in decision.placed):
                self._check_gang(job_id)
            for key, preemption in decision.preemptions:
                self._evict(key, preemption)
            if plan is not None:
                term.fleet.apply(plan)
        self._record(decision)
        if plan is not None and log.isEnabledFor(logging.DEBUG):
            self._log_picture()
        if self._cluster.dirty:
            term.commit_queue.flush()

    def _record(self, decision: Decision) -> None:
        """Keeps what was decided for the administration API."""
        self.last_decision = {
            "placed": len(decision.placed),
            "evictions": [
                {
                    "for": f"{key[0]}/{key[1]}",
                    "machine": preemption.machine_id,
                    "victims": [f"{victim.key[0]}/{victim.key[1]}" for victim in preemption.victims],
                }
                for key, preemption in decision.preemptions
            ],
            "unmet": {job.spec.id: count for job, count in decision.unmet[:50]},
        }

    def _log_picture(self) -> None:
        log.debug(
            "unmet %s; holding %s; nominated %s",
            self.last_decision["unmet"],
            {m.id: [p.task for p in m.placements.values()] for m in self._cluster.machines.values()},
            {f"{n.key[0]}/{n.key[1]}": n.machine_id for n in self._cluster.nominations.values()},
        )

    def _has_room(self, machine: Machine, kind: MachineType, spec: JobSpec) -> bool:
        cpus, gpus, memory_gb = spec.cpus, spec.gpus or 0.0, spec.memory_gb
        for placed in machine.placements.values():
            job = self._cluster.jobs.get(placed.job)
            if job is not None and placed.state != PlacementState.ENDED:
                cpus += job.spec.cpus
                gpus += job.spec.gpus or 0.0
                memory_gb += job.spec.memory_gb
        for stray in machine.orphaned_tasks.values():
            cpus += stray.cpus
            gpus += stray.gpus
            memory_gb += stray.memory_gb
        return cpus <= kind.cpus + EPSILON and gpus <= kind.gpus + EPSILON and memory_gb <= kind.memory_gb + EPSILON

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
        kind = self._term.types.get(machine.type)
        if kind is None or machine.drain_reason or machine.releasing or not machine.has_current_token:
            return False
        if not within_limit(spec, self._term.teams.get(spec.team), used):
            return False
        if not zone_allowed(spec, {zone: count for zone, count in job.zones.items() if count > 0}, machine.zone):
            return False
        return self._has_room(machine, kind, spec)

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
        job.add(planned)
        job.last_placed_at = self._term.clock.seconds()
        machine.placements[planned.key] = planned
        machine.idle_since = machine.scheduling_view = None
        self._cluster.nominations.pop(planned.key, None)
        self._cluster.mark_dirty(job)
        log.info(
            "task %s attempt %d goes to %s, %.1f s after acceptance, image %s",
            planned.task,
            planned.attempt,
            machine.id,
            self._term.wall_clock() - job.submitted,
            "there" if spec.image in machine.images else "to fetch",
        )

    def _check_gang(self, job_id: str) -> None:
        """Takes a gang back if not all of it could be placed."""
        job = self._cluster.jobs.get(job_id)
        if job is not None and job.spec.is_gang and gangs.stage(job) is gangs.Stage.BROKEN:
            for placed in list(job.placements()):
                if placed.state == PlacementState.PLANNED:
                    self._term.tasks.end(placed, "its gang is not complete")

    def _evict(self, key: TaskKey, preemption: Preemption) -> None:
        job = self._cluster.jobs.get(key[0])
        machine = self._cluster.machines.get(preemption.machine_id)
        if job is None or machine is None or job.end_phase or machine.drain_reason:
            return
        now = self._term.clock.seconds()
        longest = 0.0
        for victim in preemption.victims:
            placed = machine.placements.get(victim.key)
            if placed is None or placed.stop_grace_s is not None:
                continue  # a gang is stopped with the first of its tasks
            log.info("task %s on %s is stopped to make room for %s/%d", placed.task, machine.id, key[0], key[1])
            self._term.tasks.stop(placed)
            stopped = self._cluster.jobs.get(placed.job)
            if stopped is not None:
                stopped.preemption_count += victim.group_size
            longest = max(longest, placed.stop_grace_s or 0.0)
        for other in [
            k for k, n in self._cluster.nominations.items() if n.machine_id == machine.id and n.rank < job.spec.rank
        ]:
            del self._cluster.nominations[other]
        until = now + longest + NOMINATION_HEARTBEATS * self._term.settings.workers.heartbeat_s
        self._cluster.nominations[key] = Nomination(key, machine.id, job.spec.rank, job.spec, until)
