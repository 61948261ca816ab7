"""Tasks that a rebuild left undecided: held back by the leader until an operator has decided."""

import logging
from typing import TYPE_CHECKING

from stileloft.model import records
from stileloft.protocol.state import ConflictError, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import unresolved_tasks as undecided
from stileloft.rebuild.unresolved_tasks import Decision, UnresolvedTasks

if TYPE_CHECKING:
    from stileloft.leadership.leader import Leader
    from stileloft.model.jobs import Job

log = logging.getLogger(__name__)

# How often the leader looks for decisions, while anything is undecided.
LOOK_S = 1.0

Stored = dict[str, tuple[UnresolvedTasks, int]]
"""By job: its undecided tasks, and the version of their record."""


async def read(term: "Leader") -> Stored:
    """All that is undecided; nothing is asked without the feature."""
    if not term.node.integrity.detects_loss:
        return {}
    items, _ = await term.state.scan(records.UNDECIDED)
    return {key[len(records.UNDECIDED) :]: (undecided.from_record(value), version) for key, value, version in items}


def hold(term: "Leader", stored: Stored) -> None:
    """Has no undecided task started; called with the term's lock held."""
    term.undescribed_jobs = frozenset(job for job, (found, _) in stored.items() if found.spec_lost)
    for job_id, (found, _) in stored.items():
        job = term.jobs.get(job_id)
        if job is not None:
            job.tasks_awaiting_operator = frozenset(found.open_tasks())


async def carry_out(term: "Leader") -> None:
    """Does what operators decide, for as long as the term lasts."""
    while term.alive:
        await term.sleep(LOOK_S)
        if not term.holds_lease() or not (
            term.undescribed_jobs or any(job.tasks_awaiting_operator for job in list(term.jobs.values()))
        ):
            continue
        try:
            stored = await read(term)
            for job_id, (found, version) in stored.items():
                await _carry_out_one(term, job_id, found, version)
        except ConflictError:
            continue  # an operator has decided more meanwhile: it is read again
        except (UnavailableError, UnknownOutcomeError) as error:
            log.debug("undecided tasks: %s", error)
        except Exception:
            log.exception("undecided tasks")


async def _carry_out_one(term: "Leader", job_id: str, found: UnresolvedTasks, version: int) -> None:
    job = term.jobs.get(job_id)
    if job is not None and not found.spec_lost:
        with term.lock:
            if not _apply(term, job, found):
                return
    elif found.spec_lost and Decision.FORGET not in found.decisions.values() and job is None:
        return
    # Nothing of it is undecided any more, or the job is over or was submitted once more.
    await term.state.commit(
        {**term.leader_guard(), records.UNDECIDED + job_id: version}, {}, [records.UNDECIDED + job_id]
    )
    log.info("nothing of job %s is undecided any more", job_id)
    with term.lock:
        term.undescribed_jobs -= {job_id}
    term.request_scheduling()


def _apply(term: "Leader", job: "Job", found: UnresolvedTasks) -> bool:
    """Brings the picture in line with the decisions; whether all are carried out and stored."""
    open_tasks = found.open_tasks()
    for text, decision in found.decisions.items():
        index = int(text)
        chunk = job.chunk_of(index)
        if decision is Decision.DONE and index not in chunk.done and not job.end_phase:
            log.info("task %s/%d counts as done: an operator has decided so", job.id, index)
            chunk.done.add(index)
            job.done += 1
            chunk.dirty = True
            term.cluster.mark_dirty(job)
    job.tasks_awaiting_operator = frozenset(open_tasks)
    job.recount()
    term.commit_queue.flush_within(0.0)
    decided = found.decisions.keys() >= found.evidence.keys()
    return decided and not job.dirty and not job.commit_in_flight
