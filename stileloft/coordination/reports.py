"""What workers' reports tell the leader of machines and tasks."""

import logging
from typing import TYPE_CHECKING

from stileloft.bookkeeping import records
from stileloft.bookkeeping.model import BOUND, ENDED, Job, Machine, Placement, Stray
from stileloft.protocol.messages import BUSY, EXITED, NO_ROOM, RUNNING, UNKNOWN, WAITING, Report, TaskReport

if TYPE_CHECKING:
    from stileloft.coordination.leader import Term

log = logging.getLogger(__name__)

# The counts that users see are written this soon after a task has begun to run.
COUNTS_FLUSH_S = 0.25


class Reports:
    """Takes in reports, in the order in which their workers made them.

    All methods are called with the term's lock held.
    """

    def __init__(self, term: "Term") -> None:
        self.term = term
        self.report_s = term.settings.workers.report_s

    def observe(self, report: Report) -> Machine:
        """Takes in a report, unless a newer one is known."""
        term = self.term
        now = term.clock.seconds()
        machine = term.machine(report.machine)
        if machine.reported and (report.session, report.seq) <= (machine.session, machine.seq):
            return machine
        machine.heard_at = now
        if not machine.reported or report.address != machine.address:
            machine.address = report.address
        machine.type, machine.zone, machine.spot = report.type, report.zone, report.spot
        if machine.up_since is None:
            self._came_up(machine, now)
        new_session = report.session != machine.session
        machine.session, machine.seq = report.session, report.seq
        self._take_token(machine, report.token, new_session, now)
        machine.reported = True
        if new_session:
            machine.barred_starts.clear()
            machine.forgets.clear()
            machine.strays.clear()
            machine.view = None
        if report.notice_s is not None and machine.notice_until is None:
            log.info("machine %s will be taken away in %.1f s", machine.id, report.notice_s)
            machine.notice_until = now + report.notice_s
            machine.draining = "taken away"
            term.request_round()
        if machine.trusted and term.loaded:
            # Before the store was read, all of its tasks would look as if they were not to be there, and be stopped.
            self._take_tasks(machine, report.tasks, now)
        machine.idle_since = None if machine.placements or machine.strays else (machine.idle_since or now)
        return machine

    def _came_up(self, machine: Machine, now: float) -> None:
        """The machine's first report of all."""
        machine.up_since = now
        machine.view = None
        # Failures from before it was up say nothing about it.
        machine.send_failures, machine.retry_at = 0, 0.0
        kind = ", spot" if machine.spot else ""
        log.info("machine %s is up: %s in %s%s", machine.id, machine.type, machine.zone, kind)
        self.term.fleet.came_up(machine)
        self.term.request_round()

    def _take_token(self, machine: Machine, token: int, new_session: bool, now: float) -> None:
        """Whether its report can be believed: it carries our own token."""
        was_trusted = machine.trusted
        machine.trusted = self.term.tokens.is_own(token)
        machine.known_token = token
        claims = machine.trusted and not machine.claimed
        if new_session or claims:
            # A session that nobody answers lasts for a lease as well, and what was started in it lives as long.
            machine.renewed_at = now
        if claims:
            machine.claimed = True
            machine.came_at = now  # it reports by itself at once, having learned our token
        if machine.trusted and not was_trusted:
            self.term.request_round()

    def _take_tasks(self, machine: Machine, tasks: list[TaskReport], now: float) -> None:
        unseen = dict(machine.placements)
        strays: dict[str, Stray] = {}
        self.term.dispatch.fence.take_report(machine, tasks)
        for task in tasks:
            key = records.split_task(task.task)
            placement = machine.placements.get(key)
            if placement is not None and placement.attempt == task.attempt:
                unseen.pop(key, None)
                if placement.state != ENDED:
                    self._take_state(machine, placement, task, now)
            elif task.state == EXITED:
                self.term.pending.forget_later(machine, task.task, task.attempt, task.why == "done")
            else:
                strays[task.task] = self._stray(key[0], task)
        self._take_strays(machine, strays)
        for placement in unseen.values():
            self._take_absence(machine, placement)

    def _take_strays(self, machine: Machine, strays: dict[str, Stray]) -> None:
        """Tasks on the machine that the store does not place there."""
        if machine.strays.keys() - strays.keys():
            self.term.request_round()
        if strays.keys() != machine.strays.keys():
            machine.view = None
        for task_id in strays.keys() - machine.strays.keys():
            if self.term.authority.stop_task(task_id) is None:
                log.info("task %s on %s is not ours to run there: stopping it", task_id, machine.id)
        machine.strays = strays

    def _take_absence(self, machine: Machine, placement: Placement) -> None:
        """The machine does not report a task that is placed there."""
        placement.seen = None
        if placement.state != BOUND:
            return
        unwanted = machine.draining is not None or placement.stop_grace is not None
        if placement.sent_session is None:
            if unwanted:
                # The worker knows our token, so no older leader's start can be executed any more.
                self.term.tasks.end(placement, "it was not started")
        elif placement.sent_session < machine.session:
            # Sessions kill their tasks when they end, and starts sent in one fail in the next.
            self.term.tasks.end(placement, "its session is over")
        elif unwanted and machine.open_starts.get(placement.task, placement.attempt) is None:
            self.term.dispatch.fence.barred(machine, placement)
            self.term.tasks.end(placement, "its start was barred before it came")

    def _stray(self, job_id: str, task: TaskReport) -> Stray:
        job = self.term.jobs.get(job_id)
        if job is None:
            return Stray(task.attempt, 0.0, 0.0, 0.0, "")
        spec = job.spec
        return Stray(task.attempt, spec.cpus, spec.gpus or 0.0, spec.memory_gb, spec.team)

    def _take_state(self, machine: Machine, placement: Placement, task: TaskReport, now: float) -> None:
        if task.state == EXITED:
            self._take_exit(machine, placement, task.why, now)
        elif placement.seen != task.state:
            placement.seen = task.state
            machine.view = None
            job = self.term.jobs.get(placement.job)
            if job is not None and task.state in (WAITING, RUNNING):
                # One that waits for the others of its gang has its image too, but has not begun.
                self.term.fleet.images.seen(machine, job.spec.image)
            if task.state == RUNNING:
                self._take_running(placement, job, now)

    def _take_running(self, placement: Placement, job: Job | None, now: float) -> None:
        if placement.running_since is None:
            placement.running_since = now
        if job is None:
            return
        if not job.begun:
            log.info("job %s begins, %.1f s after acceptance", job.id, self.term.wall() - job.submitted)
        job.begun = True
        self.term.cluster.mark_counts(job)
        self.term.ledger.later(COUNTS_FLUSH_S)

    def _take_exit(self, machine: Machine, placement: Placement, why: str | None, now: float) -> None:
        """What follows from a task's end; of a gang that lost a task the whole comes again, at once."""
        tasks = self.term.tasks
        placement.seen = EXITED
        if why == "done":
            tasks.completed(machine, placement, now)
            return
        if why == "error":
            tasks.failed(machine, placement)
        elif why == NO_ROOM:
            log.info("task %s did not fit on %s", placement.task, machine.id)
            tasks.avoid(placement, machine.id, 2 * self.report_s)
        elif why == UNKNOWN:
            log.info("task %s is not known to %s", placement.task, machine.id)
            tasks.delay(placement.job, self.report_s / 2)
        elif why == BUSY:
            # The other attempt is listed too, and is stopped as a stray; meanwhile go elsewhere.
            log.info("task %s is on %s with another attempt", placement.task, machine.id)
            tasks.avoid(placement, machine.id, self.term.settings.workers.lease_s)
        tasks.end(placement, why or "exited")
