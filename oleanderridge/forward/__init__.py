"""Runs one request at one target: complete answers, at most one execution."""
