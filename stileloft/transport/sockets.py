"""How many of the process's sockets are in use, and who gives way when they become few."""

from collections.abc import Callable

from stileloft.transport.clock import Clock

# Looking is cheap, but not free, with thousands of connections.
LOOK_S = 0.25
# Beyond these parts of the limit a connection is not kept once its request is answered: first those to
# workers, which are made anew in a round trip, then those of users. Reports and the state service keep theirs.
KEEP_COMMANDS = 0.7
KEEP_USERS = 0.85


class Sockets:
    """The part of the limit that is in use; looked up at most a few times a second."""

    def __init__(self, clock: Clock, count: Callable[[], int], most: int) -> None:
        self._clock = clock
        self._count = count
        self._most = most
        self._looked_at = float("-inf")
        self._part = 0.0

    def part(self) -> float:
        now = self._clock.seconds()
        if now - self._looked_at >= LOOK_S:
            self._looked_at, self._part = now, self._count() / self._most
        return self._part

    def keep_commands(self) -> bool:
        return self.part() < KEEP_COMMANDS

    def keep_users(self) -> bool:
        return self.part() < KEEP_USERS
