"""Why a user's request is not carried out."""


class RetryLaterError(Exception):
    """The request can't be taken now; the user is to repeat it."""

    def __init__(self, reason: str, retry_after_s: float = 1.0) -> None:
        super().__init__(reason)
        self.retry_after_s = retry_after_s
        """Seconds after which the user is to repeat it."""


class InfeasibleJobError(Exception):
    """The job can never run; the text says why."""
