"""When workers may forget the exited tasks that they report."""

from stileloft.model.machines import Machine, PendingForget
from stileloft.transport.clock import Clock

FORGET_DELAY_LEASES = 4.0
"""Attempts that were stopped are forgotten after this many leases of a worker."""


class ForgetScheduler:
    """Notes the exited attempts that a machine's worker is to forget."""

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s

    def schedule(self, machine: Machine, task: str, attempt: int, done: bool) -> None:
        """Has an exited task forgotten that the store no longer places there.

        A repeat of its start may still come, and would run a forgotten attempt again, perhaps beside a newer one
        elsewhere. So attempts that were stopped stay known until their starts are fenced, which is done for many
        together; a task that is done only says so again.
        """
        known = machine.pending_forgets.get(task)
        if known is None or known.attempt != attempt:
            wait_s = 0.0 if done else FORGET_DELAY_LEASES * self._lease_s
            machine.pending_forgets[task] = PendingForget(attempt, self._clock.seconds() + wait_s, done)
