"""Fences starts that must not be executed any more, by raising the token that a machine's worker knows.

An in-flight start may be executed at any later time. Once the job has ended, only an answer with a higher token renews
the worker's lease: either the worker has seen that token and refuses the start, or its lease expires, and with it the
epoch that the start was sent to. Neither the state service nor the cloud is needed at that moment.
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
"""Number of fenced starts kept for each machine, to assert that they stay fenced."""


class MachineFencing:
    """Raises the tokens of machines, and evaluates the tokens that their workers acknowledge.

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
        """Identifiers of machines that are sent no starts until there is a spare token."""
        self.starts_fenced = 0
        """Number of starts that were sent and then fenced, so that they are never executed and no task is lost."""

    def fence_starts_of_ended_jobs(self, machine: Machine, now: float) -> bool:
        """Raises the token if in-flight starts of ended jobs have to be fenced.

        Returns whether the next message fences these starts.
        """
        attempts = self._unreported_starts_of_ended_jobs(machine)
        if not attempts or machine.inflight_starts.highest_token(attempts) < machine.token:
            return True
        task, attempt = attempts[0]
        return self._raise_token(
            machine, now, f"start of task {task} attempt {attempt} is in flight after its job ended"
        )

    def _unreported_starts_of_ended_jobs(self, machine: Machine) -> list[AttemptKey]:
        """Returns attempts of ended jobs whose start was sent and which the worker does not report."""
        return [
            (placement.task, placement.attempt)
            for placement in machine.placements.values()
            if placement.reported_state is None
            and placement.state == PlacementState.BOUND
            and placement.sent_epoch is not None
            and self._cluster.job_has_ended(placement.job)
        ]

    def fence_former_attempts(self, machine: Machine, starts: list[Placement], now: float) -> bool:
        """Raises the token if a start would replace another attempt of its task whose start is still in flight.

        A worker may know only the newest attempt of a task, so that a late copy of an earlier start would run again.
        Returns whether the starts may be sent; if not, requests the spare token that they lack.
        """
        if not starts:
            return True
        in_flight = machine.inflight_starts.attempts_since(machine.token)
        replacing = [start for start in starts if in_flight.get(start.task, set()) - {start.attempt}]
        if not replacing:
            return True
        reason = f"start of task {replacing[0].task} attempt {replacing[0].attempt} replaces one that is in flight"
        if self._raise_token(machine, now, reason) and self._tokens.has_spare_above(machine.token):
            return True
        self.request_spare_token(machine, starts)
        return False

    def fence_restarted_worker(self, machine: Machine, now: float) -> None:
        """Raises the token above those of all starts that were sent to the machine, if there is a spare token.

        A worker that was restarted with its counters at the start knows neither a token nor an attempt, so it executes
        late copies of these starts until it has seen a higher token.
        """
        is_needed = machine.inflight_starts.highest_sent_token >= machine.token
        if is_needed and self._tokens.has_spare_above(machine.token):
            self._raise_token(machine, now, "the worker may have been restarted with its counters at the start")

    def fence_for_forgets(self, machine: Machine, now: float) -> None:
        """Raises the token so that exited attempts can be forgotten, once a heartbeat has acknowledged the token.

        The token is raised at most once per worker lease, for many attempts, because each raise takes a heartbeat.
        """
        recently_raised = now - machine.token_raised_at <= self._timings.lease_s
        if not recently_raised and self._tokens.has_spare_above(machine.token):
            self._raise_token(machine, now, "exited attempts are due to be forgotten")

    def _raise_token(self, machine: Machine, now: float, reason: str) -> bool:
        """Raises the token of all further messages to the machine; returns False if there is no higher spare token."""
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
        """Returns whether a heartbeat should have acknowledged the machine's raised token by now."""
        return machine.acknowledged_token < machine.token and now > machine.token_raised_at + self._timings.heartbeat_s

    def process_heartbeat(self, machine: Machine, tasks: list[TaskStatus]) -> None:
        """Drops starts that a trusted heartbeat shows as fenced: sent under a lower token or to an earlier epoch."""
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
        """Records a fenced start: the worker does not report the task, and has seen a higher token than the start's."""
        self.starts_fenced += 1
        machine.fenced_starts[placement.task] = placement.attempt
        while len(machine.fenced_starts) > MAX_FENCED_STARTS_KEPT:
            del machine.fenced_starts[next(iter(machine.fenced_starts))]

    def request_spare_token(self, machine: Machine, unreported: list[Placement]) -> None:
        """Has the record of one of these placements' jobs rewritten, because the commit's revision is a spare token."""
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
        """Returns the identifiers of the machines that awaited a spare token, and clears the list."""
        machine_ids = list(self.machines_awaiting_token)
        self.machines_awaiting_token.clear()
        return machine_ids

    def status(self) -> dict[str, Any]:
        """Returns what the administration API shows of the tokens."""
        tokens = self._tokens
        return {
            "first": tokens.first,
            "highest_issued": tokens.highest_issued,
            "raised": tokens.issued_count,
            "starts_fenced": self.starts_fenced,
            "machines_waiting_for_spare_token": len(self.machines_awaiting_token),
        }
