"""Fences starts that must not be executed any more, by raising the token that a machine's worker knows.

An in-flight start, one that may still be executed, can be executed at any later time. Once its job has ended the worker
has to see a higher token before its lease is renewed again: then either it has seen the token, and refuses the start,
or its lease expires, and with it the epoch that the start was sent to. Neither the state service nor the cloud is
needed at that moment.
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

MAX_FENCED_STARTS_KEPT = 64
"""Fenced starts that are remembered for each machine, to assert that they stay fenced."""


class MachineFencing:
    """The tokens that machines are addressed with, and what follows from those that their workers know.

    Called with the cluster's lock held.
    """

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
        self.machines_awaiting_token: dict[str, None] = {}
        """Machines that get no starts until there is a spare token."""
        self.starts_fenced = 0
        """Starts that were sent and are known never to be executed, in whose place nothing was lost."""

    def fence_starts_of_ended_jobs(self, machine: Machine, now: float) -> bool:
        """Has our next message fence in-flight starts of jobs that have ended; returns whether they are fenced then."""
        unwanted = self._unreported_starts_of_ended_jobs(machine)
        if not unwanted or machine.inflight_starts.highest_token(unwanted) < machine.token:
            return True
        task, attempt = unwanted[0]
        return self._raise_token(machine, now, f"start of {task} attempt {attempt} is in flight, its job has ended")

    def _unreported_starts_of_ended_jobs(self, machine: Machine) -> list[AttemptKey]:
        """Attempts of jobs that have ended which were started and are not reported."""
        return [
            (placement.task, placement.attempt)
            for placement in machine.placements.values()
            if placement.reported_state is None
            and placement.state == PlacementState.BOUND
            and placement.sent_epoch is not None
            and self._cluster.job_has_ended(placement.job)
        ]

    def fence_for_forgets(self, machine: Machine, now: float) -> None:
        """Fences the starts of attempts that are to be forgotten; for many together, as it takes a heartbeat."""
        raised_lately = now - machine.token_raised_at <= self._timings.lease_s
        if not raised_lately and self._tokens.has_spare_above(machine.token):
            self._raise_token(machine, now, "attempts are to be forgotten")

    def _raise_token(self, machine: Machine, now: float, reason: str) -> bool:
        """Has the machine addressed with a higher token from now on; returns whether there was one."""
        check, previous = self._invariants.check, machine.token
        token = self._tokens.issue_spare_above(previous)
        if token is None:
            evidence = "machine=%s token=%d reason=%r"
            return check(False, Invariant.NO_START_WITHOUT_SPARE_TOKEN, evidence, machine.id, previous, reason)
        acknowledged = machine.acknowledged_token if machine.has_current_token else 0
        is_higher = token > max(previous, acknowledged)
        evidence = "machine=%s acknowledged=%d previous=%d token=%d"
        arguments = machine.id, machine.acknowledged_token, previous, token
        if not check(is_higher, Invariant.TOKENS_RISE, evidence, *arguments):
            return False
        log.info(
            "fencing token raised machine=%s token=%d previous=%d epoch=%d reason=%r",
            machine.id,
            token,
            previous,
            machine.epoch,
            reason,
        )
        machine.token, machine.token_raised_at = token, now
        self._integrity.record_raised_token(token)
        return True

    def is_acknowledgement_overdue(self, machine: Machine, now: float) -> bool:
        """Whether the machine's worker should have shown by a heartbeat that it knows its raised token."""
        return machine.acknowledged_token < machine.token and now > machine.token_raised_at + self._timings.heartbeat_s

    def process_heartbeat(self, machine: Machine, tasks: list[TaskStatus]) -> None:
        """Drops the starts that a trusted heartbeat shows to be fenced: of a lower token, or of an earlier epoch."""
        machine.inflight_starts.drop_fenced(machine.epoch, machine.acknowledged_token)
        if not machine.fenced_starts:
            return
        for task in tasks:
            self._invariants.check(
                machine.fenced_starts.get(task.task) != task.attempt,
                Invariant.FENCED_STAYS_FENCED,
                "task=%s attempt=%d state=%s machine=%s",
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

    def request_spare_token(self, machine: Machine, unreported: list[Placement]) -> None:
        """Has a record of one of these placements' jobs written again: the commit's revision is a spare token."""
        self.machines_awaiting_token[machine.id] = None
        for placement in unreported:
            job = self._cluster.jobs.get(placement.job)
            if job is None or self._cluster.blocks_starts(job.id):
                continue
            if not job.write.commit_in_flight:
                job.chunk_of(placement.index).dirty = True
                self._cluster.mark_dirty(job)
                self._flush_timer.flush_within(0.0)
            return

    def take_machines_awaiting_token(self) -> list[str]:
        """Takes the machines that waited for a spare token off the list."""
        found = list(self.machines_awaiting_token)
        self.machines_awaiting_token.clear()
        return found

    def status(self) -> dict[str, Any]:
        """What the administration API shows of the tokens."""
        tokens = self._tokens
        return {
            "first": tokens.first,
            "highest_issued": tokens.highest_issued,
            "raised": tokens.issued_count,
            "starts_fenced": self.starts_fenced,
            "machines_waiting_for_spare_token": len(self.machines_awaiting_token),
        }
