"""The only place that decides whether the leader may start, stop or forget tasks, scale, or renew worker leases.

Each check is made at the moment of the action, on the state known then; its result must not be reused later.
"""

from enum import StrEnum

from stileloft.jobs.job_watch import JobWatch
from stileloft.jobs.registry import JobRegistry
from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.lease import LeaderLease
from stileloft.model import gangs, records
from stileloft.model.cluster import ClusterState
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState


class Refusal(StrEnum):
    """Reasons for which an action is not allowed now."""

    LEADERSHIP_ENDED = "the leadership has ended"
    LEASE_NOT_CONFIRMED = "the leader's lease is not confirmed"
    STORE_NOT_READ = "the store has not been read yet"
    CANCELLATIONS_STALE = "the watch of cancellations is out of date"
    MACHINE_NOT_CLAIMED = "the machine does not know the leader's fencing token"
    MACHINE_RELEASING = "the machine is being released"
    NOT_STORED = "the store does not place the task there"
    ALREADY_REPORTED = "the machine reports the task"
    JOB_ENDED = "the job has ended, or is being reloaded"
    STOPPING = "the task is being stopped"
    GANG_INCOMPLETE = "the gang is not placed completely"
    NO_SPARE_TOKEN = "no spare fencing token to fence the start"
    MESSAGE_IN_FLIGHT = "a message to the machine is in flight"
    START_IN_FLIGHT = "a start of the attempt is in flight"
    AWAITS_OPERATOR = "an operator has to decide about the job"


class Authority:
    """Decides what the leader may do now. Each method returns the reason for a refusal; None allows the action."""

    def __init__(
        self, lease: LeaderLease, tokens: FencingTokens, cluster: ClusterState, jobs: JobRegistry, watch: JobWatch
    ) -> None:
        self._lease = lease
        self._tokens = tokens
        self._cluster = cluster
        self._jobs = jobs
        self._watch = watch

    # -- the whole cluster -------------------------------------------------------------

    def check_leadership(self) -> Refusal | None:
        """Checks an action that another leader could take as well; allowed only while the lease is certainly held."""
        return None if self._lease.is_held() else Refusal.LEASE_NOT_CONFIRMED

    def check_commands(self) -> Refusal | None:
        """Checks direct commands; refused until the store has been read, because every task would look orphaned."""
        return self.check_leadership() or (None if self._cluster.loaded else Refusal.STORE_NOT_READ)

    def check_renewal(self) -> Refusal | None:
        """Checks an answer that renews a worker's lease, by the bound that `renewal_grace` derives.

        Both the lease and the view of cancellations must be recent: a leader that may have been replaced, or one that
        receives no cancellations, must not keep tasks alive any longer. Each renewing answer stops the tasks of all
        jobs known to be cancelled, and its token fences their starts, so several leaders in succession keep a cancelled
        task alive no longer than a single leader does.
        """
        if not self._cluster.loaded:
            return Refusal.STORE_NOT_READ
        if self._lease.seconds_since_renewal() > self._lease.renewal_grace_s:
            return Refusal.LEASE_NOT_CONFIRMED
        return Refusal.CANCELLATIONS_STALE if self._watch.staleness_s() > self._lease.renewal_grace_s else None

    def check_scale_out(self) -> Refusal | None:
        """Checks a request for machines: another leader would request the same ones."""
        return self.check_leadership()

    def check_scale_in(self) -> Refusal | None:
        """Checks the release of machines, which ends all tasks on them."""
        return self.check_leadership()

    # -- one machine -------------------------------------------------------------------

    def check_starts_on(self, machine: Machine) -> Refusal | None:
        """Checks whether a machine may be sent starts at all."""
        if refusal := self.check_leadership():
            return refusal
        if not self._watch.is_fresh():
            return Refusal.CANCELLATIONS_STALE
        if not machine.has_current_token:
            return Refusal.MACHINE_NOT_CLAIMED
        if machine.releasing:
            return Refusal.MACHINE_RELEASING
        # Fencing the start must not depend on the store, which may be unavailable when the fence is needed.
        return None if self._tokens.has_spare_above(machine.token) else Refusal.NO_SPARE_TOKEN

    def check_start(self, placement: Placement, machine: Machine) -> Refusal | None:
        """Checks the start of a task, or a retry of it, on a machine that passes `check_starts_on`.

        An unanswered start may be executed at any later time. It is retried even if the task has to be stopped by now,
        because only a task that its worker reports can be stopped and then released.
        """
        if placement.state != PlacementState.BOUND:
            return Refusal.NOT_STORED
        if placement.reported_state is not None:
            return Refusal.ALREADY_REPORTED
        if self._cluster.blocks_starts(placement.job):
            return Refusal.JOB_ENDED
        if placement.stop_grace_s is not None:
            return None if placement.sent_epoch == machine.epoch else Refusal.STOPPING
        return None if gangs.may_start(self._cluster.jobs[placement.job]) else Refusal.GANG_INCOMPLETE

    def check_transmission(self, starts: list[Placement], machine: Machine) -> Refusal | None:
        """Checks a message again when its connection has been made, just before it is sent.

        A message without starts is sent while the leadership lasts: stops are needed even more when the leader's state
        is out of date.
        """
        if not starts:
            return None if self._lease.active else Refusal.LEADERSHIP_ENDED
        if refusal := self.check_commands() or self.check_starts_on(machine):
            return refusal
        return next((refusal for start in starts if (refusal := self.check_start(start, machine))), None)

    def check_stop_job(self, job_id: str) -> Refusal | None:
        """Checks stops of a job's tasks; a job known only from heartbeats is left to operators.

        The lease is not checked here, because stops are harmless even under an old token.
        """
        return Refusal.AWAITS_OPERATOR if self._jobs.awaits_operator(job_id) else None

    def check_stop_task(self, task: str) -> Refusal | None:
        """Checks the stop of a task that the store does not place on the machine, as `check_stop_job` does."""
        return self.check_stop_job(records.split_task(task)[0])

    def check_forgets_on(self, machine: Machine) -> Refusal | None:
        """Checks whether a machine may be sent forget commands at all."""
        if machine.command_in_flight:
            return Refusal.MESSAGE_IN_FLIGHT
        if not machine.has_current_token:
            return Refusal.MACHINE_NOT_CLAIMED
        return self.check_leadership()

    def check_forget(self, machine: Machine, task: str, attempt: int, done: bool) -> Refusal | None:
        """Checks whether a worker may forget an exited attempt.

        A late start would run a forgotten attempt again, in parallel with a newer one elsewhere, so the start must be
        fenced first. A late start of a done task only makes the worker report it as done again. But a message in doubt
        may also carry starts of other tasks, so a start in doubt must be fenced even if its task is done.
        """
        start = machine.inflight_starts.get(task, attempt)
        if start is None or (done and start.in_doubt_since is None):
            return None
        return Refusal.START_IN_FLIGHT
