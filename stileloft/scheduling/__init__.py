"""Scheduling decisions, which are functions of a snapshot, and the loop that makes and applies them."""
