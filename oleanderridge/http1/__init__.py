"""HTTP/1.1 towards callers, targets and the store, framed by h11."""
