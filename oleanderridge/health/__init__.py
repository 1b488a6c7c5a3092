"""Evidence about targets, and which of them may receive work."""
