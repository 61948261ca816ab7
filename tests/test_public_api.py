"""The HTTP server and the resources on the public address, without a network."""

import logging
from collections.abc import Callable
from http import HTTPStatus

import pytest
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport

from stileloft.protocol import messages
from stileloft.protocol.errors import RequestError
from stileloft.protocol.messages import JobPhase
from stileloft.protocol.users import HEARTBEAT_PATH, PublicResources
from stileloft.transport.server import Response, Router, make_site
from stileloft.transport.sockets import SocketUsage
from tests.simulation.cluster import SimulatedCluster


class LaterError(RequestError):
    status = HTTPStatus.SERVICE_UNAVAILABLE


class NeverError(RequestError):
    status = HTTPStatus.UNPROCESSABLE_ENTITY


class Service:
    """Answers by job number, so that each path of the resources can be asked for."""

    async def submit(self, spec):
        if spec.id == "j-503":
            raise LaterError("later", retry_after_s=2.0)
        if spec.id == "j-422":
            raise NeverError("too large")
        return spec.id == "j-201", messages.job_status_message(spec.id, JobPhase.QUEUED)

    async def status(self, job):
        if job == "j-500":
            raise RuntimeError("a defect")
        return None if job == "j-404" else messages.job_status_message(job, JobPhase.RUNNING, 1, 2)

    async def cancel(self, job):
        return messages.job_status_message(job, JobPhase.CANCELLED)


def exchange(data: bytes, keep: Callable[[str], bool] = lambda _: True) -> tuple[int, dict[str, str], bytes]:
    public = PublicResources(Service(), lambda _: Response(421, {"steward": "node-1"}), lambda: True)
    site = make_site(Router(public.match, messages.encode, messages.decode, "application/cbor", keep), 60.0)
    channel = site.buildProtocol(None)
    transport = StringTransport()
    transport.setTcpNoDelay = lambda _: None  # type: ignore[attr-defined]
    channel.makeConnection(transport)
    channel.dataReceived(data)
    head, _, body = transport.value().partition(b"\r\n\r\n")
    channel.connectionLost(None)
    lines = head.decode().split("\r\n")
    headers = {k.lower(): v for k, _, v in (line.partition(": ") for line in lines[1:])}
    return int(lines[0].split()[1]), headers, body


def call(method: str, path: str, body: object = None, raw: bytes | None = None) -> tuple[int, dict[str, str], bytes]:
    data = raw if raw is not None else b"" if body is None else messages.encode(body)
    return exchange(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)


def job(number: str) -> dict:
    return SimulatedCluster(1).job(1) | {"nameId": f"j-{number}"}


def test_statuses() -> None:
    assert call("POST", "/v2/runs", job("201"))[0] == 201
    assert call("POST", "/v2/runs", job("200"))[0] == 200
    assert call("POST", "/v2/runs", job("422"))[0] == 422
    status, headers, _ = call("POST", "/v2/runs", job("503"))
    assert (status, headers["retry-after"]) == (503, "2")
    assert call("POST", "/v2/runs", raw=b"\xff\xff")[0] == 400
    assert call("POST", "/v2/runs", raw=b"")[0] == 400
    assert call("POST", "/v2/runs", [1])[0] == 400
    assert call("GET", "/v2/runs/j-1")[0] == 200
    assert call("GET", "/v2/runs/j-404")[0] == 404
    assert call("GET", "/v2/runs/what")[0] == 404
    # Cancellations come without a body.
    assert call("POST", "/v2/runs/j-1/cancel", raw=b"")[0] == 200
    status, headers, _ = call("DELETE", "/v2/runs/j-1")
    assert (status, headers["allow"]) == (405, "GET")
    assert call("GET", "/nowhere")[0] == 404
    assert call("GET", "/healthz")[0] == 200
    assert call("POST", "/checkin", {"host": 3})[0] == 400


def test_a_defect_is_answered_at_once(caplog: pytest.LogCaptureFixture) -> None:
    with caplog.at_level(logging.CRITICAL):
        status, headers, _ = call("GET", "/v2/runs/j-500")
    assert status == 503
    assert "retry-after" in headers


def test_users_give_way_when_sockets_are_few_and_workers_do_not() -> None:
    """A request is still answered; it is the connection that is not kept for the next one."""
    open_now = [0]
    clock = Clock()
    sockets = SocketUsage(clock, lambda: open_now[0], 1000)

    def keep(path: str) -> bool:
        return path == HEARTBEAT_PATH or sockets.keeps_user_connections()

    poll = b"GET /v2/runs/j-1 HTTP/1.1\r\nHost: x\r\n\r\n"
    report = b"POST /checkin HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\n\xa0"
    for count, commands, users in ((0, True, True), (750, False, True), (900, False, False)):
        open_now[0] = count
        clock.advance(1.0)
        assert (sockets.keeps_worker_connections(), sockets.keeps_user_connections()) == (commands, users)
        status, headers, body = exchange(poll, keep)
        assert status == 200
        assert messages.decode(body)["phase"] == "running"
        assert (headers.get("connection") != "close") == users
        assert "connection" not in exchange(report, keep)[1]


def test_large_bodies_are_refused_before_they_are_read() -> None:
    head = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nContent-Length: 70000\r\n\r\n"
    status, headers, _ = exchange(head)
    assert (status, headers["connection"]) == (413, "close")
    chunks = b"POST /v2/runs HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
    chunks += b"8000\r\n" + b"x" * 0x8000 + b"\r\n" + b"8001\r\n" + b"x" * 0x8001 + b"\r\n"
    assert exchange(chunks)[0] == 413
