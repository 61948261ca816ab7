"""A randomized fault test with real controller processes on loopback and fakes of all other services."""
