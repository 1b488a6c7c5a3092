"""Stand-ins of the platform, the upstreams and the requesters.

Only the standard library is used. Everything listens on loopback addresses.
"""
