"""The one place that decides whether the leader may start, stop, forget, scale or renew a worker's lease now.

Each question is asked at the moment of the action, of what is known then; no answer may be kept for later. A refusal
says why.
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
    """Why something is not allowed now."""

    LEADERSHIP_ENDED = "the leadership has ended"
    LEASE_NOT_CONFIRMED = "the leader's lease is not confirmed"
    STORE_NOT_READ = "the store was not read yet"
    CANCELLATIONS_STALE = "cancellations are not known well enough"
    MACHINE_NOT_CLAIMED = "the machine does not know the leader's fencing token"
    MACHINE_RELEASING = "the machine is being released"
    NOT_STORED = "the store does not place the task there"
    ALREADY_REPORTED = "the machine reports the task"
    JOB_ENDED = "the job has ended, or is being reloaded"
    STOPPING = "the task is being stopped"
    GANG_INCOMPLETE = "the gang is not placed as a whole"
    NO_SPARE_TOKEN = "no spare fencing token to fence the start"
    MESSAGE_IN_FLIGHT = "a message to the machine is in flight"
    START_IN_FLIGHT = "a start of the attempt is in flight"
    AWAITS_OPERATOR = "an operator has to decide about the job"


class Authority:
    """The leader's rights at this moment. Each method returns why something is refused, or None if it is allowed."""

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
        """Anything that another leader could be doing as well: needs a lease that is known to be held."""
        return None if self._lease.is_held() else Refusal.LEASE_NOT_CONFIRMED

    def check_commands(self) -> Refusal | None:
        """Direct commands: before the store was read, all tasks would look as if they were not to be there."""
        return self.check_leadership() or (None if self._cluster.loaded else Refusal.STORE_NOT_READ)

    def check_renewal(self) -> Refusal | None:
        """An answer that renews a worker's lease: the bound that `renewal_grace` derives.

        It asks for both. A leader that others may have replaced, or one that still leads but hears nothing of
        cancellations, must not keep tasks alive for longer. Each answer that renews carries the stops of all
        cancellations known, and a token that fences their starts, so one after the other several leaders keep a
        cancelled task no longer than one.
        """
        if not self._cluster.loaded:
            return Refusal.STORE_NOT_READ
        if self._lease.seconds_since_renewal() > self._lease.renewal_grace_s:
            return Refusal.LEASE_NOT_CONFIRMED
        return Refusal.CANCELLATIONS_STALE if self._watch.staleness_s() > self._lease.renewal_grace_s else None

    def check_scale_out(self) -> Refusal | None:
        """A request for machines: another leader would rent them too."""
        return self.check_leadership()

    def check_scale_in(self) -> Refusal | None:
        """The release of machines, with all that is on them."""
        return self.check_leadership()

    # -- one machine -------------------------------------------------------------------

    def check_starts_on(self, machine: Machine) -> Refusal | None:
        """Any start on a machine."""
        if refusal := self.check_leadership():
            return refusal
        if not self._watch.is_fresh():
            return Refusal.CANCELLATIONS_STALE
        if not machine.has_current_token:
            return Refusal.MACHINE_NOT_CLAIMED
        if machine.releasing:
            return Refusal.MACHINE_RELEASING
        # It must be possible to fence what is sent without asking the store, which may be out when that is needed.
        return None if self._tokens.has_spare_above(machine.token) else Refusal.NO_SPARE_TOKEN

    def check_start(self, placement: Placement, machine: Machine) -> Refusal | None:
        """The start of a task, or its repetition, on a machine that may be given starts.

        A start without an answer may be executed at any later time. One that is to be stopped by now is repeated too:
        only a task that was reported can be told to exit, and so be let go.
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
        """A message that was made a moment ago, as its connection is there at last and its bytes go out.

        Without starts it goes out as long as the leadership lasts: stops are wanted all the more when we know less.
        """
        if not starts:
            return None if self._lease.active else Refusal.LEADERSHIP_ENDED
        if refusal := self.check_commands() or self.check_starts_on(machine):
            return refusal
        return next((refusal for each in starts if (refusal := self.check_start(each, machine))), None)

    def check_stop_job(self, job_id: str) -> Refusal | None:
        """A stop does no harm under an old token; only what no store knows of is left to operators."""
        return Refusal.AWAITS_OPERATOR if self._jobs.awaits_operator(job_id) else None

    def check_stop_task(self, task: str) -> Refusal | None:
        """The same of a task that the store does not place where it is."""
        return self.check_stop_job(records.split_task(task)[0])

    def check_forgets_on(self, machine: Machine) -> Refusal | None:
        """Any forgetting on a machine."""
        if machine.command_in_flight:
            return Refusal.MESSAGE_IN_FLIGHT
        if not machine.has_current_token:
            return Refusal.MACHINE_NOT_CLAIMED
        return self.check_leadership()

    def check_forget(self, machine: Machine, task: str, attempt: int, done: bool) -> Refusal | None:
        """An exited attempt: once forgotten, a start of it that comes late runs it again, beside a newer one elsewhere.

        So its start must be fenced before. A task that is done only says so again; but a message of which it is not
        known whether it was executed may also have been meant for others.
        """
        start = machine.inflight_starts.get(task, attempt)
        if start is None or (done and start.in_doubt_since is None):
            return None
        return Refusal.START_IN_FLIGHT
