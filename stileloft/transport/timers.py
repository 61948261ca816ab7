"""Pauses on the steady clock, for coroutines."""

from twisted.internet import defer

from stileloft.transport.clock import Clock


def sleep(clock: Clock, seconds: float) -> defer.Deferred[None]:
    """A Deferred that fires after so many seconds of the clock."""
    done: defer.Deferred[None] = defer.Deferred()
    clock.callLater(seconds, done.callback, None)
    return done
