"""The leader's picture: jobs, their tasks' placements, machines."""

import functools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

from stileloft.bookkeeping import records
from stileloft.bookkeeping.starts import OpenStarts
from stileloft.protocol.messages import RUNNING, SAVING, JobSpec, MachineType, job_from_wire, job_to_wire

TaskKey = tuple[str, int]

PLANNED, BOUND, ENDED = "planned", "bound", "ended"


@dataclass(slots=True)
class Placement:
    """A task on a machine, from the plan until the store no longer holds it."""

    job: str
    index: int
    attempt: int
    machine: str
    zone: str
    spot: bool
    state: str = BOUND
    seen: str | None = None
    """The task's state in the machine's newest trusted report."""
    sent_session: int | None = None
    """The session in which we last sent its start; None if we never did."""
    running_since: float | None = None
    """When this leader first saw it run."""
    placed_here: bool = False
    """This leader placed it, and so saw its beginning; of others it is not known for how long they had run."""
    done: bool = False
    """With ENDED: the task completed, rather than having to run again."""
    stop_grace: float | None = None
    """Not None: it is to be stopped, with this much time to save."""
    stop_at: float = 0.0
    shielded: bool = False
    """It was placed before more pressing work because of its job's age: such work does not stop it."""

    @property
    def key(self) -> TaskKey:
        return self.job, self.index

    @property
    def task(self) -> str:
        return f"{self.job}/{self.index}"


@dataclass(slots=True)
class Chunk:
    """A run of task numbers, as its record in the store."""

    version: int = 0
    attempt: int = 0
    done: set[int] = field(default_factory=set)
    placements: dict[int, Placement] = field(default_factory=dict)
    dirty: bool = False
    stored: bool = False
    parts: dict[int, tuple[int, Any]] = field(default_factory=dict)
    """Version and value of its further records in the store."""

    inline: bool = False
    """The job's own record holds it."""

    def inline_record(self) -> dict[str, Any]:
        """What a job's own record says of its only chunk."""
        return {
            "a": self.attempt,
            "d": records.to_ranges(self.done | {i for i, p in self.placements.items() if p.state == ENDED and p.done}),
            "p": {
                str(i): [p.attempt, p.machine, p.zone, 1 if p.spot else 0]
                for i, p in self.placements.items()
                if p.state != ENDED
            },
        }

    def record(self, spec: JobSpec, size: int | None = None) -> dict[str, Any]:
        """The whole chunk as one value; with its length, from format 1 on."""
        return separate_chunk(spec, self.inline_record(), size)

    def _most_bytes(self, spec: JobSpec, size: int) -> int:
        """No less than its own record takes, found without encoding its placements."""
        empty = separate_chunk(spec, {"a": self.attempt, "d": [], "p": {}}, size)
        ranges = len(self.done) + len(self.placements)
        return records.size_of(empty) + placements_bytes(self.placements.values()) + records.RANGE_BYTES * ranges

    def records(self, spec: JobSpec, size: int, value_bytes: int) -> list[dict[str, Any]]:
        """The chunk as its own record and the further ones that it takes, each within the limit."""
        first = self.record(spec, size)
        if self._most_bytes(spec, size) <= value_bytes or records.size_of(first) <= value_bytes:
            return [first]
        placed, first["p"] = first["p"], {}
        found = [first]
        room = value_bytes - records.size_of(first)
        for index, placement in placed.items():
            need = records.size_of({index: placement})
            if need > room:
                found.append({"p": {}})
                room = value_bytes - records.size_of(found[-1])
            found[-1]["p"][index] = placement
            room -= need
        return found


def placements_bytes(placements: Iterable[Placement]) -> int:
    """No less than placements take in a record, found without encoding them."""
    return sum(
        records.PLACEMENT_BYTES + records.most_bytes_of_text(p.machine) + records.most_bytes_of_text(p.zone)
        for p in placements
    )


def separate_chunk(spec: JobSpec, inline: dict[str, Any], size: int | None) -> dict[str, Any]:
    """A chunk's own record, which also says what its tasks take: the job's record may be gone when it is read."""
    record = {"r": [spec.team, spec.cpus, spec.gpus or 0.0, spec.memory_gb], **inline}
    return record if size is None else record | {"n": size}


