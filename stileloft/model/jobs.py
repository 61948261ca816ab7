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
    """How a job ended, as far as the leader knows."""

    DONE = "done"
    CANCELLED = "cancelled"
    UNSETTLED = "unsettled"
    """Its record is gone, and the store was not asked yet which of the two it is."""


class Job:
    """An accepted job, or what is left of a cancelled one. Times are of the leader's clock, if nothing else is said."""

    def __init__(self, spec: JobSpec, submitted: Number, chunk_size: int) -> None:
        self.spec = spec
        self.submitted = submitted
        """Time of day of acceptance, in seconds."""
        self.accepted_at = 0.0
        """The same by the leader's clock."""
        self.end_phase: EndPhase | None = None
        """None while it goes on."""

        # What the store holds, and what has to be written.
        self.version = 0
        """The version of its record."""
        self.chunk_size = chunk_size
        """Tasks per chunk, which the keys of its chunks depend on: never changed."""
        self.stores_chunk_size = False
        """Its record says how many tasks a chunk has. If not, it follows from the store's limit at its acceptance."""
        self.max_placed_per_chunk: int | None = None
        """So many tasks of a chunk may be placed, while a chunk must have one record."""
        self.inline_chunk: InlineChunk | None = None
        """Its only chunk, if its record held it when that was read."""
        self.max_record_bytes: int | None = None
        """No less than its record takes without a chunk; None until it is asked for."""
        self.write = JobWriteState()
        self.reload_pending = False
        """It is being read from the store; until then nothing of it is started or written."""

        # Its tasks.
        self.chunks: dict[int, Chunk] = {}
        """Chunks in which a task was placed, without finished ones."""
        self.finished_chunks: set[int] = set()
        self.done = 0
        self.placed = 0
        """Tasks on machines, ended ones included until the store no longer holds them."""
        self.zones: dict[str, int] = {}
        """Placements in each zone."""
        self.tasks_awaiting_operator: frozenset[int] = frozenset()
        """Tasks that may have completed, and are not started before an operator has decided."""
        self._free_tasks: list[int] = []
        self._free_tasks_limit = 0
        """How many free tasks were looked for; 0 after a change."""

        # How it goes.
        self.started = False
        """One of its tasks has run."""
        self.last_placed_at = float("-inf")
        """When a task of it was last placed."""
        self.failed_machines: set[str] = set()
        self.backoff_until = 0.0
        self.backoff_s = 0.0
        """The pause after its newest failure, while it fails on several machines."""
        self.preemption_count = 0
        """How many of its tasks were stopped to make room: beyond one per task its budget is spent."""
        self.durations: list[tuple[str, float]] = []
        """Machines and run times of some of its completed tasks."""

    @property
    def id(self) -> str:
        """The identifier that its user gave it."""
        return self.spec.id

    @property
    def waiting(self) -> int:
        """Tasks that are neither done nor placed."""
        return 0 if self.end_phase else self.spec.tasks - self.done - self.placed

    @property
    def has_inline_chunk(self) -> bool:
        """Whether its own record in the store holds its only chunk."""
        return any(chunk.storage is ChunkStorage.INLINE for chunk in self.chunks.values())

    def chunk_length(self, number: int) -> int:
        """Tasks in a chunk; the last one may have fewer than the others."""
        return min(self.chunk_size, self.spec.tasks - number * self.chunk_size)

    def chunk_count(self) -> int:
        """Chunks that its task numbers make, in the store or not."""
        return -(-self.spec.tasks // self.chunk_size)

    def chunk_of(self, index: int) -> Chunk:
        """The chunk of a task; a new one if nothing of it was placed yet."""
        return self.chunks.setdefault(index // self.chunk_size, Chunk())

    def placement(self, index: int) -> Placement | None:
        """Where a task is placed, if it is."""
        chunk = self.chunks.get(index // self.chunk_size)
        return chunk.placements.get(index) if chunk else None

    def placements(self) -> Iterator[Placement]:
        """All its placements."""
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def running(self) -> int:
        """Tasks that run, as far as their machines have said."""
        return sum(
            1
            for p in self.placements()
            if p.state == PlacementState.BOUND and p.reported_state in (TaskState.RUNNING, TaskState.SAVING)
        )

    def free_tasks(self, limit: int) -> list[int]:
        """The first tasks that may be placed; looked for again only after a change."""
        if self._free_tasks_limit < limit:
            self._free_tasks = list(itertools.islice(self._find_free_tasks(), limit))
            self._free_tasks_limit = limit
        return self._free_tasks[:limit]

    def _find_free_tasks(self) -> Iterator[int]:
        for number in range(self.chunk_count()):
            if number not in self.finished_chunks:
                yield from self._free_tasks_of_chunk(number)

    def _free_tasks_of_chunk(self, number: int) -> Iterator[int]:
        """Tasks of a chunk that are neither done nor placed, and for whose placements its record has room."""
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
        """Places a task."""
        self.chunk_of(placement.index).placements[placement.index] = placement
        self.placed += 1
        self._free_tasks_limit = 0
        self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1

    def remove_placement(self, placement: Placement) -> None:
        """Removes a placement that the store does not hold any more."""
        del self.chunk_of(placement.index).placements[placement.index]
        self.placed -= 1
        self._free_tasks_limit = 0
        self.zones[placement.zone] -= 1

    def coalesce_completions(self, now: float, flush_now: bool) -> None:
        """A task is done. Many such share a write, unless it is the last one or something else does not wait."""
        completed = sum(1 for p in self.placements() if p.state == PlacementState.ENDED and p.done)
        self.write.flush_now = flush_now or self.done + completed >= self.spec.tasks
        if self.write.coalescing_since is None:
            self.write.coalescing_since = now

    def refresh_counts(self) -> None:
        """Counts its tasks anew, after its chunks or the tasks that await an operator have changed."""
        self._free_tasks_limit = 0
        self.placed = sum(len(chunk.placements) for chunk in self.chunks.values())
        self.zones = {}
        for placement in self.placements():
            self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1
        self.done = sum(self.chunk_length(number) for number in self.finished_chunks)
        self.done += sum(len(chunk.done) for chunk in self.chunks.values())
