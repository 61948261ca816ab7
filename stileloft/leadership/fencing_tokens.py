"""Fencing tokens of one leadership.

A worker executes no command whose token is lower than the highest that it has seen. A start that is still in flight,
however late, is therefore fenced for good as soon as its worker has seen any higher token, and nothing that runs there
is lost. Waiting does not fence it: a command may be held up for hours.

Tokens have to be unique to one leader, and a successor's higher than all of its predecessors'. The first token follows
from the version of the leader key. The further ones follow from the revisions of the leader's own transactions: these
are guarded on the leader key, so they were executed while it led, after its key was written and before any later
leader's was. That holds whatever version of the program the successor runs, and takes no change of the store of its
own.
"""

import bisect

MAX_SPARE_TOKENS = 256
"""Spare tokens that are remembered; each transaction brings one more."""


class FencingTokens:
    """The tokens that one leadership may use: its first, and spare ones that fence what was sent under lower ones."""

    def __init__(self, first: int, key_version: int) -> None:
        self.first = first
        """What all machines are addressed with until theirs is raised."""
        self.highest_issued = first
        self.issued_count = 0
        """How often a machine's token was raised."""
        # They differ once the state service has lost its records: versions begin anew, and tokens must not.
        self._offset = first - key_version
        self._spares: list[int] = []

    def record_commit(self, revision: int) -> None:
        """A transaction guarded on our leader key was executed; its revision is a token that nobody else can have."""
        token = revision + self._offset
        if token > self.first and (not self._spares or token > self._spares[-1]):
            self._spares.append(token)
            del self._spares[:-MAX_SPARE_TOKENS]

    def has_spare_above(self, token: int) -> bool:
        """Whether a start that is sent under this token could be fenced at once, with the state service out too."""
        return bool(self._spares) and self._spares[-1] > token

    def issue_spare_above(self, token: int) -> int | None:
        """The lowest spare token above this one, which leaves the most for later; None without any."""
        place = bisect.bisect_right(self._spares, token)
        if place == len(self._spares):
            return None
        issued = self._spares[place]
        self.highest_issued = max(self.highest_issued, issued)
        self.issued_count += 1
        return issued

    def is_own(self, token: int) -> bool:
        """Whether a worker that knows this token was told it by this leader."""
        return self.first <= token <= self.highest_issued

    def is_from_successor(self, token: int) -> bool:
        """Whether this token shows that another leader was elected after us."""
        return token > self.highest_issued
