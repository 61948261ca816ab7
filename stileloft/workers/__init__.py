"""Heartbeats of the agents on machines, and the commands sent to them."""
