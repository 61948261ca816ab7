"""Stores operators' decisions about unresolved tasks, which the leader applies."""

import logging
from typing import Any

from stileloft.model import records
from stileloft.protocol.admin_errors import InvalidSettingsError, StaleVersionError, TemporarilyUnavailableError
from stileloft.protocol.state import ConflictError, StateClient, UnavailableError, UnknownOutcomeError
from stileloft.rebuild import unresolved_tasks
from stileloft.rebuild.errors import InvalidDecisionError
from stileloft.rebuild.unresolved_tasks import Decision
from stileloft.store.integrity import StoreIntegrity

log = logging.getLogger(__name__)


class DecisionRecorder:
    """Validates a decision against the job's record of unresolved tasks, and adds it to the record."""

    def __init__(self, state: StateClient, integrity: StoreIntegrity) -> None:
        self._state = state
        self._integrity = integrity

    async def record(self, job: str, task: int | None, decision: str) -> dict[str, Any] | None:
        """Stores a decision about one task, or about all undecided tasks of the job if `task` is None.

        Returns the updated record, or None if the job has no unresolved tasks.
        Raises `InvalidSettingsError`, `StaleVersionError` or `TemporarilyUnavailableError`.
        """
        try:
            value = await self._record(job, task, Decision(decision))
        except InvalidDecisionError as error:
            raise InvalidSettingsError(str(error)) from None
        except ValueError as error:
            raise InvalidSettingsError(f"decision: {error}") from None
        except ConflictError:
            raise StaleVersionError from None
        except (UnavailableError, UnknownOutcomeError) as error:
            raise TemporarilyUnavailableError(f"state service: {error}") from None
        if value is not None:
            log.info(
                "operator decision stored job=%s task=%s decision=%s", job, "all" if task is None else task, decision
            )
        return value

    async def _record(self, job: str, task: int | None, decision: Decision) -> dict[str, Any] | None:
        key = records.UNRESOLVED + job
        found = await self._state.lookup(key)
        if found is None:
            return None
        value = unresolved_tasks.to_record(unresolved_tasks.from_record(found[0]).decide(task, decision))
        guards = {key: found[1], **self._integrity.guards()}
        revision = await self._state.commit(guards, {key: value}, [])
        self._integrity.record_commit({key: value}, [], revision)
        return value
