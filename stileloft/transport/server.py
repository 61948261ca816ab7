"""The HTTP server: routing, the limit on request bodies, responses, and the handling of unexpected errors."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import Any

from twisted.web import resource, server

from stileloft.transport import background

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024
"""The protocol's limit on a request's body, in bytes."""
METHODS_WITH_BODY = ("POST", "PUT")
INTERNAL_ERROR_RETRY_S = 1.0


@dataclass(slots=True)
class Response:
    """A handler's response: status, body before encoding, and additional headers."""

    status: int
    body: Any = None
    headers: dict[str, str] = field(default_factory=dict)


Arguments = dict[str, str]
"""The variable parts of a request's path, by name."""
Handler = Callable[[Any, Arguments], "Awaitable[Response] | Response"]
"""Handles a request; the parameters are the decoded body, or None, and the path's arguments."""
Route = tuple[dict[str, Handler], Arguments]
"""A path's handlers by method, and the arguments in the path."""


def retry_later(status: int, reason: str, after_s: float) -> Response:
    """Returns an error response; Retry-After, which must be whole seconds, is `after_s` rounded, but at least 1."""
    return Response(status, {"error": reason}, {"Retry-After": str(max(1, round(after_s)))})


class LimitedRequest(server.Request):
    """A request that is rejected as soon as its body is known to exceed the limit."""

    received = 0

    def gotLength(self, length: int | None) -> None:
        """Rejects a body whose Content-Length exceeds the limit."""
        super().gotLength(length)
        if length is not None and length > BODY_LIMIT:
            self._reject()

    def handleContentChunk(self, data: bytes) -> None:
        """Receives a chunk of the body; a chunked body has no Content-Length, so received bytes are counted."""
        self.received += len(data)
        if self.received > BODY_LIMIT:
            self._reject()
        else:
            super().handleContentChunk(data)

    def _reject(self) -> None:
        channel: Any = self.channel
        if channel is None or channel.transport is None:
            return
        channel.transport.write(
            b"HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        )
        channel.loseConnection()


class Router(resource.Resource):
    """Dispatches requests to handlers, which receive decoded bodies.

    `match` returns the route of a path, or None for an unknown path. `content_type` is the type of all bodies.
    `keep_alive` returns whether the connection is kept open after a response to the path.
    """

    isLeaf = True

    def __init__(
        self,
        match: Callable[[str], Route | None],
        encode: Callable[[Any], bytes],
        decode: Callable[[bytes], Any],
        content_type: str,
        keep_alive: Callable[[str], bool] = lambda _path: True,
    ) -> None:
        super().__init__()
        self._match = match
        self._encode = encode
        self._decode = decode
        self._content_type = content_type
        self._keep_alive = keep_alive

    def render(self, request: server.Request) -> int:
        """Dispatches a request; the response is sent now or later."""
        route = self._match(_path_of(request))
        if route is None:
            self._send(request, Response(HTTPStatus.NOT_FOUND, {"error": "no such path"}))
        else:
            self._dispatch(request, *route)
        return server.NOT_DONE_YET

    def _dispatch(self, request: server.Request, handlers: dict[str, Handler], arguments: Arguments) -> None:
        """Calls the handler of the request's method."""
        method = request.method.decode("ascii", "replace")
        handler = handlers.get("GET" if method == "HEAD" else method)
        if handler is None:
            allowed = {"Allow": ", ".join(sorted(handlers))}
            self._send(request, Response(HTTPStatus.METHOD_NOT_ALLOWED, {"error": "method not allowed"}, allowed))
            return
        try:
            body = self._read_body(request) if method in METHODS_WITH_BODY else None
        except Exception:
            self._send(request, Response(HTTPStatus.BAD_REQUEST, {"error": "the body cannot be decoded"}))
            return
        try:
            result = handler(body, arguments)
        except Exception:
            self._send_internal_error(request)
            return
        if isinstance(result, Response):
            self._send(request, result)
        else:
            self._send_later(request, result)

    def _read_body(self, request: server.Request) -> Any:
        """Returns the decoded body; None if it is empty, as in requests that consist of a path only."""
        content: Any = request.content
        data = content.read()
        return self._decode(data) if data else None

    def _send_later(self, request: server.Request, pending: Awaitable[Response]) -> None:
        """Sends the response when it is ready, unless the connection was closed first."""
        disconnected: list[Any] = []
        request.notifyFinish().addErrback(disconnected.append)

        async def send() -> None:
            try:
                answer = await pending
            except Exception:
                if not disconnected:
                    self._send_internal_error(request)
                return
            if not disconnected:
                self._send(request, answer)

        background.start("response", send())

    def _send_internal_error(self, request: server.Request) -> None:
        """Logs the current exception, and answers with status 503 and a Retry-After header."""
        log.exception("request failed method=%s path=%s", request.method, request.path)
        self._send(request, retry_later(HTTPStatus.SERVICE_UNAVAILABLE, "internal error", INTERNAL_ERROR_RETRY_S))

    def _send(self, request: server.Request, answer: Response) -> None:
        request.setResponseCode(int(answer.status))
        data = b"" if answer.body is None else self._encode(answer.body)
        request.setHeader(b"content-type", self._content_type)
        request.setHeader(b"content-length", str(len(data)))
        for name, value in answer.headers.items():
            request.setHeader(name.encode(), value.encode())
        channel: Any = request.channel
        if channel is not None and not self._keep_alive(_path_of(request)):
            request.setHeader(b"connection", b"close")
            channel.persistent = False
        if data and request.method != b"HEAD":
            request.write(data)
        request.finish()


def _path_of(request: server.Request) -> str:
    return request.path.decode("utf-8", "replace")


def make_site(router: Router, idle_s: float) -> server.Site:
    """Returns a server for a router's paths; it closes connections that are idle for `idle_s` seconds."""
    # Bodies are never forms, and checking for a form would take a third of a heartbeat's processing time.
    site: Any = server.Site(router, requestFactory=LimitedRequest, timeout=idle_s, parsePOSTFormSubmission=False)
    # No access log, since it would take time in each request; failures are logged where they occur.
    site.log = lambda _request: None
    typed_site: server.Site = site
    return typed_site
