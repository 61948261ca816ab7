"""The store's records: keys, stored forms, formats and sizes.

    leader               who leads; on a lease, and its version is the fencing token
    active/<job>         an accepted, unfinished job: description, finished chunks, counts
    tasks/<job>/<chunk>  main record of a chunk (a range of task numbers): placements and finished tasks
    tasks/<job>/<chunk>+<n>      overflow record: placements that the chunk's main record has no room for
    final/<job>          how a job ended; kept for good
    settings             the operators' own settings
    format               the format that may be written, once all controllers are known to read it
    images/<machine>     images that a machine is likely to have
    rented/<slot>        machines provisioned lately, which the cloud's list may not show yet

With the feature `rebuild` also:

    identity             whose store it is, and how often it was rebuilt
    ended/<number>       how jobs ended that a rebuild found, many to a record; kept for good
    undecided/<job>      tasks of which a rebuild could not tell whether they completed

Nothing is stored for a task that was never placed, so a job of 100,000 tasks is
one record until its tasks start.

Format 0 is what the version before gangs reads: a chunk's length follows from
`value_kb`, and a chunk has one record. Format 1 says the length in the job's
record and in the chunk's (`n`), and has overflow records. From format 2 on the only chunk
of a small job is part of the job's own record (`k`), so that a placement and a
change of the counts are one change of the store; a cancellation moves it to
`tasks/`, in the same transaction. All three are read for good.
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
