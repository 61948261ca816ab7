"""How many of the process's sockets are in use, and who gives way when they become few."""

import contextlib
import logging
import resource
from collections.abc import Callable

from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

# Files that the process needs open beside its sockets.
OTHER_FILES = 64
# Looking is cheap, but not free, with thousands of connections.
LOOK_S = 0.25
# Beyond these parts of the limit a connection is not kept once its request is answered: first those to
# workers, which are made anew in a round trip, then those of users. The state service and peers keep theirs, and
# so do reports, unless the workers by themselves would need more than the last of these parts.
KEEP_COMMANDS = 0.7
KEEP_USERS = 0.85
KEEP_REPORTS = 0.85


def allow_open_files(sockets: int) -> None:
    """Raises the process's limit of open files to what so many sockets need, as far as the system lets it.

    Many systems start processes with a limit of 1,024, far below what a large fleet is given.
    """
    wanted = sockets + OTHER_FILES
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
        soft = allowed
    if soft < wanted:
        log.warning("only %d files may be open at once, but max_sockets is %d", soft, sockets)


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

    def keep_reports(self, workers: int) -> bool:
        """Whether the connections on which so many workers report are kept.

        All or none: where some were kept until the limit is near, they would hold it, and the other workers would be
        refused until their leases run out.
        """
        return workers <= KEEP_REPORTS * self._most
