"""The resources of users, workers and health checks on the public address."""

import logging
import re
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

from stileloft.protocol.errors import MalformedError, RequestError
from stileloft.protocol.messages import JOB_ID, Heartbeat, JobSpec, parse_heartbeat, parse_job
from stileloft.transport.server import Arguments, Handler, Response, Route, retry_later

log = logging.getLogger(__name__)

HEARTBEAT_PATH = "/checkin"
HEALTH_PATH = "/healthz"
JOBS_PATH = "/v2/runs"
JOB_PATH = re.compile(rf"^{JOBS_PATH}/([^/]+)$")
CANCEL_PATH = re.compile(rf"^{JOBS_PATH}/([^/]+)/cancel$")
VALID_ID = re.compile(JOB_ID)
NOT_READY_RETRY_S = 1.0


class JobService(Protocol):
    """What users ask for; each method may raise a `RequestError`, which its user is told."""

    async def submit(self, spec: JobSpec) -> tuple[bool, dict[str, Any]]:
        """Accepts a job: whether it is new, and its status."""

    async def status(self, job: str) -> dict[str, Any] | None:
        """A job's status; None for a job that was never accepted."""

    async def cancel(self, job: str) -> dict[str, Any] | None:
        """Cancels a job: its final status, or None for a job that was never accepted."""


class PublicResources:
    """Routes of the public address."""

    def __init__(
        self, service: JobService, on_heartbeat: Callable[[Heartbeat], Response], is_healthy: Callable[[], bool]
    ) -> None:
        self._service = service
        self._on_heartbeat = on_heartbeat
        self._is_healthy = is_healthy
        self._fixed_routes: dict[str, dict[str, Handler]] = {
            HEARTBEAT_PATH: {"POST": self.heartbeat},
            HEALTH_PATH: {"GET": self.health},
            JOBS_PATH: {"POST": self.submit},
        }

    def match(self, path: str) -> Route | None:
        """The handlers of a path, by method, and its arguments."""
        handlers = self._fixed_routes.get(path)
        if handlers is not None:
            return handlers, {}
        found = JOB_PATH.match(path)
        if found:
            return {"GET": self.status}, {"job": found.group(1)}
        found = CANCEL_PATH.match(path)
        if found:
            return {"POST": self.cancel}, {"job": found.group(1)}
        return None

    def heartbeat(self, body: Any, _arguments: Arguments) -> Response:
        """Takes in a worker's heartbeat."""
        try:
            heartbeat = parse_heartbeat(body)
        except MalformedError as error:
            return Response(HTTPStatus.BAD_REQUEST, {"error": error.reason})
        return self._on_heartbeat(heartbeat)

    def health(self, _body: Any, _arguments: Arguments) -> Response:
        """Tells a load balancer whether users may be sent here."""
        if self._is_healthy():
            return Response(HTTPStatus.OK, {"ok": True})
        return retry_later(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", NOT_READY_RETRY_S)

    def submit(self, body: Any, _arguments: Arguments) -> Response | Awaitable[Response]:
        """Accepts a job; a repeated submission is answered with the job's status."""
        try:
            spec = parse_job(body)
        except MalformedError as error:
            return Response(HTTPStatus.BAD_REQUEST, {"error": error.reason})

        async def answer() -> Response:
            is_new, status = await self._service.submit(spec)
            return Response(HTTPStatus.CREATED if is_new else HTTPStatus.OK, status)

        return self._with_errors_told(answer())

    def status(self, _body: Any, arguments: Arguments) -> Response | Awaitable[Response]:
        """Tells a job's status."""
        return self._answer_about(arguments["job"], self._service.status)

    def cancel(self, _body: Any, arguments: Arguments) -> Response | Awaitable[Response]:
        """Cancels a job, unless it has ended."""
        return self._answer_about(arguments["job"], self._service.cancel)

    def _answer_about(
        self, job: str, request: Callable[[str], Awaitable[dict[str, Any] | None]]
    ) -> Response | Awaitable[Response]:
        no_such_job = Response(HTTPStatus.NOT_FOUND, {"error": "no such job"})
        if not VALID_ID.match(job):
            return no_such_job  # no job of such a name can have been accepted

        async def answer() -> Response:
            status = await request(job)
            return no_such_job if status is None else Response(HTTPStatus.OK, status)

        return self._with_errors_told(answer())

    @staticmethod
    async def _with_errors_told(pending: Awaitable[Response]) -> Response:
        """The answer, or what the error that comes instead says to its user."""
        try:
            return await pending
        except RequestError as error:
            if error.retry_after_s is None:
                return Response(error.status, {"error": error.reason})
            log.debug("user told to retry reason=%s", error.reason)
            return retry_later(error.status, error.reason, error.retry_after_s)
