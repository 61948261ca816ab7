"""Direct commands to workers."""

from collections.abc import Callable
from typing import Any

from stileloft.protocol.messages import Heartbeat, MalformedError, command_message, parse_heartbeat
from stileloft.transport.client import Client, ConnectionFailedError, NoResponseError


class NotDeliveredError(Exception):
    """The commands were certainly not executed."""


class UncertainDeliveryError(Exception):
    """The commands may have been executed, or may be later."""


class WorkerClient:
    """Sends commands to workers."""

    def __init__(self, client: Client, timeout_s: float) -> None:
        self._client = client
        self._timeout_s = timeout_s

    async def command(
        self, address: str, token: int, epoch: int, commands: list[dict[str, Any]], is_wanted: Callable[[], bool]
    ) -> tuple[bool, Heartbeat]:
        """Whether the commands were executed, and the worker's report.

        `is_wanted` is asked just before they go out; if they are not wanted any more, they are not delivered.
        """
        body = command_message(token, commands)
        body["stint"] = epoch
        try:
            reply = await self._client.request("POST", address, "/do", body, self._timeout_s, is_wanted)
        except ConnectionFailedError as error:
            raise NotDeliveredError(str(error)) from None
        except NoResponseError as error:
            raise UncertainDeliveryError(str(error)) from None
        if reply.status in (200, 409):
            try:
                return reply.status == 200, parse_heartbeat(reply.body)
            except MalformedError as error:
                raise UncertainDeliveryError(f"unreadable report: {error}") from None
        raise NotDeliveredError(f"status {reply.status}")
