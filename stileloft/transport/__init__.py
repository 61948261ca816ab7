"""HTTP over TCP: the server, the pooled client, limits and timeouts."""
