"""Token bucket whose granted tokens occupy capacity until they expire."""

from __future__ import annotations

from collections import deque
from typing import Final

_ROUNDING_TOLERANCE: Final = 1e-9


class Bucket:
    """Tokens of one workspace on one minter.

    Invariant: ``level + occupied <= capacity``. ``clock`` is the lease clock
    up to which tokens have accrued; ``grants`` holds the monotonic times at
    which granted tokens stop occupying capacity. ``taken`` counts the tokens
    taken since the share was last lost, which is the refund limit; ``epoch``
    is the number of the host lists from which the share was computed.
    """

    __slots__ = (
        'capacity',
        'clock',
        'epoch',
        'grants',
        'level',
        'rate',
        'taken',
    )

    def __init__(self, clock: float, epoch: int) -> None:
        """Create an empty bucket."""
        self.epoch = epoch
        self.level: float = 0
        self.rate: float = 0
        self.capacity: float = 0
        self.clock = clock
        self.grants: deque[float] | None = None
        self.taken = 0

    def occupied(self, now: float) -> int:
        """Return how many granted tokens have not expired.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        int
            Tokens.
        """
        grants = self.grants
        if grants is None:
            return 0
        while grants and grants[0] <= now:
            grants.popleft()
        if not grants:
            self.grants = None
        return len(grants)

    def accrue(self, clock: float, now: float) -> None:
        """Add the tokens accrued in the leased time since the last call.

        Parameters
        ----------
        clock : float
            Lease clock in seconds.
        now : float
            Monotonic seconds.
        """
        added = self.rate * max(float(0), clock - self.clock)
        self.clock = max(clock, self.clock)
        self._set_level(self.level + added, now)

    def set_share(self, rate: float, capacity: float, now: float) -> None:
        """Change the share; tokens above the new capacity are dropped.

        Parameters
        ----------
        rate : float
            Tokens per second.
        capacity : float
            Tokens.
        now : float
            Monotonic seconds.
        """
        self.rate = rate
        self.capacity = capacity
        if not capacity:
            self.taken = 0
        self._set_level(self.level, now)

    def take(self) -> bool:
        """Remove one token.

        Returns
        -------
        bool
            False when there is no whole token.
        """
        if self.level < 1 - _ROUNDING_TOLERANCE:
            return False
        self.level = max(float(0), self.level - 1)
        self.taken += 1
        return True

    def grant(self, occupied_until: float) -> bool:
        """Take one token for another host.

        Parameters
        ----------
        occupied_until : float
            Monotonic seconds until which it occupies capacity.

        Returns
        -------
        bool
            False when there is no whole token.
        """
        if not self.take():
            return False
        self.taken -= 1
        if self.grants is None:
            self.grants = deque()
        self.grants.append(occupied_until)
        return True

    def refund(self, now: float) -> None:
        """Put back a token that was taken and not used.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.taken > 0:
            self.taken -= 1
            self._set_level(self.level + 1, now)

    def empty(self) -> None:
        """Drop all tokens."""
        self.level = 0
        self.taken = 0

    def retry_after_s(self) -> float:
        """Return the shortest time until the next token.

        Returns
        -------
        float
            Seconds; 0 when a token is available.
        """
        missing = max(float(0), 1 - self.level)
        return missing / self.rate if self.rate else missing

    def _set_level(self, level: float, now: float) -> None:
        free_capacity = self.capacity - self.occupied(now)
        self.level = max(float(0), min(level, free_capacity))
