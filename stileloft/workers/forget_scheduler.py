"""When workers may forget the exited tasks that they report."""

from stileloft.model.machines import Machine, PendingForget
from stileloft.transport.clock import Clock

FORGET_DELAY_LEASES = 4.0
"""Delay of the forget command for an attempt that is not done, in worker leases."""


class ForgetScheduler:
    """Records which exited attempts a machine's worker has to forget, and when."""

    def __init__(self, clock: Clock, lease_s: float) -> None:
        self._clock = clock
        self._lease_s = lease_s

    def schedule(self, machine: Machine, task: str, attempt: int, done: bool) -> None:
        """Schedules the forget command for an exited attempt that the store no longer places on the machine.

        A late copy of the start would run a forgotten attempt again, possibly in parallel with a newer attempt
        elsewhere. So the worker keeps an attempt that is not done until its start is fenced; the delay lets one fence
        serve many attempts. A done attempt needs no delay: a late start only makes the worker report the attempt as
        done again.
        """
        if (task, attempt) not in machine.pending_forgets:
            wait_s = 0.0 if done else FORGET_DELAY_LEASES * self._lease_s
            machine.pending_forgets[task, attempt] = PendingForget(self._clock.seconds() + wait_s, done)
