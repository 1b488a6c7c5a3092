"""Remembers what targets said of themselves in their answers."""

from __future__ import annotations

import math
from typing import Final

from oleanderridge.gateway.model import TargetNotice

# Targets that are remembered. A leave outlasts the registration of its target,
# which may lapse and come back meanwhile.
_MAX_LEAVING: Final = 4096
_MAX_PAUSED: Final = 4096
# Wire form of a limit that isn't known; 0 stands for no limit.
_UNKNOWN_MILLI: Final = -1
_NO_LIMIT_MILLI: Final = 0
_MILLI: Final = 1000


def limit_to_milli(limit_per_s: float | None) -> int:
    """Return the wire form of a target's rate limit."""
    if limit_per_s is None:
        return _UNKNOWN_MILLI
    if limit_per_s == math.inf:
        return _NO_LIMIT_MILLI
    return max(1, int(limit_per_s * _MILLI))


def limit_from_milli(milli: int) -> float | None:
    """Return a target's rate limit from its wire form."""
    if milli < 0:
        return None
    return math.inf if milli == _NO_LIMIT_MILLI else milli / _MILLI


class TargetNotices:
    """Notices by target and start time, so that a restart begins anew."""

    def __init__(self) -> None:
        self._leaving: dict[tuple[str, int], None] = {}
        self._paused_until: dict[tuple[str, int], float] = {}

    def mark_leaving(self, target: str, born_ms: int) -> None:
        """Record that a target wants no new requests.

        Parameters
        ----------
        target : str
            Its id.
        born_ms : int
            Unix time of its start in milliseconds.
        """
        self._leaving[target, born_ms] = None
        while len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]

    def record(
        self, target: str, born_ms: int, notice: TargetNotice, now: float
    ) -> None:
        """Record the notice of an answer that this host got.

        Parameters
        ----------
        target : str
            Its id.
        born_ms : int
            Unix time of its start in milliseconds.
        notice : TargetNotice
            What the target says of itself.
        now : float
            Monotonic seconds.
        """
        if notice.leaving:
            self.mark_leaving(target, born_ms)
        if not notice.pause_s:
            return
        # A shorter pause may come from an answer that was made earlier.
        known_until = self._paused_until.pop((target, born_ms), now)
        self._paused_until[target, born_ms] = max(
            known_until, now + notice.pause_s
        )
        while len(self._paused_until) > _MAX_PAUSED:
            del self._paused_until[next(iter(self._paused_until))]

    def declines(self, target: str, born_ms: int, now: float) -> bool:
        """Return whether a target wants no request from this host now."""
        return (
            self.is_leaving(target, born_ms)
            or self._paused_until.get((target, born_ms), now) > now
        )

    def notice_of(self, target: str, born_ms: int, now: float) -> TargetNotice:
        """Return what a target said that still holds."""
        paused_until = self._paused_until.get((target, born_ms), now)
        return TargetNotice(
            leaving=self.is_leaving(target, born_ms),
            pause_s=max(0, paused_until - now),
        )

    def is_leaving(self, target: str, born_ms: int) -> bool:
        """Return whether a target said that it leaves."""
        return (target, born_ms) in self._leaving
