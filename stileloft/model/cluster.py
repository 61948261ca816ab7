"""The leader's state of the cluster: jobs, machines, nominations, and which jobs have unwritten changes."""

import itertools
from collections.abc import Iterable

from stileloft.model.cluster_lock import ClusterLock
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.nominations import Nomination
from stileloft.model.placements import TaskKey
from stileloft.model.quota import QuotaUsage


class ClusterState:
    """The leader's in-memory state of the cluster, without I/O. Every access is made with the lock held."""

    def __init__(self) -> None:
        self.lock = ClusterLock()
        """Held during every access, and never during I/O; components start coroutines without it."""
        self.loaded = False
        """Whether the store has been read since the leadership began."""
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.dirty: dict[str, None] = {}
        """Ids of jobs that may have unwritten changes, in the order in which they changed."""
        self.nominations: dict[TaskKey, Nomination] = {}
        """Nominations, by the key of the task for which room is being made."""
        self.placement_backoff: dict[tuple[str, str], float] = {}
        """Time until which no task of a job is placed on a machine, by job id and machine id."""
        self._write_order = itertools.count(1)

    def mark_dirty(self, job: Job) -> None:
        """Marks a job as changed, to be written without waiting for further changes."""
        if not job.write.flush_now:
            job.write.order = next(self._write_order)
        job.write.dirty = job.write.flush_now = True
        self.dirty[job.id] = None

    def mark_counts_dirty(self, job: Job) -> None:
        """Schedules a check whether the job's counts that users see have changed."""
        if job.id not in self.dirty:
            job.write.order = next(self._write_order)
            self.dirty[job.id] = None

    def dirty_jobs(self) -> list[Job]:
        """Returns the jobs that may have unwritten changes."""
        jobs = []
        for job_id in list(self.dirty):
            job = self.jobs.get(job_id)
            if job is None:
                self.dirty.pop(job_id, None)
            else:
                jobs.append(job)
        return jobs

    def blocks_starts(self, job_id: str) -> bool:
        """Whether no task of the job may be started, because the job has ended or is being reloaded."""
        job = self.jobs.get(job_id)
        return job is None or job.end_phase is not None or job.reload_pending

    def job_has_ended(self, job_id: str) -> bool:
        """Whether the job has ended or is not held here, so that none of its tasks may run or start."""
        job = self.jobs.get(job_id)
        return job is None or job.end_phase is not None

    def orphaned_task_names(self) -> set[str]:
        """Returns the names of the orphaned tasks, which are not started elsewhere while they are on a machine.

        Computed from the machines on each call: a separate copy could outlive a machine, and block its tasks forever.
        """
        return {task for machine in self.machines.values() if machine.orphaned_tasks for task in machine.orphaned_tasks}

    def usage(self, teams: Iterable[str]) -> dict[str, QuotaUsage]:
        """Returns the resources that each team's placed and orphaned tasks use."""
        usage = {name: QuotaUsage() for name in teams}
        for machine in self.machines.values():
            for orphan in machine.orphaned_tasks.values():
                if orphan.team in usage:
                    usage[orphan.team].add(orphan.cpus, orphan.gpus)
        for job in self.jobs.values():
            spec = job.spec
            usage.setdefault(spec.team, QuotaUsage()).add(spec.cpus * job.placed, (spec.gpus or 0.0) * job.placed)
        return usage

    def expire_nominations(self, now: float) -> None:
        """Removes nominations that have expired, or whose machine is gone."""
        for key in [k for k, n in self.nominations.items() if n.expires_at < now or n.machine_id not in self.machines]:
            del self.nominations[key]

    def remove_job(self, job_id: str) -> None:
        """Removes an ended job, with its nominations and back-offs."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)
        for key in [k for k in self.nominations if k[0] == job_id]:
            del self.nominations[key]
        for pair in [k for k in self.placement_backoff if k[0] == job_id]:
            del self.placement_backoff[pair]
