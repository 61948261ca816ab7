"""Late copies of direct messages that machines have executed and answered."""

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from tests.simulation.workers import Machine


@dataclass(frozen=True)
class CommandCopies:
    """A fault: of each direct message that a machine has executed and answered, copies arrive late."""

    until: float
    """Simulated time at which the fault ends; copies of messages executed by then still arrive."""
    delays_s: tuple[float, ...]
    """When the copies of a message arrive, in seconds after the original was executed."""
    verb: str = "launch"
    """Restricts the fault to messages with such a command."""

    def applies_to(self, now: float, body: Any) -> bool:
        """Whether the fault is active at `now` and covers this message."""
        return now < self.until and any(order["verb"] == self.verb for order in body["orders"])


class CopyingNetwork:
    """The part of a cluster of fakes that delivers the copies."""

    command_copies: CommandCopies | None = None
    copies_executed = 0
    """Copies that a machine executed, with or without an effect."""
    copies_refused = 0
    copies_reach_new_workers = True
    """Whether copies arrive at workers that have no token: restarted ones that no controller has answered yet."""

    def copy_executed_command(self, machine: "Machine", body: Any) -> None:
        """Schedules the late copies of a message that a machine has executed."""
        if self.command_copies is not None and self.command_copies.applies_to(self.now, body):
            for delay_s in self.command_copies.delays_s:
                self.clock.callLater(delay_s, machine.receive_copy, body)
