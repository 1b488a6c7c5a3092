"""Keeps final replies to answer duplicates of a request."""

from __future__ import annotations

from typing import Final

from oleanderridge.generated.fleet import Refused

_TTL_S: Final = 2.0


class FinalReplies:
    """Refusals by permit, in the order of their times."""

    def __init__(self) -> None:
        self._by_permit: dict[int, tuple[float, Refused]] = {}

    def add(self, reply: Refused, now: float) -> None:
        """Keep a reply.

        Parameters
        ----------
        reply : Refused
            It ends the use of its permit.
        now : float
            Monotonic seconds.
        """
        self._by_permit[reply.permit] = (now, reply)

    def get(self, permit: int) -> Refused | None:
        """Return the reply of a permit, or None."""
        kept = self._by_permit.get(permit)
        return None if kept is None else kept[1]

    def expire(self, now: float) -> None:
        """Drop the replies that no duplicate can ask for any more."""
        while self._by_permit:
            permit = next(iter(self._by_permit))
            if self._by_permit[permit][0] > now - _TTL_S:
                return
            del self._by_permit[permit]
