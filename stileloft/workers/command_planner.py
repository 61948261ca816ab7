"""Plans commands: the start, stop and forget commands that are due for a machine and allowed now."""

from stileloft.leadership.authority import Authority, Refusal
from stileloft.model.cluster import ClusterState
from stileloft.model.inflight_starts import AttemptKey
from stileloft.model.machines import Machine
from stileloft.model.placements import Placement, PlacementState
from stileloft.protocol.commands import ForgetCommand, StopCommand
from stileloft.transport.clock import Clock
from stileloft.workers.fencing import MachineFencing

STOP_RETRY_HEARTBEATS = 1.0
"""Pause before a stop is sent again, in heartbeat intervals."""


class CommandPlanner:
    """Finds the commands that are due for a machine. Called with the cluster's lock held."""

    def __init__(
        self, cluster: ClusterState, authority: Authority, fencing: MachineFencing, clock: Clock, heartbeat_s: float
    ) -> None:
        self._cluster = cluster
        self._authority = authority
        self._fencing = fencing
        self._clock = clock
        self._heartbeat_s = heartbeat_s

    def due_starts(self, machine: Machine) -> list[Placement]:
        """Returns placements whose start has to be sent or retried.

        Requests a spare fencing token if starts have to wait for one.
        """
        unreported = [
            placement
            for placement in machine.placements.values()
            if placement.reported_state is None and placement.state == PlacementState.BOUND
        ]
        if not unreported:
            return []
        refusal = self._authority.check_starts_on(machine)
        if refusal is Refusal.NO_SPARE_TOKEN:
            self._fencing.request_spare_token(machine, unreported)
        if refusal is not None:
            return []
        return [placement for placement in unreported if self._authority.check_start(placement, machine) is None]

    def due_stops(self, machine: Machine, limit: int, for_renewal: bool = False) -> list[StopCommand]:
        """Returns at most `limit` stops that are due.

        `for_renewal` selects stops for an answer that renews the lease: stops of all tasks of ended jobs come first.
        """
        now = self._clock.seconds()
        required: list[Placement] = []
        others: list[Placement] = []
        for placement in machine.placements.values():
            if placement.stop_grace_s is None or placement.state != PlacementState.BOUND:
                continue
            if for_renewal and self._cluster.job_has_ended(placement.job):
                required.append(placement)  # whether or not earlier stops were delivered
            elif self._is_stop_due(placement, now) and _may_have_started(placement):
                others.append(placement)
        commands: list[StopCommand] = []
        for placement in (required + others)[:limit]:
            # This time only paces retries: as long as the machine sends heartbeats, each new stop updates it.
            placement.stop_sent_at = now
            commands.append(StopCommand(placement.task, placement.attempt, placement.stop_grace_s or 0.0))
        return commands + self._stops_of_orphaned_tasks(machine)[: limit - len(commands)]

    def _is_stop_due(self, placement: Placement, now: float) -> bool:
        return now >= placement.stop_sent_at + STOP_RETRY_HEARTBEATS * self._heartbeat_s

    def _stops_of_orphaned_tasks(self, machine: Machine) -> list[StopCommand]:
        return [
            StopCommand(task, orphaned.attempt, 0.0)
            for task, orphaned in machine.orphaned_tasks.items()
            if self._authority.check_stop_task(task) is None
        ]

    def due_forgets(self, machine: Machine, limit: int) -> list[ForgetCommand]:
        """Returns at most `limit` forget commands, for exited attempts that the store no longer places on the machine.

        An attempt is forgotten only once its start is fenced, because a late start would run the attempt again.
        """
        authority = self._authority
        if not machine.pending_forgets or authority.check_forgets_on(machine) is not None:
            return []
        now = self._clock.seconds()
        due = [(key, entry) for key, entry in machine.pending_forgets.items() if entry.due_at <= now][:limit]
        allowed = [
            ForgetCommand(task, attempt)
            for (task, attempt), entry in due
            if not authority.check_forget(machine, task, attempt, entry.done)
        ]
        if len(allowed) < len(due):
            self._fencing.fence_for_forgets(machine, now)
        for command in allowed:
            del machine.pending_forgets[
                command.task, command.attempt
            ]  # scheduled again if the attempt is reported again
            machine.inflight_starts.drop(command.task, command.attempt)
        return allowed

    def stops_required_for_renewal(self, machine: Machine) -> set[AttemptKey]:
        """Returns the attempts whose job has ended: only an answer that stops them may renew the worker's lease."""
        return {
            (placement.task, placement.attempt)
            for placement in machine.placements.values()
            if placement.state == PlacementState.BOUND and self._cluster.job_has_ended(placement.job)
        }


def _may_have_started(placement: Placement) -> bool:
    return placement.reported_state is not None or placement.sent_epoch is not None
