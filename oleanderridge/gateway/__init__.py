"""Runs one host that finds its peers by seeds and reads its users' store."""
