"""What can be wrong with the data that the feature reads: each error says of what, and what is wrong with it."""


class RebuildDataError(Exception):
    """Something that was stored or sent can't be used."""

    subject = "data"
    """What it is that can't be used."""

    def __init__(self, reason: str) -> None:
        super().__init__(f"{self.subject}: {reason}")
        self.reason = reason


class InvalidIdentityError(RebuildDataError):
    """The store's identity record can't be read by this version."""

    subject = "identity record"


class InvalidOutcomesError(RebuildDataError):
    """A record of job outcomes can't be read."""

    subject = "job outcomes"


class InvalidSnapshotError(RebuildDataError):
    """A snapshot of a replica can't be used."""

    subject = "snapshot"


class InvalidChangeNoticeError(RebuildDataError):
    """Another controller's change notice can't be used."""

    subject = "change notice"


class InvalidDecisionError(RebuildDataError):
    """An operator's decision can't be carried out for this job."""

    subject = "decision"

    def __init__(self, reason: str, decision: str, task: int | None) -> None:
        super().__init__(reason)
        self.decision = decision
        self.task = task
