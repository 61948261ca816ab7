"""The leader's talk with workers: what reports tell, and which commands go out."""

import logging
from typing import TYPE_CHECKING, Any

from twisted.internet import defer

from stileloft.bookkeeping import records
from stileloft.bookkeeping.model import BOUND, ENDED, Job, Machine, Placement, Stray
from stileloft.coordination import gangs
from stileloft.coordination.fleet import UNANSWERED_S
from stileloft.protocol import messages
from stileloft.protocol.messages import BUSY, EXITED, NO_ROOM, RUNNING, UNKNOWN, WAITING, Report, TaskReport
from stileloft.protocol.workers import NotDeliveredError, UncertainDeliveryError

if TYPE_CHECKING:
    from stileloft.coordination.leader import Term

log = logging.getLogger(__name__)

# Commands in one message; a body may hold 64 KiB.
MAX_COMMANDS = 200
# Repeats and retries, as parts of the report interval.
REPEAT_STOP = 1.0
RETRY = 0.4
# Claims under way at once, as a part of the sockets: a new leader claims hundreds of machines, and some hang.
CLAIMS_PART = 0.125
# Attempts that were stopped are forgotten after this many leases.
FORGET_LEASES = 4.0
# The counts that users see are written this soon after a task has begun to run.
COUNTS_FLUSH_S = 0.25


