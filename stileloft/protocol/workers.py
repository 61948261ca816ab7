"""The client that sends commands to workers."""

from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

import msgspec

from stileloft.protocol.commands import Command, CommandMessage
from stileloft.protocol.errors import MalformedError, RemoteError
from stileloft.protocol.messages import Heartbeat, parse_heartbeat
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError

COMMANDS_PATH = "/do"
COMMANDS_OPERATION = f"POST {COMMANDS_PATH}"


class DeliveryError(RemoteError):
    """The worker did not confirm whether it executed the commands."""


class NotDeliveredError(DeliveryError):
    """The commands were not executed and never will be."""


class WithdrawnError(NotDeliveredError):
    """The commands were withdrawn before they were sent, which says nothing about the worker."""


class UncertainDeliveryError(DeliveryError):
    """The commands may have been executed, or may still be executed later."""


class CommandResult(NamedTuple):
    """A worker's answer to commands."""

    executed: bool
    """Whether the worker executed the commands; False if it has seen a higher token or is in another epoch."""
    heartbeat: Heartbeat


class WorkerClient:
    """Sends commands to workers; each call is one request."""

    def __init__(self, client: Client, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def command(
        self, address: str, token: int, epoch: int, commands: list[Command], is_wanted: Callable[[], bool]
    ) -> CommandResult:
        """Sends commands to a worker; raises `NotDeliveredError` or `UncertainDeliveryError`.

        `is_wanted` is called just before the commands are sent; if it returns False, they are not sent and
        `WithdrawnError` is raised.
        """
        body = msgspec.to_builtins(CommandMessage(token, commands, epoch))
        withdrawn = False

        def is_still_wanted() -> bool:
            nonlocal withdrawn
            withdrawn = not is_wanted()
            return not withdrawn

        try:
            reply = await self._client.request("POST", address, COMMANDS_PATH, body, self._timeout_s, is_still_wanted)
        except ConnectionFailedError as error:
            kind = WithdrawnError if withdrawn else NotDeliveredError
            raise kind(str(error), operation=COMMANDS_OPERATION, target=address) from None
        except NoResponseError as error:
            raise UncertainDeliveryError(str(error), operation=COMMANDS_OPERATION, target=address) from None
        if reply.status not in (HTTPStatus.OK, HTTPStatus.CONFLICT):
            raise NotDeliveredError(
                f"worker answered status {reply.status}, expected 200 or 409",
                operation=COMMANDS_OPERATION,
                target=address,
                status=reply.status,
            )
        try:
            return CommandResult(reply.status == HTTPStatus.OK, parse_heartbeat(reply.body))
        except MalformedError as error:
            raise UncertainDeliveryError(
                f"heartbeat in the worker's response with status {reply.status} is invalid: {error}",
                operation=COMMANDS_OPERATION,
                target=address,
                status=reply.status,
            ) from None
