"""One controller process: it composes clients, servers, the election and, while it leads, the leader."""
