"""Leader election, fencing tokens, failover, and the leader, which composes the other packages."""
