"""Jobs, tasks, machines and teams as the leader knows them, and how they are stored."""
