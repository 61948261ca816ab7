"""Background loops that continue after a failed step, with a pause."""

import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from stileloft.transport.clock import Clock
from stileloft.transport.timers import sleep

log = logging.getLogger(__name__)

MIN_STEP_S = 0.001
"""A step that took less than this, in seconds, is followed by a pause as long.

It may have had nothing to wait for; without a pause, the loop would then keep the process from all other work.
"""


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How a loop continues after a failed step."""

    expected_errors: tuple[type[Exception], ...]
    """Errors of a dependency that is down or overloaded; logged in one line, without a traceback."""
    retry_s: float
    """Pause in seconds after an expected error."""
    unexpected_retry_s: float
    """Pause in seconds after any other error, which is logged with its traceback."""
    level: int = logging.DEBUG
    """Level at which expected errors are logged."""


async def repeat(
    name: str,
    step: Callable[[], Awaitable[None]],
    policy: RetryPolicy,
    clock: Clock,
    is_active: Callable[[], bool] = lambda: True,
) -> None:
    """Awaits `step` repeatedly while `is_active()`.

    A successful step is followed by no pause but its own, or by `MIN_STEP_S` if it took hardly any time. Errors of a
    step are logged with the loop's name and not raised.
    """
    while is_active():
        started_at = clock.seconds()
        try:
            await step()
            if clock.seconds() - started_at < MIN_STEP_S:
                await sleep(clock, MIN_STEP_S)
        except policy.expected_errors as error:
            log.log(policy.level, "loop step failed loop=%r retry_s=%.2f error=%s", name, policy.retry_s, error)
            await sleep(clock, policy.retry_s)
        except Exception:
            log.exception("loop step failed loop=%r retry_s=%.2f", name, policy.unexpected_retry_s)
            await sleep(clock, policy.unexpected_retry_s)
