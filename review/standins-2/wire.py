"""HTTP/1.1 with CBOR bodies on loopback, and the record of a run."""

import asyncio
import contextlib
import os
import time
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from pathlib import Path
from typing import Any

import cbor2

LOCAL = f"127.{10 + (os.getpid() >> 16) % 200}.{os.getpid() >> 8 & 255}.{1 + (os.getpid() & 255) % 254}"
"""A loopback address of this run alone, so that no other run takes its ports."""
PIECE = 65536


_background: set[asyncio.Future[Any]] = set()


def in_background(work: Coroutine[Any, Any, Any]) -> asyncio.Future[Any]:
    """Runs a coroutine, which is kept until it ends."""
    task = asyncio.ensure_future(work)
    _background.add(task)
    task.add_done_callback(_background.discard)
    return task


class Silent(Exception):  # noqa: N818 - not an error: the request is carried out or lost, and gets no answer
    """Raised by a handler whose request gets no answer; its connection stays open."""


class Record:
    """Writes what was sent, answered and run, with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        """Begins the file anew."""
        self._began = time.monotonic()
        self._file = path.open("w", encoding="utf-8", buffering=1)

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now():8.3f} {text}\n")


Answer = tuple[int, Any]
Handler = Callable[[str, str, Any], Coroutine[Any, Any, Answer]]


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes] | None:
    """Returns the first line, headers and body of a message; None at the end of the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.split("\r\n")
    headers = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines if line)}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """Serves one handler on a free loopback port."""

    def __init__(self, handle: Handler) -> None:
        """`handle` gets the method, the path and the decoded body, and returns the status and the body."""
        self._handle = handle
        self.address = ""

    async def start(self) -> None:
        """Listens, and sets the address."""
        server = await asyncio.start_server(self._serve, LOCAL, 0)
        self.address = f"{LOCAL}:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError), contextlib.closing(writer):
            while (message := await _read_message(reader)) is not None:
                method, path, _ = message[0].split(" ")
                body = cbor2.loads(message[2]) if message[2] else None
                # A request that has arrived is carried out, also if its sender has given up.
                work = in_background(self._handle(method, path, body))
                try:
                    status, answer = await asyncio.shield(work)
                except Silent:
                    await reader.read()  # until the other side gives up
                    break
                data = cbor2.dumps(answer)
                writer.write(f"HTTP/1.1 {status} x\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
                if message[1].get("connection", "").lower() == "close":
                    break


async def request(address: str, method: str, path: str, body: Any, timeout_s: float) -> Answer | None:
    """Sends a request on a connection of its own; returns status and body, or None without an answer in time."""
    try:
        return await asyncio.wait_for(_exchange(address, method, path, body), timeout_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return None


async def _exchange(address: str, method: str, path: str, body: Any) -> Answer | None:
    host, _, port = address.partition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        data = b"" if body is None else cbor2.dumps(body)
        head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/cbor\r\n"
        writer.write(f"{head}Connection: close\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
        message = await _read_message(reader)
    finally:
        writer.close()
    if message is None:
        return None
    return int(message[0].split(" ")[1]), cbor2.loads(message[2]) if message[2] else None


def succeeded(answer: Answer | None) -> bool:
    """Whether the answer has status 200 or 201."""
    return answer is not None and answer[0] in (HTTPStatus.OK, HTTPStatus.CREATED)


class Proxy:
    """Passes connections on to another loopback address, or refuses them."""

    def __init__(self, target: str) -> None:
        """`target` is the address to which connections are passed on."""
        self._target = target
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.address = f"{LOCAL}:0"

    async def open(self) -> None:
        """Listens, the first time on a free port and later on the same one."""
        port = int(self.address.rpartition(":")[2])
        self._server = await asyncio.start_server(self._pass_on, LOCAL, port)
        self.address = f"{LOCAL}:{self._server.sockets[0].getsockname()[1]}"

    def refuse(self) -> None:
        """Resets all connections and refuses further ones."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            writer.transport.abort()

    async def _pass_on(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, _, port = self._target.partition(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        await asyncio.gather(self._copy(reader, far_writer), self._copy(far_reader, writer))
        self._writers -= both

    @staticmethod
    async def _copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError), contextlib.closing(writer):
            while data := await reader.read(PIECE):
                writer.write(data)
                await writer.drain()
