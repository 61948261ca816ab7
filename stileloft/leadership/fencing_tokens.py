"""Fencing tokens of one leadership.

A worker rejects every command whose token is lower than the highest token it has seen. An in-flight start is therefore
fenced permanently, however late it arrives, once the worker has seen a token above the start's; no running task is
lost. Waiting does not fence a start: a command may be delayed for hours.

A token must be unique to one leader and higher than all tokens of its predecessors. The first token is derived from the
version of the leader key. Spare tokens are derived from the revisions of the leader's own transactions. These
transactions are guarded on the leader key, so their revisions are higher than the one that wrote this leader's key and
lower than the one that writes a successor's. This holds whatever program version the successor runs, and the tokens
need no record of their own in the store.
"""

import bisect

MAX_SPARE_TOKENS = 256
"""Number of spare tokens kept; each executed transaction adds one."""


class FencingTokens:
    """The tokens of one leadership: the first one, and spare tokens that fence commands sent under lower ones."""

    def __init__(self, first: int, key_version: int) -> None:
        self.first = first
        """The token of every command to a machine until the machine's token is raised."""
        self.highest_issued = first
        self.issued_count = 0
        """Number of times that a machine's token was raised."""
        # Not 0 after the state service has lost its records: key versions restart, but tokens must keep rising.
        self._offset = first - key_version
        self._spares: list[int] = []

    def record_commit(self, revision: int) -> None:
        """Adds a spare token for an executed transaction, whose guard on the leader key makes its revision unique."""
        token = revision + self._offset
        if token > self.first and (not self._spares or token > self._spares[-1]):
            self._spares.append(token)
            del self._spares[:-MAX_SPARE_TOKENS]

    def has_spare_above(self, token: int) -> bool:
        """Returns whether a start sent under this token could be fenced at once, without the state service."""
        return bool(self._spares) and self._spares[-1] > token

    def issue_spare_above(self, token: int) -> int | None:
        """Returns the lowest spare token above `token`, to keep the higher ones for later; None if there is none."""
        index = bisect.bisect_right(self._spares, token)
        if index == len(self._spares):
            return None
        issued = self._spares[index]
        self.highest_issued = max(self.highest_issued, issued)
        self.issued_count += 1
        return issued

    def is_own(self, token: int) -> bool:
        """Returns whether a token that a worker reports was issued by this leader."""
        return self.first <= token <= self.highest_issued

    def is_from_successor(self, token: int) -> bool:
        """Returns whether a token that a worker reports shows that another leader was elected after this one."""
        return token > self.highest_issued
