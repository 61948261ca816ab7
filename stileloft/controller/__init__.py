"""One controller process: its clients and servers, the election and, while it leads, the leader."""
