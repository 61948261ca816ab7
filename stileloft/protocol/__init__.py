"""Wire messages, HTTP routes, and clients of the state service, the cloud, workers and peers."""
