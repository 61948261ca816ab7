"""The fencing tokens that this controller knows of: a store that lost its records must not issue them again."""


class TokenHistory:
    """The highest token that was seen anywhere, and the one with which this controller led last."""

    def __init__(self) -> None:
        self.highest = 0
        self.highest_before_loss = 0
        """The highest that was known when we began to rebuild: the last leader's."""
        self.last_term_token = 0
        self.last_term_generation = 0
        """The generation of the store in which we led last."""

    def observe(self, token: int) -> None:
        """Notes that a token was issued."""
        self.highest = max(self.highest, token)

    def record_raised(self, token: int) -> None:
        """Notes that we, as the leader, issued a token above the one of our election."""
        # After a loss, whoever led under the highest token that is known counts as the last leader.
        self.last_term_token = max(self.last_term_token, token)
        self.observe(token)

    def begin_term(self, token: int, generation: int) -> None:
        """Notes that we lead with this token from now on."""
        self.highest = token
        self.last_term_token, self.last_term_generation = token, generation

    def finish_rebuild(self, token: int, generation: int) -> None:
        """Notes that we lead with this token in a store that we have rebuilt."""
        self.last_term_token, self.last_term_generation = token, generation
        self.highest_before_loss = 0
