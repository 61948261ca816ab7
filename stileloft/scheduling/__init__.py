"""Scheduling: decisions computed from a snapshot of the cluster, and the loop that makes and applies them."""
