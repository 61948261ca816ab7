"""Accepted jobs, with their tasks' placements, and their records in the store."""

import functools
from collections.abc import Iterator
from enum import StrEnum
from typing import Any

from stileloft.model import records
from stileloft.model.chunks import Chunk, max_placements_bytes
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import RUNNING, SAVING, JobSpec, job_from_wire, job_to_wire


class EndPhase(StrEnum):
    """How a job ended, as far as the leader knows."""

    DONE = "done"
    CANCELLED = "cancelled"
    UNSETTLED = "unsettled"
    """Its record is gone, and the store was not asked yet which of the two it is."""


class Job:
    """An accepted job, or what is left of a cancelled one."""

    tasks_awaiting_operator: frozenset[int] = frozenset()
    """Tasks that may have completed, and are not started before an operator has decided."""

    def __init__(self, spec: JobSpec, submitted: float, size: int) -> None:
        self.spec = spec
        self.submitted = submitted
        """Time of day of acceptance, in seconds."""
        self.chunk_size = size
        """Tasks per chunk, which the keys of its chunks depend on: never changed."""
        self.stores_chunk_size = False
        """Its record says so. If not, it follows from the store's limit when the job was accepted."""
        self.max_placed_per_chunk: int | None = None
        """So many tasks of a chunk may be placed, while a chunk must have one record."""
        self.version = 0
        self.chunks: dict[int, Chunk] = {}
        self.inline_value: dict[str, Any] | None = None
        """What its record in the store said of its only chunk, when it was read."""
        self.finished_chunks: set[int] = set()
        self.done = 0
        self.placed = 0
        self.end_phase: EndPhase | None = None
        """`done` or `cancelled` once the store says so."""
        self.commit_in_flight = False
        """A transaction about this job is under way, or its outcome is unknown."""
        self.reload_pending = False
        self.has_unresolved_commit = False
        """A transaction got no answer, and may still be executed, after newer ones."""
        self.dirty = False
        self.urgent = False
        """What is to be written of it cannot wait, as completions can that leave more to do."""
        self.write_order = 0
        """Jobs are written in this order, when all of them press alike."""
        self.commit_began_at = float("-inf")
        """When the newest transaction about it began."""
        self.coalescing_since: float | None = None
        self.started = False
        """One of its tasks has run."""
        self.accepted_at = 0.0
        self.last_placed_at = float("-inf")
        """When it was accepted, and when a task of it was last placed, by this leader's clock."""
        self.stored_counts = (0, 0)
        self.counts_stored_at = 0.0
        self.write_checked_at = 0.0
        """When it was last weighed whether something is to be written of it."""
        self.failed_machines: set[str] = set()
        self.backoff_until = 0.0
        self.backoff_s = 0.0
        """The pause after its newest failure, while it fails on several machines."""
        self.preemption_count = 0
        """How many of its tasks were stopped to make room: beyond one per task its budget is spent."""
        self.durations: list[tuple[str, float]] = []
        """Machines and run times of some of its completed tasks."""
        self.zones: dict[str, int] = {}
        self._free: tuple[int, list[int]] | None = None

    @property
    def id(self) -> str:
        return self.spec.id

    @property
    def waiting(self) -> int:
        """Tasks that are neither done nor placed."""
        return 0 if self.end_phase else self.spec.tasks - self.done - self.placed

    def chunk_length(self, number: int) -> int:
        return min(self.chunk_size, self.spec.tasks - number * self.chunk_size)

    def chunk_count(self) -> int:
        return -(-self.spec.tasks // self.chunk_size)

    def chunk_of(self, index: int) -> Chunk:
        return self.chunks.setdefault(index // self.chunk_size, Chunk())

    def placement(self, index: int) -> Placement | None:
        chunk = self.chunks.get(index // self.chunk_size)
        return chunk.placements.get(index) if chunk else None

    def free_tasks(self, limit: int) -> list[int]:
        """The first tasks that are neither done nor placed; looked for again only after a change."""
        if self._free is None or self._free[0] < limit:
            self._free = limit, self._find_free(limit)
        return self._free[1][:limit]

    def _find_free(self, limit: int) -> list[int]:
        found: list[int] = []
        for number in range(self.chunk_count()):
            if number in self.finished_chunks:
                continue
            chunk = self.chunks.get(number)
            first = number * self.chunk_size
            room = self.chunk_length(number)
            if self.max_placed_per_chunk is not None:
                room = min(room, self.max_placed_per_chunk - (len(chunk.placements) if chunk else 0))
            for index in range(first, first + self.chunk_length(number)):
                if room <= 0:
                    break
                if index in self.tasks_awaiting_operator:
                    continue
                if chunk is None or (index not in chunk.done and index not in chunk.placements):
                    found.append(index)
                    room -= 1
                    if len(found) >= limit:
                        return found
        return found

    @property
    def has_inline_chunk(self) -> bool:
        """Whether its own record in the store holds its only chunk."""
        return any(chunk.inline for chunk in self.chunks.values())

    @functools.cached_property
    def _empty_record_bytes(self) -> int:
        """No less than its record takes without a chunk."""
        return records.json_bytes(self.record(True)) + records.COURSE_BYTES

    def max_inline_record_bytes(self) -> int:
        """No less than its record takes with its only chunk in it, found without encoding either."""
        placements = self.chunks[0].placements.values() if 0 in self.chunks else ()
        finished = len(self.chunks[0].done) if 0 in self.chunks else 0
        ranges = records.RANGE_BYTES * (finished + len(placements))
        return self._empty_record_bytes + max_placements_bytes(placements) + ranges

    def add(self, placement: Placement) -> None:
        self.chunk_of(placement.index).placements[placement.index] = placement
        self.placed += 1
        self._free = None
        self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1

    def remove(self, placement: Placement) -> None:
        del self.chunk_of(placement.index).placements[placement.index]
        self.placed -= 1
        self._free = None
        self.zones[placement.zone] -= 1

    def placements(self) -> Iterator[Placement]:
        for chunk in self.chunks.values():
            yield from chunk.placements.values()

    def coalesce_completions(self, now: float, urgent: bool) -> None:
        """A task is done. Many such share a write, unless it is the last one or something else is urgent."""
        ended = [p for p in self.placements() if p.state == PlacementState.ENDED]
        left = self.spec.tasks - self.done - sum(1 for p in ended if p.done)
        self.urgent = urgent or left <= 0
        if self.coalescing_since is None:
            self.coalescing_since = now

    def running(self) -> int:
        return sum(
            1 for p in self.placements() if p.state == PlacementState.BOUND and p.reported_state in (RUNNING, SAVING)
        )

    def record(self, sized: bool) -> dict[str, Any]:
        """Its record; from format 1 on (`sized`) with the length of its chunks."""
        return active_record(
            self.spec, self.submitted, self.chunk_size if sized or self.stores_chunk_size else None
        ) | {
            "f": records.to_ranges(self.finished_chunks),
            "c": [self.done, self.running()],
            "e": self.preemption_count,
        }

    def load_active(self, value: dict[str, Any], version: int) -> None:
        self.version = version
        self.stores_chunk_size = "n" in value
        self.inline_value = value.get(records.INLINE_CHUNK)
        self.finished_chunks = records.from_ranges(value["f"])
        self.preemption_count = max(self.preemption_count, value.get("e", 0))
        self.stored_counts = tuple(value["c"])
        self.started = self.started or any(self.stored_counts)

    def load_chunks(self, items: list[tuple[str, Any, int]]) -> None:
        """Takes the store's word for its chunks, given their keys, values and versions."""
        found: dict[int, dict[int, tuple[Any, int]]] = {}
        for key, value, version in items:
            _, number, part = records.split_chunk_key(key)
            found.setdefault(number, {})[part] = value, version
        before, self.chunks = self.chunks, {}
        for number, parts in found.items():
            if number not in self.finished_chunks:
                self.chunks[number] = self._load_chunk(before.get(number), parts)
        if self.inline_value is not None and 0 not in self.chunks:
            chunk = self._load_chunk(before.get(0), {0: (self.inline_value, 0)})
            chunk.inline, chunk.stored = True, False
            self.chunks[0] = chunk

    def _load_chunk(self, before: Chunk | None, parts: dict[int, tuple[Any, int]]) -> Chunk:
        """A chunk of its records, keeping what is known of unchanged placements."""
        value, version = parts.pop(0, ({"a": 0, "d": [], "p": {}}, 0))
        chunk = Chunk(
            version=version,
            attempt=value["a"],
            done=records.from_ranges(value["d"]),
            stored=True,
            overflow={part: (part_version, further) for part, (further, part_version) in parts.items()},
        )
        placed = dict(value["p"])
        for further, _ in parts.values():
            placed |= further["p"]
        for text, (attempt, machine, zone, spot) in placed.items():
            index = int(text)
            known = before.placements.get(index) if before else None
            if known is not None and known.attempt == attempt and known.machine == machine:
                if known.state == PlacementState.PLANNED:
                    known.state = PlacementState.BOUND
                chunk.placements[index] = known
            else:
                chunk.placements[index] = Placement(self.id, index, attempt, machine, zone, bool(spot))
        return chunk

    def refresh_counts(self) -> None:
        self._free = None
        self.placed = sum(len(chunk.placements) for chunk in self.chunks.values())
        self.zones = {}
        for placement in self.placements():
            self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1
        self.done = sum(self.chunk_length(number) for number in self.finished_chunks)
        self.done += sum(len(chunk.done) for chunk in self.chunks.values())


def active_record(spec: JobSpec, submitted: float, size: int | None) -> dict[str, Any]:
    """The record of a job that has just been accepted."""
    record = {"s": job_to_wire(spec), "t": submitted, "f": [], "c": [0, 0]}
    return record if size is None else record | {"n": size}


def job_from_record(value: dict[str, Any], version: int, size: int) -> Job:
    """A job of its record; `size` is the length of its chunks if the record says nothing."""
    job = Job(job_from_wire(value["s"]), value["t"], value.get("n", size))
    job.load_active(value, version)
    job.load_chunks([])
    return job


def placeholder_spec(job: str, resources: list[Any]) -> JobSpec:
    """Enough of a cancelled job's description to count what is left of it."""
    team, cpus, gpus, memory_gb = resources
    return JobSpec(
        id=job,
        job_class="-",
        team=team,
        kind="array",
        priority="idle",
        tasks=100_000,
        cpus=cpus,
        gpus=gpus,
        memory_gb=memory_gb,
        image="-",
        image_gb=0.0,
        estimate_s=0.0,
    )
