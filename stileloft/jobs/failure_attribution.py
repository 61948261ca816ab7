"""Attribution of failures: tells faulty and slow machines from mistaken jobs."""

import logging

from stileloft.jobs.job_backoff import JobBackoff
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.model.cluster import ClusterState
from stileloft.model.drain_reason import DrainReason
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement

log = logging.getLogger(__name__)

FAULTY_MACHINE_JOBS = 2
"""Jobs whose tasks failed, or were slow, on a machine before it is taken to be faulty."""
MAX_FAILURES = 4
"""Beyond so many failures on a machine one job that fails nowhere else is enough."""
FAULTY_JOB_MACHINES = 2
"""A job that failed on so many machines is taken to be mistaken: it says nothing about a machine."""
AVOID_LEASES = 4.0
"""A job avoids a machine on which it failed for so long, in worker leases."""
SLOW_FACTOR = 3.0
"""A task that takes this multiple of the median time of its job's tasks elsewhere speaks against its machine."""
MIN_COMPARED_TASKS = 2
MAX_SAMPLES = 20
"""Run times kept of each job."""


class FailureAttribution:
    """Judges machines by what happens to the tasks on them. Called with the cluster's lock held."""

    def __init__(
        self, cluster: ClusterState, lifecycle: TaskLifecycle, backoff: JobBackoff, worker_lease_s: float
    ) -> None:
        self._cluster = cluster
        self._lifecycle = lifecycle
        self._backoff = backoff
        self._worker_lease_s = worker_lease_s

    def record_failure(self, machine: Machine, placement: Placement) -> None:
        """A task failed. A faulty machine fails many jobs, and a mistaken job fails on many machines."""
        job = self._cluster.jobs.get(placement.job)
        machine.failed_jobs.add(placement.job)
        machine.failure_count += 1
        if job is not None:
            job.failed_machines.add(machine.id)
            self._backoff.avoid_machine(placement, AVOID_LEASES * self._worker_lease_s)
            if len(job.failed_machines) >= FAULTY_JOB_MACHINES:
                self._backoff.back_off(job)
        if self._is_faulty(machine) and machine.drain_reason is None:
            log.info("machine drained, tasks fail machine=%s failed_jobs=%d", machine.id, len(machine.failed_jobs))
            machine.drain_reason = DrainReason.FAULTY.value
            for other in list(machine.placements.values()):
                self._lifecycle.stop(other)

    def record_success(self, job: Job) -> None:
        """A task of the job is done: what it failed on before is no evidence any more."""
        job.failed_machines.clear()
        job.backoff_s = 0.0

    def record_run_time(self, machine: Machine, job: Job, run_time_s: float) -> None:
        """Finds machines that are much slower than others with tasks of the same job."""
        elsewhere = sorted(duration for other, duration in job.durations if other != machine.id)
        if len(job.durations) < MAX_SAMPLES:
            job.durations.append((machine.id, run_time_s))
        if len(elsewhere) < MIN_COMPARED_TASKS or run_time_s <= SLOW_FACTOR * elsewhere[len(elsewhere) // 2]:
            return
        machine.slow_jobs.add(job.id)
        if len(machine.slow_jobs) >= FAULTY_MACHINE_JOBS and machine.drain_reason is None:
            log.info("machine drained, it is slow machine=%s slow_jobs=%d", machine.id, len(machine.slow_jobs))
            machine.drain_reason = DrainReason.SLOW.value

    def _is_faulty(self, machine: Machine) -> bool:
        """Whether enough jobs failed there that do not fail elsewhere too."""
        jobs = [self._cluster.jobs[job_id] for job_id in machine.failed_jobs if job_id in self._cluster.jobs]
        evidence = sum(len(job.failed_machines) < FAULTY_JOB_MACHINES for job in jobs)
        return evidence >= FAULTY_MACHINE_JOBS or (evidence > 0 and machine.failure_count > MAX_FAILURES)
