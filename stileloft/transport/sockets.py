"""The limit on the process's open sockets, and which connections give way when few are left."""

import contextlib
import logging
import resource
from collections.abc import Callable

from stileloft.transport.clock import Clock

log = logging.getLogger(__name__)

RESERVED_FILES = 64
"""Open files that the process needs beside its sockets."""
REFRESH_INTERVAL_S = 0.25
"""Counting is cheap, but not free, with thousands of connections."""
# Beyond these shares of the limit a connection is not kept once its request is answered: first those to workers, which
# are made anew in a round trip, then those of users. The state service and peers keep theirs, and so do heartbeats,
# unless the workers by themselves would need more than the last of these shares.
KEEP_COMMANDS_SHARE = 0.7
KEEP_USERS_SHARE = 0.85
KEEP_HEARTBEATS_SHARE = 0.85


def raise_open_files_limit(max_sockets: int) -> None:
    """Raises the process's limit on open files to what so many sockets need, as far as the system allows it.

    Many systems start processes with a limit of 1,024, far below what a large fleet needs.
    """
    wanted = max_sockets + RESERVED_FILES
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY or soft >= wanted:
        return
    allowed = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    with contextlib.suppress(OSError, ValueError):
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))
        soft = allowed
    if soft < wanted:
        log.warning("open files limit is too low limit=%d max_sockets=%d", soft, max_sockets)


class SocketUsage:
    """The share of the limit that is in use; `count` is asked at most a few times a second."""

    def __init__(self, clock: Clock, count: Callable[[], int], max_sockets: int) -> None:
        self._clock = clock
        self._count = count
        self._max_sockets = max_sockets
        self._refreshed_at = float("-inf")
        self._share = 0.0

    def share(self) -> float:
        """Open sockets as a share of the limit."""
        now = self._clock.seconds()
        if now - self._refreshed_at >= REFRESH_INTERVAL_S:
            self._refreshed_at, self._share = now, self._count() / self._max_sockets
        return self._share

    def keeps_worker_connections(self) -> bool:
        """Whether connections to workers are kept for the next commands."""
        return self.share() < KEEP_COMMANDS_SHARE

    def keeps_user_connections(self) -> bool:
        """Whether connections of users are kept for their next requests."""
        return self.share() < KEEP_USERS_SHARE

    def keeps_heartbeat_connections(self, workers: int) -> bool:
        """Whether the connections on which so many workers send heartbeats are kept.

        All or none: where some were kept until the limit is near, they would hold it, and the other workers would be
        refused until their leases expire.
        """
        return workers <= KEEP_HEARTBEATS_SHARE * self._max_sockets
