"""Routes of the public address: for users, workers and health checks."""

import logging
import re
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import Any, Protocol

from stileloft.protocol.errors import MalformedError, RequestError
from stileloft.protocol.messages import Heartbeat, JobSpec, is_job_id, parse_heartbeat, parse_job
from stileloft.transport.server import Arguments, Handler, Response, Route, retry_later

log = logging.getLogger(__name__)

HEARTBEAT_PATH = "/checkin"
HEALTH_PATH = "/healthz"
JOBS_PATH = "/v2/runs"
JOB_PATH = re.compile(rf"^{JOBS_PATH}/([^/]+)$")
CANCEL_PATH = re.compile(rf"^{JOBS_PATH}/([^/]+)/cancel$")
NOT_READY_RETRY_S = 1.0


class JobService(Protocol):
    """The operations behind users' requests; each may raise a `RequestError`, whose status and reason the user gets."""

    async def submit(self, spec: JobSpec) -> tuple[bool, dict[str, Any]]:
        """Accepts a job; returns whether it is new, and its status."""

    async def status(self, job: str) -> dict[str, Any] | None:
        """Returns a job's status; None for a job that was never accepted."""

    async def cancel(self, job: str) -> dict[str, Any] | None:
        """Cancels a job; returns its final status, or None for a job that was never accepted."""


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
        """Returns the handlers of a path by method, and its arguments; None for an unknown path."""
        handlers = self._fixed_routes.get(path)
        if handlers is not None:
            return handlers, {}
        match = JOB_PATH.match(path)
        if match:
            return {"GET": self.status}, {"job": match.group(1)}
        match = CANCEL_PATH.match(path)
        if match:
            return {"POST": self.cancel}, {"job": match.group(1)}
        return None

    def heartbeat(self, body: Any, _arguments: Arguments) -> Response:
        """Processes a worker's heartbeat."""
        try:
            heartbeat = parse_heartbeat(body)
        except MalformedError as error:
            return Response(HTTPStatus.BAD_REQUEST, {"error": error.reason})
        return self._on_heartbeat(heartbeat)

    def health(self, _body: Any, _arguments: Arguments) -> Response:
        """Answers a load balancer's health check: status 200 if this controller can serve users, otherwise 503."""
        if self._is_healthy():
            return Response(HTTPStatus.OK, {"ok": True})
        return retry_later(HTTPStatus.SERVICE_UNAVAILABLE, "not ready", NOT_READY_RETRY_S)

    def submit(self, body: Any, _arguments: Arguments) -> Response | Awaitable[Response]:
        """Accepts a job; a repeated submission gets the job's status."""
        try:
            spec = parse_job(body)
        except MalformedError as error:
            return Response(HTTPStatus.BAD_REQUEST, {"error": error.reason})

        async def answer() -> Response:
            is_new, status = await self._service.submit(spec)
            return Response(HTTPStatus.CREATED if is_new else HTTPStatus.OK, status)

        return self._with_error_responses(answer())

    def status(self, _body: Any, arguments: Arguments) -> Response | Awaitable[Response]:
        """Answers with a job's status."""
        return self._respond_for_job(arguments["job"], self._service.status)

    def cancel(self, _body: Any, arguments: Arguments) -> Response | Awaitable[Response]:
        """Cancels a job; a job that has ended keeps its final status."""
        return self._respond_for_job(arguments["job"], self._service.cancel)

    def _respond_for_job(
        self, job: str, request: Callable[[str], Awaitable[dict[str, Any] | None]]
    ) -> Response | Awaitable[Response]:
        no_such_job = Response(HTTPStatus.NOT_FOUND, {"error": "no such job"})
        if not is_job_id(job):
            return no_such_job  # submissions with such an id are rejected

        async def answer() -> Response:
            status = await request(job)
            return no_such_job if status is None else Response(HTTPStatus.OK, status)

        return self._with_error_responses(answer())

    @staticmethod
    async def _with_error_responses(pending: Awaitable[Response]) -> Response:
        """Returns the pending response, or an error response if a `RequestError` is raised."""
        try:
            return await pending
        except RequestError as error:
            if error.retry_after_s is None:
                return Response(error.status, {"error": error.reason})
            log.debug(
                "request deferred status=%d retry_after_s=%.1f reason=%s",
                error.status,
                error.retry_after_s,
                error.reason,
            )
            return retry_later(error.status, error.reason, error.retry_after_s)
