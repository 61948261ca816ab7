"""Accepted jobs, with their tasks' placements."""

import itertools
from collections.abc import Iterator
from enum import StrEnum

from stileloft.model.chunks import Chunk, ChunkStorage
from stileloft.model.job_write_state import JobWriteState
from stileloft.model.placements import Placement, PlacementState
from stileloft.model.records.forms import InlineChunk, Number
from stileloft.protocol.messages import JobSpec, TaskState


class EndPhase(StrEnum):
    """How a job ended, by the leader's knowledge."""

    DONE = "done"
    CANCELLED = "cancelled"
    UNSETTLED = "unsettled"
    """The job's record is gone, and the store has not been asked yet whether the job is done or cancelled."""


class Job:
    """An accepted job, or what is left of a cancelled one. Times are by the leader's clock unless stated otherwise."""

    def __init__(self, spec: JobSpec, submitted: Number, chunk_size: int) -> None:
        self.spec = spec
        self.submitted = submitted
        """Time of day of acceptance, in seconds."""
        self.accepted_at = 0.0
        """Time of acceptance by the leader's clock."""
        self.end_phase: EndPhase | None = None
        """None while the job has not ended."""

        # What the store holds, and what has to be written.
        self.version = 0
        """Version of the job's record."""
        self.chunk_size = chunk_size
        """Tasks per chunk; never changes, because the keys of the chunks depend on it."""
        self.stores_chunk_size = False
        """Whether the record states the chunk size; if not, the size is `RecordFormat.legacy_chunk_size`."""
        self.max_placed_per_chunk: int | None = None
        """Most placed tasks per chunk, while a chunk must fit into one record; None if there is no limit."""
        self.inline_chunk: InlineChunk | None = None
        """The job's only chunk, if the record held it when the record was last read."""
        self.max_record_bytes: int | None = None
        """Upper bound of the bytes of the record without a chunk; None until it is computed."""
        self.write = JobWriteState()
        self.reload_pending = False
        """Whether a reload of the job is pending; until its end no task of the job is started and no record written."""

        # Its tasks.
        self.chunks: dict[int, Chunk] = {}
        """Unfinished chunks in which a task has been placed, by number."""
        self.finished_chunks: set[int] = set()
        self.done = 0
        self.placed = 0
        """Placed tasks, including ended ones until the store no longer holds their placements."""
        self.zones: dict[str, int] = {}
        """Number of placements in each zone."""
        self.tasks_awaiting_operator: frozenset[int] = frozenset()
        """Tasks that may have completed, and are not started until an operator has decided about them."""
        self._free_tasks: list[int] = []
        self._free_tasks_limit = 0
        """Number of free tasks that were searched for; 0 after a change."""

        # Progress, failures and preemptions.
        self.started = False
        """Whether one of the job's tasks has run."""
        self.last_placed_at = float("-inf")
        """When a task of the job was last placed."""
        self.failed_machines: set[str] = set()
        """Machines on which tasks have failed; cleared by a completed task, and by time (`expire_failures`)."""
        self.failures_expire_at = 0.0
        self.backoff_until = 0.0
        self.backoff_s = 0.0
        """Back-off after the newest failure, while the job fails on several machines, in seconds."""
        self.preemption_count = 0
        """Preemptions of the job's tasks; the budget is one per task."""
        self.durations: list[tuple[str, float]] = []
        """Machine and run time in seconds of some of the completed tasks."""

    @property
    def id(self) -> str:
        """The job's id, chosen by its user."""
        return self.spec.id

    @property
    def waiting(self) -> int:
        """Number of tasks that are neither done nor placed; 0 once the job has ended."""
        return 0 if self.end_phase else self.spec.tasks - self.done - self.placed

    @property
    def has_inline_chunk(self) -> bool:
        """Whether the job's record in the store holds its only chunk."""
        return any(chunk.storage is ChunkStorage.INLINE for chunk in self.chunks.values())

    def chunk_length(self, number: int) -> int:
        """Returns the number of tasks in a chunk; the last chunk may have fewer than the others."""
        return min(self.chunk_size, self.spec.tasks - number * self.chunk_size)

    def chunk_count(self) -> int:
        """Returns the number of chunks of the job, stored or not."""
        return -(-self.spec.tasks // self.chunk_size)

    def chunk_of(self, index: int) -> Chunk:
        """Returns the chunk of a task; adds it if none of its tasks has been placed yet."""
        return self.chunks.setdefault(index // self.chunk_size, Chunk())

    def placement(self, index: int) -> Placement | None:
        """Returns the placement of a task; None if the task is not placed."""
        chunk = self.chunks.get(index // self.chunk_size)
        return chunk.placements.get(index) if chunk else None

    def placements(self) -> Iterator[Placement]:
        """Yields all placements of the job."""
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def running(self) -> int:
        """Returns the number of tasks that run according to their machines' heartbeats."""
        return sum(
            1
            for p in self.placements()
            if p.state == PlacementState.BOUND and p.reported_state in (TaskState.RUNNING, TaskState.SAVING)
        )

    def free_tasks(self, limit: int) -> list[int]:
        """Returns the first `limit` tasks that may be placed; searches again only after a change."""
        if self._free_tasks_limit < limit:
            self._free_tasks = list(itertools.islice(self._find_free_tasks(), limit))
            self._free_tasks_limit = limit
        return self._free_tasks[:limit]

    def _find_free_tasks(self) -> Iterator[int]:
        for number in range(self.chunk_count()):
            if number not in self.finished_chunks:
                yield from self._free_tasks_of_chunk(number)

    def _free_tasks_of_chunk(self, number: int) -> Iterator[int]:
        """Returns the tasks of a chunk that may be placed, and for whose placements the chunk's record has room."""
        chunk = self.chunks.get(number) or Chunk()
        first = number * self.chunk_size
        free = (
            index
            for index in range(first, first + self.chunk_length(number))
            if index not in chunk.done and index not in chunk.placements and index not in self.tasks_awaiting_operator
        )
        if self.max_placed_per_chunk is None:
            return free
        return itertools.islice(free, max(0, self.max_placed_per_chunk - len(chunk.placements)))

    def add_placement(self, placement: Placement) -> None:
        """Adds the placement of a task."""
        self.chunk_of(placement.index).placements[placement.index] = placement
        self.placed += 1
        self._free_tasks_limit = 0
        self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1

    def remove_placement(self, placement: Placement) -> None:
        """Removes a placement that the store no longer holds."""
        del self.chunk_of(placement.index).placements[placement.index]
        self.placed -= 1
        self._free_tasks_limit = 0
        self.zones[placement.zone] -= 1

    def clear_failures(self) -> None:
        """Forgets the failures and the back-off: earlier failures are no evidence any more."""
        self.failed_machines.clear()
        self.backoff_s = 0.0

    def expire_failures(self, now: float) -> None:
        """Forgets the failures if none has followed for long: a service's tasks never complete."""
        if self.failed_machines and now >= self.failures_expire_at:
            self.clear_failures()

    def coalesce_completions(self, now: float, flush_now: bool) -> None:
        """Lets the completion of a task share a write with others, unless it is the last or `flush_now` is set."""
        completed = sum(1 for p in self.placements() if p.state == PlacementState.ENDED and p.done)
        self.write.flush_now = flush_now or self.done + completed >= self.spec.tasks
        if self.write.coalescing_since is None:
            self.write.coalescing_since = now

    def refresh_counts(self) -> None:
        """Recomputes the job's counts, after its chunks or the tasks that await an operator have changed."""
        self._free_tasks_limit = 0
        self.placed = sum(len(chunk.placements) for chunk in self.chunks.values())
        self.zones = {}
        for placement in self.placements():
            self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1
        self.done = sum(self.chunk_length(number) for number in self.finished_chunks)
        self.done += sum(len(chunk.done) for chunk in self.chunks.values())
