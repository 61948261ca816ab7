"""Errors in data that the feature `rebuild` reads or receives; each message begins with the kind of data."""


class RebuildDataError(Exception):
    """Stored or received data cannot be used."""

    subject = "data"
    """Kind of data, with which the message begins."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"{self.subject}: {reason}")
        self.reason = reason


class InvalidIdentityError(RebuildDataError):
    """The store's identity record cannot be read by this version."""

    subject = "identity record"


class InvalidOutcomesError(RebuildDataError):
    """A record of job outcomes cannot be read."""

    subject = "job outcomes"


class InvalidSnapshotError(RebuildDataError):
    """A snapshot of a replica cannot be used."""

    subject = "snapshot"


class InvalidChangeNoticeError(RebuildDataError):
    """A change notice from another controller cannot be used."""

    subject = "change notice"


class InvalidDecisionError(RebuildDataError):
    """An operator's decision cannot be applied to the job."""

    subject = "decision"

    def __init__(self, reason: str, decision: str, task: int | None) -> None:
        super().__init__(reason)
        self.decision = decision
        self.task = task
