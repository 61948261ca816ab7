"""The jobs with tasks that may be placed now."""

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
"""Jobs are to start within this time, in seconds."""
AGED_FRACTION = 0.6
"""A job that has waited for this part of the limit goes before more pressing work, which could starve it."""
MIN_AGED_FRACTION = 0.25
"""The least such part; it is lowered while so many jobs have not started that the machines need the time."""
FIRST_TASKS_FRACTION = 0.9
"""The part of the limit within which a task of each waiting job is to start."""
STARVING_FRACTION = 0.25
"""A job of which nothing was placed for this part of the limit may use room that is kept for others."""
MAX_CONSIDERED_TASKS = 64
"""Waiting tasks of a job that one cycle looks at."""


class PendingJobs:
    """Collects the jobs that wait. Called with the cluster's lock held."""

    def __init__(
        self, cluster: ClusterState, workload: Workload, catalog: MachineCatalog, wall_clock: WallClock
    ) -> None:
        self._cluster = cluster
        self._workload = workload
        self._catalog = catalog
        self._wall_clock = wall_clock

    def collect(self, machines: Iterable[MachineView], now: float) -> list[PendingJob]:
        """The jobs with tasks that may be placed now, on these machines."""
        orphaned = self._cluster.orphaned_task_names()
        aged_after_s = self._aged_after_s(machines)
        excluded = self._excluded_machines(now)
        found = []
        for job in self._cluster.jobs.values():
            if job.waiting <= 0 or job.backoff_until > now or job.reload_pending:
                continue
            if job.spec.is_gang and job.placed:
                continue  # the rest of it is ending: it comes again as a whole
            tasks = job.free_tasks(_max_considered(job))
            if not tasks:
                continue
            if orphaned:
                tasks = [index for index in tasks if f"{job.id}/{index}" not in orphaned]
            found.append(self._pending_job(job, tasks, frozenset(excluded.get(job.id, ())), aged_after_s, now))
        return found

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
        """By job, machines that it is not to be placed on for now."""
        excluded: dict[str, set[str]] = {}
        for (job_id, machine_id), until in self._cluster.placement_backoff.items():
            if until > now:
                excluded.setdefault(job_id, set()).add(machine_id)
        return excluded

    def _is_aged(self, job: Job, aged_after_s: float) -> bool:
        return self._wall_clock() - job.submitted > aged_after_s

    def _aged_after_s(self, machines: Iterable[MachineView]) -> float:
        """How long a job waits before its age counts: less while a crowd is to start on few machines."""
        cpus_by_type: dict[str, float] = {}
        for machine in machines:
            if machine.up:
                cpus_by_type[machine.type.name] = cpus_by_type.get(machine.type.name, 0.0) + machine.type.cpus
        first_tasks_s = 0.0
        for job in self._cluster.jobs.values():
            if not job.started and not job.end_phase and job.waiting:
                spec = job.spec
                fitting = sum(cpus for name, cpus in cpus_by_type.items() if fits_type(spec, self._catalog.types[name]))
                first_tasks_s += self._workload.estimated_run_time_s(spec) * spec.cpus / max(fitting, spec.cpus, 1.0)
        least_s, usual_s = MIN_AGED_FRACTION * START_LIMIT_S, AGED_FRACTION * START_LIMIT_S
        return max(least_s, min(usual_s, FIRST_TASKS_FRACTION * START_LIMIT_S - first_tasks_s))


def _max_considered(job: Job) -> int:
    """How many of a job's tasks a cycle may place: a gang whole, and what keeps failing one at a time."""
    if job.spec.is_gang:
        return job.waiting
    if len(job.failed_machines) > 1:
        # It fails on several machines, as one that was submitted with a mistake does.
        return 0 if job.placed else 1
    return 1 if job.failed_machines else MAX_CONSIDERED_TASKS
