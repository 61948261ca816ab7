"""Failover: a new leader recovers unfinished jobs and their placements from the store, and resumes them."""

import logging
from typing import Any, Protocol

from stileloft.jobs.job_watch import JobWatch
from stileloft.jobs.registry import JobRegistry
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.lease import LeaderLease
from stileloft.machines.image_locations import ImageLocations
from stileloft.machines.provision_records import ProvisionRecords
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.job_records import apply_chunk_records, cancelled_job, job_from_record
from stileloft.model.jobs import Job
from stileloft.protocol.state import Item, UnavailableError, UnknownOutcomeError
from stileloft.store.format_upgrade import FormatUpgrade
from stileloft.store.leader_store import LeaderStore
from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

STORE_RETRY_S = 0.3
"""Pause after the store could not be read, in seconds."""
UNEXPECTED_ERROR_RETRY_S = 1.0
"""Pause after any other error, in seconds."""


class UnresolvedTaskSource(Protocol):
    """The records that the feature `rebuild` keeps of tasks that may or may not have completed."""

    async def read(self) -> Any:
        """Returns all records, in the form that `apply` takes."""

    def apply(self, stored: Any) -> None:
        """Prevents starts of the tasks in these records."""


class Failover:
    """Recovers the jobs, machines and records of the former leader."""

    def __init__(
        self,
        store: LeaderStore,
        cluster: ClusterState,
        lease: LeaderLease,
        jobs: JobRegistry,
        lifecycle: TaskLifecycle,
        watch: JobWatch,
        upgrade: FormatUpgrade,
        provision_records: ProvisionRecords,
        images: ImageLocations,
        unresolved_tasks: UnresolvedTaskSource,
        clock: Clock,
    ) -> None:
        self._store = store
        self._cluster = cluster
        self._lease = lease
        self._jobs = jobs
        self._lifecycle = lifecycle
        self._watch = watch
        self._upgrade = upgrade
        self._provision_records = provision_records
        self._images = images
        self._unresolved_tasks = unresolved_tasks
        self._clock = clock

    async def run(self) -> bool:
        """Reads the store, with retries; returns False if the leadership ended first."""
        while self._lease.active:
            try:
                await self._recover()
                break
            except (UnavailableError, UnknownOutcomeError) as error:
                log.info("failover delayed, store not readable retry_s=%.1f error=%s", STORE_RETRY_S, error)
                await sleep(self._clock, STORE_RETRY_S)
            except Exception:
                log.exception("failover failed retry_s=%.1f", UNEXPECTED_ERROR_RETRY_S)
                await sleep(self._clock, UNEXPECTED_ERROR_RETRY_S)
        if not self._lease.active:
            return False
        self._cluster.loaded = True
        return True

    async def _recover(self) -> None:
        """Loads the cluster state from the store; may be called again after it raised an error of the state service."""
        # The watch continues from the revision of the first read, so that no change after it is missed.
        asked_at = self._clock.seconds()
        client = self._store.client
        active, revision = await client.scan(records.ACTIVE)
        chunks, _ = await client.scan(records.TASKS)
        provisioned, _ = await client.scan(records.PROVISIONED)
        images, _ = await client.scan(records.IMAGES)
        unresolved = await self._unresolved_tasks.read()
        # A chunk is read after its job's record and may be newer; the chunk's version guards later writes of it.
        with self._cluster.lock:
            self._cluster.jobs.clear()
            self._load_jobs(active, chunks)
            for job in self._cluster.jobs.values():
                self._resume(job)
            self._unresolved_tasks.apply(unresolved)
            for key, value, _ in provisioned:
                self._provision_records.load(key, value)
            for key, value, _ in images:
                self._images.load(key[len(records.IMAGES) :], value)
            self._watch.revision = revision
            self._watch.up_to_date_at = asked_at

    def _load_jobs(self, active: list[Item], chunks: list[Item]) -> None:
        """Loads unfinished jobs with their chunks, and the remaining chunks of jobs that have ended."""
        legacy_chunk_size = self._store.format.legacy_chunk_size
        for _, value, version in sorted(active, key=lambda item: item[1]["t"]):
            self._jobs.add(job_from_record(value, version, legacy_chunk_size))
        by_job: dict[str, list[Item]] = {}
        for item in chunks:
            by_job.setdefault(records.split_chunk_key(item[0])[0], []).append(item)
        for job_id, items in by_job.items():
            job = self._cluster.jobs.get(job_id)
            if job is None:
                job = self._cluster.jobs[job_id] = cancelled_job(job_id, items, legacy_chunk_size)
            apply_chunk_records(job, items)

    def _resume(self, job: Job) -> None:
        """Continues a job in the state in which the former leader left it."""
        for placement in job.placements():
            self._lifecycle.track(placement)
        if self._store.format.has_chunk_sizes:
            self._upgrade.split_large_records(job)
        if job.end_phase:
            self._lifecycle.stop_all_tasks(job)
            if not job.placed:
                self._lifecycle.rewrite_all_chunks(job)
        elif job.spec.is_gang:
            self._lifecycle.reconcile_gang(job)
