"""A leader's term: the picture, the round of decisions, and what follows from them."""

import logging
import math
import threading
from collections.abc import Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.bookkeeping import records
from stileloft.bookkeeping.model import (
    BOUND,
    ENDED,
    PLANNED,
    Chunk,
    Job,
    Machine,
    Placement,
    fits_type,
    job_from_record,
    orphan_spec,
)
from stileloft.coordination import gangs, scaling
from stileloft.coordination import placement as placing
from stileloft.coordination.dispatch import Dispatch
from stileloft.coordination.fleet import Fleet
from stileloft.coordination.ledger import Entry, Ledger, Limits
from stileloft.coordination.placement import Decision
from stileloft.coordination.snapshot import (
    EPSILON,
    SHIELDED,
    Node,
    Nomination,
    Running,
    Snapshot,
    Usage,
    Waiting,
    within_limit,
    zone_allowed,
)
from stileloft.protocol.messages import EXITED, JobSpec, MachineType, Report, orders
from stileloft.protocol.state import CompactedError, ConflictError, UnavailableError, UnknownOutcomeError

if TYPE_CHECKING:
    from stileloft.coordination import node as nodes

log = logging.getLogger(__name__)

# Rounds: at least this long apart, and after a change at the earliest this late.
ROUND_GAP_S = 0.15
ROUND_DELAY_S = 0.02
CHECK_S = 0.5
# A machine's copy for the decisions is kept for so long: its tasks' remaining times may be this old.
VIEW_S = 1.0
# Jobs are to begin within this time. One that has waited for this part of it goes before more pressing work,
# which would keep it waiting without an end; earlier, down to the least part, while so many have not begun that
# the machines need the time for a task of each.
BEGIN_S = 240.0
AGED_PART = 0.6
AGED_LEAST = 0.25
CROWD_PART = 0.9
# Room kept for what is expected, or for a task that will have it later, is open to a job of which nothing was placed
# for this part of it: nothing is to wait beside room that stays empty.
OVERDUE_PART = 0.25
# Machines kept for a class that is to start soon and has not been seen: some gangs come while more are booting.
UNSEEN_MACHINES = 3
# A start counts for users if nothing stops the task within this time (PROTOCOL, how aims are counted).
STARTED_S = 30.0
PLAN_S = 2.0
# How often the other controllers are asked which format they read, until all read the newest.
FORMAT_S = 1.0
# A watch waits for this part of the leader's lease: until it is answered, nothing shows that it still hears.
WATCH_LIVES = 0.5
# Nothing is started when we have heard nothing of cancellations for so many of these.
INFORMED_WATCHES = 4.0
# After an answer with news the next watch begins this part of one later.
GATHER_WATCH = 0.1
# How soon it is looked again whether a job whose record is gone has no transaction under way any more.
SETTLE_S = 0.25
# What one round places, as a multiple of the changes in a transaction.
PLACED_TXNS = 2
MAX_EVICTIONS = 8
TASKS_OFFERED = 64
# A nomination is given up after this many report intervals beyond its victims' time to save.
NOMINATION_REPORTS = 3.0
CLASS_MEMORY = 0.2
ERRORS_FAULTY = 2
# A task that takes this multiple of its fellows' time elsewhere speaks against its machine.
SLOW = 3.0
DURATIONS_KEPT = 20
# A class is taken to have ended when nothing came for this many of its usual gaps.
QUIET_ARRIVALS = 4.0
# The room that operators set is for classes of which so many jobs come in a boot.
CROWD_ARRIVALS = 2.0
BACKOFF_S = 1.0
BACKOFF_MAX_S = 60.0


@dataclass(slots=True)
class ClassLoad:
    """What a class's jobs are like, and how often they come."""

    spec: JobSpec
    tasks: float
    last: float
    gap_s: float = 0.0

    def add(self, spec: JobSpec, submitted: float) -> None:
        gap = max(0.0, submitted - self.last)
        self.gap_s = gap if self.gap_s == 0.0 else self.gap_s + CLASS_MEMORY * (gap - self.gap_s)
        self.tasks += CLASS_MEMORY * (spec.tasks - self.tasks)
        self.spec = spec
        self.last = max(self.last, submitted)


