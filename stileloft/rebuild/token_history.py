"""Fencing tokens that this controller has seen; a store that lost its records must not issue them again."""


class TokenHistory:
    """The highest token seen, and the token of this controller's last term as the leader."""

    def __init__(self) -> None:
        self.highest = 0
        self.highest_before_loss = 0
        """Highest token known when this controller began a rebuild, which is the last leader's; 0 after the rebuild."""
        self.last_term_token = 0
        self.last_term_generation = 0
        """Generation of the store in this controller's last term."""

    def observe(self, token: int) -> None:
        """Records that a token was issued."""
        self.highest = max(self.highest, token)

    def record_raised(self, token: int) -> None:
        """Records that this leader issued a token above the one of its election."""
        # After a loss, the controller that led under the highest known token counts as the last leader.
        self.last_term_token = max(self.last_term_token, token)
        self.observe(token)

    def begin_term(self, token: int, generation: int) -> None:
        """Records that this controller begins to lead with a token."""
        self.highest = token
        self.last_term_token, self.last_term_generation = token, generation

    def finish_rebuild(self, token: int, generation: int) -> None:
        """Records that this controller leads with a token in a store that it has rebuilt."""
        self.last_term_token, self.last_term_generation = token, generation
        self.highest_before_loss = 0
