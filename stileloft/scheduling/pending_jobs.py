"""Selection of the jobs with tasks that may be placed now."""

from collections.abc import Iterable

from stileloft.machines.catalog import MachineCatalog
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import fits_type
from stileloft.scheduling.machine_view import MachineView
from stileloft.scheduling.snapshot import PendingJob
from stileloft.scheduling.workload import Workload
from stileloft.transport.clock import WallClock

START_LIMIT_S = 240.0
"""Jobs should start within this many seconds."""
AGED_FRACTION = 0.6
"""A job is aged after this fraction of `START_LIMIT_S`: it precedes jobs of higher priority, which could starve it."""
MIN_AGED_FRACTION = 0.25
"""Lower bound to which `AGED_FRACTION` is reduced while many jobs have not started and the machines need the time to
start them."""
FIRST_TASKS_FRACTION = 0.9
"""One task of each waiting job should start within this fraction of `START_LIMIT_S`."""
STARVING_FRACTION = 0.25
"""A job with no task placed for this fraction of `START_LIMIT_S` may use room kept for other jobs."""
MAX_CONSIDERED_TASKS = 64
"""Number of waiting tasks of a job that one cycle considers."""


class PendingJobs:
    """Collects the waiting jobs. Called with the cluster's lock held."""

    def __init__(
        self, cluster: ClusterState, workload: Workload, catalog: MachineCatalog, wall_clock: WallClock
    ) -> None:
        self._cluster = cluster
        self._workload = workload
        self._catalog = catalog
        self._wall_clock = wall_clock

    def collect(self, machines: Iterable[MachineView], now: float) -> list[PendingJob]:
        """Returns the jobs with tasks that may be placed now; `machines` are all machines of the cluster."""
        orphaned = self._cluster.orphaned_task_names()
        aged_after_s = self._aged_after_s(machines)
        excluded = self._excluded_machines(now)
        pending_jobs = []
        for job in self._cluster.jobs.values():
            job.expire_failures(now)
            if job.waiting <= 0 or job.backoff_until > now or job.reload_pending:
                continue
            if job.spec.is_gang and job.placed:
                continue  # the gang is placed again as a whole once all tasks of its former attempt have ended
            tasks = job.free_tasks(_max_considered(job))
            if not tasks:
                continue
            if orphaned:
                tasks = [index for index in tasks if f"{job.id}/{index}" not in orphaned]
            pending_jobs.append(self._pending_job(job, tasks, frozenset(excluded.get(job.id, ())), aged_after_s, now))
        return pending_jobs

    def _pending_job(
        self, job: Job, tasks: list[int], excluded: frozenset[str], aged_after_s: float, now: float
    ) -> PendingJob:
        spec = job.spec
        return PendingJob(
            spec,
            job.submitted,
            job.waiting,
            tasks,
            dict(job.zones),
            self._workload.estimated_run_time_s(spec),
            self._workload.start_objectives.get(spec.job_class),
            excluded,
            self._is_aged(job, aged_after_s),
            started=job.started,
            starving=now - max(job.last_placed_at, job.accepted_at) > STARVING_FRACTION * START_LIMIT_S,
        )

    def _excluded_machines(self, now: float) -> dict[str, set[str]]:
        """Returns, by job id, the ids of the machines on which back-off still prevents placing the job."""
        excluded: dict[str, set[str]] = {}
        for (job_id, machine_id), until in self._cluster.placement_backoff.items():
            if until > now:
                excluded.setdefault(job_id, set()).add(machine_id)
        return excluded

    def _is_aged(self, job: Job, aged_after_s: float) -> bool:
        return self._wall_clock() - job.submitted > aged_after_s

    def _aged_after_s(self, machines: Iterable[MachineView]) -> float:
        """Returns the seconds after which a job is aged: fewer while many jobs have yet to start on few machines."""
        cpus_by_type: dict[str, float] = {}
        for machine in machines:
            if machine.up:
                cpus_by_type[machine.type.name] = cpus_by_type.get(machine.type.name, 0.0) + machine.type.cpus
        first_tasks_s = 0.0
        for job in self._cluster.jobs.values():
            if not job.started and not job.end_phase and job.waiting:
                spec = job.spec
                fitting_cpus = sum(
                    cpus for name, cpus in cpus_by_type.items() if fits_type(spec, self._catalog.types[name])
                )
                first_tasks_s += (
                    self._workload.estimated_run_time_s(spec) * spec.cpus / max(fitting_cpus, spec.cpus, 1.0)
                )
        min_s, max_s = MIN_AGED_FRACTION * START_LIMIT_S, AGED_FRACTION * START_LIMIT_S
        return max(min_s, min(max_s, FIRST_TASKS_FRACTION * START_LIMIT_S - first_tasks_s))


def _max_considered(job: Job) -> int:
    """Returns how many tasks of a job a cycle considers: all of a gang, and one at a time of a job whose tasks fail."""
    if job.spec.is_gang:
        return job.waiting
    if len(job.failed_machines) > 1:
        # A job that fails on several machines was probably submitted with an error.
        return 0 if job.placed else 1
    return 1 if job.failed_machines else MAX_CONSIDERED_TASKS
