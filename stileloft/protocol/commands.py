"""Commands to workers, with the names that the wire has for their fields."""

from msgspec import Struct, field


class StartCommand(Struct, frozen=True, tag_field="verb", tag="launch"):
    """Start an attempt at a task; without effect on a worker that knows the attempt already."""

    task: str = field(name="piece")
    attempt: int = field(name="try")


class StopCommand(Struct, frozen=True, tag_field="verb", tag="stop"):
    """Stop an attempt, which may save its progress for a while."""

    task: str = field(name="piece")
    attempt: int = field(name="try")
    grace_s: float = field(name="windDownS")


class ForgetCommand(Struct, frozen=True, tag_field="verb", tag="forget"):
    """Report an attempt that has exited no longer."""

    task: str = field(name="piece")
    attempt: int = field(name="try")


Command = StartCommand | StopCommand | ForgetCommand


class CommandMessage(Struct, frozen=True, omit_defaults=True):
    """Commands that a worker executes in their order, as the answer to a heartbeat or as a request of ours."""

    token: int = field(name="baton")
    """The fencing token: a worker drops a message with a lower one than it has seen."""
    commands: list[Command] = field(name="orders")
    epoch: int | None = field(name="stint", default=None)
    """The worker's epoch that the commands are meant for; in requests only."""
