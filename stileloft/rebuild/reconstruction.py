"""What is to be written into a store that has lost its records: a function of what is known, without I/O."""

import functools
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from stileloft.model import records
from stileloft.model.chunk_records import detached_chunk_record
from stileloft.model.records import JobOutcome
from stileloft.protocol.messages import EXITED, Heartbeat, JobSpec, TaskStatus, job_from_wire
from stileloft.rebuild import unresolved_tasks as undecided
from stileloft.rebuild.job_outcomes import Ends
from stileloft.rebuild.replica_merge import Image
from stileloft.rebuild.unresolved_tasks import Undecided

# Attempts are counted on from so much above the highest known one: some may have been made that no one tells of.
ATTEMPT_MARGIN = 1000


@dataclass(frozen=True, slots=True)
class Evidence:
    """Everything that a rebuild knows."""

    image: Image
    present: Mapping[str, Any]
    """Records that are in the store now: of an older state, of a rebuild that was broken off, or accepted since."""
    reports: Mapping[str, Heartbeat]
    """The newest report of each machine that was heard since the loss."""
    run_once_classes: frozenset[str]
    first_chunk_size: int
    """Tasks per chunk of jobs whose records don't say."""


@dataclass(slots=True)
class Reconstruction:
    """The changes of the store, and what is told of them to operators."""

    puts: dict[str, Any] = field(default_factory=dict)
    deletes: list[str] = field(default_factory=list)
    undecided: dict[str, Undecided] = field(default_factory=dict)
    new_ends: Ends = field(default_factory=Ends)
    """Ends that the store does not hold."""
    running: int = 0
    pending: int = 0
    ended: int = 0


@dataclass(frozen=True, slots=True)
class Located:
    """A task that a machine reports."""

    heartbeat: Heartbeat
    task: TaskStatus

    @property
    def placement(self) -> list[Any]:
        """As it is recorded."""
        heartbeat = self.heartbeat
        return [self.task.attempt, heartbeat.machine, heartbeat.zone, 1 if heartbeat.spot else 0]


@dataclass(slots=True)
class _Chunk:
    """A chunk's record while it is brought in line with the reports."""

    attempt: int
    done: set[int]
    placed: dict[str, list[Any]]


def reconstruct(evidence: Evidence) -> Reconstruction:
    """Records that bring the store to what is known."""
    return _Reconstructor(evidence).run()


