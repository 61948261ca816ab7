"""The administration API of the feature `rebuild`: status, replicas, change notices and operator decisions."""

import re
from typing import Any, Protocol

from msgspec import Struct

from stileloft.protocol.admin_errors import InvalidSettingsError, StaleVersionError, TemporarilyUnavailableError
from stileloft.protocol.messages import JOB_ID
from stileloft.protocol.peers import CHANGE_NOTICE_PATH, SNAPSHOT_PATH
from stileloft.transport.server import Handler, Response, retry_later

STATUS_PATH = "/rebuild"
DECISION_PATH = "/rebuild/undecided/"
JOB_PATTERN = re.compile(JOB_ID)
MAX_NUMBER_DIGITS = 9
RETRY_AFTER_S = 1
FEATURE_OFF = Response(404, {"error": "the feature rebuild is not enabled"})
NO_SUCH_PIECE = Response(404, {"error": "no such piece"})
INVALID_CHANGE_NOTICE = Response(400, {"error": "these are no notes of a controller"})
NO_UNRESOLVED_TASKS = Response(404, {"error": "the job has no undecided tasks"})


class RebuildBackend(Protocol):
    """The controller interface behind the routes of the feature `rebuild`."""

    def snapshot_piece(self, number: int) -> bytes | None:
        """Returns a piece of the controller's replica of the store; None if it has no piece of this number."""
        ...

    def receive_change_notice(self, body: Any) -> bool:
        """Applies another controller's change notice; returns False if the notice is invalid."""
        ...

    def rebuild_status(self) -> dict[str, Any] | None:
        """Returns the state of the store and of a rebuild; None if the feature is off."""
        ...

    async def decide(self, job: str, task: int | None, decision: str) -> dict[str, Any] | None:
        """Stores an operator's decision about unresolved tasks; returns None if the job has none."""
        ...


class MalformedDecisionError(Exception):
    """The body of a decision is malformed; the text names the field."""


class DecisionRequest(Struct, frozen=True):
    """An operator's decision about one task of a job, or about all of them."""

    decision: str
    task: int | None
    """The task's number; None stands for all unresolved tasks of the job."""


def parse_decision(body: Any) -> DecisionRequest:
    """Returns a validated decision request; raises `MalformedDecisionError`."""
    if not isinstance(body, dict) or not isinstance(body.get("decision"), str):
        raise MalformedDecisionError("decision: one of run, done and forget is required")
    task = body.get("task")
    if task is not None and (type(task) is not int or task < 0):
        raise MalformedDecisionError("task: a task's number, or null for all of the job's, is required")
    return DecisionRequest(body["decision"], task)


class RebuildResources:
    """Routes of the feature `rebuild`."""

    def __init__(self, controller: RebuildBackend) -> None:
        self._controller = controller

    def match(self, path: str) -> tuple[dict[str, Handler], dict[str, str]] | None:
        """Returns the handlers of a path by method, and its arguments; None for an unknown path."""
        if path == STATUS_PATH:
            return {"GET": self.status}, {}
        if path.startswith(SNAPSHOT_PATH):
            return {"GET": self.piece}, {"number": path[len(SNAPSHOT_PATH) :]}
        if path == CHANGE_NOTICE_PATH:
            return {"POST": self.receive_change_notice}, {}
        if path.startswith(DECISION_PATH):
            return {"PUT": self.decide}, {"job": path[len(DECISION_PATH) :]}
        return None

    def status(self, _body: Any, _arguments: dict[str, str]) -> Response:
        """Answers with the state of the store and of a rebuild."""
        status = self._controller.rebuild_status()
        return FEATURE_OFF if status is None else Response(200, status)

    def piece(self, _body: Any, arguments: dict[str, str]) -> Response:
        """Answers with a piece of this controller's replica, for a controller that rebuilds the store."""
        number = arguments["number"]
        if not number.isdecimal() or len(number) > MAX_NUMBER_DIGITS:
            return NO_SUCH_PIECE
        piece = self._controller.snapshot_piece(int(number))
        return NO_SUCH_PIECE if piece is None else Response(200, {"piece": piece.decode()})

    def receive_change_notice(self, body: Any, _arguments: dict[str, str]) -> Response:
        """Applies another controller's notice of changes that it just confirmed to users."""
        return Response(200) if self._controller.receive_change_notice(body) else INVALID_CHANGE_NOTICE

    async def decide(self, body: Any, arguments: dict[str, str]) -> Response:
        """Stores an operator's decision about tasks for which a rebuild could not determine whether they completed."""
        job = arguments["job"]
        try:
            request = parse_decision(body)
            decided = (
                await self._controller.decide(job, request.task, request.decision) if JOB_PATTERN.match(job) else None
            )
        except (MalformedDecisionError, InvalidSettingsError) as error:
            return Response(400, {"error": str(error)})
        except StaleVersionError:
            return Response(409, {"error": "the job's record has been changed since; try again"})
        except TemporarilyUnavailableError as error:
            return retry_later(503, str(error), RETRY_AFTER_S)
        return NO_UNRESOLVED_TASKS if decided is None else Response(200, decided)