class Dispatch:
    def __init__(self, term: "Term") -> None:
        self.term = term
        self.report_s = term.settings.workers.report_s
        self.claims = 0
        """Claims under way. Those beyond the most at once are made in a later check."""
        self.most_claims = int(CLAIMS_PART * term.settings.quota.max_sockets)

    # -- reports --------------------------------------------------------------

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
            machine.uncertain_session = None
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
        machine.trusted = token == self.term.token
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
        for task in tasks:
            key = records.split_task(task.task)
            placement = machine.placements.get(key)
            if placement is not None and placement.attempt == task.attempt:
                unseen.pop(key, None)
                if placement.state != ENDED:
                    self._take_state(machine, placement, task, now)
            elif task.state == EXITED:
                self.forget_later(machine, task.task, task.attempt, task.why == "done")
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
            if not self.term.is_left_alone(records.split_task(task_id)[0]):
                log.info("task %s on %s is not ours to run there: stopping it", task_id, machine.id)
        machine.strays = strays

    def _take_absence(self, machine: Machine, placement: Placement) -> None:
        """The machine does not report a task that is placed there."""
        placement.seen = None
        if placement.state != BOUND:
            return
        if placement.sent_session is not None:
            if placement.sent_session < machine.session:
                # Sessions kill their tasks when they end, and starts sent in one fail in the next.
                self.term.tasks.end(placement, "its session is over")
        elif machine.draining or placement.stop_grace is not None:
            # The worker knows our token, so no older leader's start can be executed any more.
            self.term.tasks.end(placement, "it was not started")

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

    def on_report(self, report: Report) -> dict[str, Any]:
        """Takes in a report that a worker sent, and answers it."""
        term = self.term
        now = term.clock.seconds()
        machine = term.machine(report.machine)
        session, seq, before, claimed = machine.session, machine.seq, machine.heard_at, machine.claimed
        machine = self.observe(report)
        if (machine.session, machine.seq) == (session, seq):
            # A copy that comes late must show no sign of life. If it is the report itself, overtaken by the
            # answer to a command, its worker is to drop this answer: it must renew no lease that we don't count.
            return messages.orders(0, [])
        if machine.session != session:
            machine.reached_at = float("-inf")  # its tasks were lost though we answered: ask whether it hears us
        elif claimed and now - before < UNANSWERED_S:
            # Or it would not report to us again so soon. What came first may have been an old report, so it counts
            # only once the worker is known to have our token.
            machine.reached_at = max(machine.reached_at, before)
        machine.renewed_at = machine.came_at = now
        # Stops do no harm, even if we lead no longer: the token sees to that. A worker that does not know ours
        # learns it with this answer, which renews its lease, and so has to tell it what is cancelled.
        commands = self._stops(machine, renewing=True)
        if machine.trusted and term.confirmed():
            commands += self._forgets(machine)
        if not machine.trusted or (not machine.sending and self._starts(machine)):
            self.send(machine)
        return messages.orders(term.token, commands[:MAX_COMMANDS])

    # -- commands ---------------------------------------------------------------

    def reaches(self, machine: Machine, now: float) -> bool:
        """Whether the machine showed lately that it hears us: one that is only heard is of no use."""
        return now - machine.reached_at <= self.term.fleet.reached_s

    def _starts(self, machine: Machine) -> list[Placement]:
        """Placements whose task has to be started, or whose start has to be repeated."""
        term = self.term
        if not machine.placements:
            return []
        if not term.confirmed() or not term.watch.is_fresh() or not machine.trusted or machine.releasing:
            return []
        # A start without an answer may be executed at any later time. One that is to be stopped by
        # now is repeated too: only a task that was seen can be told to exit, and so be let go.
        found = [
            p
            for p in machine.placements.values()
            if p.state == BOUND
            and p.seen is None
            and not term.cluster.is_over(p.job)
            and (p.stop_grace is None or p.sent_session == machine.session)
        ]
        # None of a gang is started before all of it is known to be placed. One that is to be stopped is repeated.
        ready = {job_id: gangs.may_start(term.jobs[job_id]) for job_id in {p.job for p in found}}
        return [p for p in found if p.stop_grace is not None or ready[p.job]]

    def _stops(self, machine: Machine, renewing: bool = False) -> list[dict[str, Any]]:
        """What the machine has to stop; `renewing`: for an answer, which tells it of all jobs that are over."""
        now = self.term.clock.seconds()
        commands, others = [], []
        for placement in machine.placements.values():
            if placement.stop_grace is None or placement.state != BOUND:
                continue
            command = messages.stop(placement.task, placement.attempt, placement.stop_grace)
            if renewing and self.term.cluster.is_over(placement.job):
                # Whatever became of the stops before: the lease is renewed, so this answer has to carry one.
                placement.stop_at = now
                commands.append(command)
            elif now >= placement.stop_at + REPEAT_STOP * self.report_s and not (
                placement.seen is None and placement.sent_session is None
            ):
                placement.stop_at = now
                others.append(command)
        commands += others
        commands += [
            messages.stop(task, stray.attempt, 0.0)
            for task, stray in machine.strays.items()
            if not self.term.is_left_alone(records.split_task(task)[0])
        ]
        return commands

    def _forgets(self, machine: Machine) -> list[dict[str, Any]]:
        """Exited tasks that the store no longer places here.

        None while a start may still be executed: it would run a forgotten attempt again.
        """
        if machine.sending or machine.uncertain_session == machine.session:
            return []
        now = self.term.clock.seconds()
        due = [(task, entry[0]) for task, entry in machine.forgets.items() if entry[1] <= now][:MAX_COMMANDS]
        for task, _ in due:
            del machine.forgets[task]  # what is reported again is forgotten again
        return [messages.forget(task, attempt) for task, attempt in due]

    def forget_later(self, machine: Machine, task: str, attempt: int, done: bool) -> None:
        """Has an exited task forgotten that the store no longer places there.

        A repeat of its start may still come, and would run a forgotten attempt again, perhaps beside a
        newer one elsewhere. So attempts that were stopped stay known for as long as repeats may come;
        a task that is done only says so again.
        """
        known = machine.forgets.get(task)
        if known is None or known[0] != attempt:
            wait_s = 0.0 if done else FORGET_LEASES * self.term.settings.workers.lease_s
            machine.forgets[task] = attempt, self.term.clock.seconds() + wait_s

    def send(self, machine: Machine) -> None:
        """Sends what the machine has to do, one message at a time."""
        term = self.term
        now = term.clock.seconds()
        if machine.sending or not machine.address or now < machine.retry_at or self._is_settled(machine, now):
            return
        if not term.confirmed() or not term.loaded:
            return
        starts = self._starts(machine)[:MAX_COMMANDS]
        commands = self._stops(machine)
        known = machine.trusted and (self.reaches(machine, now) or not machine.reported)
        if not commands and not starts and (known or not self._worth_claiming(machine)):
            return  # exited tasks can wait for the answer to the next report
        claim = not commands and not starts
        if claim and self.claims >= self.most_claims:
            return
        commands += self._forgets(machine)
        commands += [messages.start(p.task, p.attempt) for p in starts]
        machine.sending = True
        session = machine.session or 1
        for placement in starts:
            placement.sent_session = session
        self.claims += claim
        defer.ensureDeferred(self._send(machine, session, commands, starts, claim))

    def _is_settled(self, machine: Machine, now: float) -> bool:
        """Whether it is plain that there is nothing to send, as for most of a large fleet, which is looked at often."""
        return machine.trusted and not machine.placements and not machine.strays and self.reaches(machine, now)

    @staticmethod
    def _worth_claiming(machine: Machine) -> bool:
        """A machine that is still booting answers nothing, and reports by itself when it is up."""
        return machine.reported or bool(machine.placements) or machine.listed_state == "running"

    async def _send(
        self, machine: Machine, session: int, commands: list[dict[str, Any]], starts: list[Placement], claim: bool
    ) -> None:
        term = self.term
        try:
            try:
                executed, report = await term.workers.command(machine.address, term.token, session, commands)
            finally:
                self.claims -= claim
        except (NotDeliveredError, UncertainDeliveryError) as error:
            machine.sending = False
            if isinstance(error, UncertainDeliveryError) and starts:
                machine.uncertain_session = session
            machine.send_failures += 1
            machine.retry_at = term.clock.seconds() + RETRY * self.report_s * min(4, machine.send_failures)
            log.info("commands to %s: %s", machine.id, error)
            return
        machine.sending = False
        if not term.alive:
            return
        machine.send_failures = 0
        if executed:
            machine.reached_at = term.clock.seconds()
        if report.token > term.token:
            term.node.integrity.saw_token(report.token)
            term.node.election.doubt(f"{machine.id} knows token {report.token}")
            return
        with term.lock:
            self.observe(report)
        if not executed and session != machine.session:
            self.send(machine)
        elif (
            self._starts(machine)
            or machine.trusted
            and any(p.stop_grace is not None and p.stop_at == 0.0 for p in machine.placements.values())
        ):
            term.clock.callLater(RETRY * self.report_s, self.send, machine)
        term.after_report()
