"""Logs, metrics and traces of one host."""
