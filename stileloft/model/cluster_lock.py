"""The lock of the leader's cluster state."""

import threading
from collections.abc import Callable


class ReentrantAcquisitionError(RuntimeError):
    """A thread tried to acquire the lock while it holds it, and would have waited for itself forever."""


class ClusterLock:
    """A lock that is not reentrant, for `with` statements.

    A thread that acquires it twice gets a `ReentrantAcquisitionError` instead of a deadlock. A reentrant lock would
    hide the error: the inner code would run while the outer code is in the middle of a change.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._owner: int | None = None
        """Identifier of the thread that holds the lock; None while the lock is free."""
        self._after_release: list[Callable[[], None]] = []
        """Functions to call once the present owner has released the lock."""

    def __enter__(self) -> None:
        """Waits until the lock is free, and acquires it."""
        if self.held_by_this_thread():
            raise ReentrantAcquisitionError("this thread already holds the lock of the cluster's state")
        self._lock.acquire()
        self._owner = threading.get_ident()

    def __exit__(self, *_: object) -> None:
        """Releases the lock, then calls the functions that were waiting for the release."""
        waiting, self._after_release = self._after_release, []
        self._owner = None
        self._lock.release()
        for function in waiting:
            function()

    def held_by_this_thread(self) -> bool:
        """Returns whether the calling thread holds the lock."""
        return self._owner == threading.get_ident()

    def call_without(self, function: Callable[[], None]) -> None:
        """Calls a function that must not run with the lock held.

        It is called at once, or right after this thread's release of the lock if this thread holds it. Functions that
        wait for the release are called in order, also if the code that holds the lock raises an error.
        """
        if self.held_by_this_thread():
            self._after_release.append(function)
        else:
            function()
