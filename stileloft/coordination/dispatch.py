"""The leader's talk with workers: what reports tell, and which commands go out."""

import logging
from typing import TYPE_CHECKING, Any

import msgspec
from twisted.internet import defer

from stileloft.bookkeeping import records
from stileloft.bookkeeping.model import BOUND, ENDED, Forget, Job, Machine, Placement, Stray
from stileloft.bookkeeping.starts import StartKey
from stileloft.coordination.authority import Refusal
from stileloft.coordination.fence import Fence
from stileloft.coordination.fleet import UNANSWERED_S
from stileloft.protocol import messages
from stileloft.protocol.messages import BUSY, EXITED, NO_ROOM, RUNNING, UNKNOWN, WAITING, Report, TaskReport
from stileloft.protocol.workers import NotDeliveredError, UncertainDeliveryError

if TYPE_CHECKING:
    from stileloft.coordination.leader import Term

log = logging.getLogger(__name__)

# Commands in one direct message, and in an answer; a body may hold 64 KiB, and a stop takes some 110 bytes at the most.
MAX_COMMANDS = 200
MOST_IN_ANSWER = 500
# The token of an answer that its worker is to drop: it renews no lease.
NO_TOKEN = 0
# Starts in doubt that `GET /status` shows one by one.
SHOWN_IN_DOUBT = 50
# Repeats and retries, as parts of the report interval.
REPEAT_STOP = 1.0
RETRY = 0.4
# Claims under way at once, as a part of the sockets: a new leader claims hundreds of machines, and some hang.
CLAIMS_PART = 0.125
# Attempts that were stopped are forgotten after this many leases.
FORGET_LEASES = 4.0
# The counts that users see are written this soon after a task has begun to run.
COUNTS_FLUSH_S = 0.25


class Metrics(msgspec.Struct):
    """What was sent in this term; counts."""

    starts_sent: int = 0
    """Starts that went out, repeats included."""
    starts_answered: int = 0
    starts_in_doubt: int = 0
    """Attempts of which a message got no answer."""
    withdrawn: int = 0
    """Messages that were not right any more when their connection was there."""
    withheld_renewals: int = 0
    """Answers that would have kept a cancelled task alive, and renewed no lease."""


