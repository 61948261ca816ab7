"""The resources of users, workers and health checks on the public address."""

import logging
import re
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from stileloft.protocol.messages import JOB_ID, Heartbeat, JobSpec, MalformedError, parse_heartbeat, parse_job
from stileloft.transport.server import Answer, Handler, retry_later

log = logging.getLogger(__name__)

HEARTBEAT_PATH = "/checkin"
JOB_PATH = re.compile(r"^/v2/runs/([^/]+)$")
CANCEL_PATH = re.compile(r"^/v2/runs/([^/]+)/cancel$")
VALID_ID = re.compile(JOB_ID)


class Service(Protocol):
    """What the resources ask; errors of this module say what users are told."""

    async def submit(self, spec: JobSpec) -> tuple[bool, dict[str, Any]]: ...
    async def status(self, job: str) -> dict[str, Any] | None: ...
    async def cancel(self, job: str) -> dict[str, Any] | None: ...


class PublicResources:
    """Routes of the public address."""

    def __init__(
        self,
        service: Service,
        heartbeat: Callable[[Heartbeat], Answer],
        healthy: Callable[[], bool],
        not_decidable: type[Exception],
        impossible: type[Exception],
    ) -> None:
        self._service = service
        self._report = heartbeat
        self._healthy = healthy
        self._not_decidable = not_decidable
        self._impossible = impossible
        self._fixed: dict[str, dict[str, Handler]] = {
            HEARTBEAT_PATH: {"POST": self.checkin},
            "/healthz": {"GET": self.health},
            "/v2/runs": {"POST": self.submit},
        }

    def match(self, path: str) -> tuple[dict[str, Handler], dict[str, str]] | None:
        fixed = self._fixed.get(path)
        if fixed is not None:
            return fixed, {}
        found = JOB_PATH.match(path)
        if found:
            return {"GET": self.status}, {"job": found.group(1)}
        found = CANCEL_PATH.match(path)
        if found:
            return {"POST": self.cancel}, {"job": found.group(1)}
        return None

    def checkin(self, body: Any, _arguments: dict[str, str]) -> Answer:
        try:
            heartbeat = parse_heartbeat(body)
        except MalformedError as error:
            return Answer(400, {"error": str(error)})
        return self._report(heartbeat)

    def health(self, _body: Any, _arguments: dict[str, str]) -> Answer:
        if self._healthy():
            return Answer(200, {"ok": True})
        return retry_later(503, "not ready", 1)

    async def _asked(self, asked: Awaitable[Answer]) -> Answer:
        try:
            return await asked
        except self._not_decidable as error:
            log.debug("told to come back: %s", error)
            return retry_later(503, str(error), getattr(error, "retry_after_s", 1.0))
        except self._impossible as error:
            return Answer(422, {"error": str(error)})

    def submit(self, body: Any, _arguments: dict[str, str]) -> Answer | Awaitable[Answer]:
        try:
            spec = parse_job(body)
        except MalformedError as error:
            return Answer(400, {"error": str(error)})

        async def asked() -> Answer:
            new, state = await self._service.submit(spec)
            return Answer(201 if new else 200, state)

        return self._asked(asked())

    def status(self, _body: Any, arguments: dict[str, str]) -> Answer | Awaitable[Answer]:
        return self._about(arguments["job"], self._service.status)

    def cancel(self, _body: Any, arguments: dict[str, str]) -> Answer | Awaitable[Answer]:
        return self._about(arguments["job"], self._service.cancel)

    def _about(self, job: str, ask: Callable[[str], Awaitable[dict[str, Any] | None]]) -> Answer | Awaitable[Answer]:
        unknown = Answer(404, {"error": "no such job"})
        if not VALID_ID.match(job):
            return unknown  # no job of such a name can have been accepted

        async def asked() -> Answer:
            state = await ask(job)
            return unknown if state is None else Answer(200, state)

        return self._asked(asked())
