"""Limits the requests to a target to the rate that the target states."""

from __future__ import annotations

from typing import Final

# Requests that may follow each other at once, in seconds of the rate.
_BURST_S: Final = 0.25
# A bucket that was not looked at is refilled for at most this long: meanwhile,
# other hosts grant the requests.
_MAX_REFILL_S: Final = 0.5
# At least this many requests per second find out whether the limit holds.
_MIN_PER_S: Final = 0.1


class TargetRateLimit:
    """Token bucket of the requests to one target.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    level : float
        First level, less than one token: what other hosts have sent until now
        is not known. A random one keeps hosts from sending in step.
    """

    def __init__(self, now: float, level: float) -> None:
        self.per_s = _MIN_PER_S
        self._level = level
        self._filled_at = now

    def set_rate(self, per_s: float) -> None:
        """Set the requests per second from all hosts together."""
        self.per_s = max(_MIN_PER_S, per_s)

    def has_token(self, now: float, limit_share: float) -> bool:
        """Return whether a request may be sent.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        limit_share : float
            Fraction of the rate that this placement may use.

        Returns
        -------
        bool
            ``take`` uses the token.
        """
        rate = self.per_s * limit_share
        capacity = max(1, rate * _BURST_S)
        refill_s = min(_MAX_REFILL_S, max(0, now - self._filled_at))
        self._level = min(capacity, self._level + refill_s * rate)
        self._filled_at = now
        return self._level >= 1

    def take(self) -> None:
        """Use a token."""
        self._level -= 1

    def give_back(self) -> None:
        """Return the token of a request that was not sent."""
        self._level += 1
