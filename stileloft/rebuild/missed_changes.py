"""What a controller knew of the lost store that the rebuild did not: it was away, or could not be reached."""

import logging
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

from stileloft.model import records
from stileloft.model.records import JobOutcome
from stileloft.protocol.state import ConflictError
from stileloft.rebuild.reconstruction import ATTEMPT_MARGIN
from stileloft.rebuild.replica import Replica

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller
    from stileloft.rebuild.protection import StoreProtection

log = logging.getLogger(__name__)

# Between two records that are told, so that they take little of the store's changes.
PAUSE_S = 0.2


async def tell_what_was_missed(node: "Controller", protection: "StoreProtection", loaded: Replica) -> None:
    """Writes ends and accepted jobs that the rebuilt store lacks; never over what was accepted since.

    Users were told of them, so a job that ended stays ended, and one that was accepted stays known.
    """
    before = protection.replica
    if not 0 < before.generation < loaded.generation:
        return
    active = {key[len(records.ACTIVE) :]: record for key, record in loaded.records.items() if _is_active(key)}
    for job, end in before.ends.without(loaded.ends).items():
        await _tell_end(node, protection, job, end, active[job].version if job in active else 0)
        loaded.ends.add(job, end)
        await node.sleep(PAUSE_S)
    for job, value in _accepted_jobs(before):
        if job not in active and loaded.ends.get(job) is None:
            await _tell_job(node, protection, job, value)
            await node.sleep(PAUSE_S)


def _is_active(key: str) -> bool:
    return key.startswith(records.ACTIVE)


def _accepted_jobs(replica: Replica) -> Iterator[tuple[str, dict[str, Any]]]:
    for key, value in replica.values(records.ACTIVE):
        yield key[len(records.ACTIVE) :], value


async def _tell_end(node: "Controller", protection: "StoreProtection", job: str, end: JobOutcome, version: int) -> None:
    """The job's end; if the store holds it as unfinished, that record goes in the same transaction."""
    active, final = records.active_key(job), records.final_key(job)
    guards = {active: version, final: 0, **protection.guards()}
    value = records.final_record(end.phase, end.tasks)
    try:
        await node.clients.state.commit(guards, {final: value}, [active] if version else [])
        log.info("job %s is %s, which the rebuild did not know", job, end.phase)
    except ConflictError as conflict:
        if active in conflict.failed:
            protection.suspect()
            raise  # it is being written: all is read again, and compared again


async def _tell_job(node: "Controller", protection: "StoreProtection", job: str, value: dict[str, Any]) -> None:
    """An accepted job, none of whose tasks are placed: where they were is not known any more."""
    active, final = records.active_key(job), records.final_key(job)
    inline = value.get(records.INLINE_CHUNK)
    if inline is not None:
        attempt = inline["a"] + ATTEMPT_MARGIN
        value = value | {records.INLINE_CHUNK: {"a": attempt, "d": inline["d"], "p": {}}}
    try:
        await node.clients.state.commit({active: 0, final: 0, **protection.guards()}, {active: value}, [])
        log.info("job %s was accepted, which the rebuild did not know", job)
    except ConflictError:
        return  # it was submitted again meanwhile
