"""Base class of the messages between hosts: arrays without field names."""

from __future__ import annotations

from msgspec import Struct


class Compact(Struct, array_like=True, gc=False):
    """Message that is encoded as an array of its field values in order."""
