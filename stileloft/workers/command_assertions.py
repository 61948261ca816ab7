"""Assertions on the messages to workers, independent of the code that decides what is sent."""

from stileloft.leadership.fencing_tokens import FencingTokens
from stileloft.leadership.invariants import Invariant, InvariantMonitor
from stileloft.model.cluster import ClusterState
from stileloft.model.inflight_starts import AttemptKey
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState


class CommandAssertions:
    """Asserts the invariants of answers and commands; a message that would violate one is not sent."""

    def __init__(self, cluster: ClusterState, tokens: FencingTokens, invariants: InvariantMonitor) -> None:
        self._cluster = cluster
        self._tokens = tokens
        self._invariants = invariants

    def check_renewal(self, machine: Machine, stopped: set[AttemptKey]) -> bool:
        """Returns whether an answer that stops these attempts may renew the lease within the bound on cancellations."""
        jobs, check = self._cluster.jobs, self._invariants.check
        for placement in machine.placements.values():
            job = jobs.get(placement.job)
            if placement.state != PlacementState.BOUND or (job is not None and job.end_phase is None):
                continue
            key = placement.task, placement.attempt
            if not check(key in stopped, Invariant.RENEWAL_STOPS, "task=%s attempt=%d machine=%s", *key, machine.id):
                return False
            start = machine.inflight_starts.get(*key)
            fenced = placement.reported_state is not None or start is None or start.token < machine.token
            evidence = "task=%s attempt=%d machine=%s start=%s"
            if not check(fenced, Invariant.RENEWAL_FENCES, evidence, *key, machine.id, start):
                return False
        return True

    def check_transmission(self, machine: Machine, starts: list[Placement]) -> bool:
        """Returns whether starts may be sent now: their jobs have not ended, and the starts could be fenced at once."""
        jobs, check = self._cluster.jobs, self._invariants.check
        for placement in starts:
            job = jobs.get(placement.job)
            is_unfinished = job is not None and job.end_phase is None
            evidence = "task=%s attempt=%d machine=%s"
            arguments = placement.task, placement.attempt, machine.id
            if not check(is_unfinished, Invariant.NO_START_AFTER_END, evidence, *arguments):
                return False
        can_fence = not starts or self._tokens.has_spare_above(machine.token)
        evidence = "machine=%s token=%d"
        return check(can_fence, Invariant.NO_START_WITHOUT_SPARE_TOKEN, evidence, machine.id, machine.token)
