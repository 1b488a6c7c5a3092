"""Keeps which hosts hold the permits of a placement."""

from __future__ import annotations

from collections.abc import Collection
from typing import Final, NamedTuple

# Messages may overtake each other by this much.
_DELIVERY_S: Final = 0.05


class HeldPermit(NamedTuple):
    """A granted permit; ``granted_at`` is in monotonic seconds."""

    host: str
    target: str
    granted_at: float


class HeldPermits:
    """Granted permits by number, and their numbers by host."""

    def __init__(self) -> None:
        self._by_permit: dict[int, HeldPermit] = {}
        self._permits_by_host: dict[str, set[int]] = {}

    def add(self, permit: int, held: HeldPermit) -> None:
        """Record that a host was granted a permit."""
        self._by_permit[permit] = held
        self._permits_by_host.setdefault(held.host, set()).add(permit)

    def target_of(self, permit: int) -> str | None:
        """Return the target of a permit, or None if it is not held."""
        held = self._by_permit.get(permit)
        return None if held is None else held.target

    def pop(self, permit: int) -> str | None:
        """Remove a permit and return its target, or None if it is not held."""
        held = self._by_permit.pop(permit, None)
        if held is None:
            return None
        of_host = self._permits_by_host[held.host]
        of_host.discard(permit)
        if not of_host:
            del self._permits_by_host[held.host]
        return held.target

    def lost(self, host: str, stated: Collection[int], now: float) -> list[int]:
        """Return the permits whose release did not arrive.

        Parameters
        ----------
        host : str
            Host that stated which permits it holds.
        stated : collection of int
            These permits.
        now : float
            Monotonic seconds.

        Returns
        -------
        list of int
            Permits that it was granted and does not hold.
        """
        return [
            permit
            for permit in self._permits_by_host.get(host, ())
            if permit not in stated
            and now - self._by_permit[permit].granted_at > _DELIVERY_S
        ]
