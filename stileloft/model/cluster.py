"""The leader's state of the cluster: jobs, machines, nominations, and what has to be written of them."""

import itertools
import threading
from collections.abc import Iterable

from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.model.nominations import Nomination
from stileloft.model.placements import TaskKey
from stileloft.model.quota import QuotaUsage


class ClusterState:
    """What a leader knows of the cluster. Data only, without I/O; all access is under the lock."""

    def __init__(self) -> None:
        self.lock = threading.Lock()
        """Held for every access; never over I/O."""
        self.loaded = False
        """Whether the store was read since the leadership began."""
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.dirty: dict[str, None] = {}
        """Jobs of which something may have to be written, in the order in which they changed."""
        self.nominations: dict[TaskKey, Nomination] = {}
        """Room that is being made on a machine for a task."""
        self.placement_backoff: dict[tuple[str, str], float] = {}
        """Pairs of job and machine that are not to be tried again, and until when."""
        self._write_orders = itertools.count(1)

    def mark_dirty(self, job: Job) -> None:
        """Has something of the job written without waiting for more."""
        if not job.write.flush_now:
            job.write.order = next(self._write_orders)
        job.write.dirty = job.write.flush_now = True
        self.dirty[job.id] = None

    def mark_counts_dirty(self, job: Job) -> None:
        """Has it checked whether the counts that users see of the job have changed."""
        if job.id not in self.dirty:
            job.write.order = next(self._write_orders)
            self.dirty[job.id] = None

    def dirty_jobs(self) -> list[Job]:
        """Jobs of which something may have to be written."""
        found = []
        for job_id in list(self.dirty):
            job = self.jobs.get(job_id)
            if job is None:
                self.dirty.pop(job_id, None)
            else:
                found.append(job)
        return found

    def blocks_starts(self, job_id: str) -> bool:
        """Whether nothing of the job may be started, as it has ended or is being read again."""
        job = self.jobs.get(job_id)
        return job is None or job.end_phase is not None or job.reload_pending

    def job_has_ended(self, job_id: str) -> bool:
        """Whether the job is known to be over, so that nothing of it may run or start."""
        job = self.jobs.get(job_id)
        return job is None or job.end_phase is not None

    def orphaned_task_names(self) -> set[str]:
        """Tasks that are on a machine where the store does not place them: they are not started elsewhere meanwhile.

        Derived from the machines each time: a copy could outlive a machine, and block its tasks for good.
        """
        return {task for machine in self.machines.values() if machine.orphaned_tasks for task in machine.orphaned_tasks}

    def usage(self, teams: Iterable[str]) -> dict[str, QuotaUsage]:
        """What each team's tasks take, placed and orphaned ones."""
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
        """Removes a job of which nothing is left."""
        self.jobs.pop(job_id, None)
        self.dirty.pop(job_id, None)
        for key in [k for k in self.nominations if k[0] == job_id]:
            del self.nominations[key]
        for pair in [k for k in self.placement_backoff if k[0] == job_id]:
            del self.placement_backoff[pair]
