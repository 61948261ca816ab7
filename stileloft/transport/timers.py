"""Pauses for coroutines, on the monotonic clock."""

from twisted.internet import defer

from stileloft.transport.clock import Clock


def sleep(clock: Clock, seconds: float) -> defer.Deferred[None]:
    """Returns a Deferred that fires after `seconds` on the clock."""
    done: defer.Deferred[None] = defer.Deferred()
    clock.callLater(seconds, done.callback, None)
    return done
