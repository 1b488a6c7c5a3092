"""Key lookup, route matching and token buckets."""
