"""What is written of a job's chunks in a transaction."""

from stileloft.model.chunk_records import chunk_values, whole_chunk_value
from stileloft.model.chunks import NO_RECORD, Chunk, ChunkStorage
from stileloft.model.jobs import Job
from stileloft.model.placements import PlacementState
from stileloft.model.records.keys import chunk_key
from stileloft.store.job_record_policy import JobRecordPolicy
from stileloft.store.job_transaction import JobTransaction
from stileloft.store.leader_store import LeaderStore


class ChunkWriter:
    """Adds chunks to jobs' parts of a transaction."""

    def __init__(self, store: LeaderStore, policy: JobRecordPolicy) -> None:
        self._store = store
        self._policy = policy

    def add(self, part: JobTransaction, number: int) -> int:
        """Adds a chunk; returns how many of its tasks are done that were not before."""
        job = part.job
        chunk = job.chunks[number]
        ended, live = chunk.ended_placements(), chunk.live_placements()
        completed = {p.index for p in ended if p.done}
        if not part.is_inline:
            part.guards[chunk_key(job.id, number)] = chunk.version
        part.cleared_placements += ended
        if job.end_phase and not live:
            part.deletes += stored_keys(job, number)
            part.removed_chunks.append(number)
            return 0
        # What is left of a cancelled job is recorded until it is gone.
        complete = not live and len(chunk.done | completed) == job.chunk_length(number)
        if (
            not job.end_phase
            and complete
            and self._policy.has_room_for_finished(job, {*part.newly_finished_chunks, number})
        ):
            part.deletes += stored_keys(job, number)
            part.newly_finished_chunks.append(number)
        else:
            part.written_chunks.append(number)
            part.new_placements += [p for p in live if p.state == PlacementState.PLANNED]
            if not part.is_inline:
                self._put(part, number, chunk)
        return len(completed - chunk.done)

    def _put(self, part: JobTransaction, number: int, chunk: Chunk) -> None:
        """Writes a chunk as records of its own."""
        job = part.job
        key = chunk_key(job.id, number)
        # A leader that has just begun may not have read the format yet. The size must be told all the same if the
        # job's record has it: what is left of a cancelled job is read by the size that its chunks tell.
        if not self._store.format.has_chunk_sizes and not job.stores_chunk_size:
            part.puts[key] = whole_chunk_value(chunk, job.spec, None)
            return
        values = chunk_values(chunk, job.spec, job.chunk_size, self._store.limits.max_value_bytes)
        part.puts[key] = values[0]
        part.overflow[number] = values[1:]
        for overflow, value in enumerate(values[1:], 1):
            stored = chunk.overflow.get(overflow, NO_RECORD)
            overflow_key = chunk_key(job.id, number, overflow)
            part.guards[overflow_key] = stored.version
            if value != stored.value:
                part.puts[overflow_key] = value
        part.deletes += [chunk_key(job.id, number, overflow) for overflow in chunk.overflow if overflow >= len(values)]


def stored_keys(job: Job, number: int) -> list[str]:
    """The keys of the records that the store holds of a chunk."""
    chunk = job.chunks[number]
    if chunk.storage is not ChunkStorage.OWN_RECORDS:
        return []
    return [chunk_key(job.id, number, overflow) for overflow in (0, *chunk.overflow)]
