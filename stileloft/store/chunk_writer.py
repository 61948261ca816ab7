"""The records of a job's chunks that a transaction writes or deletes."""

from stileloft.model.chunk_records import chunk_values, whole_chunk_value
from stileloft.model.chunks import NO_RECORD, Chunk, ChunkStorage
from stileloft.model.jobs import Job
from stileloft.model.placements import PlacementState
from stileloft.model.records.keys import chunk_key
from stileloft.store.job_record_policy import JobRecordPolicy
from stileloft.store.job_write_set import JobWriteSet
from stileloft.store.leader_store import LeaderStore


class ChunkWriter:
    """Adds chunks to the write sets of their jobs."""

    def __init__(self, store: LeaderStore, policy: JobRecordPolicy) -> None:
        self._store = store
        self._policy = policy

    def add(self, write_set: JobWriteSet, number: int) -> int:
        """Adds a chunk; returns how many of its tasks have completed since it was last stored."""
        job = write_set.job
        chunk = job.chunks[number]
        ended, live = chunk.ended_placements(), chunk.live_placements()
        completed = {p.index for p in ended if p.done}
        if not write_set.is_inline:
            write_set.guards[chunk_key(job.id, number)] = chunk.version
        write_set.cleared_placements += ended
        if job.end_phase and not live:
            write_set.deletes += stored_keys(job, number)
            write_set.removed_chunks.append(number)
            return 0
        # A chunk of an ended job stays stored until the last of its tasks is off its machine.
        complete = not live and len(chunk.done | completed) == job.chunk_length(number)
        if (
            not job.end_phase
            and complete
            and self._policy.has_room_for_finished(job, {*write_set.newly_finished_chunks, number})
        ):
            write_set.deletes += stored_keys(job, number)
            write_set.newly_finished_chunks.append(number)
        else:
            write_set.written_chunks.append(number)
            write_set.new_placements += [p for p in live if p.state == PlacementState.PLANNED]
            if not write_set.is_inline:
                self._put(write_set, number, chunk)
        return len(completed - chunk.done)

    def _put(self, write_set: JobWriteSet, number: int, chunk: Chunk) -> None:
        """Adds the chunk's own records: the main record and, if it is too large, overflow records."""
        job = write_set.job
        key = chunk_key(job.id, number)
        # `has_chunk_sizes` is False until a new leader has read the format. If the job's record states the chunk size,
        # its chunks must state it even then: the remaining chunks of a cancelled job are read by the size stated in
        # them.
        if not self._store.format.has_chunk_sizes and not job.stores_chunk_size:
            write_set.puts[key] = whole_chunk_value(chunk, job.spec, None)
            return
        values = chunk_values(chunk, job.spec, job.chunk_size, self._store.limits.max_value_bytes)
        write_set.puts[key] = values[0]
        write_set.overflow[number] = values[1:]
        for overflow, value in enumerate(values[1:], 1):
            stored = chunk.overflow.get(overflow, NO_RECORD)
            overflow_key = chunk_key(job.id, number, overflow)
            write_set.guards[overflow_key] = stored.version
            if value != stored.value:
                write_set.puts[overflow_key] = value
        write_set.deletes += [
            chunk_key(job.id, number, overflow) for overflow in chunk.overflow if overflow >= len(values)
        ]


def stored_keys(job: Job, number: int) -> list[str]:
    """Returns the keys of a chunk's own records in the store; none if it is inline or not stored."""
    chunk = job.chunks[number]
    if chunk.storage is not ChunkStorage.OWN_RECORDS:
        return []
    return [chunk_key(job.id, number, overflow) for overflow in (0, *chunk.overflow)]
