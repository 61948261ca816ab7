"""A new leader reads from the store what is unfinished."""

from typing import TYPE_CHECKING, Any

from stileloft.model import records
from stileloft.model.jobs import Job, job_from_record, orphan_spec
from stileloft.protocol.state import Item
from stileloft.rebuild import operator_decisions as decisions

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader

    pass

NOTHING_KNOWN: dict[str, Any] = {"r": ["-", 0.0, 0.0, 0.0]}
"""In place of a chunk's own record, when only further ones are left of it."""


async def recover(term: "Leader") -> None:
    """Fills the term's picture; raises the state service's errors, and may then be called again."""
    # The watch continues from the first read, so that nothing is missed in between.
    asked_at = term.clock.seconds()
    active, revision = await term.state.scan(records.ACTIVE)
    chunks, _ = await term.state.scan(records.TASKS)
    rented, _ = await term.state.scan(records.PROVISIONED)
    images, _ = await term.state.scan(records.IMAGES)
    undecided = await decisions.read(term)
    # A chunk that was read after its job's record may be newer: its version guards it.
    with term.lock:
        term.jobs.clear()
        _load_jobs(term, active, chunks)
        for job in term.jobs.values():
            _resume(term, job)
        decisions.hold(term, undecided)
        for key, value, _ in rented:
            term.fleet.load_provision_record(key, value)
        for key, value, _ in images:
            term.fleet.images.load(key[len(records.IMAGES) :], value)
        term.watch.revision = revision
        term.watch.up_to_date_at = asked_at


def _load_jobs(term: "Leader", active: list[Item], chunks: list[Item]) -> None:
    """Unfinished jobs with their chunks, and what is left of those that are over."""
    for _, value, version in sorted(active, key=lambda item: item[1]["t"]):
        term.adopt_job(job_from_record(value, version, term.node.first_chunk_size))
    by_job: dict[str, list[Item]] = {}
    for item in chunks:
        by_job.setdefault(records.split_chunk_key(item[0])[0], []).append(item)
    for job_id, items in by_job.items():
        found = term.jobs.get(job_id)
        if found is None:
            found = term.jobs[job_id] = _orphan(term, job_id, items)
        found.load_chunks(items)


def _orphan(term: "Leader", job_id: str, items: list[Item]) -> Job:
    """A job of which only chunks are left, as it was cancelled."""
    whole = next((value for _, value, _ in items if "r" in value), NOTHING_KNOWN)
    job = Job(orphan_spec(job_id, whole["r"]), 0.0, whole.get("n", term.node.first_chunk_size))
    job.end_phase = "cancelled"
    return job


def _resume(term: "Leader", job: Job) -> None:
    """Goes on with a job where the former leader left it."""
    job.recount()
    for placement in job.placements():
        term.tasks.attach(placement)
    if term.node.format >= records.SIZED_FORMAT:
        term.upgrade.split_large_records(job)
    if job.end_phase:
        term.tasks.stop_all_tasks(job)
        if not job.placed:
            term.tasks.mark_all_dirty(job)
    elif job.spec.is_gang:
        term.tasks.reconcile_gang(job)
