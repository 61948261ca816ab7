"""What a machine has to be told: the starts, stops and forgets that are due, as far as they are allowed now."""

from typing import Any

from stileloft.leadership.authority import Authority, Refusal
from stileloft.model.cluster import ClusterState
from stileloft.model.inflight_starts import AttemptKey
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol import messages
from stileloft.transport.clock import Clock
from stileloft.workers.fencing import MachineFencing

# Commands in one direct message; a body may hold 64 KiB.
MAX_COMMANDS_PER_MESSAGE = 200
# A stop is repeated after so many heartbeat intervals.
STOP_REPEAT_HEARTBEATS = 1.0


class CommandPlanner:
    """Finds what is due for a machine. All methods are called with the term's lock held."""

    def __init__(
        self, cluster: ClusterState, authority: Authority, fencing: MachineFencing, clock: Clock, heartbeat_s: float
    ) -> None:
        self._cluster = cluster
        self._authority = authority
        self._fencing = fencing
        self._clock = clock
        self.heartbeat_s = heartbeat_s

    def due_starts(self, machine: Machine) -> list[Placement]:
        """Placements whose task has to be started, or whose start has to be repeated."""
        authority = self._authority
        unseen = [
            p for p in machine.placements.values() if p.reported_state is None and p.state == PlacementState.BOUND
        ]
        if not unseen:
            return []
        refusal = authority.check_starts(machine)
        if refusal is Refusal.NO_SPARE_TOKEN:
            self._fencing.request_spare_token(machine, unseen)
        if refusal is not None:
            return []
        return [p for p in unseen if authority.check_start(p, machine) is None]

    def due_stops(self, machine: Machine, most: int, renewing: bool = False) -> list[dict[str, Any]]:
        """What the machine has to stop, at most so many.

        `renewing`: for an answer that renews its lease, in which the tasks of all jobs that are over come first.
        """
        now = self._clock.seconds()
        required: list[Placement] = []
        others: list[Placement] = []
        for placement in machine.placements.values():
            if placement.stop_grace_s is None or placement.state != PlacementState.BOUND:
                continue
            if renewing and self._cluster.has_ended(placement.job):
                required.append(placement)  # whatever became of the stops before
            elif now >= placement.stop_sent_at + STOP_REPEAT_HEARTBEATS * self.heartbeat_s and self._may_have_started(
                placement
            ):
                others.append(placement)
        commands = []
        for placement in (required + others)[:most]:
            # It paces the repeats, and must be the clock of nothing else: it moves for as long as the machine reports.
            placement.stop_sent_at = now
            commands.append(messages.stop_command(placement.task, placement.attempt, placement.stop_grace_s or 0.0))
        orphaned_tasks = [
            messages.stop_command(task, orphaned.attempt, 0.0)
            for task, orphaned in machine.orphaned_tasks.items()
            if self._authority.check_stop_task(task) is None
        ]
        return commands + orphaned_tasks[: most - len(commands)]

    @staticmethod
    def _may_have_started(placement: Placement) -> bool:
        return placement.reported_state is not None or placement.sent_epoch is not None

    def due_forgets(self, machine: Machine, most: int) -> list[dict[str, Any]]:
        """Exited tasks that the store no longer places here, at most so many.

        None of which a start may still be executed: it would run a forgotten attempt again.
        """
        authority = self._authority
        if not machine.pending_forgets or authority.check_forgets(machine) is not None:
            return []
        now = self._clock.seconds()
        due = [(task, entry) for task, entry in machine.pending_forgets.items() if entry.due_at <= now][:most]
        allowed = [(task, e.attempt) for task, e in due if not authority.check_forget(machine, task, e.attempt, e.done)]
        if len(allowed) < len(due):
            self._fencing.fence_for_forgets(machine, now)
        for task, attempt in allowed:
            del machine.pending_forgets[task]  # what is reported again is forgotten again
            machine.inflight_starts.drop(task, attempt)
        return [messages.forget_command(task, attempt) for task, attempt in allowed]

    def stops_required_for_renewal(self, machine: Machine) -> set[AttemptKey]:
        """What an answer that renews the lease has to stop."""
        return {
            (p.task, p.attempt)
            for p in machine.placements.values()
            if p.state == PlacementState.BOUND and self._cluster.has_ended(p.job)
        }
