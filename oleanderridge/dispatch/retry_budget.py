"""Bounds the repeats of a service over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import Final

from oleanderridge.generated.gateway import BoundSettings

# Part of the operator's bound that is used; the rest covers repeats that
# hosts send while they cannot reach the one that counts.
_USED_PART: Final = 0.85
# A host that begins to count does not know what was spent before.
_UNKNOWN_PART: Final = 0.5
# Width of the counted classes in seconds.
_CLASS_S: Final = 0.25


class RetryBudget:
    """Requests and repeats of one service.

    Parameters
    ----------
    bounds : BoundSettings
        Ratio, window and slack.
    now : float
        Monotonic seconds.
    """

    def __init__(self, bounds: BoundSettings, now: float) -> None:
        self._bounds = bounds
        self._started = now
        self._part: float = 1
        self._requests = _WindowCount()
        self._repeats = _WindowCount()
        self._allowed_known: float = 0
        self._allowed_until: float = 0

    def set_part(self, part: float) -> None:
        """Set the part of the slack that this host may use, 0 to 1."""
        self._part = part
        self._allowed_until = 0

    def count_request(self, now: float) -> None:
        """Count a first send."""
        self._requests.add(1, now)

    def take(self, now: float, reserve_part: float = 0) -> bool:
        """Count a repeat if the budget allows it.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        reserve_part : float
            Part of the budget that must be left.

        Returns
        -------
        bool
            False when the window is spent.
        """
        allowed = self._allowed(now)
        if allowed - self._spent(now) < max(1, reserve_part * allowed):
            return False
        self._repeats.add(1, now)
        return True

    def left(self, now: float) -> float:
        """Return how many repeats the window still allows."""
        return self._allowed(now) - self._spent(now)

    def give_back(self, now: float) -> None:
        """Take back a repeat that was never sent."""
        self._repeats.add(-1, now)

    def _spent(self, now: float) -> float:
        window_s = self._bounds['retry_window_s']
        return self._repeats.between(now - window_s, now)

    def _allowed(self, now: float) -> float:
        if now >= self._allowed_until:
            self._allowed_known = self._allowed_now(now)
            self._allowed_until = now + _CLASS_S / 2
        return self._allowed_known

    def _allowed_now(self, now: float) -> float:
        window_s = self._bounds['retry_window_s']
        self._requests.forget(now - 2 * window_s)
        self._repeats.forget(now - window_s)
        slack = self._bounds['retry_slack'] * self._part
        if now - self._started < window_s:
            slack *= _UNKNOWN_PART
        # The operator's bound takes the busiest of these three windows.
        requests = max(
            self._requests.between(now - back_s - window_s, now - back_s)
            for back_s in (0, window_s / 2, window_s)
        )
        ratio = self._bounds['retry_ratio']
        return _USED_PART * (slack + ratio * requests)


class _WindowCount:
    """Counts by time, in narrow classes."""

    def __init__(self) -> None:
        self._classes: deque[list[float]] = deque()

    def add(self, amount: float, now: float) -> None:
        if not self._classes or now - self._classes[-1][0] >= _CLASS_S:
            self._classes.append([now, 0])
        self._classes[-1][1] += amount

    def between(self, start: float, end: float) -> float:
        return sum(amount for at, amount in self._classes if start <= at <= end)

    def forget(self, before: float) -> None:
        while self._classes and self._classes[0][0] < before:
            self._classes.popleft()
