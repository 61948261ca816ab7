"""Rebuild of lost state: replicates the state service's records, detects their loss, and writes them back."""
