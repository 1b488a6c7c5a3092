"""Forwards requests to targets: complete responses, at most one execution."""
