"""Base of the messages between hosts: arrays without field names."""

from __future__ import annotations

from msgspec import Struct


class Compact(Struct, array_like=True, gc=False):
    """A message that is encoded as an array of its fields in order."""
