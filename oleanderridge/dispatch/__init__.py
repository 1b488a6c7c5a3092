"""Who may use which slot of a target, and in which order."""
