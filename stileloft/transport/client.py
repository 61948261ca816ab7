"""A pooled HTTP client whose failures tell whether a request may have been executed."""

from collections.abc import Callable
from typing import Any

from twisted.internet import defer, error
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.web.client import URI, Agent, HTTPConnectionPool, readBody
from twisted.web.http_headers import Headers
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

from stileloft.transport.clock import Clock


class ConnectionFailedError(Exception):
    """The request was certainly not executed: no connection was made, or its body was not sent."""


class NoResponseError(Exception):
    """No usable answer: the request may have been executed, or may be later."""


class _WithdrawnError(Exception):
    """The caller does not want the request any more."""


@implementer(IBodyProducer)
class _Body:
    """A request's body; `is_wanted` is asked when the connection is there, just before the body is sent."""

    def __init__(self, data: bytes, is_wanted: Callable[[], bool]) -> None:
        self.data = data
        self.length = len(data)
        self._is_wanted = is_wanted
        self.withdrawn = False

    def startProducing(self, consumer: Any) -> defer.Deferred[None]:
        if not self._is_wanted():
            self.withdrawn = True
            return defer.fail(_WithdrawnError())
        consumer.write(self.data)
        return defer.succeed(None)

    def pauseProducing(self) -> None:
        pass

    def resumeProducing(self) -> None:
        pass

    def stopProducing(self) -> None:
        pass


@implementer(IAgentEndpointFactory)
class _Addresses:
    """Connects by IP number. All hosts are named so, and the usual look-up of names costs half of a request."""

    def __init__(self, reactor: Any, connect_s: float) -> None:
        self._reactor = reactor
        self._connect_s = connect_s

    def endpointForURI(self, uri: URI) -> TCP4ClientEndpoint:
        return TCP4ClientEndpoint(self._reactor, uri.host.decode(), uri.port, timeout=self._connect_s)


class Reply:
    """A status, and the decoded body (None when there is none or it cannot be read)."""

    __slots__ = ("body", "status")

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


class Client:
    """Requests with bodies in one encoding, over persistent connections."""

    def __init__(
        self,
        reactor: Any,
        encode: Callable[[Any], bytes],
        decode: Callable[[bytes], Any],
        media: bytes,
        per_host: int,
        connect_s: float,
        idle_s: float,
        keep: Callable[[], bool] = lambda: True,
    ) -> None:
        self._clock: Clock = reactor
        self._encode = encode
        self._decode = decode
        self._headers = Headers({b"Content-Type": [media]})
        self._plain = Headers({})
        pool = HTTPConnectionPool(reactor, persistent=True)
        pool.maxPersistentPerHost = per_host
        pool.cachedConnectionTimeout = round(idle_s)
        # A repeat must be the caller's decision: it knows whether one is harmless.
        pool.retryAutomatically = False
        self._pool = pool
        self._keep = keep
        self._agent = Agent.usingEndpointFactory(reactor, _Addresses(reactor, connect_s), pool=pool)

    async def request(
        self,
        method: str,
        address: str,
        path: str,
        body: Any,
        timeout_s: float,
        is_wanted: Callable[[], bool] = lambda: True,
    ) -> Reply:
        """Sends a request and waits for its answer.

        To connect may take a while, or for as long as the process stands still. `is_wanted` is asked after that, and
        says whether a body that was right when the request was made is still to be sent.
        """
        url = f"http://{address}{path}".encode()
        producer = _Body(self._encode(body), is_wanted) if body is not None else None
        headers = self._headers if producer is not None else self._plain
        # Decided for each request: a connection that is not kept is closed with its answer.
        self._pool.persistent = self._keep()
        sent = self._agent.request(method.encode(), url, headers, producer)
        timer = self._clock.callLater(timeout_s, sent.cancel)
        try:
            response = await sent
        except (error.ConnectError, error.ConnectingCancelledError) as failure:
            raise ConnectionFailedError(str(failure)) from None
        except Exception as failure:
            if producer is not None and producer.withdrawn:
                raise ConnectionFailedError("withdrawn before it was sent") from None
            raise NoResponseError(repr(failure)) from None
        finally:
            if timer.active():
                timer.cancel()
        reading = readBody(response)
        timer = self._clock.callLater(timeout_s, reading.cancel)
        try:
            data = await reading
        except Exception as failure:
            raise NoResponseError(repr(failure)) from None
        finally:
            if timer.active():
                timer.cancel()
        if not data:
            return Reply(response.code, None)
        try:
            return Reply(response.code, self._decode(data))
        except Exception as failure:
            raise NoResponseError(f"unreadable body: {failure!r}") from None
