"""Expiry of workers' leases; a worker whose lease has expired kills its tasks."""

import logging

from stileloft.jobs.task_lifecycle import TaskLifecycle
from stileloft.leadership.lease import LeaderLease
from stileloft.model.machines import Machine
from stileloft.transport.clock import MAX_CLOCK_DRIFT

log = logging.getLogger(__name__)

EXPIRY_MARGIN_LEASES = 0.1
"""Margin beyond a worker's lease before it counts as expired, in leases."""


class WorkerLeases:
    """Finds machines on which all tasks are certain to have been killed, and ends these tasks."""

    def __init__(self, lease: LeaderLease, lifecycle: TaskLifecycle, worker_lease_s: float) -> None:
        self._lease = lease
        self._lifecycle = lifecycle
        self._worker_lease_s = worker_lease_s

    def has_expired(self, machine: Machine, now: float) -> bool:
        """Whether the worker's lease has certainly expired, so that the worker has killed the machine's tasks."""
        margin_s = self._worker_lease_s * (EXPIRY_MARGIN_LEASES + 2 * MAX_CLOCK_DRIFT)
        # Until the worker is known to have this leader's token, a former leader may still renew the worker's lease: it
        # does so for the renewal grace without a confirmed leadership. An answered heartbeat does not rule this out: it
        # may be a delayed one that arrived just as this leadership began, from a worker that still reaches the former
        # leader.
        renewed_at = machine.lease_renewed_at
        if not machine.claimed:
            renewed_at = max(renewed_at, self._lease.began_at + self._lease.renewal_grace_s)
        return now > renewed_at + self._worker_lease_s + margin_s

    def end_expired_tasks(self, machine: Machine, now: float) -> None:
        """Ends all tasks of a machine whose worker's lease has certainly expired."""
        if machine.placements and self.has_expired(machine, now):
            log.info(
                "worker lease expired machine=%s epoch=%d tasks=%d", machine.id, machine.epoch, len(machine.placements)
            )
            for placement in list(machine.placements.values()):
                self._lifecycle.end(placement, "worker lease expired")
