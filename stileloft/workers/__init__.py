"""Heartbeats from workers, the agents on machines, and the commands sent to them."""
