"""A small HTTP/1.1 server and client with CBOR bodies, for the stand-ins of the review's cases."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import cbor2

LOCAL = f"127.{20 + (os.getpid() >> 16) % 200}.{os.getpid() >> 8 & 255}.{os.getpid() & 255}"
"""A loopback address that this run alone uses."""
FIRST_PORT, LAST_PORT = 21_000, 31_000


class Reply(NamedTuple):
    """An HTTP reply with its decoded body."""

    status: int
    body: Any


Handler = Callable[[str, str, Any], Awaitable[Reply | None]]
"""Answers a request; None closes the connection without an answer."""


def free_ports(count: int) -> list[int]:
    """Returns ports of `LOCAL` without a listener, below those that the system hands out by itself."""
    ports: list[int] = []
    for port in range(FIRST_PORT, LAST_PORT):
        try:
            socket.create_server((LOCAL, port)).close()
        except OSError:
            continue
        ports.append(port)
        if len(ports) == count:
            break
    return ports


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = dict(line.lower().split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name: value.strip() for name, value in headers.items()}


async def serve(handle: Handler, port: int = 0) -> int:
    """Serves requests on `LOCAL`, one after the other on each connection; returns the port."""

    async def connected(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                first, headers = await _read_head(reader)
                method, path, _ = first.split(" ", 2)
                data = await reader.readexactly(int(headers.get("content-length", 0)))
                reply = await handle(method, path, cbor2.loads(data) if data else None)
                if reply is None:
                    break
                body = cbor2.dumps(reply.body)
                writer.write(f"HTTP/1.1 {reply.status} -\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
                await writer.drain()
        writer.close()

    server = await asyncio.start_server(connected, LOCAL, port, backlog=1000)
    bound: int = server.sockets[0].getsockname()[1]
    return bound


async def call(address: str, method: str, path: str, body: Any, timeout_s: float) -> Reply | None:
    """Sends one request on a connection of its own; returns None if no answer comes within the time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            host, _, port = address.rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            data = b"" if body is None else cbor2.dumps(body)
            head = f"{method} {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n"
            writer.write(f"{head}Content-Length: {len(data)}\r\n\r\n".encode() + data)
            first, headers = await _read_head(reader)
            answer = await reader.readexactly(int(headers.get("content-length", 0)))
            return Reply(int(first.split(" ")[1]), cbor2.loads(answer) if answer else None)
    except (OSError, TimeoutError, asyncio.IncompleteReadError, cbor2.CBORDecodeError):
        return None
    finally:
        if writer is not None:
            writer.close()
