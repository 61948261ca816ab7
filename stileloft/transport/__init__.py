"""HTTP server and pooled HTTP client, with clocks, timers, retries and rate limits."""
