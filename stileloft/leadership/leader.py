"""A leader's term: what one leadership knows, and the parts that act on it."""

import logging
import threading
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.jobs.job_watch import JobWatch
from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.authority import Authority
from stileloft.leadership.failover import recover
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.machines.fleet import Fleet
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine
from stileloft.protocol.commands import CommandMessage
from stileloft.protocol.messages import Heartbeat, JobSpec, MachineType
from stileloft.protocol.state import UnavailableError, UnknownOutcomeError
from stileloft.rebuild import operator_decisions as decisions
from stileloft.scheduling.scheduling_loop import SchedulingLoop
from stileloft.scheduling.snapshot_builder import SnapshotBuilder
from stileloft.scheduling.workload import Workload
from stileloft.store.commit_queue import CommitQueue
from stileloft.store.format_upgrade import FormatUpgrade
from stileloft.store.job_transaction import JobTransaction, StoreLimits
from stileloft.workers.command_planner import CommandPlanner
from stileloft.workers.dispatcher import CommandDispatcher
from stileloft.workers.heartbeats import HeartbeatProcessor

if TYPE_CHECKING:
    from stileloft.controller.controller import Controller

log = logging.getLogger(__name__)

CHECK_S = 0.5
# Pauses between attempts to read the store when a term begins: after a refusal, and after a defect.
RECOVERY_RETRY_S = 0.3
RECOVERY_DEFECT_S = 1.0
# Reports that come close together share one commit.
HEARTBEAT_FLUSH_S = 0.02


