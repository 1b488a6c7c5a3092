"""HTTP/1.1 server for callers and client for targets and the store (h11)."""
