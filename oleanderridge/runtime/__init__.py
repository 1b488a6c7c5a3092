"""Sockets, tasks and the composition of one host."""
