"""Background coroutines: coroutines that are started without anybody awaiting their result."""

import logging
from collections.abc import Callable, Coroutine
from typing import Any, Protocol

from twisted.internet import defer
from twisted.python.failure import Failure

log = logging.getLogger(__name__)

BackgroundCoroutine = Coroutine[Any, Any, None]


class Lock(Protocol):
    """A lock that can postpone a call until it is released."""

    def call_without(self, function: Callable[[], None]) -> None:
        """Calls a function at once, or after the release if the calling thread holds the lock."""


def start(name: str, coroutine: BackgroundCoroutine) -> None:
    """Runs a coroutine up to its first wait, and continues it later; logs an error that it raises.

    A coroutine without anything to wait for runs to its end within this call. If it acquires a lock that the caller may
    hold, `start_without` is used instead.
    """
    defer.ensureDeferred(coroutine).addErrback(_log_failure, name)


def start_without(lock: Lock, name: str, function: Callable[..., BackgroundCoroutine], *arguments: Any) -> None:
    """Starts the coroutine of a coroutine function like `start`, but not while the calling thread holds the lock."""
    lock.call_without(lambda: start(name, function(*arguments)))


def _log_failure(failure: Failure, name: str) -> None:
    log.error("background coroutine failed name=%r traceback=%s", name, failure.getTraceback())
