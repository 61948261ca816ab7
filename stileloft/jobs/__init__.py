"""Admission, status and cancellation of jobs, and the lifecycle of their tasks."""
