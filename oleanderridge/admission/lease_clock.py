"""Clock that advances only while the lease is known to be held."""

from __future__ import annotations


class LeaseClock:
    """Time with a lease in seconds, as far as it was observed."""

    def __init__(self) -> None:
        """Start at zero, without a lease."""
        self.elapsed: float = 0
        self._observed_at: float = 0
        self._lease_until: float = 0

    def observe(self, now: float, lease_until: float) -> float:
        """Advance by the leased time since the last observation.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        lease_until : float
            Monotonic seconds; 0 without a lease.

        Returns
        -------
        float
            Seconds since the last known lease expired; 0 if it is still valid.
        """
        gap_s = max(float(0), now - self._lease_until)
        self.elapsed += max(
            float(0), min(now, self._lease_until) - self._observed_at
        )
        self._observed_at = max(now, self._observed_at)
        self._lease_until = lease_until
        return gap_s

    def advance(self, now: float) -> None:
        """Advance without a new observation of the lease.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        """
        self.observe(now, self._lease_until)
