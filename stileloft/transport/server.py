"""The HTTP server: routes, body limit, answers, and one place for errors."""

import logging
from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet import defer
from twisted.web import resource, server

log = logging.getLogger(__name__)

BODY_LIMIT = 64 * 1024


class Answer:
    """What a handler returns."""

    __slots__ = ("body", "headers", "status")

    def __init__(self, status: int, body: Any = None, headers: dict[str, str] | None = None) -> None:
        self.status = status
        self.body = body
        self.headers = headers or {}


Handler = Callable[[Any, dict[str, str]], "Awaitable[Answer] | Answer"]


def retry_later(status: int, reason: str, after_s: float) -> Answer:
    """An answer that tells when to come back, in whole seconds as the header wants them."""
    return Answer(status, {"error": reason}, {"Retry-After": str(max(1, round(after_s)))})


class LimitedRequest(server.Request):
    """A request whose body is refused as soon as it is known to be too large."""

    received = 0

    def gotLength(self, length: int | None) -> None:
        super().gotLength(length)
        if length is not None and length > BODY_LIMIT:
            self._refuse()

    def handleContentChunk(self, data: bytes) -> None:
        self.received += len(data)
        if self.received > BODY_LIMIT:
            self._refuse()
        else:
            super().handleContentChunk(data)

    def _refuse(self) -> None:
        channel: Any = self.channel
        if channel is None or channel.transport is None:
            return
        channel.transport.write(
            b"HTTP/1.1 413 Request Entity Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
        )
        channel.loseConnection()


class Router(resource.Resource):
    """Finds the handler for a request; handlers see decoded bodies only."""

    isLeaf = True

    def __init__(
        self,
        match: Callable[[str], tuple[dict[str, Handler], dict[str, str]] | None],
        encode: Callable[[Any], bytes],
        decode: Callable[[bytes], Any],
        media: str,
        keep: Callable[[str], bool] = lambda _path: True,
    ) -> None:
        super().__init__()
        self._match = match
        self._encode = encode
        self._decode = decode
        self._media = media
        self._keep = keep

    def render(self, request: server.Request) -> int:
        found = self._match(request.path.decode("utf-8", "replace"))
        method = request.method.decode("ascii", "replace")
        if found is None:
            self._send(request, Answer(404, {"error": "no such path"}))
            return server.NOT_DONE_YET
        handlers, arguments = found
        handler = handlers.get("GET" if method == "HEAD" else method)
        if handler is None:
            allowed = {"Allow": ", ".join(sorted(handlers))}
            self._send(request, Answer(405, {"error": "method not allowed"}, allowed))
            return server.NOT_DONE_YET
        body: Any = None
        if method in ("POST", "PUT"):
            content: Any = request.content
            data = content.read()
            try:
                # Some requests have nothing to say but their path.
                body = self._decode(data) if data else None
            except Exception:
                self._send(request, Answer(400, {"error": "the body cannot be decoded"}))
                return server.NOT_DONE_YET
        try:
            result = handler(body, arguments)
        except Exception:
            self._failed(request)
            return server.NOT_DONE_YET
        if isinstance(result, Answer):
            self._send(request, result)
        else:
            self._wait(request, result)
        return server.NOT_DONE_YET

    def _wait(self, request: server.Request, pending: Any) -> None:
        gone: list[Any] = []
        request.notifyFinish().addErrback(lambda failure: gone.append(failure))

        async def answer() -> None:
            try:
                result = await pending
            except Exception:
                if not gone:
                    self._failed(request)
                return
            if not gone:
                self._send(request, result)

        defer.ensureDeferred(answer())

    def _failed(self, request: server.Request) -> None:
        log.exception("%s %s failed", request.method, request.path)
        self._send(request, retry_later(503, "internal error", 1))

    def _send(self, request: server.Request, answer: Answer) -> None:
        request.setResponseCode(answer.status)
        data = b"" if answer.body is None else self._encode(answer.body)
        request.setHeader(b"content-type", self._media)
        request.setHeader(b"content-length", str(len(data)))
        for name, value in answer.headers.items():
            request.setHeader(name.encode(), value.encode())
        channel: Any = request.channel
        if channel is not None and not self._keep(request.path.decode("utf-8", "replace")):
            request.setHeader(b"connection", b"close")
            channel.persistent = False
        if data and request.method != b"HEAD":
            request.write(data)
        request.finish()


def make_site(router: Router, idle_s: float) -> server.Site:
    # Bodies are never forms; looking for some would take a third of the time of a worker's report.
    site: Any = server.Site(router, requestFactory=LimitedRequest, timeout=idle_s, parsePOSTFormSubmission=False)
    site.log = lambda _request: None  # every line costs; failures are logged where they happen
    made: server.Site = site
    return made
