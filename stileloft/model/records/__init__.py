"""The store's records: keys, stored forms, formats and sizes.

    leader               the leader; bound to a lease, and its version is the fencing token
    active/<job>         an accepted, unfinished job: specification, finished chunks, counts
    tasks/<job>/<chunk>  main record of a chunk (a range of task numbers): placements and finished tasks
    tasks/<job>/<chunk>+<n>      overflow record: placements that the chunk's main record has no room for
    final/<job>          how a job ended; never deleted
    settings             the operators' settings
    format               the format that may be written, once all controllers are known to read it
    images/<machine>     images that a machine probably has
    rented/<slot>        recently provisioned machines, which the cloud's list may not show yet

With the feature `rebuild` also:

    identity             the deployment that owns the store, and how often the store was rebuilt
    ended/<number>       outcomes of ended jobs that a rebuild found, many to a record; never deleted
    undecided/<job>      unresolved tasks: a rebuild could not tell whether they completed

Nothing is stored for a task that was never placed, so a job of 100,000 tasks is
one record until its tasks start.

Format 0 is the format of the version before gangs: a chunk's length follows from
`value_kb`, and a chunk has one record. In format 1 the job's record and the chunk's
record state the length (`n`), and there are overflow records. From format 2 on the
only chunk of a small job is part of the job's record (`k`), so that a placement and
a change of the counts are one change of the store; a cancellation moves the chunk to
`tasks/`, in the same transaction. All three formats remain readable.
"""

from stileloft.model.records.forms import (
    CHUNK_SIZE_FORMAT,
    INLINE_CHUNK,
    INLINE_FORMAT,
    NEWEST_FORMAT,
    FinalPhase,
    FormatRecord,
    ProvisionRecord,
    StoredOffer,
    StoredValue,
    VersionedValue,
    read_final,
    read_format,
    read_provision,
    to_stored,
)
from stileloft.model.records.keys import (
    ACTIVE,
    ENDED,
    FINAL,
    FORMAT,
    IDENTITY,
    IMAGES,
    LEADER,
    PROVISIONED,
    SETTINGS,
    TASKS,
    UNRESOLVED,
    ChunkKey,
    active_key,
    chunk_key,
    final_key,
    images_key,
    provisioned_key,
    split_chunk_key,
    split_task,
)
from stileloft.model.records.outcomes import JobOutcome, final_record
from stileloft.model.records.ranges import from_ranges, to_ranges
from stileloft.model.records.sizes import (
    JOB_PROGRESS_BYTES,
    chunk_size,
    json_bytes,
    max_compact_bytes,
    max_placements_per_record,
    recorded_chunk_size,
)

__all__ = [
    "ACTIVE",
    "CHUNK_SIZE_FORMAT",
    "ENDED",
    "FINAL",
    "FORMAT",
    "IDENTITY",
    "IMAGES",
    "INLINE_CHUNK",
    "INLINE_FORMAT",
    "JOB_PROGRESS_BYTES",
    "LEADER",
    "NEWEST_FORMAT",
    "PROVISIONED",
    "SETTINGS",
    "TASKS",
    "UNRESOLVED",
    "ChunkKey",
    "FinalPhase",
    "FormatRecord",
    "JobOutcome",
    "ProvisionRecord",
    "StoredOffer",
    "StoredValue",
    "VersionedValue",
    "active_key",
    "chunk_key",
    "chunk_size",
    "final_key",
    "final_record",
    "from_ranges",
    "images_key",
    "json_bytes",
    "max_compact_bytes",
    "max_placements_per_record",
    "provisioned_key",
    "read_final",
    "read_format",
    "read_provision",
    "recorded_chunk_size",
    "split_chunk_key",
    "split_task",
    "to_ranges",
    "to_stored",
]
