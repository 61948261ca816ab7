"""Rebuilding lost state: what the state service held is followed, its loss is detected, and it is written back."""
