"""The limit on the process's open sockets, and which connections are not kept alive near the limit."""

import contextlib
import logging
import resource
from collections.abc import Callable

from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

RESERVED_FILES = 64
"""Number of open files that the process needs in addition to its sockets."""
REFRESH_INTERVAL_S = 0.25
"""Minimum time between two counts of open sockets, which take noticeable time with thousands of connections."""
# If the share of used sockets reaches these values, connections are closed after each response: first those to workers,
# which can be reopened in one round trip, then those of users. Connections to the state service and peers are always
# kept alive; those of heartbeats are, unless the workers alone would need more than KEEP_HEARTBEATS_SHARE.
KEEP_COMMANDS_SHARE = 0.7
KEEP_USERS_SHARE = 0.85
KEEP_HEARTBEATS_SHARE = 0.85


def raise_open_files_limit(max_sockets: int) -> None:
    """Raises the process's limit on open files to the number that `max_sockets` needs, or to the hard limit if lower.

    Many systems start processes with a limit of 1,024, far below what a large fleet needs.
    """
    needed = max_sockets + RESERVED_FILES
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= needed:
        return
    allowed = needed if hard == resource.RLIM_INFINITY else min(needed, hard)
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
        soft = allowed
    if soft < needed:
        log.warning("open files limit too low limit=%d needed=%d max_sockets=%d", soft, needed, max_sockets)


class SocketUsage:
    """The share of the socket limit in use; `count` is called at most once per `REFRESH_INTERVAL_S`."""

    def __init__(self, clock: Clock, count: Callable[[], int], max_sockets: int) -> None:
        self._clock = clock
        self._count = count
        self._max_sockets = max_sockets
        self._refreshed_at = float("-inf")
        self._share = 0.0

    def share(self) -> float:
        """Returns the number of open sockets as a share of the limit."""
        now = self._clock.seconds()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at, self._share = now, self._count() / self._max_sockets
        return self._share

    def keeps_worker_connections(self) -> bool:
        """Returns whether connections to workers are kept alive for further commands."""
        return self.share() < KEEP_COMMANDS_SHARE

    def keeps_user_connections(self) -> bool:
        """Returns whether connections of users are kept alive for further requests."""
        return self.share() < KEEP_USERS_SHARE

    def keeps_heartbeat_connections(self, workers: int) -> bool:
        """Returns whether the heartbeat connections of this number of workers are kept alive.

        Either all or none are kept alive: if some were kept until the limit is reached, the other workers could not
        connect, and their leases would expire.
        """
        return workers <= KEEP_HEARTBEATS_SHARE * self._max_sockets
