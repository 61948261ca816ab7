"""Attribution of task failures to faulty or slow machines, or to faulty jobs."""

import logging

from stileloft.jobs.job_backoff import JobBackoff
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model.cluster import ClusterState
from stileloft.model.drain_reason import DrainReason
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement
from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

FAULTY_MACHINE_JOBS = 2
"""A machine counts as faulty once tasks of this many jobs failed there, as slow once tasks of this many ran slowly."""
MAX_FAILURES = 4
"""A machine with more failures than this is faulty even if only one job fails on it and nowhere else."""
FAULTY_JOB_MACHINES = 2
"""A job that failed on this many machines is taken to be faulty: its failures are no evidence against a machine."""
AVOID_LEASES = 4.0
"""How long a job avoids a machine on which it failed, in worker leases."""
FAILURE_RETENTION_LEASES = 3.0
"""How long a job's failures are remembered without another one, in worker leases, beside the time of a further try."""
FURTHER_TRY_FACTOR = 2.0
"""A further try may take this multiple of the job's back-off and of the time from a placement to its failure."""
SLOW_FACTOR = 3.0
"""A task that ran longer than this multiple of its job's median run time on other machines counts as slow."""
MIN_COMPARED_TASKS = 2
"""The fewest run times on other machines with which a task's run time is compared."""
MAX_SAMPLES = 20
"""Run times kept for each job."""


class FailureAttribution:
    """Drains faulty and slow machines, and backs off faulty jobs. Called with the cluster's lock held."""

    def __init__(
        self,
        cluster: ClusterState,
        lifecycle: TaskLifecycle,
        backoff: JobBackoff,
        clock: Clock,
        worker_lease_s: float,
    ) -> None:
        self._cluster = cluster
        self._lifecycle = lifecycle
        self._backoff = backoff
        self._clock = clock
        self._worker_lease_s = worker_lease_s

    def record_failure(self, machine: Machine, placement: Placement) -> None:
        """Records a failed task: a faulty machine fails several jobs, a faulty job fails on several machines."""
        job = self._cluster.jobs.get(placement.job)
        machine.failed_jobs.add(placement.job)
        machine.failure_count += 1
        if job is not None:
            job.failed_machines.add(machine.id)
            self._backoff.avoid_machine(placement, AVOID_LEASES * self._worker_lease_s)
            if len(job.failed_machines) >= FAULTY_JOB_MACHINES:
                self._backoff.back_off(job)
            self._extend_failures(job, placement)
        if self._is_faulty(machine) and machine.drain_reason is None:
            log.info(
                "machine drained machine=%s reason=%r failed_jobs=%d",
                machine.id,
                DrainReason.FAULTY.value,
                len(machine.failed_jobs),
            )
            machine.drain_reason = DrainReason.FAULTY.value
            for other in list(machine.placements.values()):
                self._lifecycle.stop(other)

    def _extend_failures(self, job: Job, placement: Placement) -> None:
        """Keeps the job's failures until a further try would have failed too, if its tasks still fail."""
        now = self._clock.seconds()
        began_at = now if placement.running_since is None else placement.running_since
        if placement.placed_by_this_leader:
            began_at = min(began_at, job.last_placed_at)  # the image may have taken longer than the task ran
        further_try_s = FURTHER_TRY_FACTOR * (job.backoff_s + now - began_at)
        job.failures_expire_at = now + FAILURE_RETENTION_LEASES * self._worker_lease_s + further_try_s

    def record_success(self, job: Job) -> None:
        """Clears the job's failures and back-off after a task is done."""
        job.clear_failures()

    def record_run_time(self, machine: Machine, job: Job, run_time_s: float) -> None:
        """Records a run time, and drains a machine that is much slower than others with the same jobs' tasks."""
        elsewhere = sorted(duration for other, duration in job.durations if other != machine.id)
        if len(job.durations) < MAX_SAMPLES:
            job.durations.append((machine.id, run_time_s))
        if len(elsewhere) < MIN_COMPARED_TASKS or run_time_s <= SLOW_FACTOR * elsewhere[len(elsewhere) // 2]:
            return
        machine.slow_jobs.add(job.id)
        if len(machine.slow_jobs) >= FAULTY_MACHINE_JOBS and machine.drain_reason is None:
            log.info(
                "machine drained machine=%s reason=%r slow_jobs=%d",
                machine.id,
                DrainReason.SLOW.value,
                len(machine.slow_jobs),
            )
            machine.drain_reason = DrainReason.SLOW.value

    def _is_faulty(self, machine: Machine) -> bool:
        """Whether enough jobs failed on the machine that do not fail elsewhere."""
        jobs = [self._cluster.jobs[job_id] for job_id in machine.failed_jobs if job_id in self._cluster.jobs]
        evidence = sum(len(job.failed_machines) < FAULTY_JOB_MACHINES for job in jobs)
        return evidence >= FAULTY_MACHINE_JOBS or (evidence > 0 and machine.failure_count > MAX_FAILURES)
