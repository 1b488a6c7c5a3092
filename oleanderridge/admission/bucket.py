"""One token bucket, with capacity occupied by granted tokens."""

from __future__ import annotations

from collections import deque
from typing import Final

_ROUNDING: Final = 1e-9


class Bucket:
    """Tokens of one workspace on one minter.

    Always ``level + occupied <= capacity``. ``clock`` is the lease clock up
    to which tokens have accrued; ``grants`` holds the monotonic times at
    which granted tokens stop occupying capacity. ``taken`` counts tokens
    taken since the share was last lost, the most that can be refunded;
    ``epoch`` numbers the host lists to which the share belongs.
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
        """Start empty."""
        self.epoch = epoch
        self.level: float = 0
        self.rate: float = 0
        self.capacity: float = 0
        self.clock = clock
        self.grants: deque[float] | None = None
        self.taken = 0

    def occupied(self, now: float) -> int:
        """Return how many granted tokens may still be used.

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
        """Add the tokens of the leased time since the last call.

        Parameters
        ----------
        clock : float
            Lease clock in seconds.
        now : float
            Monotonic seconds.
        """
        added = self.rate * max(float(0), clock - self.clock)
        self.clock = max(clock, self.clock)
        self._fill(self.level + added, now)

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
        self._fill(self.level, now)

    def take(self) -> bool:
        """Remove one token.

        Returns
        -------
        bool
            False when there is no whole token.
        """
        if self.level < 1 - _ROUNDING:
            return False
        self.level = max(float(0), self.level - 1)
        self.taken += 1
        return True

    def grant(self, release_at: float) -> bool:
        """Remove one token for another host.

        Parameters
        ----------
        release_at : float
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
        self.grants.append(release_at)
        return True

    def refund(self, now: float) -> None:
        """Return a token that was taken and not used.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        if self.taken > 0:
            self.taken -= 1
            self._fill(self.level + 1, now)

    def empty(self) -> None:
        """Drop all tokens."""
        self.level = 0
        self.taken = 0

    def retry_after_s(self) -> float:
        """Return when the next token is there at the earliest.

        Returns
        -------
        float
            Seconds; 0 when a token is there.
        """
        missing = max(float(0), 1 - self.level)
        return missing / self.rate if self.rate else missing

    def _fill(self, level: float, now: float) -> None:
        room = self.capacity - self.occupied(now)
        self.level = max(float(0), min(level, room))
