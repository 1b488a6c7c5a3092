"""A clock that runs only while the lease is known to be held."""

from __future__ import annotations


class LeaseClock:
    """Seconds with a lease, as far as the observations show."""

    def __init__(self) -> None:
        """Start at zero, without a lease."""
        self.elapsed: float = 0
        self._seen_at: float = 0
        self._until: float = 0

    def observe(self, now: float, lease_until: float) -> float:
        """Advance by the time since the last observation that was leased.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        lease_until : float
            Monotonic seconds; 0 without a lease.

        Returns
        -------
        float
            Seconds since the last known lease ended; 0 while it lasted.
        """
        gap_s = max(float(0), now - self._until)
        self.elapsed += max(float(0), min(now, self._until) - self._seen_at)
        self._seen_at = max(now, self._seen_at)
        self._until = lease_until
        return gap_s

    def advance(self, now: float) -> None:
        """Advance without a new observation of the lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.observe(now, self._until)
