"""Counts of commands under one leadership."""

import msgspec


class CommandMetrics(msgspec.Struct):
    """Counts of commands sent, answered, in doubt, withdrawn or withheld; shown in `GET /status`."""

    starts_sent: int = 0
    """Starts that were sent, including retries."""
    starts_answered: int = 0
    starts_in_doubt: int = 0
    """Attempts with a start whose delivery is uncertain."""
    messages_withdrawn: int = 0
    """Messages that were not sent, as they were no longer allowed when their connection was made."""
    lease_renewals_withheld: int = 0
    """Answers to heartbeats that renewed no lease, as a renewal could have kept a cancelled task alive."""
