"""What happens to a task between its placement and its end: stops, failures, completions, and its job's end.

All methods are called with the term's lock held.
"""

import logging
import math
from collections.abc import Callable

from stileloft.leadership.lease import LeaderLease
from stileloft.machines.registry import MachineRegistry
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import EndPhase, Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import EXITED
from stileloft.scheduling import gangs
from stileloft.scheduling.workload import Workload
from stileloft.settings import Workers
from stileloft.store.flush_timer import FlushTimer
from stileloft.transport.clock import Clock
from stileloft.workers.forget_scheduler import ForgetScheduler

log = logging.getLogger(__name__)

# Jobs whose tasks failed, or were slow, on a machine before it is taken to be faulty.
FAULTY_AFTER_JOBS = 2
# A task that takes this multiple of the time of its job's other tasks speaks against its machine.
SLOW_RUN_TIME_FACTOR = 3.0
MAX_DURATIONS_KEPT = 20
# Pauses between the attempts of a job that fails on several machines: the first, doubled each time up to the longest.
MIN_BACKOFF_S = 1.0
MAX_BACKOFF_S = 60.0


class TaskLifecycle:
    """Ends, stops and failures of placed tasks."""

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        lease: LeaderLease,
        forgets: ForgetScheduler,
        flush_timer: FlushTimer,
        workload: Workload,
        clock: Clock,
        timings: Workers,
        request_scheduling: Callable[[], None],
        send_commands: Callable[[Machine], None],
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._lease = lease
        self._forgets = forgets
        self._flush_timer = flush_timer
        self._workload = workload
        self._clock = clock
        self._timings = timings
        self._request_scheduling = request_scheduling
        self._send_commands = send_commands

    def track(self, placement: Placement) -> None:
        if placement.state != PlacementState.ENDED:
            machine = self._machines.get_or_create(placement.machine)
            machine.placements[placement.key] = placement
            machine.idle_since = machine.scheduling_view = None

    def _invalidate_view(self, placement: Placement) -> None:
        machine = self._cluster.machines.get(placement.machine)
        if machine is not None:
            machine.scheduling_view = None

    def end(self, placement: Placement, reason: str) -> None:
        """The task is certainly not on its machine any more, and has to run again."""
        if placement.state == PlacementState.ENDED:
            return
        log.info("task %s attempt %d on %s ended: %s", placement.task, placement.attempt, placement.machine, reason)
        placement.state = PlacementState.ENDED
        self._invalidate_view(placement)
        job = self._cluster.jobs.get(placement.job)
        if job is not None:
            job.chunk_of(placement.index).dirty = True
            urgent = job.urgent
            self._cluster.mark_dirty(job)
            if placement.done:
                job.coalesce_write(self._clock.seconds(), urgent)
            if job.spec.is_gang:
                self._clock.callLater(0, self._reconcile_gang_later, job)
        self._flush_timer.within(0.0)

    def _reconcile_gang_later(self, job: Job) -> None:
        with self._cluster.lock:
            if self._lease.active and self._cluster.jobs.get(job.id) is job:
                self.reconcile_gang(job)

    def reconcile_gang(self, job: Job) -> None:
        """Ends what is left of a gang of which a task is done, or lost."""
        if job.end_phase or job.reload_pending:
            return
        if gangs.completed(job):
            for placement in list(job.placements()):
                placement.done = True
                self.end(placement, "done, as one of its gang is")
            self._cluster.mark_dirty(job)
        for placement in gangs.left_over(job):
            self._stop_placement(placement, 0.0 if placement.stop_grace_s is None else None)

    def untrack(self, placement: Placement) -> None:
        """The store holds the placement no longer."""
        machine = self._cluster.machines.get(placement.machine)
        if machine is None:
            return
        machine.scheduling_view = None
        if machine.placements.get(placement.key) is placement:
            del machine.placements[placement.key]
        if placement.reported_state == EXITED:
            self._forgets.schedule(machine, placement.task, placement.attempt, placement.done)
        if not machine.placements and not machine.orphaned_tasks and machine.idle_since is None:
            machine.idle_since = self._clock.seconds()

    def record_completion(self, machine: Machine, placement: Placement, now: float) -> None:
        placement.done = True
        job = self._cluster.jobs.get(placement.job)
        if job is not None and placement.running_since is not None and job.spec.estimate_s > 0:
            job.failed_machines.clear()
            job.backoff_s = 0.0
            took = now - placement.running_since
            # Attempts are counted per chunk: beyond its length, a task may have run before and saved.
            fresh = job.spec.is_gang or placement.attempt <= job.chunk_length(placement.index // job.chunk_size)
            # A task that a former leader placed had run for a while when it was first seen. Taken for short, it made
            # the machines of its job's later tasks look slow: a new leader gave many of them back.
            if fresh and placement.placed_by_this_leader:
                if not job.durations:  # one sample a job, however many tasks it has
                    self._workload.record_run_time(job.spec, took)
                self._detect_slow_machine(machine, job, took)
        self.end(placement, "done")

    def _detect_slow_machine(self, machine: Machine, job: Job, took: float) -> None:
        """Finds machines much slower than others of the same type, by tasks of the same job."""
        others = sorted(duration for other, duration in job.durations if other != machine.id)
        if len(job.durations) < MAX_DURATIONS_KEPT:
            job.durations.append((machine.id, took))
        if len(others) >= 2 and took > SLOW_RUN_TIME_FACTOR * others[len(others) // 2]:
            machine.slow_jobs.add(job.id)
            if len(machine.slow_jobs) >= FAULTY_AFTER_JOBS and machine.drain_reason is None:
                log.info("machine %s is slow with tasks of %d jobs: emptying it", machine.id, len(machine.slow_jobs))
                machine.drain_reason = "it is slow"

    def record_failure(self, machine: Machine, placement: Placement) -> None:
        """Tells a faulty machine from a mistaken job: the one fails many jobs, the other on many machines."""
        job = self._cluster.jobs.get(placement.job)
        machine.failed_jobs.add(placement.job)
        machine.failure_count += 1
        if job is not None:
            job.failed_machines.add(machine.id)
            self.back_off_from_machine(placement, machine.id, self._timings.lease_s * 4)
            if len(job.failed_machines) > 1:
                self._back_off(job)
        known = [self._cluster.jobs[job_id] for job_id in machine.failed_jobs if job_id in self._cluster.jobs]
        honest = [each for each in known if len(each.failed_machines) < 2]
        if (
            len(honest) >= FAULTY_AFTER_JOBS or (honest and machine.failure_count > 4)
        ) and machine.drain_reason is None:
            log.info("machine %s fails tasks of %d jobs: emptying it", machine.id, len(machine.failed_jobs))
            machine.drain_reason = "it fails tasks"
            for other in list(machine.placements.values()):
                self.stop(other)

    def _back_off(self, job: Job) -> None:
        """Has the job wait for longer with each further attempt; tasks that fail together are one."""
        if self._clock.seconds() >= job.backoff_until:
            job.backoff_s = min(MAX_BACKOFF_S, max(MIN_BACKOFF_S, 2.0 * job.backoff_s))
        self.back_off_job(job.id, job.backoff_s)

    def back_off_from_machine(self, placement: Placement, machine_id: str, seconds: float) -> None:
        self._cluster.placement_backoff[(placement.job, machine_id)] = self._clock.seconds() + seconds

    def back_off_job(self, job_id: str, seconds: float) -> None:
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            job.backoff_until = max(job.backoff_until, self._clock.seconds() + seconds)
            self._clock.callLater(seconds, self._request_scheduling)

    def stop(self, placement: Placement, grace_s: float | None = None) -> None:
        """Has a task stopped, with time to save if it can; one of a gang with all the others, side by side."""
        job = self._cluster.jobs.get(placement.job)
        together = list(job.placements()) if job is not None and job.spec.is_gang else [placement]
        for each in together:
            self._stop_placement(each, grace_s)

    def _stop_placement(self, placement: Placement, grace_s: float | None) -> None:
        if placement.state == PlacementState.PLANNED:
            self.end(placement, "not needed there")
            return
        if placement.state != PlacementState.BOUND or placement.stop_grace_s is not None and grace_s is None:
            return
        job = self._cluster.jobs.get(placement.job)
        save_s = (job.spec.save_s or 0.0) if job is not None and (job.spec.checkpoint_s or 0.0) > 0 else 0.0
        if job is not None and job.spec.is_gang and save_s:
            save_s += self._timings.gang_peer_s  # one that has saved waits for the others
        placement.stop_grace_s = save_s * 1.2 + 0.5 if grace_s is None else grace_s
        placement.stop_sent_at = 0.0
        machine = self._cluster.machines.get(placement.machine)
        if machine is not None:
            machine.scheduling_view = None
            self._clock.callLater(0, self._send_commands, machine)

    def evict_gracefully(self, machine: Machine, now: float) -> None:
        """Empties a machine that the cloud takes away, so that as little as possible is lost."""
        left = (machine.reclaim_at or now) - now
        for placement in list(machine.placements.values()):
            job = self._cluster.jobs.get(placement.job)
            if placement.stop_grace_s is not None or job is None:
                continue
            spec = job.spec
            if (spec.checkpoint_s or 0.0) > 0:
                # Later would save more, but a command that comes too late saves nothing.
                if (spec.save_s or 0.0) + 1.0 < left:
                    self.stop(placement)
            elif self.remaining_run_time_s(job, placement, now) > left:
                self.stop(placement, 0.0)

    def remaining_run_time_s(self, job: Job, placement: Placement, now: float) -> float:
        if job.spec.is_service:
            return math.inf
        estimate = self._workload.estimate(job.spec)
        if placement.running_since is None:
            return estimate
        return max(0.1 * estimate, estimate - (now - placement.running_since))

    def end_job(self, job: Job, phase: EndPhase) -> None:
        """The job has ended: what still runs of it is stopped, and what is stored of it goes."""
        if job.end_phase in (None, EndPhase.UNSETTLED):
            job.end_phase = phase
            log.info("job ended job=%s phase=%s", job.id, phase)
        self.stop_all_tasks(job)
        if not job.placed:
            self.rewrite_all_chunks(job)

    def stop_all_tasks(self, job: Job) -> None:
        for placement in list(job.placements()):
            if placement.state == PlacementState.PLANNED:
                self.end(placement, "its job is over")
            else:
                self.stop(placement, 0.0)
        for chunk in job.chunks.values():
            chunk.dirty = True
        self._cluster.mark_dirty(job)

    def rewrite_all_chunks(self, job: Job) -> None:
        for chunk in job.chunks.values():
            chunk.dirty = True
        self._cluster.mark_dirty(job)
        self._flush_timer.within(0.0)
