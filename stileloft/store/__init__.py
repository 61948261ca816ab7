"""What the leader writes to the state service: transactions, their outcome, and the format of the records."""
