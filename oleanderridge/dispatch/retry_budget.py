"""Limits the retries of a service over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import Final

from oleanderridge.generated.gateway import BoundSettings

# Fraction of the operator's limit that is used. The rest covers retries that
# hosts send while they cannot reach the leader, which counts them.
_USED_FRACTION: Final = 0.85
# Fraction of the slack that a host uses in its first window, because it does
# not know how many retries were sent before it started counting.
_STARTUP_FRACTION: Final = 0.5
_BUCKET_WIDTH_S: Final = 0.25


class RetryBudget:
    """Retry budget of one service.

    Parameters
    ----------
    bounds : BoundSettings
        Retry ratio, window length and slack.
    now : float
        Monotonic seconds.
    """

    def __init__(self, bounds: BoundSettings, now: float) -> None:
        self._bounds = bounds
        self._started = now
        self._fleet_share: float = 1
        self._requests = _WindowCounter()
        self._retries = _WindowCounter()
        self._cached_limit: float = 0
        self._cached_limit_until: float = 0

    def set_fleet_share(self, fleet_share: float) -> None:
        """Set the fraction of the slack that this host may use, 0 to 1."""
        self._fleet_share = fleet_share
        self._cached_limit_until = 0

    def count_request(self, now: float) -> None:
        """Count a first attempt."""
        self._requests.add(1, now)

    def take(self, now: float, reserve_fraction: float = 0) -> bool:
        """Count a retry if the budget allows it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        reserve_fraction : float
            Fraction of the budget that must remain.

        Returns
        -------
        bool
            False when the budget is exhausted.
        """
        limit = self._limit(now)
        if limit - self._spent(now) < max(1, reserve_fraction * limit):
            return False
        self._retries.add(1, now)
        return True

    def remaining(self, now: float) -> float:
        """Return how many retries the budget still allows."""
        return self._limit(now) - self._spent(now)

    def refund(self, now: float) -> None:
        """Uncount a retry that was never sent."""
        self._retries.add(-1, now)

    def _spent(self, now: float) -> float:
        window_s = self._bounds['retry_window_s']
        return self._retries.sum_between(now - window_s, now)

    def _limit(self, now: float) -> float:
        if now >= self._cached_limit_until:
            self._cached_limit = self._compute_limit(now)
            self._cached_limit_until = now + _BUCKET_WIDTH_S / 2
        return self._cached_limit

    def _compute_limit(self, now: float) -> float:
        window_s = self._bounds['retry_window_s']
        self._requests.drop_before(now - 2 * window_s)
        self._retries.drop_before(now - window_s)
        slack = self._bounds['retry_slack'] * self._fleet_share
        if now - self._started < window_s:
            slack *= _STARTUP_FRACTION
        # The operator's limit is based on the busiest of three windows.
        requests = max(
            self._requests.sum_between(
                now - offset_s - window_s, now - offset_s
            )
            for offset_s in (0, window_s / 2, window_s)
        )
        ratio = self._bounds['retry_ratio']
        return _USED_FRACTION * (slack + ratio * requests)


class _WindowCounter:
    """Counts over time in buckets of ``_BUCKET_WIDTH_S``."""

    def __init__(self) -> None:
        self._buckets: deque[list[float]] = deque()

    def add(self, amount: float, now: float) -> None:
        if not self._buckets or now - self._buckets[-1][0] >= _BUCKET_WIDTH_S:
            self._buckets.append([now, 0])
        self._buckets[-1][1] += amount

    def sum_between(self, start: float, end: float) -> float:
        return sum(amount for at, amount in self._buckets if start <= at <= end)

    def drop_before(self, start: float) -> None:
        while self._buckets and self._buckets[0][0] < start:
            self._buckets.popleft()
