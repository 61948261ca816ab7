"""Writes to the state service by the leader: transactions, their outcomes, and the format of the records."""
