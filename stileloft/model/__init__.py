"""The leader's in-memory model of jobs, tasks, machines and teams, and its stored form."""
