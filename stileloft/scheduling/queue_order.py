"""The order in which waiting jobs are served: priority aging, priority, fair share, deadline, arrival."""

from stileloft.scheduling.machine_view import PREEMPTION_EXEMPT_RANK
from stileloft.scheduling.snapshot import PendingJob, Snapshot

# Tasks that go first because of their job's age take no more than this share of the processors.
AGED_CPU_SHARE = 0.25


def queue_position(job: PendingJob, snapshot: Snapshot) -> tuple[float, ...]:
    """A sort key: age, priority, then the team's guarantee, then the latest start that meets the deadline."""
    spec = job.spec
    if job.promoted:
        # All of them are old, the more pressing ones too. First each is to begin.
        return (0, 1 if job.started else 0, job.submitted_at)
    guaranteed = snapshot.quotas.within_guarantee(spec)
    return (1, -spec.rank, 0 if guaranteed else 1, latest_start(job, snapshot), job.submitted_at)


def latest_start(job: PendingJob, snapshot: Snapshot) -> float:
    """When the job is to begin at the latest; without a deadline, when its share of the machines would be done.

    Otherwise one array of tens of thousands of tasks would go before all small jobs that come while it is served.
    """
    if job.spec.deadline_s is None:
        return job.submitted_at + max(job.estimate_s, standalone_run_time_s(job, snapshot))
    latest = job.submitted_at + job.spec.deadline_s - job.estimate_s
    if latest < snapshot.now - job.estimate_s:
        # Lost anyway: behind those that are pressed now and can still be met, but not behind
        # those that have time, or the longest would be begun when all else is done.
        return snapshot.now
    return latest


def standalone_run_time_s(job: PendingJob, snapshot: Snapshot) -> float:
    """How long the whole job would take if its team, or the machines, had nothing else to do."""
    team = snapshot.teams.get(job.spec.team)
    cpus = team.cpus_max if team is not None and team.cpus_max else snapshot.total_cpus()
    return job.spec.tasks * job.spec.cpus * job.estimate_s / max(cpus, job.spec.cpus, 1.0)


def promote_aged_jobs(snapshot: Snapshot) -> None:
    """Priority aging: each old job begins with a task; then the oldest go on, within the share for such work.

    What is beyond that share is served in the ordinary order, so that an old job of thousands of tasks is not
    limited to it while machines stand empty.
    """
    room = _cpus_for_aged_jobs(snapshot)
    aged = [job for job in snapshot.pending_jobs if job.aged]
    for job in sorted(aged, key=lambda job: (job.started, job.submitted_at, job.spec.id)):
        job.promoted = room > 0 or not job.started
        wanted = (job.waiting_count if job.started else 1) * job.spec.cpus
        if job.promoted and not job.spec.is_gang:
            most = max(1, int(room / job.spec.cpus)) if job.started and job.spec.cpus else 1
            if most < job.waiting_count:
                snapshot.pending_jobs.append(job.split(most))
        room -= wanted


def _cpus_for_aged_jobs(snapshot: Snapshot) -> float:
    """Processors that promoted jobs may still take beside what runs of such jobs."""
    machines = snapshot.schedulable_machines()
    allowed = AGED_CPU_SHARE * sum(machine.type.cpus for machine in machines)
    return allowed - sum(
        task.cpus for machine in machines for task in machine.tasks if task.rank == PREEMPTION_EXEMPT_RANK
    )
