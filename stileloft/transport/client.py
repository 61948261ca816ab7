"""A pooled HTTP client whose errors distinguish requests that were not executed from those that may have been."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, TypeVar

from twisted.internet import defer, error
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from stileloft.transport.clock import Clock

Result = TypeVar("Result")


class TransportError(Exception):
    """A request got no usable reply; `reason` says why, `target` is the server's address or empty."""

    def __init__(self, reason: str, target: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.target = target


class ConnectionFailedError(TransportError):
    """The request was not executed: no connection was established, or the body was not sent."""


class NoResponseError(TransportError):
    """No usable reply came; the request may have been executed, or may still be executed later."""


class _RequestWithdrawnError(Exception):
    """The caller withdrew the request before its body was sent."""


@implementer(IBodyProducer)
class _RequestBody:
    """A request's body; `is_wanted` is called once the connection is established, just before the body is sent."""

    def __init__(self, data: bytes, is_wanted: Callable[[], bool]) -> None:
        self.data = data
        self.length = len(data)
        self._is_wanted = is_wanted
        self.withdrawn = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        """Writes the body, or fails the request if it is no longer wanted."""
        if not self._is_wanted():
            self.withdrawn = True
            return defer.fail(_RequestWithdrawnError())
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        """Nothing to do: the body is written at once."""

    def resumeProducing(self) -> None:
        """Nothing to do: the body is written at once."""

    def stopProducing(self) -> None:
        """Nothing to do: the body is written at once."""


@implementer(IAgentEndpointFactory)
class _NumericEndpoints:
    """Connects by IP address, without Twisted's name lookup, which takes half the time of a request."""

    def __init__(self, reactor: Any, connect_timeout_s: float) -> None:
        self._reactor = reactor
        self._connect_timeout_s = connect_timeout_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        """Returns the endpoint of a URL whose host is an IP address."""
        return TCP4ClientEndpoint(self._reactor, uri.host.decode(), uri.port, timeout=self._connect_timeout_s)


@dataclass(slots=True)
class Reply:
    """A server's reply to a request."""

    status: int
    body: Any
    """The decoded body; None if the reply has no body."""


class Client:
    """Sends requests over persistent connections, with bodies in one encoding.

    `content_type` is the type of all bodies. The pool holds at most `max_idle_per_host` idle connections per host, each
    for at most `idle_s`. `keep_alive` is called before each request; if it returns False, the connection is closed
    after the reply.
    """

    def __init__(
        self,
        reactor: Any,
        encode: Callable[[Any], bytes],
        decode: Callable[[bytes], Any],
        content_type: bytes,
        max_idle_per_host: int,
        connect_timeout_s: float,
        idle_s: float,
        keep_alive: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock: Clock = reactor
        self._encode = encode
        self._decode = decode
        self._headers_with_body = Headers({b"Content-Type": [content_type]})
        self._headers = Headers({})
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = max_idle_per_host
        pool.cachedConnectionTimeout = round(idle_s)
        # Retries are left to the caller, who knows whether the request is idempotent.
        pool.retryAutomatically = False
        self._pool = pool
        self._keep_alive = keep_alive
        self._agent = Agent.usingEndpointFactory(reactor, _NumericEndpoints(reactor, connect_timeout_s), pool=pool)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: Any,
        timeout_s: float,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Reply:
        """Sends a request and waits for its reply; raises `ConnectionFailedError` or `NoResponseError`.

        `is_wanted` is called once the connection is established, which may take long if the process is suspended; if it
        returns False, the body is outdated and is not sent. `timeout_s` applies to the wait for the reply's headers
        and again to the wait for the end of its body.
        """
        response = await self._send(method, address, path, body, timeout_s, is_wanted)
        try:
            data = await self._within(timeout_s, readBody(response))
        except Exception as failure:
            raise NoResponseError(repr(failure), address) from None
        if not data:
            return Reply(response.code, None)
        try:
            return Reply(response.code, self._decode(data))
        except Exception as failure:
            raise NoResponseError(f"unreadable body: {failure!r}", address) from None

    async def _send(
        self, method: str, address: str, path: str, body: Any, timeout_s: float, is_wanted: Callable[[], bool]
    ) -> Any:
        """Sends a request and waits for the headers of its reply."""
        url = f"http://{address}{path}".encode()
        producer = _RequestBody(self._encode(body), is_wanted) if body is not None else None
        headers = self._headers_with_body if producer is not None else self._headers
        # A connection that is not kept alive is closed after its reply.
        self._pool.persistent = self._keep_alive()
        try:
            return await self._within(timeout_s, self._agent.request(method.encode(), url, headers, producer))
        except (error.ConnectError, error.ConnectingCancelledError) as failure:
            raise ConnectionFailedError(str(failure), address) from None
        except Exception as failure:
            if producer is not None and producer.withdrawn:
                raise ConnectionFailedError("request withdrawn before its body was sent", address) from None
            raise NoResponseError(repr(failure), address) from None

    async def _within(self, timeout_s: float, pending: "defer.Deferred[Result]") -> Result:
        """Returns the result of an operation, which is cancelled after `timeout_s`."""
        timer = self._clock.callLater(timeout_s, pending.cancel)
        try:
            return await pending
        finally:
            if timer.active():
                timer.cancel()
