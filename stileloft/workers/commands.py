"""Commands to workers about single attempts of tasks."""

from dataclasses import dataclass
from typing import Any

from stileloft.model.inflight_starts import AttemptKey
from stileloft.protocol import messages


@dataclass(frozen=True, slots=True)
class StartCommand:
    """Starts an attempt; repeating it is harmless as long as the worker knows the attempt."""

    task: str
    attempt: int

    def to_message(self) -> dict[str, Any]:
        """The command as it is sent."""
        return messages.start_command(self.task, self.attempt)


@dataclass(frozen=True, slots=True)
class StopCommand:
    """Stops an attempt."""

    task: str
    attempt: int
    grace_s: float
    """How long the task may take to save a checkpoint, in seconds."""

    @property
    def key(self) -> AttemptKey:
        """The attempt that is stopped."""
        return self.task, self.attempt

    def to_message(self) -> dict[str, Any]:
        """The command as it is sent."""
        return messages.stop_command(self.task, self.attempt, self.grace_s)


@dataclass(frozen=True, slots=True)
class ForgetCommand:
    """Has a worker drop what it knows of an attempt that has exited."""

    task: str
    attempt: int

    def to_message(self) -> dict[str, Any]:
        """The command as it is sent."""
        return messages.forget_command(self.task, self.attempt)


Command = StartCommand | StopCommand | ForgetCommand
