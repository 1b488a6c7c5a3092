"""Bounds the repeats of a service over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import Final

from oleanderridge.generated.gateway import BoundSettings

# Part of the operator's bound that is used; the rest covers repeats that
# hosts send while they cannot reach the one that counts.
_USED_PART: Final = 0.8
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
        self._part = 1.0
        self._classes: deque[list[float]] = deque()
        self._requests: float = 0
        self._repeats: float = 0

    def set_part(self, part: float) -> None:
        """Set the part of the slack that this host may use, 0 to 1."""
        self._part = part

    def count_request(self, now: float) -> None:
        """Count a first send."""
        self._current(now)[1] += 1
        self._requests += 1

    def take(self, now: float) -> bool:
        """Count a repeat if the budget allows it.

        Parameters
        ----------
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False when the window is spent.
        """
        current = self._current(now)
        if self.left(now) < 1:
            return False
        current[2] += 1
        self._repeats += 1
        return True

    def left(self, now: float) -> float:
        """Return how many repeats the window still allows."""
        self._current(now)
        slack = self._bounds['retry_slack'] * self._part
        if now - self._started < self._bounds['retry_window_s']:
            slack *= _UNKNOWN_PART
        allowed = slack + self._bounds['retry_ratio'] * self._requests
        return allowed * _USED_PART - self._repeats

    def give_back(self, now: float) -> None:
        """Take back a repeat that was never sent."""
        current = self._current(now)
        current[2] -= 1
        self._repeats -= 1

    def _current(self, now: float) -> list[float]:
        window_s = self._bounds['retry_window_s']
        while self._classes and self._classes[0][0] < now - window_s:
            _, requests, repeats = self._classes.popleft()
            self._requests -= requests
            self._repeats -= repeats
        if not self._classes or now - self._classes[-1][0] >= _CLASS_S:
            self._classes.append([now, 0, 0])
        return self._classes[-1]
