"""Background loops: a step is repeated, and a failure pauses the loop instead of ending it."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How a loop goes on after a step that failed."""

    expected_errors: tuple[type[Exception], ...]
    """Errors of a dependency that is down or overloaded; they are logged in a line."""
    retry_s: float
    """Pause after an expected error, in seconds."""
    unexpected_retry_s: float
    """Pause after any other error, which is logged with its traceback, in seconds."""
    level: int = logging.DEBUG
    """Level at which expected errors are logged."""


async def repeat(
    name: str,
    step: Callable[[], Awaitable[None]],
    policy: RetryPolicy,
    clock: Clock,
    is_active: Callable[[], bool] = lambda: True,
) -> None:
    """Awaits `step` again and again while `is_active()`; the step itself pauses between its successes.

    No error of a step is raised; it is logged under the loop's name.
    """
    while is_active():
        try:
            await step()
        except policy.expected_errors as error:
            log.log(policy.level, "%s failed, retrying in %.2f s: %s", name, policy.retry_s, error)
            await sleep(clock, policy.retry_s)
        except Exception:
            log.exception("%s failed", name)
            await sleep(clock, policy.unexpected_retry_s)
