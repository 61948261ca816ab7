"""Who leads, and what the leader decides and does."""
