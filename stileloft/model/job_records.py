"""Conversion of jobs to and from their records in the store."""

from collections.abc import Iterable

import msgspec

from stileloft.model.chunk_records import inline_chunk, load_chunk, load_inline_chunk, max_placements_bytes
from stileloft.model.jobs import EndPhase, Job
from stileloft.model.records.forms import (
    ActiveRecord,
    ChunkRecord,
    StoredCounts,
    StoredValue,
    TaskResources,
    VersionedValue,
    read_active,
    read_chunk,
    to_stored,
)
from stileloft.model.records.keys import split_chunk_key
from stileloft.model.records.ranges import from_ranges, to_ranges
from stileloft.model.records.sizes import JOB_PROGRESS_BYTES, MAX_RANGE_BYTES, json_bytes
from stileloft.protocol.messages import MAX_TASKS, JobSpec
from stileloft.protocol.state import Item

UNKNOWN_RESOURCES = TaskResources("-", 0.0, 0.0, 0.0)
"""Stands for the resources in a chunk's main record if only overflow records are left of the chunk."""


def active_record(spec: JobSpec, submitted: float, chunk_size: int | None) -> StoredValue:
    """Returns the record of a newly accepted job; `chunk_size` is None before format 1."""
    return to_stored(ActiveRecord(spec, submitted, chunk_size=msgspec.UNSET if chunk_size is None else chunk_size))


def job_record(job: Job, has_chunk_size: bool, with_chunk: bool = False) -> ActiveRecord:
    """Returns a job's record.

    `has_chunk_size` is true from format 1 on; the record of a job that was accepted in such a format states the chunk
    size in any case. `with_chunk` includes the job's only chunk: a record that holds the chunk must always be written
    with it, or the chunk's placements would be lost.
    """
    record = ActiveRecord(
        job.spec,
        job.submitted,
        finished_chunks=to_ranges(job.finished_chunks),
        counts=StoredCounts(job.done, job.running()),
        preemption_count=job.preemption_count,
    )
    if has_chunk_size or job.stores_chunk_size:
        record.chunk_size = job.chunk_size
    if with_chunk and 0 in job.chunks:
        record.chunk = inline_chunk(job.chunks[0])
    return record


def max_inline_record_bytes(job: Job) -> int:
    """Returns an upper bound of the bytes of a job's record with its only chunk, without encoding the chunk."""
    if job.max_record_bytes is None:
        job.max_record_bytes = json_bytes(to_stored(job_record(job, True))) + JOB_PROGRESS_BYTES
    chunk = job.chunks.get(0)
    if chunk is None:
        return job.max_record_bytes
    ranges = len(chunk.done) + len(chunk.placements)
    return job.max_record_bytes + max_placements_bytes(chunk.placements.values()) + MAX_RANGE_BYTES * ranges


def job_from_record(value: StoredValue, version: int, default_chunk_size: int) -> Job:
    """Returns a job from its record; `default_chunk_size` applies if the record states no chunk size."""
    record = read_active(value)
    job = Job(record.spec, record.submitted, default_chunk_size)
    if record.chunk_size is not msgspec.UNSET:
        job.chunk_size = record.chunk_size
    _apply(job, record, version)
    apply_chunk_records(job, [])
    return job


def apply_job_record(job: Job, value: StoredValue, version: int) -> None:
    """Updates a job from its record in the store."""
    _apply(job, read_active(value), version)


def _apply(job: Job, record: ActiveRecord, version: int) -> None:
    job.version = version
    job.stores_chunk_size = record.chunk_size is not msgspec.UNSET
    job.inline_chunk = None if record.chunk is msgspec.UNSET else record.chunk
    job.finished_chunks = from_ranges(record.finished_chunks)
    if record.preemption_count is not msgspec.UNSET:
        job.preemption_count = max(job.preemption_count, record.preemption_count)
    job.write.stored_counts = record.counts
    job.started = job.started or record.counts.done > 0 or record.counts.running > 0


def apply_chunk_records(job: Job, items: Iterable[Item]) -> None:
    """Updates a job's chunks from all their records in the store, and recomputes the job's counts."""
    by_chunk: dict[int, dict[int, VersionedValue]] = {}
    for key, value, version in items:
        _, number, overflow = split_chunk_key(key)
        by_chunk.setdefault(number, {})[overflow] = VersionedValue(value, version)
    previous, job.chunks = job.chunks, {}
    for number, versioned in by_chunk.items():
        if number not in job.finished_chunks:
            job.chunks[number] = load_chunk(job.id, versioned, previous.get(number))
    if job.inline_chunk is not None and 0 not in job.chunks:
        job.chunks[0] = load_inline_chunk(job.id, job.inline_chunk, previous.get(0))
    job.refresh_counts()


def cancelled_job(job_id: str, items: Iterable[Item], default_chunk_size: int) -> Job:
    """Returns a cancelled job from its remaining chunk records, so that its tasks can be counted and stopped."""
    records = (read_chunk(value) for _, value, _ in items)
    main = next((record for record in records if record.resources is not msgspec.UNSET), ChunkRecord())
    resources = UNKNOWN_RESOURCES if main.resources is msgspec.UNSET else main.resources
    chunk_size = default_chunk_size if main.chunk_size is msgspec.UNSET else main.chunk_size
    job = Job(_placeholder_spec(job_id, resources), 0.0, chunk_size)
    job.end_phase = EndPhase.CANCELLED
    return job


def _placeholder_spec(job_id: str, resources: TaskResources) -> JobSpec:
    return JobSpec(
        id=job_id,
        job_class="-",
        team=resources.team,
        kind="array",
        priority="idle",
        tasks=MAX_TASKS,
        cpus=resources.cpus,
        gpus=resources.gpus,
        memory_gb=resources.memory_gb,
        image="-",
        image_gb=0.0,
        estimate_s=0.0,
    )
