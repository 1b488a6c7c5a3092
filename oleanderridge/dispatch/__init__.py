"""Allocation of target slots to requests, and request queueing."""