class Job:
    """An accepted job, or what is left of a cancelled one."""

    held: frozenset[int] = frozenset()
    """Tasks that may have completed, and are not started before an operator has decided."""

    def __init__(self, spec: JobSpec, submitted: float, size: int) -> None:
        self.spec = spec
        self.submitted = submitted
        """Time of day of acceptance, in seconds."""
        self.size = size
        """Tasks per chunk, which the keys of its chunks depend on: never changed."""
        self.size_stored = False
        """Its record says so. If not, it follows from the store's limit when the job was accepted."""
        self.most_placed: int | None = None
        """So many tasks of a chunk may be placed, while a chunk must have one record."""
        self.version = 0
        self.chunks: dict[int, Chunk] = {}
        self.inline_value: dict[str, Any] | None = None
        """What its record in the store said of its only chunk, when it was read."""
        self.done_chunks: set[int] = set()
        self.done = 0
        self.placed = 0
        self.over: str | None = None
        """`done` or `cancelled` once the store says so."""
        self.busy = False
        """A transaction about this job is under way, or its outcome is unknown."""
        self.reload = False
        self.late_copy = False
        """A transaction got no answer, and may still be executed, after newer ones."""
        self.dirty = False
        self.pressing = False
        """What is to be written of it cannot wait, as completions can that leave more to do."""
        self.write_turn = 0
        """Jobs are written in this order, when all of them press alike."""
        self.committed_at = float("-inf")
        """When the newest transaction about it began."""
        self.gathering_since: float | None = None
        self.begun = False
        """One of its tasks has run."""
        self.known_since = 0.0
        self.last_placed_at = float("-inf")
        """When it was accepted, and when a task of it was last placed, by this leader's clock."""
        self.counts_stored = (0, 0)
        self.counts_at = 0.0
        self.looked_at = 0.0
        """When it was last weighed whether something is to be written of it."""
        self.errors: set[str] = set()
        self.not_before = 0.0
        self.backoff_s = 0.0
        """The pause after its newest failure, while it fails on several machines."""
        self.stopped_for_others = 0
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
        return 0 if self.over else self.spec.tasks - self.done - self.placed

    def chunk_length(self, number: int) -> int:
        return min(self.size, self.spec.tasks - number * self.size)

    def chunk_count(self) -> int:
        return -(-self.spec.tasks // self.size)

    def chunk_of(self, index: int) -> Chunk:
        return self.chunks.setdefault(index // self.size, Chunk())

    def placement(self, index: int) -> Placement | None:
        chunk = self.chunks.get(index // self.size)
        return chunk.placements.get(index) if chunk else None

    def free_tasks(self, limit: int) -> list[int]:
        """The first tasks that are neither done nor placed; looked for again only after a change."""
        if self._free is None or self._free[0] < limit:
            self._free = limit, self._find_free(limit)
        return self._free[1][:limit]

    def _find_free(self, limit: int) -> list[int]:
        found: list[int] = []
        for number in range(self.chunk_count()):
            if number in self.done_chunks:
                continue
            chunk = self.chunks.get(number)
            first = number * self.size
            room = self.chunk_length(number)
            if self.most_placed is not None:
                room = min(room, self.most_placed - (len(chunk.placements) if chunk else 0))
            for index in range(first, first + self.chunk_length(number)):
                if room <= 0:
                    break
                if index in self.held:
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
        return records.size_of(self.record(True)) + records.COURSE_BYTES

    def inline_record_bytes(self) -> int:
        """No less than its record takes with its only chunk in it, found without encoding either."""
        placements = self.chunks[0].placements.values() if 0 in self.chunks else ()
        finished = len(self.chunks[0].done) if 0 in self.chunks else 0
        ranges = records.RANGE_BYTES * (finished + len(placements))
        return self._empty_record_bytes + placements_bytes(placements) + ranges

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

    def running(self) -> int:
        return sum(1 for p in self.placements() if p.state == BOUND and p.seen in (RUNNING, SAVING))

    def record(self, sized: bool) -> dict[str, Any]:
        """Its record; from format 1 on (`sized`) with the length of its chunks."""
        return active_record(self.spec, self.submitted, self.size if sized or self.size_stored else None) | {
            "f": records.to_ranges(self.done_chunks),
            "c": [self.done, self.running()],
            "e": self.stopped_for_others,
        }

    def load_active(self, value: dict[str, Any], version: int) -> None:
        self.version = version
        self.size_stored = "n" in value
        self.inline_value = value.get(records.INLINE_CHUNK)
        self.done_chunks = records.from_ranges(value["f"])
        self.stopped_for_others = max(self.stopped_for_others, value.get("e", 0))
        self.counts_stored = tuple(value["c"])
        self.begun = self.begun or any(self.counts_stored)

    def load_chunks(self, items: list[tuple[str, Any, int]]) -> None:
        """Takes the store's word for its chunks, given their keys, values and versions."""
        found: dict[int, dict[int, tuple[Any, int]]] = {}
        for key, value, version in items:
            _, number, part = records.split_chunk_key(key)
            found.setdefault(number, {})[part] = value, version
        before, self.chunks = self.chunks, {}
        for number, parts in found.items():
            if number not in self.done_chunks:
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
            parts={part: (part_version, further) for part, (further, part_version) in parts.items()},
        )
        placed = dict(value["p"])
        for further, _ in parts.values():
            placed |= further["p"]
        for text, (attempt, machine, zone, spot) in placed.items():
            index = int(text)
            known = before.placements.get(index) if before else None
            if known is not None and known.attempt == attempt and known.machine == machine:
                if known.state == PLANNED:
                    known.state = BOUND
                chunk.placements[index] = known
            else:
                chunk.placements[index] = Placement(self.id, index, attempt, machine, zone, bool(spot))
        return chunk

    def recount(self) -> None:
        self._free = None
        self.placed = sum(len(chunk.placements) for chunk in self.chunks.values())
        self.zones = {}
        for placement in self.placements():
            self.zones[placement.zone] = self.zones.get(placement.zone, 0) + 1
        self.done = sum(self.chunk_length(number) for number in self.done_chunks)
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


def orphan_spec(job: str, resources: list[Any]) -> JobSpec:
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


@dataclass(slots=True)
class Stray:
    """A task on a machine that the store does not place there."""

    attempt: int
    cpus: float
    gpus: float
    memory_gb: float
    team: str


@dataclass(frozen=True, slots=True)
class Forget:
    """An exited task that its machine is to forget."""

    attempt: int
    due_at: float
    """From when on, by this leader's clock."""
    done: bool


@dataclass(slots=True)
class Machine:
    """A machine as the leader knows it."""

    id: str
    type: str = ""
    zone: str = ""
    spot: bool = False
    address: str = ""
    session: int = 0
    seq: int = 0
    trusted: bool = False
    """Its newest report carries our own token."""
    reported: bool = False
    heard_at: float = 0.0
    claimed: bool = False
    """A report with our own token has come: no former leader renews its lease any more."""
    renewed_at: float = float("-inf")
    """When its worker's lease last began anew, or may have: an answer of ours, a claim, a new session."""
    came_at: float = float("-inf")
    """When a report of its own last came here. An answer to a command is none: its lease is not renewed by that."""
    reached_at: float = float("-inf")
    """When it was last known to hear us."""
    first_seen: float = 0.0
    up_since: float | None = None
    rented_at: float = 0.0
    late: bool = False
    """It was not up when it should have been, and does not count as coming any more."""
    notice_until: float | None = None
    listed_state: str = ""
    releasing: bool = False
    draining: str | None = None
    """Why nothing more is started here."""
    placements: dict[TaskKey, Placement] = field(default_factory=dict)
    strays: dict[str, Stray] = field(default_factory=dict)
    forgets: dict[str, Forget] = field(default_factory=dict)
    """Exited tasks to be forgotten."""
    images: dict[str, None] = field(default_factory=dict)
    """Images it has, as far as seen; the one used last comes last."""
    images_stored: bool = True
    sending: bool = False
    send_failures: int = 0
    retry_at: float = 0.0
    token: int = 0
    """What our commands and answers to it carry; never lowered."""
    token_raised_at: float = float("-inf")
    known_token: int = 0
    """The highest that its worker has seen, by its newest report: it executes nothing under a lower one."""
    open_starts: OpenStarts = field(default_factory=OpenStarts)
    barred_starts: dict[str, int] = field(default_factory=dict)
    """Tasks, with their attempts, whose start was barred in this session before it was executed."""
    errors: set[str] = field(default_factory=set)
    error_count: int = 0
    idle_since: float | None = None
    slow_jobs: set[str] = field(default_factory=set)
    view: Any = None
    """Its copy for the decisions, until something changes."""
    view_at: float = 0.0


def fits_type(spec: JobSpec, kind: MachineType) -> bool:
    return (
        (spec.types is None or kind.name in spec.types)
        and spec.cpus <= kind.cpus
        and (spec.gpus or 0.0) <= kind.gpus
        and spec.memory_gb <= kind.memory_gb
        and (spec.zone is None or spec.zone in kind.zones)
    )