class Dispatch:
    """Reports, answers and direct commands. What may be sent is decided by `authority`, which tokens by `fence`."""

    def __init__(self, term: "Term") -> None:
        self.term = term
        self.fence = Fence(term)
        self.metrics = Metrics()
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
            machine.fenced_starts.clear()
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
        self.fence.take_report(machine, tasks)
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
            self.fence.barred(machine, placement)
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
            return messages.orders(NO_TOKEN, [])
        if machine.session != session:
            machine.reached_at = float("-inf")  # its tasks were lost though we answered: ask whether it hears us
        elif claimed and now - before < UNANSWERED_S:
            # Or it would not report to us again so soon. What came first may have been an old report, so it counts
            # only once the worker is known to have our token.
            machine.reached_at = max(machine.reached_at, before)
        machine.came_at = now
        answer = self._renewal(machine, now)
        if not machine.trusted or (not machine.sending and self._starts(machine)):
            self.send(machine)
        return answer

    def _renewal(self, machine: Machine, now: float) -> dict[str, Any]:
        """An answer that renews a worker's lease, or one that its worker drops if that would break the bound.

        A worker that does not know our token learns it with this answer. So it has to tell of all that is cancelled:
        the stops of what may run, and a token that bars what may still start. If not all of it fits in, the lease is
        not renewed; direct commands stop the rest, and if they don't come through, the end of the lease does.
        """
        fenced = self.fence.raise_token(machine, now)
        commands = self._stops(machine, renewing=True)
        required = self._required_stops(machine)
        told = {(command["piece"], command["try"]) for command in commands[:MOST_IN_ANSWER]}
        if not fenced or not required <= told:
            self.metrics.withheld_renewals += 1
            log.info("the lease of %s is not renewed: its answer cannot bar and stop all that is cancelled", machine.id)
            self.send(machine)
            return messages.orders(NO_TOKEN, [])
        if not self.fence.check_renewal(machine, told):
            return messages.orders(NO_TOKEN, [])
        machine.renewed_at = now
        commands += self._forgets(machine)
        return messages.orders(machine.token, commands[:MOST_IN_ANSWER])

    def _required_stops(self, machine: Machine) -> set[StartKey]:
        """What an answer that renews the lease has to stop."""
        return {
            (p.task, p.attempt)
            for p in machine.placements.values()
            if p.state == BOUND and self.term.cluster.has_ended(p.job)
        }

    # -- commands ---------------------------------------------------------------

    def reaches(self, machine: Machine, now: float) -> bool:
        """Whether the machine showed lately that it hears us: one that is only heard is of no use."""
        return now - machine.reached_at <= self.term.fleet.reached_s

    def _starts(self, machine: Machine) -> list[Placement]:
        """Placements whose task has to be started, or whose start has to be repeated."""
        authority = self.term.authority
        unseen = [p for p in machine.placements.values() if p.seen is None and p.state == BOUND]
        if not unseen:
            return []
        refusal = authority.starts(machine)
        if refusal is Refusal.NO_SPARE_TOKEN:
            self.fence.request_spare(machine, unseen)
        if refusal is not None:
            return []
        return [p for p in unseen if authority.start(p, machine) is None]

    def _stops(self, machine: Machine, renewing: bool = False) -> list[dict[str, Any]]:
        """What the machine has to stop; `renewing`: for an answer, which tells it of all jobs that are over."""
        now = self.term.clock.seconds()
        commands, others = [], []
        for placement in machine.placements.values():
            if placement.stop_grace is None or placement.state != BOUND:
                continue
            command = messages.stop(placement.task, placement.attempt, placement.stop_grace)
            if renewing and self.term.cluster.is_over(placement.job):
                # Whatever became of the stops before: the lease is renewed, so this answer has to carry one. This paces
                # the repeats, and must be the clock of nothing else: it moves for as long as the machine reports.
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
            if self.term.authority.stop_task(task) is None
        ]
        return commands

    def _forgets(self, machine: Machine) -> list[dict[str, Any]]:
        """Exited tasks that the store no longer places here.

        None of which a start may still be executed: it would run a forgotten attempt again.
        """
        authority = self.term.authority
        if not machine.forgets or authority.forgets(machine) is not None:
            return []
        now = self.term.clock.seconds()
        due = [(task, entry) for task, entry in machine.forgets.items() if entry.due_at <= now][:MAX_COMMANDS]
        allowed = [(task, e.attempt) for task, e in due if not authority.forget(machine, task, e.attempt, e.done)]
        if len(allowed) < len(due):
            self.fence.raise_for_forgets(machine, now)
        for task, attempt in allowed:
            del machine.forgets[task]  # what is reported again is forgotten again
            machine.open_starts.drop(task, attempt)
        return [messages.forget(task, attempt) for task, attempt in allowed]

    def forget_later(self, machine: Machine, task: str, attempt: int, done: bool) -> None:
        """Has an exited task forgotten that the store no longer places there.

        A repeat of its start may still come, and would run a forgotten attempt again, perhaps beside a
        newer one elsewhere. So attempts that were stopped stay known until the fence bars their starts, which is done
        for many together; a task that is done only says so again.
        """
        known = machine.forgets.get(task)
        if known is None or known.attempt != attempt:
            wait_s = 0.0 if done else FORGET_LEASES * self.term.settings.workers.lease_s
            machine.forgets[task] = Forget(attempt, self.term.clock.seconds() + wait_s, done)

    def send(self, machine: Machine) -> None:
        """Sends what the machine has to do, one message at a time."""
        term = self.term
        now = term.clock.seconds()
        if machine.sending or not machine.address or now < machine.retry_at or self._is_settled(machine, now):
            return
        if term.authority.commands() is not None:
            return
        self.fence.raise_token(machine, now)
        starts = self._starts(machine)[:MAX_COMMANDS]
        commands = self._stops(machine)[:MAX_COMMANDS]
        known = machine.trusted and (self.reaches(machine, now) or not machine.reported)
        known = known and not self.fence.is_overdue(machine, now)
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
            machine.open_starts.sent(placement.task, placement.attempt, now, machine.token, session)
        self.claims += claim
        defer.ensureDeferred(self._send(machine, session, commands, starts, claim))

    def _is_settled(self, machine: Machine, now: float) -> bool:
        """Whether it is plain that there is nothing to send, as for most of a large fleet, which is looked at often."""
        return (
            machine.trusted
            and not machine.placements
            and not machine.strays
            and not self.fence.is_overdue(machine, now)
            and self.reaches(machine, now)
        )

    @staticmethod
    def _worth_claiming(machine: Machine) -> bool:
        """A machine that is still booting answers nothing, and reports by itself when it is up."""
        return machine.reported or bool(machine.placements) or machine.listed_state == "running"

    def _may_transmit(self, machine: Machine, starts: list[Placement]) -> bool:
        """Whether a message is still right now that its connection is there: what was known may have changed since."""
        refusal = self.term.authority.transmission(starts, machine)
        if refusal is not None:
            log.info("commands to %s are withdrawn before they are sent: %s", machine.id, refusal)
            self.metrics.withdrawn += 1
            return False
        if not self.fence.check_transmission(machine, starts):
            return False
        self.metrics.starts_sent += len(starts)
        return True

    async def _send(
        self, machine: Machine, session: int, commands: list[dict[str, Any]], starts: list[Placement], claim: bool
    ) -> None:
        term, token = self.term, machine.token
        if starts and log.isEnabledFor(logging.DEBUG):
            tasks = [f"{p.task} attempt {p.attempt}" for p in starts]
            log.debug("starts to %s under token %d, session %d: %s", machine.id, token, session, tasks)
        try:
            try:
                executed, report = await term.workers.command(
                    machine.address, token, session, commands, lambda: self._may_transmit(machine, starts)
                )
            finally:
                self.claims -= claim
        except (NotDeliveredError, UncertainDeliveryError) as error:
            self._not_answered(machine, starts, error)
            return
        machine.sending = False
        if not term.alive:
            return
        machine.send_failures = 0
        now = term.clock.seconds()
        if executed:
            machine.reached_at = now
            self._answered(machine, starts, now)
        if term.tokens.is_later(report.token):
            term.node.integrity.saw_token(report.token)
            term.node.election.doubt(f"{machine.id} knows token {report.token}")
            return
        with term.lock:
            self.observe(report)
        if not executed and (session, token) != (machine.session, machine.token):
            self.send(machine)
        elif (
            self._starts(machine)
            or machine.trusted
            and any(p.stop_grace is not None and p.stop_at == 0.0 for p in machine.placements.values())
        ):
            term.clock.callLater(RETRY * self.report_s, self.send, machine)
        term.after_report()

    def _not_answered(
        self, machine: Machine, starts: list[Placement], error: NotDeliveredError | UncertainDeliveryError
    ) -> None:
        """A message was not delivered, or it is not known whether it was."""
        machine.sending = False
        now = self.term.clock.seconds()
        machine.send_failures += 1
        machine.retry_at = now + RETRY * self.report_s * min(4, machine.send_failures)
        log.info("commands to %s: %s", machine.id, error)
        if isinstance(error, NotDeliveredError):
            return
        for placement in starts:
            start = machine.open_starts.get(placement.task, placement.attempt)
            if start is not None and start.in_doubt_since is None:
                start.in_doubt_since = now
                self.metrics.starts_in_doubt += 1
                log.info(
                    "start of %s attempt %d on %s in doubt: first sent at %.3f, token %d, session %d, answered %s",
                    placement.task,
                    placement.attempt,
                    machine.id,
                    start.first_sent_at,
                    start.token,
                    start.session,
                    "never" if start.answered_at is None else f"at {start.answered_at:.3f}",
                )

    def _answered(self, machine: Machine, starts: list[Placement], now: float) -> None:
        """A message was executed."""
        self.metrics.starts_answered += len(starts)
        for placement in starts:
            start = machine.open_starts.get(placement.task, placement.attempt)
            if start is not None and start.answered_at is None:
                start.answered_at = now

    def status(self) -> dict[str, Any]:
        """What the administration API shows of the commands."""
        in_doubt = [row for m in self.term.machines.values() for row in m.open_starts.describe(m.id)]
        return msgspec.structs.asdict(self.metrics) | {
            "tokens": self.fence.status(),
            "in_doubt_now": len(in_doubt),
            "in_doubt": in_doubt[:SHOWN_IN_DOUBT],
        }
