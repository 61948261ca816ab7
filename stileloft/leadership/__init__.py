"""Leader election, fencing tokens, failover, and the leader that composes the other packages."""
