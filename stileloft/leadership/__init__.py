"""Leader election, fencing tokens, failover, and the leader itself, built from components of the other packages."""
