"""What workers' reports tell the leader of machines and tasks."""

import logging
from collections.abc import Callable

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.authority import Authority
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.machines.boot_monitor import BootMonitor
from stileloft.machines.image_locations import ImageLocations
from stileloft.machines.registry import MachineRegistry
from stileloft.model import records
from stileloft.model.cluster import ClusterState
from stileloft.model.jobs import Job
from stileloft.model.machines import Machine, OrphanedTask
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import BUSY, EXITED, NO_ROOM, RUNNING, UNKNOWN, WAITING, Heartbeat, TaskStatus
from stileloft.settings import Workers
from stileloft.store.flush_timer import FlushTimer
from stileloft.transport.clock import Clock, WallClock
from stileloft.workers.fencing import MachineFencing
from stileloft.workers.forget_scheduler import ForgetScheduler

log = logging.getLogger(__name__)

# The counts that users see are written this soon after a task has begun to run.
COUNTS_FLUSH_S = 0.25


class HeartbeatProcessor:
    """Takes in reports, in the order in which their workers made them.

    All methods are called with the term's lock held.
    """

    def __init__(
        self,
        cluster: ClusterState,
        machines: MachineRegistry,
        lifecycle: TaskLifecycle,
        fencing: MachineFencing,
        forgets: ForgetScheduler,
        authority: Authority,
        tokens: FencingTokens,
        boots: BootMonitor,
        images: ImageLocations,
        flush_timer: FlushTimer,
        clock: Clock,
        wall_clock: WallClock,
        timings: Workers,
        request_scheduling: Callable[[], None],
    ) -> None:
        self._cluster = cluster
        self._machines = machines
        self._lifecycle = lifecycle
        self._fencing = fencing
        self._forgets = forgets
        self._authority = authority
        self._tokens = tokens
        self._boots = boots
        self._images = images
        self._flush_timer = flush_timer
        self._clock = clock
        self._wall_clock = wall_clock
        self._timings = timings
        self._request_scheduling = request_scheduling

    def process(self, heartbeat: Heartbeat) -> Machine:
        """Takes in a report, unless a newer one is known."""
        now = self._clock.seconds()
        machine = self._machines.get_or_create(heartbeat.machine)
        if machine.heartbeat_received and (heartbeat.epoch, heartbeat.sequence) <= (machine.epoch, machine.sequence):
            return machine
        machine.last_heartbeat_at = now
        if not machine.heartbeat_received or heartbeat.address != machine.address:
            machine.address = heartbeat.address
        machine.type, machine.zone, machine.spot = heartbeat.type, heartbeat.zone, heartbeat.spot
        if machine.up_since is None:
            self._record_boot(machine, now)
        new_epoch = heartbeat.epoch != machine.epoch
        machine.epoch, machine.sequence = heartbeat.epoch, heartbeat.sequence
        self._update_token(machine, heartbeat.token, new_epoch, now)
        machine.heartbeat_received = True
        if new_epoch:
            machine.fenced_starts.clear()
            machine.pending_forgets.clear()
            machine.orphaned_tasks.clear()
            machine.scheduling_view = None
        if heartbeat.reclaim_in_s is not None and machine.reclaim_at is None:
            log.info("machine %s will be taken away in %.1f s", machine.id, heartbeat.reclaim_in_s)
            machine.reclaim_at = now + heartbeat.reclaim_in_s
            machine.drain_reason = "taken away"
            self._request_scheduling()
        if machine.has_current_token and self._cluster.loaded:
            # Before the store was read, all of its tasks would look as if they were not to be there, and be stopped.
            self._update_tasks(machine, heartbeat.tasks, now)
        machine.idle_since = None if machine.placements or machine.orphaned_tasks else (machine.idle_since or now)
        return machine

    def _record_boot(self, machine: Machine, now: float) -> None:
        """The machine's first report of all."""
        machine.up_since = now
        machine.scheduling_view = None
        # Failures from before it was up say nothing about it.
        machine.send_failures, machine.retry_at = 0, 0.0
        kind = ", spot" if machine.spot else ""
        log.info("machine %s is up: %s in %s%s", machine.id, machine.type, machine.zone, kind)
        self._boots.record_boot(machine)
        self._request_scheduling()

    def _update_token(self, machine: Machine, token: int, new_epoch: bool, now: float) -> None:
        """Whether its report can be believed: it carries our own token."""
        had_current_token = machine.has_current_token
        machine.has_current_token = self._tokens.is_own(token)
        machine.acknowledged_token = token
        claims = machine.has_current_token and not machine.claimed
        if new_epoch or claims:
            # A session that nobody answers lasts for a lease as well, and what was started in it lives as long.
            machine.lease_renewed_at = now
        if claims:
            machine.claimed = True
            machine.last_pushed_heartbeat_at = now  # it reports by itself at once, having learned our token
        if machine.has_current_token and not had_current_token:
            self._request_scheduling()

    def _update_tasks(self, machine: Machine, tasks: list[TaskStatus], now: float) -> None:
        unseen = dict(machine.placements)
        orphaned_tasks: dict[str, OrphanedTask] = {}
        self._fencing.process_heartbeat(machine, tasks)
        for task in tasks:
            key = records.split_task(task.task)
            placement = machine.placements.get(key)
            if placement is not None and placement.attempt == task.attempt:
                unseen.pop(key, None)
                if placement.state != PlacementState.ENDED:
                    self._update_placement(machine, placement, task, now)
            elif task.state == EXITED:
                self._forgets.schedule(machine, task.task, task.attempt, task.why == "done")
            else:
                orphaned_tasks[task.task] = self._orphaned_task(key[0], task)
        self._update_orphaned_tasks(machine, orphaned_tasks)
        for placement in unseen.values():
            self._handle_missing_task(machine, placement)

    def _update_orphaned_tasks(self, machine: Machine, orphaned_tasks: dict[str, OrphanedTask]) -> None:
        """Tasks on the machine that the store does not place there."""
        if machine.orphaned_tasks.keys() - orphaned_tasks.keys():
            self._request_scheduling()
        if orphaned_tasks.keys() != machine.orphaned_tasks.keys():
            machine.scheduling_view = None
        for task_id in orphaned_tasks.keys() - machine.orphaned_tasks.keys():
            if self._authority.check_stop_task(task_id) is None:
                log.info("task %s on %s is not ours to run there: stopping it", task_id, machine.id)
        machine.orphaned_tasks = orphaned_tasks

    def _handle_missing_task(self, machine: Machine, placement: Placement) -> None:
        """The machine does not report a task that is placed there."""
        placement.reported_state = None
        if placement.state != PlacementState.BOUND:
            return
        unwanted = machine.drain_reason is not None or placement.stop_grace_s is not None
        if placement.sent_epoch is None:
            if unwanted:
                # The worker knows our token, so no older leader's start can be executed any more.
                self._lifecycle.end(placement, "it was not started")
        elif placement.sent_epoch < machine.epoch:
            # Sessions kill their tasks when they end, and starts sent in one fail in the next.
            self._lifecycle.end(placement, "its session is over")
        elif unwanted and machine.inflight_starts.get(placement.task, placement.attempt) is None:
            self._fencing.record_fenced(machine, placement)
            self._lifecycle.end(placement, "its start was barred before it came")

    def _orphaned_task(self, job_id: str, task: TaskStatus) -> OrphanedTask:
        job = self._cluster.jobs.get(job_id)
        if job is None:
            return OrphanedTask(task.attempt, 0.0, 0.0, 0.0, "")
        spec = job.spec
        return OrphanedTask(task.attempt, spec.cpus, spec.gpus or 0.0, spec.memory_gb, spec.team)

    def _update_placement(self, machine: Machine, placement: Placement, task: TaskStatus, now: float) -> None:
        if task.state == EXITED:
            self._handle_exit(machine, placement, task.why, now)
        elif placement.reported_state != task.state:
            placement.reported_state = task.state
            machine.scheduling_view = None
            job = self._cluster.jobs.get(placement.job)
            if job is not None and task.state in (WAITING, RUNNING):
                # One that waits for the others of its gang has its image too, but has not begun.
                self._images.record_use(machine, job.spec.image)
            if task.state == RUNNING:
                self._record_running(placement, job, now)

    def _record_running(self, placement: Placement, job: Job | None, now: float) -> None:
        if placement.running_since is None:
            placement.running_since = now
        if job is None:
            return
        if not job.started:
            log.info("job %s begins, %.1f s after acceptance", job.id, self._wall_clock() - job.submitted)
        job.started = True
        self._cluster.mark_counts(job)
        self._flush_timer.within(COUNTS_FLUSH_S)

    def _handle_exit(self, machine: Machine, placement: Placement, exit_reason: str | None, now: float) -> None:
        """What follows from a task's end; of a gang that lost a task the whole comes again, at once."""
        tasks = self._lifecycle
        placement.reported_state = EXITED
        if exit_reason == "done":
            tasks.record_completion(machine, placement, now)
            return
        if exit_reason == "error":
            tasks.record_failure(machine, placement)
        elif exit_reason == NO_ROOM:
            log.info("task %s did not fit on %s", placement.task, machine.id)
            tasks.back_off_from_machine(placement, machine.id, 2 * self._timings.heartbeat_s)
        elif exit_reason == UNKNOWN:
            log.info("task %s is not known to %s", placement.task, machine.id)
            tasks.back_off_job(placement.job, self._timings.heartbeat_s / 2)
        elif exit_reason == BUSY:
            # The other attempt is listed too, and is stopped as a stray; meanwhile go elsewhere.
            log.info("task %s is on %s with another attempt", placement.task, machine.id)
            tasks.back_off_from_machine(placement, machine.id, self._timings.lease_s)
        tasks.end(placement, exit_reason or "exited")