class Term:
    """All that one leadership knows; nothing outlives it."""

    def __init__(self, node: "nodes.Node", token: int) -> None:
        self.node = node
        self.token = token
        self.nonce = node.nonce
        self.clock = node.reactor
        self.wall = node.wall
        self.settings = node.settings.deployment
        self.state = node.state
        self.cloud = node.cloud
        self.workers = node.workers
        self.writes = node.leader_writes
        self.teams = node.teams
        self.grace_s = node.grace_s
        self.sleep = node.sleep
        self.alive = True
        self.loaded = False
        self.started_at = self.clock.seconds()
        self.lock = threading.Lock()
        self.jobs: dict[str, Job] = {}
        self.machines: dict[str, Machine] = {}
        self.dirty: dict[str, None] = {}
        self.nominations: dict[tuple[str, int], Nomination] = {}
        self.avoided: dict[tuple[str, str], float] = {}
        self.ratios: dict[str, float] = {}
        self.classes: dict[str, ClassLoad] = {}
        self.limits = Limits(self.settings.state)
        self.ledger = Ledger(self)
        self.dispatch = Dispatch(self)
        self.fleet = Fleet(self)
        self.revision = 0
        self.watch_s = node.election.life_s * WATCH_LIVES
        self.informed_at = float("-inf")
        """Until then we know of all cancellations: when we sent the newest question that the store answered."""
        self.last_decision: dict[str, Any] = {}
        self._round_running = False
        self._round_due: Any = None
        self._round_again = False
        self._round_at = 0.0
        self._planned_at = 0.0
        self._dropped: dict[str, float] = {}
        """Jobs let go of, and when: the watch may not have come as far as that."""
        self.wait_goals = self._goals("wait")
        self.finish_goals = self._goals("finished")

    def _goals(self, kind: str) -> dict[str, float]:
        """The tightest time of each class that has an objective of this kind."""
        goals: dict[str, float] = {}
        for objective in self.settings.objectives:
            if objective.kind == kind and objective.job_class and objective.within_s is not None:
                known = goals.get(objective.job_class, objective.within_s)
                goals[objective.job_class] = min(known, objective.within_s)
        return goals

    @property
    def types(self) -> dict[str, Any]:
        return self.node.types

    # -- life -------------------------------------------------------------------

    def begin(self) -> None:
        defer.ensureDeferred(self._take_over())

    def finish(self) -> None:
        self.alive = False
        if self._round_due is not None and self._round_due.active():
            self._round_due.cancel()

    def confirmed(self) -> bool:
        return self.alive and self.node.election.confirmed()

    def uninformed_for(self) -> float:
        """Seconds since we last knew of all cancellations; without end before the store was read."""
        return self.clock.seconds() - self.informed_at

    def informed(self) -> bool:
        """Whether we hear of cancellations, so that nothing is started of a job that is long over."""
        return self.uninformed_for() <= INFORMED_WATCHES * self.watch_s

    def may_renew(self) -> bool:
        """Whether an answer of ours may renew a worker's lease: the bound that `blind_grace` derives.

        It asks for both. A leader that others may have replaced, or one that still leads but hears nothing of
        cancellations, must not keep tasks alive for longer. Each answer that renews carries the stops of all
        cancellations known, so one after the other several leaders keep a cancelled task no longer than one.
        """
        return self.loaded and max(self.node.election.blind_for(), self.uninformed_for()) <= self.grace_s

    def depose(self, reason: str) -> None:
        if self.alive:
            self.node.election.step_down(reason)

    async def _take_over(self) -> None:
        """Reads what is unfinished, then claims the machines that are known."""
        defer.ensureDeferred(self.fleet.list_loop())
        while self.alive:
            try:
                await self._load()
                break
            except (UnavailableError, UnknownOutcomeError) as error:
                log.info("taking over: %s", error)
                await self.sleep(0.3)
            except Exception:
                log.exception("taking over")
                await self.sleep(1.0)
        if not self.alive:
            return
        self.loaded = True
        with self.lock:
            # Where tasks are comes first: their ends and what is to be stopped wait for it.
            for machine in sorted(self.machines.values(), key=lambda machine: not machine.placements):
                self.dispatch.send(machine)
        log.info(
            "took over %d jobs and %d machines in %.2f s",
            len(self.jobs),
            len(self.machines),
            self.clock.seconds() - self.started_at,
        )
        defer.ensureDeferred(self._watch_loop())
        defer.ensureDeferred(self.fleet.images_loop())
        defer.ensureDeferred(self._format_loop())
        self._check()
        self.poke()

    async def _load(self) -> None:
        # The watch continues from the first read, so that nothing is missed in between.
        asked_at = self.clock.seconds()
        active, revision = await self.state.scan(records.ACTIVE)
        chunks, _ = await self.state.scan(records.TASKS)
        rented, _ = await self.state.scan(records.RENTED)
        images, _ = await self.state.scan(records.IMAGES)
        # A chunk that was read after its job's record may be newer: its version guards it.
        with self.lock:
            self.jobs.clear()
            for _, value, version in sorted(active, key=lambda item: item[1]["t"]):
                self._adopt(job_from_record(value, version, self.node.first_chunk_size))
            by_job: dict[str, list[tuple[str, Any, int]]] = {}
            for item in chunks:
                by_job.setdefault(records.split_chunk_key(item[0])[0], []).append(item)
            for job_id, items in by_job.items():
                found = self.jobs.get(job_id)
                if found is None:
                    nothing: dict[str, Any] = {"r": ["-", 0.0, 0.0, 0.0]}
                    whole = next((value for _, value, _ in items if "r" in value), nothing)
                    found = Job(orphan_spec(job_id, whole["r"]), 0.0, whole.get("n", self.node.first_chunk_size))
                    found.over = "cancelled"
                    self.jobs[job_id] = found
                found.load_chunks(items)
            for job in self.jobs.values():
                job.recount()
                for placement in job.placements():
                    self.attach(placement)
                if self.node.format >= 1:
                    self._break_up(job)
                if job.over:
                    self._stop_all(job)
                    if not job.placed:
                        self._drop_chunks(job)
                elif job.spec.is_gang:
                    self.review_gang(job)
            for key, value, _ in rented:
                self.fleet.load_rental(key, value)
            for key, value, _ in images:
                self.fleet.load_images(key[len(records.IMAGES) :], value)
            self.revision = revision
            self.informed_at = asked_at

    async def _watch_loop(self) -> None:
        while self.alive:
            try:
                asked_at = self.clock.seconds()
                revision, events = await self.state.watch(records.ACTIVE, self.revision, self.watch_s)
                if not self.alive:
                    return
                for key, value, version in events:
                    self._on_change(key[len(records.ACTIVE) :], value, version)
                self.revision, self.informed_at = revision, asked_at
                self._forget_dropped()
                if events:
                    # Under a burst each change would else be an answer and a request of its own.
                    await self.sleep(self.watch_s * GATHER_WATCH)
            except CompactedError:
                await self._resync()
            except (UnavailableError, UnknownOutcomeError) as error:
                log.debug("watch: %s", error)
                await self.sleep(0.2)
            except Exception:
                log.exception("watch")
                await self.sleep(0.5)

    async def _resync(self) -> None:
        asked_at = self.clock.seconds()
        active, revision = await self.state.scan(records.ACTIVE)
        listed = set()
        for key, value, version in active:
            listed.add(key[len(records.ACTIVE) :])
            self._on_change(key[len(records.ACTIVE) :], value, version)
        for job in list(self.jobs.values()):
            if job.id not in listed and job.version <= revision:
                self._on_change(job.id, None, revision)
        self.revision, self.informed_at = revision, asked_at

    def _on_change(self, job_id: str, value: Any, version: int) -> None:
        """A job's record was written by somebody, perhaps by us."""
        job = self.jobs.get(job_id)
        if value is not None:
            if job is None and job_id not in self._dropped:
                with self.lock:
                    job = job_from_record(value, version, self.node.first_chunk_size)
                    job.recount()
                    self._adopt(job)
                self.poke()
            return
        if job is None or job.over:
            return
        # Gone from `active/`: cancelled by its user, or finished by a commit of ours whose answer is still on
        # its way. In both cases nothing of it may run. What is being stored of it may take as long as an
        # outage, so the stops don't wait for that; which of the two it was, the store tells then.
        with self.lock:
            # With no transaction under way it was none of ours, and we know all that the store holds of it.
            self.job_over(job, "over" if job.busy else "cancelled")
        self._settle(job)

    def _settle(self, job: Job) -> None:
        """Learns what the store holds of a job that is over, once no transaction about it is under way."""
        if not self.alive or self.jobs.get(job.id) is not job or job.over != "over":
            return
        if job.busy:
            self.clock.callLater(SETTLE_S, self._settle, job)
        else:
            self.ledger.start_reload(job)

    def _adopt(self, job: Job) -> None:
        """Takes in an accepted job."""
        self.jobs[job.id] = job
        job.known_since = self.clock.seconds() - max(0.0, self.wall() - job.submitted)
        self._learn(job)
        most = records.tasks_in(self.limits.value_bytes)
        if self.node.format >= 1:
            if not job.size_stored:
                self.dirty[job.id] = None
        elif most < job.size:
            # Its chunks must have one record each, within the limit to come.
            job.most_placed = most

    async def _format_loop(self) -> None:
        """Has the newest format written once all controllers have said, now, that they read it.

        Each says so by itself; none is taken to do so because it is silent. A process that has not been
        replaced yet says nothing of the kind, whatever it was before, so it holds the change back.
        """
        others = {peer.member for peer in self.node.settings.peers}
        while self.alive and self.node.format < records.NEWEST_FORMAT:
            members = {view.member for view in await self.node.peers.views() if view.reads >= records.NEWEST_FORMAT}
            if members >= others and len(others) + 1 >= self.settings.size and self.confirmed():
                value = {"format": records.NEWEST_FORMAT, "members": sorted({self.node.settings.member, *others})}
                try:
                    await self.state.commit(
                        {records.LEADER: self.token, records.FORMAT: 0}, {records.FORMAT: value}, []
                    )
                except ConflictError:
                    pass  # a former leader did it, or another leads: the node reads it
                except (UnavailableError, UnknownOutcomeError) as error:
                    log.debug("changing the format: %s", error)
                else:
                    self.node.take_format(records.NEWEST_FORMAT)
            await self.sleep(FORMAT_S)

    def format_changed(self) -> None:
        """Records may be written in the newest format from now on."""
        with self.lock:
            for job in self.jobs.values():
                job.most_placed = None
                if not job.over and not job.size_stored:
                    self.dirty[job.id] = None
                self._break_up(job)
        self.poke()

    def _break_up(self, job: Job) -> None:
        """Has records beyond the limit to come written in pieces, before an end or a cancellation needs it."""
        for chunk in job.chunks.values():
            if not chunk.parts and records.size_of(chunk.record(job.spec, job.size)) > self.limits.value_bytes:
                chunk.dirty = True
                self.touch(job)

    def _learn(self, job: Job) -> None:
        """Keeps what a class's jobs are like and how often they come, for headroom."""
        load = self.classes.get(job.spec.job_class)
        if load is None:
            self.classes[job.spec.job_class] = ClassLoad(job.spec, float(job.spec.tasks), job.submitted)
        else:
            load.add(job.spec, job.submitted)

    # -- the picture: called with the lock held ------------------------------------

    def machine(self, machine_id: str) -> Machine:
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, first_seen=self.clock.seconds())
            machine.images = dict.fromkeys(self.fleet.images_of(machine_id))
            self.machines[machine_id] = machine
        return machine

    def stray_tasks(self) -> set[str]:
        """Tasks that are on a machine where they are not to be: nowhere are they started meanwhile.

        Asked of the machines each time. Kept beside them, an entry outlived its machine's session once,
        and its task was never started again.
        """
        return {task for machine in self.machines.values() if machine.strays for task in machine.strays}

    def attach(self, placement: Placement) -> None:
        if placement.state != ENDED:
            machine = self.machine(placement.machine)
            machine.placements[placement.key] = placement
            machine.idle_since = machine.view = None
            # When it was bound is not stored; no doubt about it can be older than our knowing of it.
            placement.bound_at = placement.bound_at or self.clock.seconds()

    def _changed(self, placement: Placement) -> None:
        machine = self.machines.get(placement.machine)
        if machine is not None:
            machine.view = None

    def touch(self, job: Job) -> None:
        job.dirty = job.pressing = True
        self.dirty[job.id] = None

    def dirty_jobs(self) -> list[Job]:
        found = []
        for job_id in list(self.dirty):
            job = self.jobs.get(job_id)
            if job is None:
                self.dirty.pop(job_id, None)
            else:
                found.append(job)
        return found

    def is_over(self, job_id: str) -> bool:
        job = self.jobs.get(job_id)
        return job is None or job.over is not None or job.reload

    def end(self, placement: Placement, why: str) -> None:
        """The task is certainly not on its machine any more, and has to run again."""
        if placement.state == ENDED:
            return
        log.info("task %s attempt %d on %s ended: %s", placement.task, placement.attempt, placement.machine, why)
        placement.state = ENDED
        self._changed(placement)
        job = self.jobs.get(placement.job)
        if job is not None:
            job.chunk_of(placement.index).dirty = True
            pressing = job.pressing
            self.touch(job)
            if placement.done:
                self.ledger.gather(job, pressing)
            if job.spec.is_gang:
                self.clock.callLater(0, self._review_later, job)
        self.ledger.later(0.0)

    def _review_later(self, job: Job) -> None:
        with self.lock:
            if self.alive and self.jobs.get(job.id) is job:
                self.review_gang(job)

    def review_gang(self, job: Job) -> None:
        """Ends what is left of a gang of which a task is done, or lost."""
        if job.over or job.reload:
            return
        if gangs.completed(job):
            for placement in list(job.placements()):
                placement.done = True
                self.end(placement, "done, as one of its gang is")
            self.touch(job)
        for placement in gangs.left_over(job):
            self._stop_one(placement, 0.0 if placement.stop_grace is None else None)

    def cleared(self, placement: Placement) -> None:
        """The store holds the placement no longer."""
        machine = self.machines.get(placement.machine)
        if machine is None:
            return
        machine.view = None
        if machine.placements.get(placement.key) is placement:
            del machine.placements[placement.key]
        if placement.seen == EXITED:
            self.dispatch.forget_later(machine, placement.task, placement.attempt, placement.done)
        if not machine.placements and not machine.strays and machine.idle_since is None:
            machine.idle_since = self.clock.seconds()

    def completed(self, machine: Machine, placement: Placement, now: float) -> None:
        placement.done = True
        job = self.jobs.get(placement.job)
        if job is not None and placement.running_since is not None and job.spec.estimate_s > 0:
            job.errors.clear()
            took = now - placement.running_since
            # Attempts are counted per chunk: beyond its length, a task may have run before and saved.
            if job.spec.is_gang or placement.attempt <= job.chunk_length(placement.index // job.size):
                if not job.durations:  # one sample a job, however many tasks it has
                    ratio = min(4.0, max(0.1, took / job.spec.estimate_s))
                    known = self.ratios.get(job.spec.job_class, 1.0)
                    self.ratios[job.spec.job_class] = known + CLASS_MEMORY * (ratio - known)
                self._compare_speed(machine, job, took)
        self.end(placement, "done")

    def _compare_speed(self, machine: Machine, job: Job, took: float) -> None:
        """Finds machines much slower than others of the same type, by tasks of the same job."""
        others = sorted(duration for other, duration in job.durations if other != machine.id)
        if len(job.durations) < DURATIONS_KEPT:
            job.durations.append((machine.id, took))
        if len(others) >= 2 and took > SLOW * others[len(others) // 2]:
            machine.slow_jobs.add(job.id)
            if len(machine.slow_jobs) >= ERRORS_FAULTY and machine.draining is None:
                log.info("machine %s is slow with tasks of %d jobs: emptying it", machine.id, len(machine.slow_jobs))
                machine.draining = "it is slow"

    def failed(self, machine: Machine, placement: Placement) -> None:
        """Tells a faulty machine from a mistaken job: the one fails many jobs, the other on many machines."""
        job = self.jobs.get(placement.job)
        machine.errors.add(placement.job)
        machine.error_count += 1
        if job is not None:
            job.errors.add(machine.id)
            self.avoid(placement, machine.id, self.settings.workers.lease_s * 4)
            if len(job.errors) > 1:
                pause = min(BACKOFF_MAX_S, BACKOFF_S * 2 ** len(job.errors))
                self.delay(job.id, pause)
        honest = [j for j in machine.errors if j in self.jobs and len(self.jobs[j].errors) < 2]
        if (len(honest) >= ERRORS_FAULTY or (honest and machine.error_count > 4)) and machine.draining is None:
            log.info("machine %s fails tasks of %d jobs: emptying it", machine.id, len(machine.errors))
            machine.draining = "it fails tasks"
            for other in list(machine.placements.values()):
                self.stop(other)

    def avoid(self, placement: Placement, machine_id: str, seconds: float) -> None:
        self.avoided[(placement.job, machine_id)] = self.clock.seconds() + seconds

    def delay(self, job_id: str, seconds: float) -> None:
        job = self.jobs.get(job_id)
        if job is not None:
            job.not_before = max(job.not_before, self.clock.seconds() + seconds)
            self.clock.callLater(seconds, self.poke)

    def stop(self, placement: Placement, grace_s: float | None = None) -> None:
        """Has a task stopped, with time to save if it can; one of a gang with all the others, side by side."""
        job = self.jobs.get(placement.job)
        together = list(job.placements()) if job is not None and job.spec.is_gang else [placement]
        for each in together:
            self._stop_one(each, grace_s)

    def _stop_one(self, placement: Placement, grace_s: float | None) -> None:
        if placement.state == PLANNED:
            self.end(placement, "not needed there")
            return
        if placement.state != BOUND or placement.stop_grace is not None and grace_s is None:
            return
        job = self.jobs.get(placement.job)
        save_s = (job.spec.save_s or 0.0) if job is not None and (job.spec.checkpoint_s or 0.0) > 0 else 0.0
        if job is not None and job.spec.is_gang and save_s:
            save_s += self.settings.workers.gang_peer_s  # one that has saved waits for the others
        placement.stop_grace = save_s * 1.2 + 0.5 if grace_s is None else grace_s
        placement.stop_at = 0.0
        machine = self.machines.get(placement.machine)
        if machine is not None:
            machine.view = None
            self.clock.callLater(0, self.dispatch.send, machine)

    def wind_down(self, machine: Machine, now: float) -> None:
        """Empties a machine that the cloud takes away, so that as little as possible is lost."""
        left = (machine.notice_until or now) - now
        for placement in list(machine.placements.values()):
            job = self.jobs.get(placement.job)
            if placement.stop_grace is not None or job is None:
                continue
            spec = job.spec
            if (spec.checkpoint_s or 0.0) > 0:
                # Later would save more, but a command that comes too late saves nothing.
                if (spec.save_s or 0.0) + 1.0 < left:
                    self.stop(placement)
            elif self.remaining(job, placement, now) > left:
                self.stop(placement, 0.0)

    def remaining(self, job: Job, placement: Placement, now: float) -> float:
        if job.spec.is_service:
            return math.inf
        estimate = self.estimate(job.spec)
        if placement.running_since is None:
            return estimate
        return max(0.1 * estimate, estimate - (now - placement.running_since))

    def estimate(self, spec: JobSpec) -> float:
        return max(0.5, spec.estimate_s * self.ratios.get(spec.job_class, 1.0))

    def job_over(self, job: Job, phase: str) -> None:
        if job.over is None or job.over == "over":
            job.over = phase
            log.info("job %s is %s", job.id, phase)
        self._stop_all(job)
        if not job.placed:
            self._drop_chunks(job)

    def _stop_all(self, job: Job) -> None:
        for placement in list(job.placements()):
            if placement.state == PLANNED:
                self.end(placement, "its job is over")
            else:
                self.stop(placement, 0.0)
        for chunk in job.chunks.values():
            chunk.dirty = True
        self.touch(job)

    def _drop_chunks(self, job: Job) -> None:
        for chunk in job.chunks.values():
            chunk.dirty = True
        self.touch(job)
        self.ledger.later(0.0)

    def drop_job(self, job: Job) -> None:
        self.jobs.pop(job.id, None)
        # The watch may still bring a record of it from before its end.
        self._dropped[job.id] = self.clock.seconds()
        self.dirty.pop(job.id, None)
        for key in [k for k in self.nominations if k[0] == job.id]:
            del self.nominations[key]
        for pair in [k for k in self.avoided if k[0] == job.id]:
            del self.avoided[pair]

    def _forget_dropped(self) -> None:
        """What was asked of the store after a job was let go of brings no record of it any more."""
        while self._dropped and next(iter(self._dropped.values())) < self.informed_at:
            del self._dropped[next(iter(self._dropped))]

    # -- events -------------------------------------------------------------------

    def on_report(self, report: Report) -> dict[str, Any]:
        if report.machine in self.fleet.gone:
            # Held back on its way: the cloud has told us that the machine is gone. Believing
            # it would bring the machine back to life here, and place tasks on nothing.
            return orders(self.token, [])
        with self.lock:
            answer = self.dispatch.on_report(report)
        self.after_report()
        return answer

    def on_unanswered(self, report: Report) -> None:
        """Takes in a report whose worker must not count on us: before the store is read, or once we know too little."""
        if report.machine not in self.fleet.gone:
            with self.lock:
                self.dispatch.observe(report)

    def after_report(self) -> None:
        if self.dirty and self.loaded:
            self.ledger.later(0.02)

    def after_commit(self, batch: list[Entry]) -> None:
        """Starts what was bound, at once, and looks for use of what was freed."""
        machines = dict.fromkeys(p.machine for entry in batch for p in entry.bound)
        with self.lock:
            for machine_id in machines:
                machine = self.machines.get(machine_id)
                if machine is not None:
                    self.dispatch.send(machine)
        if any(entry.ended for entry in batch):
            self.poke()

    def _check(self) -> None:
        if not self.alive:
            return
        self.clock.callLater(CHECK_S, self._check)
        try:
            with self.lock:
                self.fleet.check()
                if not self.alive:
                    return
                for machine in self.machines.values():
                    self.dispatch.send(machine)
                self._expire_nominations()
        except Exception:
            log.exception("check")
        if self.dirty:
            self.ledger.flush()
        self.poke()

    def _expire_nominations(self) -> None:
        now = self.clock.seconds()
        for key in [k for k, n in self.nominations.items() if n.until < now or n.machine not in self.machines]:
            del self.nominations[key]

    # -- the round ------------------------------------------------------------------

    def poke(self) -> None:
        """Asks for a round of decisions."""
        if not self.alive or not self.loaded:
            return
        if self._round_running:
            self._round_again = True
            return
        if self._round_due is not None and self._round_due.active():
            return
        wait = max(ROUND_DELAY_S, self._round_at + ROUND_GAP_S - self.clock.seconds())
        self._round_due = self.clock.callLater(wait, self._start_round)

    def _start_round(self) -> None:
        if not self.confirmed() or not self.types:
            return
        self._round_running = True
        self._round_again = False
        self._round_at = self.clock.seconds()
        scale = self._round_at - self._planned_at >= PLAN_S
        if scale:
            self._planned_at = self._round_at
        waiting = self.node.in_thread(self._decide, scale)
        waiting.addCallbacks(self._apply, lambda failure: log.error("round: %s", failure.getTraceback()))
        waiting.addErrback(lambda failure: log.error("applying a round: %s", failure.getTraceback()))
        waiting.addBoth(self._round_over)

    def _round_over(self, _: Any) -> None:
        self._round_running = False
        if self._round_again:
            self.poke()

    def _decide(self, scale: bool) -> tuple[Decision, scaling.Plan | None]:
        """Runs in its own thread; works on a copy."""
        with self.lock:
            snapshot = self.snapshot()
            refused = self.fleet.refused_now()
            headroom = self._headroom(gang=False)
            busy = any(not self._ended(load) for load in self.classes.values())
        max_placed = PLACED_TXNS * self.settings.state.txn_ops  # many of them share a change
        decision = placing.decide(snapshot, max_placed, MAX_EVICTIONS)
        plan = None
        if scale:
            plan = scaling.plan(snapshot, decision.unmet, refused, headroom, busy, self.node.operator_settings)
        return decision, plan

    def _headroom(self, gang: bool) -> list[tuple[JobSpec, int]]:
        """Tasks that should find room at once: of classes for which a rental would come too late."""
        found = []
        settings = self.node.operator_settings
        for name, load in sorted(self.classes.items()):
            spec = load.spec
            if self._ended(load) or spec.is_gang is not gang:
                continue
            if name in self.wait_goals:
                factor = settings.headroom_wait
            else:
                factor = settings.headroom if self._allowance(spec) < 0 else 0.0
            found.append((spec, math.ceil(factor * self._crowd(load) * load.tasks)))
        if gang and self.clock.seconds() - self.started_at > self.settings.workers.report_s:
            found += [(spec, UNSEEN_MACHINES) for spec in self._unseen()]
        found.sort(key=lambda item: -item[0].rank)
        return found

    def _unseen(self) -> list[JobSpec]:
        """Small machines at the full price for each class that is to start soon and of which nothing has come.

        It may turn out to be one of gangs, which stop nobody, or one that may use no spot machine, and its
        first jobs would wait for a boot.
        """
        kind = min(self.types.values(), key=lambda kind: (kind.price, kind.name), default=None)
        if kind is None:
            return []
        return [
            JobSpec(
                id=gangs.EXPECTED,
                job_class=name,
                team="",
                kind="gang",
                priority="standard",
                tasks=1,
                cpus=kind.cpus,
                gpus=kind.gpus,
                memory_gb=kind.memory_gb,
                image="",
                image_gb=0.0,
                estimate_s=0.0,
            )
            for name in self.wait_goals
            if name not in self.classes
        ]

    def _crowd(self, load: ClassLoad) -> float:
        """What arrives in a boot varies by its root: more room for classes of which many jobs come in one."""
        boot_s = min((kind.boot_s for kind in self.types.values() if fits_type(load.spec, kind)), default=0.0)
        return max(1.0, math.sqrt(boot_s / max(load.gap_s, 0.1) / CROWD_ARRIVALS))

    def _ended(self, load: ClassLoad) -> bool:
        """Whether the class has sent nothing for so long that it is taken to have ended."""
        return self.wall() - load.last > QUIET_ARRIVALS * max(load.gap_s, load.spec.estimate_s)

    def _allowance(self, spec: JobSpec) -> float:
        """How long a new job of this kind may wait for a machine to be rented, at the least."""
        kinds = [kind for kind in self.types.values() if fits_type(spec, kind)]
        if not kinds:
            return 0.0
        ready_s = min(kind.boot_s + spec.image_gb / max(kind.fetch_gb_per_s, 1e-3) for kind in kinds)
        limits = [limit for limit in (spec.deadline_s, self.finish_goals.get(spec.job_class)) if limit is not None]
        if not limits:
            return ready_s
        return min(limits) - self.estimate(spec) - ready_s

    def snapshot(self) -> Snapshot:
        now = self.clock.seconds()
        usage = {name: Usage() for name in self.teams}
        types = dict(self.types)
        copies: dict[str, Node] = {}
        for machine in self.machines.values():
            for stray in machine.strays.values():
                if stray.team in usage:
                    usage[stray.team].cpus += stray.cpus
                    usage[stray.team].gpus += stray.gpus
            kind = types.get(machine.type)
            if kind is None:
                continue
            copies[machine.id] = self._view(machine, kind, now)
        for request, (offer, count) in self.fleet.renting.items():
            for number in range(count):
                copy = Node(f"{request}-{number}", types[offer[0]], offer[1], offer[2], True, False)
                copy.settle()
                copies[copy.id] = copy
        waiting = []
        stray_tasks = self.stray_tasks()
        aged_s = self._aged_after(copies.values())
        for job in self.jobs.values():
            used = usage.setdefault(job.spec.team, Usage())
            used.cpus += job.spec.cpus * job.placed
            used.gpus += (job.spec.gpus or 0.0) * job.placed
            if job.waiting <= 0 or job.not_before > now or job.reload:
                continue
            if job.spec.is_gang and job.placed:
                continue  # the rest of it is ending: it comes again as a whole
            count = job.waiting
            tasks = job.free_tasks(count if job.spec.is_gang else TASKS_OFFERED if not job.errors else 1)
            if stray_tasks:
                tasks = [i for i in tasks if f"{job.id}/{i}" not in stray_tasks]
            avoid = frozenset(m for (j, m), until in self.avoided.items() if j == job.id and until > now)
            waiting.append(
                Waiting(
                    job.spec,
                    job.submitted,
                    count,
                    tasks,
                    dict(job.zones),
                    self.estimate(job.spec),
                    self.wait_goals.get(job.spec.job_class),
                    avoid,
                    self._aged(job, aged_s),
                    begun=job.begun,
                    overdue=now - max(job.served_at, job.known_since) > OVERDUE_PART * BEGIN_S,
                )
            )
        return Snapshot(
            self.wall(), copies, waiting, self.teams, usage, dict(self.nominations), types, self._headroom(gang=True)
        )

    def _view(self, machine: Machine, kind: MachineType, now: float) -> Node:
        """The machine's copy for the decisions; made anew when it has changed, or its times have become old."""
        view = machine.view
        if view is None or now - machine.view_at > VIEW_S or view.type is not kind:
            view = self._node(machine, kind, now)
            machine.view, machine.view_at = view, now
        elif view.ready != self._ready(machine, now):
            view = view.copy()
            view.ready = not view.ready
            machine.view = view
        return view

    def _ready(self, machine: Machine, now: float) -> bool:
        """Whether something may be placed there: it is heard, and it hears us."""
        if machine.draining is not None or machine.releasing:
            return False
        if machine.up_since is None:
            return not self.fleet.is_late(machine, now)
        return (
            machine.trusted
            and now - machine.came_at <= self.fleet.quiet_s
            and machine.send_failures < 2
            and self.dispatch.reaches(machine, now)
        )

    def _node(self, machine: Machine, kind: MachineType, now: float) -> Node:
        copy = Node(
            machine.id,
            kind,
            machine.zone,
            machine.spot,
            self._ready(machine, now),
            machine.up_since is not None,
            images=frozenset(machine.images),
        )
        fetching = set()
        for placement in machine.placements.values():
            job = self.jobs.get(placement.job)
            if job is None or placement.state == ENDED:
                continue  # what has ended takes no room, even if the store does not say so yet
            spec = job.spec
            if spec.image not in machine.images:
                fetching.add(spec.image)
            age = now - placement.running_since if placement.running_since is not None else 0.0
            unsaved = age % spec.checkpoint_s if spec.checkpoint_s else age
            copy.tasks.append(
                Running(
                    placement.key,
                    spec,
                    spec.team,
                    SHIELDED if placement.shielded else spec.rank,
                    spec.cpus,
                    spec.gpus or 0.0,
                    spec.memory_gb,
                    unsaved,
                    self.remaining(job, placement, now),
                    leaving=placement.stop_grace is not None,
                    safe=not spec.is_service and job.stopped_for_others < spec.tasks,
                    together=spec.tasks if spec.is_gang else 1,
                    fresh=spec.job_class in self.wait_goals and age < STARTED_S,
                )
            )
        for task, stray in machine.strays.items():
            copy.tasks.append(
                Running((task, -1), None, stray.team, SHIELDED, stray.cpus, stray.gpus, stray.memory_gb, leaving=True)
            )
        copy.idle_s = now - machine.idle_since if machine.idle_since is not None else 0.0
        copy.fetching = frozenset(fetching)
        copy.settle()
        return copy

    def _aged(self, job: Job, after_s: float) -> bool:
        return self.wall() - job.submitted > after_s

    def _aged_after(self, nodes: Iterable[Node]) -> float:
        """How long a job waits before its age counts: less while a crowd is to begin on few machines."""
        room: dict[str, float] = {}
        for node in nodes:
            if node.up:
                room[node.type.name] = room.get(node.type.name, 0.0) + node.type.cpus
        first_s = 0.0
        for job in self.jobs.values():
            if not job.begun and not job.over and job.waiting:
                spec = job.spec
                fitting = sum(cpus for name, cpus in room.items() if fits_type(spec, self.types[name]))
                first_s += self.estimate(spec) * spec.cpus / max(fitting, spec.cpus, 1.0)
        return max(AGED_LEAST * BEGIN_S, min(AGED_PART * BEGIN_S, CROWD_PART * BEGIN_S - first_s))

    def _has_room(self, machine: Machine, kind: MachineType, spec: JobSpec) -> bool:
        cpus, gpus, memory_gb = spec.cpus, spec.gpus or 0.0, spec.memory_gb
        for placement in machine.placements.values():
            job = self.jobs.get(placement.job)
            if job is not None and placement.state != ENDED:
                cpus += job.spec.cpus
                gpus += job.spec.gpus or 0.0
                memory_gb += job.spec.memory_gb
        for stray in machine.strays.values():
            cpus += stray.cpus
            gpus += stray.gpus
            memory_gb += stray.memory_gb
        return cpus <= kind.cpus + EPSILON and gpus <= kind.gpus + EPSILON and memory_gb <= kind.memory_gb + EPSILON

    def _apply(self, outcome: tuple[Decision, scaling.Plan | None]) -> None:
        """Carries out what was decided, as far as it still holds."""
        decision, plan = outcome
        if not self.confirmed():
            return
        with self.lock:
            usage = {name: Usage() for name in self.teams}
            for job in self.jobs.values():
                used = usage.setdefault(job.spec.team, Usage())
                used.cpus += job.spec.cpus * job.placed
                used.gpus += (job.spec.gpus or 0.0) * job.placed
            for machine in self.machines.values():
                for stray in machine.strays.values():
                    if stray.team in usage:
                        usage[stray.team].cpus += stray.cpus
                        usage[stray.team].gpus += stray.gpus
            stray_tasks = self.stray_tasks()
            for key, machine_id in decision.placed:
                self._place(key, machine_id, usage, stray_tasks, key[0] in decision.first)
            for job_id in dict.fromkeys(key[0] for key, _ in decision.placed):
                self._check_gang(job_id)
            for key, eviction in decision.evictions:
                self._evict(key, eviction)
            if plan is not None:
                self.fleet.carry_out(plan)
        self.last_decision = {
            "placed": len(decision.placed),
            "evictions": [
                {
                    "for": f"{key[0]}/{key[1]}",
                    "machine": eviction.machine,
                    "victims": [f"{victim.key[0]}/{victim.key[1]}" for victim in eviction.victims],
                }
                for key, eviction in decision.evictions
            ],
            "unmet": {job.spec.id: count for job, count in decision.unmet[:50]},
        }
        if plan is not None and log.isEnabledFor(logging.DEBUG):
            log.debug(
                "unmet %s; holding %s; nominated %s",
                self.last_decision["unmet"],
                {m.id: [p.task for p in m.placements.values()] for m in self.machines.values()},
                {f"{n.key[0]}/{n.key[1]}": n.machine for n in self.nominations.values()},
            )
        if self.dirty:
            self.ledger.flush()

    def _place(
        self, key: tuple[str, int], machine_id: str, usage: dict[str, Usage], stray_tasks: set[str], shielded: bool
    ) -> None:
        job = self.jobs.get(key[0])
        machine = self.machines.get(machine_id)
        if (
            job is None
            or machine is None
            or job.over
            or job.reload
            or machine.draining
            or machine.releasing
            or not machine.trusted
            or f"{key[0]}/{key[1]}" in stray_tasks
        ):
            return
        index = key[1]
        chunk = job.chunks.get(index // job.size)
        if index // job.size in job.done_chunks:
            return
        if chunk is not None and (index in chunk.done or index in chunk.placements):
            return
        spec = job.spec
        used = usage.setdefault(spec.team, Usage())
        if not within_limit(spec, self.teams.get(spec.team), used):
            return
        if not zone_allowed(spec, {z: n for z, n in job.zones.items() if n > 0}, machine.zone):
            return
        kind = self.types.get(machine.type)
        if kind is None:
            return
        if not self._has_room(machine, kind, spec):
            return
        used.cpus += spec.cpus
        used.gpus += spec.gpus or 0.0
        chunk = job.chunks.setdefault(index // job.size, Chunk())
        chunk.attempt = gangs.next_attempt(job) if spec.is_gang else chunk.attempt + 1
        chunk.dirty = True
        placement = Placement(
            job.id, index, chunk.attempt, machine_id, machine.zone, machine.spot, PLANNED, shielded=shielded
        )
        job.add(placement)
        job.served_at = self.clock.seconds()
        machine.placements[key] = placement
        machine.idle_since = machine.view = None
        self.nominations.pop(key, None)
        self.touch(job)
        log.info(
            "task %s attempt %d goes to %s, %.1f s after acceptance, image %s",
            placement.task,
            placement.attempt,
            machine_id,
            self.wall() - job.submitted,
            "there" if spec.image in machine.images else "to fetch",
        )

    def _check_gang(self, job_id: str) -> None:
        """Takes a gang back if not all of it could be placed."""
        job = self.jobs.get(job_id)
        if job is not None and job.spec.is_gang and gangs.stage(job) is gangs.Stage.BROKEN:
            for placement in list(job.placements()):
                if placement.state == PLANNED:
                    self.end(placement, "its gang is not complete")

    def _evict(self, key: tuple[str, int], eviction: Any) -> None:
        job = self.jobs.get(key[0])
        machine = self.machines.get(eviction.machine)
        if job is None or machine is None or job.over or machine.draining:
            return
        now = self.clock.seconds()
        longest = 0.0
        for victim in eviction.victims:
            placement = machine.placements.get(victim.key)
            if placement is None or placement.stop_grace is not None:
                continue  # a gang is stopped with the first of its tasks
            log.info("task %s on %s is stopped to make room for %s/%d", placement.task, machine.id, key[0], key[1])
            self.stop(placement)
            stopped = self.jobs.get(placement.job)
            if stopped is not None:
                stopped.stopped_for_others += victim.together
            longest = max(longest, placement.stop_grace or 0.0)
        for other in [k for k, n in self.nominations.items() if n.machine == machine.id and n.rank < job.spec.rank]:
            del self.nominations[other]
        until = now + longest + NOMINATION_REPORTS * self.settings.workers.report_s
        self.nominations[key] = Nomination(key, machine.id, job.spec.rank, job.spec, until)

    def status(self) -> dict[str, Any]:
        with self.lock:
            return {
                "jobs": {
                    "unfinished": len(self.jobs),
                    "waiting_tasks": sum(j.waiting for j in self.jobs.values()),
                    "placed_tasks": sum(j.placed for j in self.jobs.values()),
                },
                "machines": [
                    {
                        "id": m.id,
                        "type": m.type,
                        "zone": m.zone,
                        "spot": m.spot,
                        "up": m.up_since is not None,
                        "tasks": len(m.placements),
                        "draining": m.draining,
                    }
                    for m in self.machines.values()
                ],
                "commits": self.ledger.commits,
                "last_decision": self.last_decision,
            }