class _Reconstructor:
    def __init__(self, evidence: Evidence) -> None:
        self._evidence = evidence
        self._image = evidence.image
        self._result = Reconstruction()
        self._wanted: dict[str, Any] = {}
        self._located = _locate(evidence.reports)
        self._ends = Ends()
        self._ends.update(evidence.image.ends)
        self._ends_present = Ends()
        for key, value in evidence.present.items():
            if key.startswith(records.FINAL):
                self._ends_present.add(key[len(records.FINAL) :], JobOutcome(value["phase"], value["n"]))
            elif key.startswith(records.ENDED):
                self._ends_present.load(value)
        # What ended since the loss was told to a user by the store as it was then, and so it stays.
        self._ends.update(self._ends_present)

    def run(self) -> Reconstruction:
        result = self._result
        result.new_ends = self._ends.without(self._ends_present)
        result.ended = len(self._ends)
        chunks = self._chunks_by_job()
        for key, value in self._records(records.ACTIVE):
            job = key[len(records.ACTIVE) :]
            if self._ends.get(job) is None:
                self._restore_job(job, value, chunks.get(job, {}))
            else:
                self._restore_remains(job, value)
        for key, value in self._records(records.TASKS):
            job = records.split_chunk_key(key)[0]
            if self._ends.get(job) is not None:
                self._wanted.setdefault(key, value)
        for key, value in self._image.records.items():
            if key in (records.SETTINGS, records.FORMAT) or key.startswith((records.PROVISIONED, records.UNDECIDED)):
                self._wanted.setdefault(key, value)
        self._keep_unknown_jobs()
        self._compare()
        return result

    def _records(self, prefix: str) -> Iterator[tuple[str, Any]]:
        for key, value in sorted(self._image.records.items()):
            if key.startswith(prefix):
                yield key, value

    def _chunks_by_job(self) -> dict[str, dict[str, Any]]:
        found: dict[str, dict[str, Any]] = {}
        for key, value in self._records(records.TASKS):
            found.setdefault(records.split_chunk_key(key)[0], {})[key] = value
        return found

    # -- jobs --------------------------------------------------------------------

    def _restore_job(self, job: str, value: dict[str, Any], chunks: dict[str, Any]) -> None:
        """An unfinished job: as the image has it, or in line with the reports where it may be behind."""
        if not self._image.leader_heard:
            value, chunks = self._settle_job(job, value, chunks)
        self._wanted[records.active_key(job)] = value
        self._wanted.update(chunks)
        placed = [c["p"] for c in (*chunks.values(), value.get(records.INLINE_CHUNK, {"p": {}}))]
        if any(placed):
            self._result.running += 1
        else:
            self._result.pending += 1

    def _restore_remains(self, job: str, value: dict[str, Any]) -> None:
        """A job that is over: what may still run of it stays known, so that it is stopped and counted."""
        inline = value.get(records.INLINE_CHUNK)
        if inline is not None and inline["p"]:
            spec = job_from_wire(value["s"])
            self._wanted[records.chunk_key(job, 0)] = detached_chunk_record(spec, inline, value["n"])

    def _settle_job(
        self, job: str, value: dict[str, Any], chunks: dict[str, Any]
    ) -> tuple[dict[str, Any], dict[str, Any]]:
        """The job's records, with each task where a report tells that it is.

        It is made once everything that no report tells of has surely ended: the reports are the truth, and the image
        only says what there was.
        """
        spec = job_from_wire(value["s"])
        size = value.get("n", self._evidence.first_chunk_size)
        settled: dict[str, Any] = {}
        numbers = {records.split_chunk_key(key)[1] for key in chunks}
        numbers |= {index // size for index in self._located.get(job, {})}
        if records.INLINE_CHUNK in value:
            numbers.add(0)
        undecided_tasks: dict[str, str] = {}
        for number in sorted(numbers - records.from_ranges(value["f"])):
            chunk = self._chunk(job, number, value, chunks)
            undecided_tasks |= self._settle_chunk(job, spec, chunk, number * size, size)
            inline = {"a": chunk.attempt, "d": records.to_ranges(chunk.done), "p": chunk.placed}
            if records.INLINE_CHUNK in value:
                value = value | {records.INLINE_CHUNK: inline}
            else:
                length = size if "n" in value else None
                settled[records.chunk_key(job, number)] = detached_chunk_record(spec, inline, length)
        if spec.job_class in self._evidence.run_once_classes:
            undecided_tasks |= self._unshown_tasks(spec, value, settled, undecided_tasks)
        if undecided_tasks:
            self._add_undecided(job, Undecided(undecided_tasks))
        return value, settled

    def _chunk(self, job: str, number: int, value: dict[str, Any], chunks: dict[str, Any]) -> _Chunk:
        """A chunk as the image has it, its further records included."""
        if records.INLINE_CHUNK in value:
            own = value[records.INLINE_CHUNK]
        else:
            own = chunks.get(records.chunk_key(job, number), {"a": 0, "d": [], "p": {}})
        placed = dict(own["p"])
        for key, further in chunks.items():
            _, found, part = records.split_chunk_key(key)
            if found == number and part:
                placed |= further["p"]
        return _Chunk(own["a"], records.from_ranges(own["d"]), placed)

    def _settle_chunk(self, job: str, spec: JobSpec, chunk: _Chunk, first: int, size: int) -> dict[str, str]:
        """Brings a chunk in line with the reports; returns tasks that no one can tell of, with the evidence."""
        unsettled: dict[str, str] = {}
        reported = self._located.get(job, {})
        before, chunk.placed = chunk.placed, {}
        for text, (attempt, machine, *_) in before.items():
            if int(text) in reported or int(text) in chunk.done:
                continue
            if spec.job_class in self._evidence.run_once_classes:
                heard = "reports without it" if machine in self._evidence.reports else "was not heard again"
                unsettled[text] = f"attempt {attempt} was placed on {machine}, which {heard}"
        for index, located in reported.items():
            if first <= index < first + size and index not in chunk.done:
                chunk.placed[str(index)] = located.placement
        highest = max([chunk.attempt, *(p[0] for p in (*before.values(), *chunk.placed.values()))])
        chunk.attempt = highest + ATTEMPT_MARGIN
        return unsettled

    def _unshown_tasks(
        self, spec: JobSpec, value: dict[str, Any], chunks: dict[str, Any], listed: dict[str, str]
    ) -> dict[str, str]:
        """Tasks that were waiting, but may have run since on a machine that is not heard any more."""
        unheard = self._unheard_machines
        if not unheard:
            return {}
        size = value.get("n", self._evidence.first_chunk_size)
        known: set[int] = set()
        for number in records.from_ranges(value["f"]):
            known |= set(range(number * size, (number + 1) * size))
        for chunk in (*chunks.values(), value.get(records.INLINE_CHUNK, {"d": [], "p": {}})):
            known |= records.from_ranges(chunk["d"]) | {int(text) for text in chunk["p"]}
        waiting = [str(index) for index in range(spec.tasks) if index not in known and str(index) not in listed]
        told = f"it waited, and may have run on {unheard[0]}, which was not heard again"
        return dict.fromkeys(waiting, told)

    @functools.cached_property
    def _unheard_machines(self) -> list[str]:
        """Machines that the image names and that have not reported since the loss."""
        named: set[str] = set()
        for _, value in self._records(records.PROVISIONED):
            named |= set(value["m"])
        for prefix in (records.TASKS, records.ACTIVE):
            for _, value in self._records(prefix):
                placed = value.get("p") or value.get(records.INLINE_CHUNK, {}).get("p", {})
                named |= {placement[1] for placement in placed.values()}
        return sorted(named - set(self._evidence.reports))

    def _add_undecided(self, job: str, found: Undecided) -> None:
        self._result.undecided[job] = found
        self._wanted[records.UNDECIDED + job] = undecided.to_record(found)

    def _keep_unknown_jobs(self) -> None:
        """Jobs that only reports tell of: a worker has only what was accepted, so they stay known."""
        for job, reported in self._located.items():
            active = records.active_key(job)
            if active in self._wanted or active in self._evidence.present or self._ends.get(job) is not None:
                continue
            told = {
                str(index): f"attempt {located.task.attempt} is {located.task.state} on {located.heartbeat.machine}"
                for index, located in reported.items()
            }
            self._add_undecided(job, Undecided(told, unknown=True))

    # -- the store as it is ------------------------------------------------------

    def _compare(self) -> None:
        """What has to be written, and what of an older state has to go. What was accepted since stays."""
        present = self._evidence.present
        self._result.puts = {key: value for key, value in self._wanted.items() if present.get(key) != value}
        for key in present:
            if key in self._wanted:
                continue
            if key.startswith(records.ACTIVE):
                stale = self._ends.get(key[len(records.ACTIVE) :]) is not None
            elif key.startswith(records.TASKS):
                job = records.split_chunk_key(key)[0]
                stale = records.active_key(job) in self._wanted or self._ends.get(job) is not None
            else:
                stale = False
            if stale:
                self._result.deletes.append(key)


def _locate(reports: Mapping[str, Heartbeat]) -> dict[str, dict[int, Located]]:
    """By job and task number, where each task is: its highest attempt, and rather one that has not exited."""
    found: dict[str, dict[int, Located]] = {}
    for heartbeat in reports.values():
        for task in heartbeat.tasks:
            job, index = records.split_task(task.task)
            located = Located(heartbeat, task)
            tasks = found.setdefault(job, {})
            if index not in tasks or _rank(located) > _rank(tasks[index]):
                tasks[index] = located
    return found


def _rank(located: Located) -> tuple[bool, bool, int]:
    task = located.task
    return task.state == EXITED and task.why == "done", task.state != EXITED, task.attempt
