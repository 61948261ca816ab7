"""Cluster membership: inventory, failure detection, scaling out and in."""