class Leader:
    """All that one leadership knows; nothing outlives it."""

    def __init__(self, node: "Controller", token: int, key_version: int) -> None:
        self.node = node
        self.tokens = FencingTokens(token, key_version)
        self._key_version = key_version
        self.nonce = node.nonce
        self.clock = node.reactor
        self.wall_clock = node.wall_clock
        self.settings = node.settings.deployment
        self.state = node.state
        self.cloud = node.cloud
        self.workers = node.workers
        self.write_budget = node.leader_write_budget
        self.teams = node.teams
        self.renewal_grace_s = node.renewal_grace_s
        self.sleep = node.sleep
        self.alive = True
        self.store_loaded = False
        self.started_at = self.clock.seconds()
        self.lock = threading.Lock()
        self.cluster = ClusterState()
        self.jobs = self.cluster.jobs
        self.machines = self.cluster.machines
        self.undescribed_jobs: frozenset[str] = frozenset()
        """Jobs of which only workers' reports tell: what runs of them goes on until an operator decides."""
        self.limits = StoreLimits(self.settings.state)
        self.workload = Workload(self.settings.objectives, self.wall_clock, lambda: self.types)
        self.invariants = node.invariants
        self.authority = Authority(self)
        self.commit_queue = CommitQueue(self)
        self.planner = CommandPlanner(self)
        self.heartbeats = HeartbeatProcessor(self)
        self.dispatcher = CommandDispatcher(self)
        self.fleet = Fleet(self)
        self.tasks = TaskLifecycle(self)
        self.watch = JobWatch(self)
        self.upgrade = FormatUpgrade(self)
        self.snapshots = SnapshotBuilder(self)
        self.scheduling = SchedulingLoop(self)

    @property
    def types(self) -> dict[str, MachineType]:
        """The cloud's machine types, with the prices of the moment."""
        return self.node.types

    @property
    def token(self) -> int:
        """What workers are told unless one of them has to see a higher one."""
        return self.tokens.first

    # -- life -------------------------------------------------------------------

    def begin(self) -> None:
        """Starts the term's work."""
        defer.ensureDeferred(self._take_over())

    def finish(self) -> None:
        """Ends the term: nothing is decided, sent or stored any more."""
        self.alive = False
        self.scheduling.stop()

    def holds_lease(self) -> bool:
        """Whether the leader's lease is known to be held at this moment."""
        return self.alive and self.node.election.holds_lease()

    def leader_guard(self) -> dict[str, int]:
        """The condition of our transactions that no other leader has been elected since."""
        return {records.LEADER: self._key_version}

    def may_renew(self) -> bool:
        """Whether an answer of ours may renew a worker's lease."""
        return self.authority.check_renewal() is None

    def depose(self, reason: str) -> None:
        """Gives up the leadership."""
        if self.alive:
            self.node.election.step_down(reason)

    async def _take_over(self) -> None:
        """Reads what is unfinished, then claims the machines that are known."""
        defer.ensureDeferred(self.fleet.list_loop())
        while self.alive:
            try:
                await recover(self)
                break
            except (UnavailableError, UnknownOutcomeError) as error:
                log.info("taking over: %s", error)
                await self.sleep(RECOVERY_RETRY_S)
            except Exception:
                log.exception("taking over")
                await self.sleep(RECOVERY_DEFECT_S)
        if not self.alive:
            return
        self.store_loaded = True
        with self.lock:
            # Where tasks are comes first: their ends and what is to be stopped wait for it.
            for machine in sorted(self.machines.values(), key=lambda machine: not machine.placements):
                self.dispatcher.send(machine)
        log.info(
            "took over %d jobs and %d machines at revision %d in %.2f s",
            len(self.jobs),
            len(self.machines),
            self.watch.revision,
            self.clock.seconds() - self.started_at,
        )
        defer.ensureDeferred(self.watch.run())
        defer.ensureDeferred(self.fleet.images.run())
        defer.ensureDeferred(self.upgrade.run())
        if self.node.integrity.can_be_lost:
            defer.ensureDeferred(decisions.carry_out(self))
        self._check()
        self.request_scheduling()

    # -- the picture: called with the lock held ------------------------------------

    def adopt_job(self, job: Job) -> None:
        """Takes in an accepted job."""
        self.jobs[job.id] = job
        job.accepted_at = self.clock.seconds() - max(0.0, self.wall_clock() - job.submitted)
        self.workload.observe(job.spec, job.submitted)
        most = records.tasks_in(self.limits.value_bytes)
        if self.node.format >= records.SIZED_FORMAT:
            if not job.chunk_size_stored:
                self.cluster.dirty[job.id] = None
        elif most < job.chunk_size:
            # Its chunks must have one record each, within the limit to come.
            job.max_placed_per_chunk = most

    def awaits_operator(self, job_id: str) -> bool:
        """Whether a job's tasks run on though the store places none of them: only workers' reports tell of it."""
        return job_id in self.undescribed_jobs and job_id not in self.jobs

    def remove_job(self, job: Job) -> None:
        """Lets go of a job of which nothing is left."""
        self.cluster.remove_job(job.id)
        self.watch.job_removed(job.id)

    def machine(self, machine_id: str) -> Machine:
        """The machine of this name, new or known."""
        machine = self.machines.get(machine_id)
        if machine is None:
            machine = Machine(machine_id, first_seen=self.clock.seconds(), token=self.tokens.first)
            machine.images = dict.fromkeys(self.fleet.images.of_former_leader(machine_id))
            self.machines[machine_id] = machine
        return machine

    def headroom(self, gang: bool) -> list[tuple[JobSpec, int]]:
        """Tasks that are to find room at once if they come now."""
        # What has not been seen in the first moments of a term may only not have been read yet.
        settled = self.clock.seconds() - self.started_at > self.settings.workers.heartbeat_s
        return self.workload.headroom(gang, self.node.operator_settings, unseen=gang and settled)

    # -- events -------------------------------------------------------------------

    def on_heartbeat(self, heartbeat: Heartbeat) -> CommandMessage:
        """Takes in a worker's report, and answers it."""
        if heartbeat.machine in self.fleet.released_machines:
            # Held back on its way: the cloud has told us that the machine is gone. Believing
            # it would bring the machine back to life here, and place tasks on nothing.
            return CommandMessage(self.tokens.first, [])
        with self.lock:
            answer = self.dispatcher.on_heartbeat(heartbeat)
        self.after_heartbeat()
        return answer

    def on_unanswered_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Takes in a report whose worker must not count on us: before the store is read, or once we know too little."""
        if heartbeat.machine not in self.fleet.released_machines:
            with self.lock:
                self.heartbeats.process(heartbeat)

    def after_heartbeat(self) -> None:
        """Has written what a report has changed."""
        if self.cluster.dirty and self.store_loaded:
            self.commit_queue.flush_within(HEARTBEAT_FLUSH_S)

    def after_commit(self, batch: list[JobTransaction]) -> None:
        """Starts what was bound, at once, and looks for use of what was freed."""
        machines = dict.fromkeys(p.machine for entry in batch for p in entry.bound)
        machines |= dict.fromkeys(self.dispatcher.fencing.take_waiting_machines())
        with self.lock:
            for machine_id in machines:
                machine = self.machines.get(machine_id)
                if machine is not None:
                    self.dispatcher.send(machine)
        if any(entry.ended for entry in batch):
            self.request_scheduling()

    def request_scheduling(self) -> None:
        """Asks for a round of decisions."""
        self.scheduling.request()

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
                    self.dispatcher.send(machine)
                self.cluster.expire_nominations(self.clock.seconds())
        except Exception:
            log.exception("check")
        if self.cluster.dirty:
            self.commit_queue.flush()
        self.request_scheduling()

    def status(self) -> dict[str, Any]:
        """What the administration API shows of the term."""
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
                        "draining": m.drain_reason,
                    }
                    for m in self.machines.values()
                ],
                "commits": self.commit_queue.commits,
                "commands": self.dispatcher.status(),
                "knowledge": {
                    "store_read": self.store_loaded,
                    "watch_revision": self.watch.revision,
                    "cancellations_known_s_ago": round(min(1e9, self.watch.staleness_s()), 3),
                    "lease_renewed_s_ago": round(self.node.election.seconds_since_renewal(), 3),
                },
                "last_decision": self.scheduling.last_decision,
            }
