"""Subcommands of the ``oleanderridge`` program."""
