"""Fences starts that must not be executed any more, by raising the token that a machine's worker knows.

A start whose answer is missing may be executed at any later time. Once its job is over the worker has to see a higher
token before its lease is renewed again: then either it has seen the token, and refuses the start, or its lease ends,
and with it the session that the start was sent to. Nothing of this needs the state service or the cloud at that
moment.
"""

import logging
from typing import Any

from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.invariants import Invariant, InvariantMonitor
from stileloft.model.cluster import ClusterState
from stileloft.model.inflight_starts import AttemptKey
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.messages import TaskStatus
from stileloft.settings import Workers
from stileloft.store.flush_timer import FlushTimer
from stileloft.store.integrity import StoreIntegrity

log = logging.getLogger(__name__)

# Fenced starts that are remembered for each machine.
MAX_FENCED_STARTS_KEPT = 64


class MachineFencing:
    """The tokens that machines are addressed with, and what follows from those that their workers know."""

    def __init__(
        self,
        cluster: ClusterState,
        tokens: FencingTokens,
        invariants: InvariantMonitor,
        integrity: StoreIntegrity,
        flush_timer: FlushTimer,
        timings: Workers,
    ) -> None:
        self._cluster = cluster
        self._tokens = tokens
        self._invariants = invariants
        self._integrity = integrity
        self._flush_timer = flush_timer
        self._timings = timings
        self.waiting_machines: dict[str, None] = {}
        """Machines that get no starts until there is a spare token."""
        self.starts_fenced = 0
        """Starts that were sent and are known never to be executed, in whose place nothing was lost."""

    def fence_unwanted_starts(self, machine: Machine, now: float) -> bool:
        """Sees to it that no start of a job that is over can be executed once our next message is; returns whether."""
        cluster = self._cluster
        unwanted = [
            (p.task, p.attempt)
            for p in machine.placements.values()
            if p.reported_state is None
            and p.state == PlacementState.BOUND
            and p.sent_epoch is not None
            and cluster.has_ended(p.job)
        ]
        if not unwanted or machine.inflight_starts.highest_token(unwanted) < machine.token:
            return True
        return self._raise_token(machine, now, f"a start of {unwanted[0][0]} may still be executed")

    def fence_for_forgets(self, machine: Machine, now: float) -> None:
        """Has attempts forgotten soon whose starts may still be executed; for many together, as it takes a report."""
        raised_lately = now - machine.token_raised_at <= self._timings.lease_s
        if not raised_lately and self._tokens.has_above(machine.token):
            self._raise_token(machine, now, "attempts are to be forgotten")

    def _raise_token(self, machine: Machine, now: float, reason: str) -> bool:
        tokens, invariants = self._tokens, self._invariants
        token = tokens.issue_above(machine.token)
        if token is None:
            return invariants.check(
                False, Invariant.NO_START_WITHOUT_SPARE_TOKEN, "%s, token %d: %s", machine.id, machine.token, reason
            )
        if not invariants.check(
            token > max(machine.token, machine.acknowledged_token if machine.has_current_token else 0),
            Invariant.TOKENS_RISE,
            "%s knows %d, was told %d, would be told %d",
            machine.id,
            machine.acknowledged_token,
            machine.token,
            token,
        ):
            return False
        log.info("machine %s gets token %d after %d: %s", machine.id, token, machine.token, reason)
        machine.token, machine.token_raised_at = token, now
        self._integrity.record_raised_token(token)
        return True

    def is_acknowledgement_overdue(self, machine: Machine, now: float) -> bool:
        """Whether a machine's worker should have shown by a report that it knows its raised token."""
        return machine.acknowledged_token < machine.token and now > machine.token_raised_at + self._timings.heartbeat_s

    def process_heartbeat(self, machine: Machine, tasks: list[TaskStatus]) -> None:
        """Takes in what a believed report shows: starts under a lower token, or of a former session, are void."""
        machine.inflight_starts.drop_fenced(machine.epoch, machine.acknowledged_token)
        if machine.fenced_starts:
            for task in tasks:
                self._invariants.check(
                    machine.fenced_starts.get(task.task) != task.attempt,
                    Invariant.FENCED_STAYS_FENCED,
                    "%s attempt %d is %s on %s",
                    task.task,
                    task.attempt,
                    task.state,
                    machine.id,
                )

    def record_fenced(self, machine: Machine, placement: Placement) -> None:
        """The worker does not report a task, and has seen a higher token than any that its start had."""
        self.starts_fenced += 1
        machine.fenced_starts[placement.task] = placement.attempt
        while len(machine.fenced_starts) > MAX_FENCED_STARTS_KEPT:
            del machine.fenced_starts[next(iter(machine.fenced_starts))]

    def request_spare_token(self, machine: Machine, unseen: list[Placement]) -> None:
        """Has a record written once more, as the revision of that transaction is a token for the fence."""
        cluster = self._cluster
        self.waiting_machines[machine.id] = None
        for placement in unseen:
            job = cluster.jobs.get(placement.job)
            if job is not None and not cluster.is_blocked(job.id):
                if not job.commit_in_flight:
                    job.chunk_of(placement.index).dirty = True
                    cluster.mark_dirty(job)
                    self._flush_timer.within(0.0)
                return

    def take_waiting_machines(self) -> list[str]:
        """Machines that waited for a spare token."""
        found = list(self.waiting_machines)
        self.waiting_machines.clear()
        return found

    # -- assertions, apart from what decides -------------------------------------------

    def check_renewal(self, machine: Machine, stopped: set[AttemptKey]) -> bool:
        """Whether an answer that stops these attempts may renew the lease: the bound on a cancelled task holds."""
        jobs, check = self._cluster.jobs, self._invariants.check
        for placement in machine.placements.values():
            job = jobs.get(placement.job)
            if placement.state != PlacementState.BOUND or (job is not None and job.end_phase is None):
                continue
            key = placement.task, placement.attempt
            if not check(key in stopped, Invariant.RENEWAL_STOPS, "%s attempt %d on %s", *key, machine.id):
                return False
            start = machine.inflight_starts.get(*key)
            fenced = placement.reported_state is not None or start is None or start.token < machine.token
            if not check(fenced, Invariant.RENEWAL_FENCES, "%s attempt %d on %s: %s", *key, machine.id, start):
                return False
        return True

    def check_transmission(self, machine: Machine, starts: list[Placement]) -> bool:
        """Whether starts may go out now: their jobs go on, and the fence could bar them at once."""
        jobs, check = self._cluster.jobs, self._invariants.check
        for placement in starts:
            job = jobs.get(placement.job)
            goes_on = job is not None and job.end_phase is None
            if not check(goes_on, Invariant.NO_START_AFTER_END, "%s to %s", placement.task, machine.id):
                return False
        can_fence = not starts or self._tokens.has_above(machine.token)
        return check(can_fence, Invariant.NO_START_WITHOUT_SPARE_TOKEN, "%s, token %d", machine.id, machine.token)

    def status(self) -> dict[str, Any]:
        """What the administration API shows of the tokens."""
        tokens = self._tokens
        return {
            "first": tokens.first,
            "highest_issued": tokens.highest_issued,
            "raised": tokens.issued,
            "starts_fenced": self.starts_fenced,
            "machines_waiting_for_spare_token": len(self.waiting_machines),
        }
