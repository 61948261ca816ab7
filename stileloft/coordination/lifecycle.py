"""What happens to a task between its placement and its end: stops, failures, completions, and its job's end.

All methods are called with the term's lock held.
"""

import logging
import math
from typing import TYPE_CHECKING

from stileloft.bookkeeping.model import BOUND, ENDED, PLANNED, Job, Machine, Placement
from stileloft.coordination import gangs
from stileloft.protocol.messages import EXITED

if TYPE_CHECKING:
    from stileloft.coordination.leader import Term

log = logging.getLogger(__name__)

# Jobs whose tasks failed, or were slow, on a machine before it is taken to be faulty.
ERRORS_FAULTY = 2
# A task that takes this multiple of the time of its job's other tasks speaks against its machine.
SLOW = 3.0
DURATIONS_KEPT = 20
# Pauses between the attempts of a job that fails on several machines: the first, doubled each time up to the longest.
BACKOFF_S = 1.0
BACKOFF_MAX_S = 60.0


class TaskLifecycle:
    """Ends, stops and failures of placed tasks."""

    def __init__(self, term: "Term") -> None:
        self._term = term
        self._cluster = term.cluster

    def attach(self, placement: Placement) -> None:
        if placement.state != ENDED:
            machine = self._term.machine(placement.machine)
            machine.placements[placement.key] = placement
            machine.idle_since = machine.view = None

    def _invalidate_view(self, placement: Placement) -> None:
        machine = self._cluster.machines.get(placement.machine)
        if machine is not None:
            machine.view = None

    def end(self, placement: Placement, why: str) -> None:
        """The task is certainly not on its machine any more, and has to run again."""
        if placement.state == ENDED:
            return
        log.info("task %s attempt %d on %s ended: %s", placement.task, placement.attempt, placement.machine, why)
        placement.state = ENDED
        self._invalidate_view(placement)
        job = self._cluster.jobs.get(placement.job)
        if job is not None:
            job.chunk_of(placement.index).dirty = True
            pressing = job.pressing
            self._cluster.mark_dirty(job)
            if placement.done:
                self._term.ledger.gather(job, pressing)
            if job.spec.is_gang:
                self._term.clock.callLater(0, self._review_later, job)
        self._term.ledger.later(0.0)

    def _review_later(self, job: Job) -> None:
        with self._term.lock:
            if self._term.alive and self._cluster.jobs.get(job.id) is job:
                self.review_gang(job)

    def review_gang(self, job: Job) -> None:
        """Ends what is left of a gang of which a task is done, or lost."""
        if job.over or job.reload:
            return
        if gangs.completed(job):
            for placement in list(job.placements()):
                placement.done = True
                self.end(placement, "done, as one of its gang is")
            self._cluster.mark_dirty(job)
        for placement in gangs.left_over(job):
            self._stop_one(placement, 0.0 if placement.stop_grace is None else None)

    def placement_cleared(self, placement: Placement) -> None:
        """The store holds the placement no longer."""
        machine = self._cluster.machines.get(placement.machine)
        if machine is None:
            return
        machine.view = None
        if machine.placements.get(placement.key) is placement:
            del machine.placements[placement.key]
        if placement.seen == EXITED:
            self._term.pending.forget_later(machine, placement.task, placement.attempt, placement.done)
        if not machine.placements and not machine.strays and machine.idle_since is None:
            machine.idle_since = self._term.clock.seconds()

    def completed(self, machine: Machine, placement: Placement, now: float) -> None:
        placement.done = True
        job = self._cluster.jobs.get(placement.job)
        if job is not None and placement.running_since is not None and job.spec.estimate_s > 0:
            job.errors.clear()
            job.backoff_s = 0.0
            took = now - placement.running_since
            # Attempts are counted per chunk: beyond its length, a task may have run before and saved.
            fresh = job.spec.is_gang or placement.attempt <= job.chunk_length(placement.index // job.size)
            # A task that a former leader placed had run for a while when it was first seen. Taken for short, it made
            # the machines of its job's later tasks look slow: a new leader gave many of them back.
            if fresh and placement.placed_here:
                if not job.durations:  # one sample a job, however many tasks it has
                    self._term.workload.record_run_time(job.spec, took)
                self._compare_speed(machine, job, took)
        self.end(placement, "done")

    def _compare_speed(self, machine: Machine, job: Job, took: float) -> None:
        """Finds machines much slower than others of the same type, by tasks of the same job."""
        others = sorted(duration for other, duration in job.durations if other != machine.id)
        if len(job.durations) < DURATIONS_KEPT:
            job.durations.append((machine.id, took))
        if len(others) >= 2 and took > SLOW * others[len(others) // 2]:
            machine.slow_jobs.add(job.id)
            if len(machine.slow_jobs) >= ERRORS_FAULTY and machine.draining is None:
                log.info("machine %s is slow with tasks of %d jobs: emptying it", machine.id, len(machine.slow_jobs))
                machine.draining = "it is slow"

    def failed(self, machine: Machine, placement: Placement) -> None:
        """Tells a faulty machine from a mistaken job: the one fails many jobs, the other on many machines."""
        job = self._cluster.jobs.get(placement.job)
        machine.errors.add(placement.job)
        machine.error_count += 1
        if job is not None:
            job.errors.add(machine.id)
            self.avoid(placement, machine.id, self._term.settings.workers.lease_s * 4)
            if len(job.errors) > 1:
                self._back_off(job)
        honest = [j for j in machine.errors if j in self._cluster.jobs and len(self._cluster.jobs[j].errors) < 2]
        if (len(honest) >= ERRORS_FAULTY or (honest and machine.error_count > 4)) and machine.draining is None:
            log.info("machine %s fails tasks of %d jobs: emptying it", machine.id, len(machine.errors))
            machine.draining = "it fails tasks"
            for other in list(machine.placements.values()):
                self.stop(other)

    def _back_off(self, job: Job) -> None:
        """Has the job wait for longer with each further attempt; tasks that fail together are one."""
        if self._term.clock.seconds() >= job.not_before:
            job.backoff_s = min(BACKOFF_MAX_S, max(BACKOFF_S, 2.0 * job.backoff_s))
        self.delay(job.id, job.backoff_s)

    def avoid(self, placement: Placement, machine_id: str, seconds: float) -> None:
        self._cluster.avoided[(placement.job, machine_id)] = self._term.clock.seconds() + seconds

    def delay(self, job_id: str, seconds: float) -> None:
        job = self._cluster.jobs.get(job_id)
        if job is not None:
            job.not_before = max(job.not_before, self._term.clock.seconds() + seconds)
            self._term.clock.callLater(seconds, self._term.request_round)

    def stop(self, placement: Placement, grace_s: float | None = None) -> None:
        """Has a task stopped, with time to save if it can; one of a gang with all the others, side by side."""
        job = self._cluster.jobs.get(placement.job)
        together = list(job.placements()) if job is not None and job.spec.is_gang else [placement]
        for each in together:
            self._stop_one(each, grace_s)

    def _stop_one(self, placement: Placement, grace_s: float | None) -> None:
        if placement.state == PLANNED:
            self.end(placement, "not needed there")
            return
        if placement.state != BOUND or placement.stop_grace is not None and grace_s is None:
            return
        job = self._cluster.jobs.get(placement.job)
        save_s = (job.spec.save_s or 0.0) if job is not None and (job.spec.checkpoint_s or 0.0) > 0 else 0.0
        if job is not None and job.spec.is_gang and save_s:
            save_s += self._term.settings.workers.gang_peer_s  # one that has saved waits for the others
        placement.stop_grace = save_s * 1.2 + 0.5 if grace_s is None else grace_s
        placement.stop_at = 0.0
        machine = self._cluster.machines.get(placement.machine)
        if machine is not None:
            machine.view = None
            self._term.clock.callLater(0, self._term.dispatch.send, machine)

    def wind_down(self, machine: Machine, now: float) -> None:
        """Empties a machine that the cloud takes away, so that as little as possible is lost."""
        left = (machine.notice_until or now) - now
        for placement in list(machine.placements.values()):
            job = self._cluster.jobs.get(placement.job)
            if placement.stop_grace is not None or job is None:
                continue
            spec = job.spec
            if (spec.checkpoint_s or 0.0) > 0:
                # Later would save more, but a command that comes too late saves nothing.
                if (spec.save_s or 0.0) + 1.0 < left:
                    self.stop(placement)
            elif self.remaining(job, placement, now) > left:
                self.stop(placement, 0.0)

    def remaining(self, job: Job, placement: Placement, now: float) -> float:
        if job.spec.is_service:
            return math.inf
        estimate = self._term.workload.estimate(job.spec)
        if placement.running_since is None:
            return estimate
        return max(0.1 * estimate, estimate - (now - placement.running_since))

    def close_job(self, job: Job, phase: str) -> None:
        if job.over is None or job.over == "over":
            job.over = phase
            log.info("job %s is %s", job.id, phase)
        self.stop_all(job)
        if not job.placed:
            self.mark_all_dirty(job)

    def stop_all(self, job: Job) -> None:
        for placement in list(job.placements()):
            if placement.state == PLANNED:
                self.end(placement, "its job is over")
            else:
                self.stop(placement, 0.0)
        for chunk in job.chunks.values():
            chunk.dirty = True
        self._cluster.mark_dirty(job)

    def mark_all_dirty(self, job: Job) -> None:
        for chunk in job.chunks.values():
            chunk.dirty = True
        self._cluster.mark_dirty(job)
        self._term.ledger.later(0.0)
