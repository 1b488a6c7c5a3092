"""Host list, heartbeats and the lease that allows minting tokens."""
