"""The order in which waiting jobs are served: priority aging, priority, fair share, deadline and submission."""

from stileloft.model.resources import whole_quotient
from stileloft.scheduling.machine_view import PREEMPTION_EXEMPT_RANK
from stileloft.scheduling.snapshot import PendingJob, Snapshot

AGED_CPU_SHARE = 0.25
"""Largest share of all processors that tasks promoted by priority aging take."""


def queue_position(job: PendingJob, snapshot: Snapshot) -> tuple[float, ...]:
    """Returns a sort key: promotion, priority, the team's guarantee, latest start, submission."""
    spec = job.spec
    if job.promoted:
        # Priority does not count among promoted jobs, because all of them have waited long. Jobs of which no task has
        # run yet go first.
        return (0, 1 if job.started else 0, job.submitted_at)
    guaranteed = snapshot.quotas.within_guarantee(spec)
    return (1, -spec.rank, 0 if guaranteed else 1, latest_start(job, snapshot), job.submitted_at)


def latest_start(job: PendingJob, snapshot: Snapshot) -> float:
    """Returns the latest start that meets the job's deadline, in Unix time.

    For a job without a deadline, returns the time at which it would complete if it ran alone. If the submission time
    counted instead, an array of tens of thousands of tasks would be served before all small jobs submitted after it.
    """
    if job.spec.deadline_s is None:
        return job.submitted_at + max(job.estimate_s, standalone_run_time_s(job, snapshot))
    latest = job.submitted_at + job.spec.deadline_s - job.estimate_s
    if latest < snapshot.now - job.estimate_s:
        # The deadline has passed. The job goes after jobs that are due to start and may still meet their deadlines,
        # but before jobs with time to spare; otherwise the longest jobs would start after all others are done.
        return snapshot.now
    return latest


def standalone_run_time_s(job: PendingJob, snapshot: Snapshot) -> float:
    """Returns the seconds that the whole job would take if it had its team's limit, or all machines, to itself."""
    team = snapshot.teams.get(job.spec.team)
    cpus = team.cpus_max if team is not None and team.cpus_max else snapshot.total_cpus()
    return job.spec.tasks * job.spec.cpus * job.estimate_s / max(cpus, job.spec.cpus, 1.0)


def promote_aged_jobs(snapshot: Snapshot) -> None:
    """Promotes aged jobs: one task of each job that has not started, then tasks of the oldest within `AGED_CPU_SHARE`.

    The other tasks of a promoted job are split off and keep their ordinary place in the queue, so that an old job of
    thousands of tasks is not limited to the share while machines are idle.
    """
    available_cpus = _cpus_for_aged_jobs(snapshot)
    aged = [job for job in snapshot.pending_jobs if job.aged]
    for job in sorted(aged, key=lambda job: (job.started, job.submitted_at, job.spec.id)):
        job.promoted = available_cpus > 0 or not job.started
        requested_cpus = (job.waiting_count if job.started else 1) * job.spec.cpus
        if job.promoted and not job.spec.is_gang:
            max_tasks = max(1, whole_quotient(available_cpus, job.spec.cpus)) if job.started and job.spec.cpus else 1
            if max_tasks < job.waiting_count:
                snapshot.pending_jobs.append(job.split(max_tasks))
        available_cpus -= requested_cpus


def _cpus_for_aged_jobs(snapshot: Snapshot) -> float:
    """Returns the processors that promoted jobs may take in addition to their tasks already running."""
    machines = snapshot.schedulable_machines()
    allowed = AGED_CPU_SHARE * sum(machine.type.cpus for machine in machines)
    return allowed - sum(
        task.cpus for machine in machines for task in machine.tasks if task.rank == PREEMPTION_EXEMPT_RANK
    )
