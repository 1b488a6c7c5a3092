"""Host lists, heartbeats, and the quorum lease for minting tokens."""
