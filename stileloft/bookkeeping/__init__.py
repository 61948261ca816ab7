"""Jobs, tasks, machines and teams, and how they are recorded in the store."""
