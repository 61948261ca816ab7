"""Admission of jobs, and the life of their tasks."""
