"""Stand-ins, fault injection, load and experiments for oleanderridge."""
