"""Commands to workers, and the names of their fields on the wire."""

from msgspec import Struct, field


class StartCommand(Struct, frozen=True, tag_field="verb", tag="launch"):
    """Starts an attempt of a task; has no effect if the worker already knows the attempt."""

    task: str = field(name="piece")
    attempt: int = field(name="try")


class StopCommand(Struct, frozen=True, tag_field="verb", tag="stop"):
    """Stops an attempt, which has `grace_s` seconds to save its progress."""

    task: str = field(name="piece")
    attempt: int = field(name="try")
    grace_s: float = field(name="windDownS")


class ForgetCommand(Struct, frozen=True, tag_field="verb", tag="forget"):
    """Stops the worker from reporting an attempt that has exited."""

    task: str = field(name="piece")
    attempt: int = field(name="try")


Command = StartCommand | StopCommand | ForgetCommand


class CommandMessage(Struct, frozen=True, omit_defaults=True):
    """Commands that a worker executes in order; sent as the response to a heartbeat or as a request to the worker."""

    token: int = field(name="baton")
    """The fencing token; a worker drops a message whose token is lower than the highest it has seen."""
    commands: list[Command] = field(name="orders")
    epoch: int | None = field(name="stint", default=None)
    """The worker epoch that the commands apply to; None in responses to heartbeats."""
