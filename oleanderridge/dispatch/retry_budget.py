"""Limits the retries of a service over a sliding window."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from typing import Final, NamedTuple

from oleanderridge.generated.gateway import BoundSettings

# Fraction of the operator's limit that is used. The rest covers retries that
# hosts send while they cannot reach the leader, which counts them.
_USED_FRACTION: Final = 0.85
# Fraction of the slack that a host uses in its first window, because it does
# not know how many retries were sent before it started counting.
_STARTUP_FRACTION: Final = 0.5
# Fractions of its share of the slack and of its limit that a host uses while it
# bypasses the leader.
_BYPASS_SLACK_FRACTION: Final = 0.1
_BYPASS_USED_FRACTION: Final = 0.3
# A budget is reported to possible successors from this used fraction on.
_REPORTED_FROM: Final = 0.15
# Number of equal parts of the window in a report.
_REPORT_PARTS: Final = 10
_BUCKET_WIDTH_S: Final = 0.25


class RetryHistory(NamedTuple):
    """What was sent in the last window, for a successor.

    ``retries_by_age`` counts the retries in equal parts of the window, the
    newest first.
    """

    requests: int
    retries_by_age: Sequence[int]


NO_RETRIES: Final = RetryHistory(0, ())


class _Predecessor(NamedTuple):
    """The leader's history, and when it was heard."""

    history: RetryHistory
    heard_at: float


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
        self._fleet_share: float = 1
        self._leads = True
        self._leads_since: float | None = now
        self._predecessor: _Predecessor | None = None
        self._requests = _WindowCounter()
        self._retries = _WindowCounter()
        # Retries that the predecessor granted.
        self._inherited_retries = _WindowCounter()
        # Retries that hosts granted which follow this one now.
        self._follower_retries: dict[str, _WindowCounter] = {}
        self._cached_limit: float = 0
        self._cached_limit_until: float = 0

    def set_fleet_share(
        self, fleet_share: float, *, leads: bool = True
    ) -> None:
        """Set the fraction of the slack that this host may use.

        Parameters
        ----------
        fleet_share : float
            0 to 1.
        leads : bool
            False if another host leads and grants most retries.
        """
        self._fleet_share = fleet_share
        self._leads = leads
        if not leads:
            self._leads_since = None
        self._cached_limit_until = 0

    def record_leader(self, history: RetryHistory, now: float) -> None:
        """Record the leader's history, in case this host succeeds it."""
        if not self._leads:
            self._predecessor = _Predecessor(history, now)

    def record_follower(
        self, host: str, retries_by_age: Sequence[int], now: float
    ) -> None:
        """Record what a follower granted itself, as when it led.

        Parameters
        ----------
        host : str
            The follower.
        retries_by_age : sequence of int
            Its retries in equal parts of the last window, the newest first.
        now : float
            Monotonic seconds.
        """
        self._follower_retries[host] = self._counter_of(retries_by_age, now)

    def own_retries(self, now: float) -> list[int]:
        """Return what this host granted in parts of the window, newest first.

        Returns
        -------
        list of int
            Empty if it granted nothing.
        """
        part_s = self._bounds['retry_window_s'] / _REPORT_PARTS
        parts = [
            round(self._retries.sum_between(end - part_s, end))
            for end in self._part_ends(now)
        ]
        return parts if any(parts) else []

    def history(self, now: float) -> RetryHistory | None:
        """Return the history, or None if hardly a retry was sent."""
        if self._spent(now) <= _REPORTED_FROM * self._limit(now):
            return None
        part_s = self._bounds['retry_window_s'] / _REPORT_PARTS
        return RetryHistory(
            int(self._count_requests(now)),
            [self._spent_in_part(end, part_s) for end in self._part_ends(now)],
        )

    def count_request(self, now: float) -> None:
        """Count a first attempt."""
        if self._leads and self._leads_since is None:
            self._begin_to_lead(now)
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

    def _begin_to_lead(self, now: float) -> None:
        self._leads_since = now
        self._cached_limit_until = 0
        self._inherited_retries = _WindowCounter()
        self._follower_retries.clear()
        if self._predecessor is None:
            return
        history, heard_at = self._predecessor
        # The report includes what this host had told until then.
        self._retries.drop_before(heard_at)
        self._inherited_retries = self._counter_of(
            history.retries_by_age, heard_at
        )
        part_s = self._bounds['retry_window_s'] / _REPORT_PARTS
        # It is expected to have gone on like that until now.
        unheard_s = min(part_s, now - heard_at)
        newest = sum(history.retries_by_age[:1])
        self._inherited_retries.add(newest * unheard_s / part_s, now)

    def _counter_of(
        self, retries_by_age: Sequence[int], now: float
    ) -> _WindowCounter:
        counter = _WindowCounter()
        parts = zip(self._part_ends(now), retries_by_age, strict=False)
        for sent_at, amount in reversed(tuple(parts)):
            counter.add(amount, sent_at)
        return counter

    def _part_ends(self, now: float) -> list[float]:
        part_s = self._bounds['retry_window_s'] / _REPORT_PARTS
        return [now - part_s * part for part in range(_REPORT_PARTS)]

    def _spent(self, now: float) -> float:
        return self._spent_between(now - self._bounds['retry_window_s'], now)

    def _spent_between(self, start: float, end: float) -> float:
        inherited = self._inherited_retries.sum_between(start, end)
        own = self._retries.sum_between(start, end)
        of_followers = sum(
            counter.sum_between(start, end)
            for counter in self._follower_retries.values()
        )
        return own + self._fleet_share * inherited + of_followers

    def _spent_in_part(self, end: float, part_s: float) -> int:
        return max(0, round(self._spent_between(end - part_s, end)))

    def _limit(self, now: float) -> float:
        if now >= self._cached_limit_until:
            self._cached_limit = self._compute_limit(now)
            self._cached_limit_until = now + _BUCKET_WIDTH_S / 2
        return self._cached_limit

    def _compute_limit(self, now: float) -> float:
        window_s = self._bounds['retry_window_s']
        self._requests.drop_before(now - 2 * window_s)
        self._retries.drop_before(now - window_s)
        for host, counter in tuple(self._follower_retries.items()):
            counter.drop_before(now - window_s)
            if counter.is_empty():
                del self._follower_retries[host]
        share_of_slack = self._fleet_share * self._slack_fraction(now)
        slack = self._bounds['retry_slack'] * share_of_slack
        ratio = self._bounds['retry_ratio']
        used = _USED_FRACTION if self._leads else _BYPASS_USED_FRACTION
        return used * (slack + ratio * self._count_requests(now))

    def _count_requests(self, now: float) -> float:
        """Return the requests of the busiest of the operator's windows."""
        window_s = self._bounds['retry_window_s']
        current = self._requests.sum_between(now - window_s, now)
        earlier = max(
            self._requests.sum_between(
                now - offset_s - window_s, now - offset_s
            )
            for offset_s in (window_s / 2, window_s)
        )
        # Another leader may grant the retries of some of the earlier ones.
        own = max(current, self._fleet_share * earlier)
        predecessor = self._predecessor
        if predecessor is None or not self._leads:
            return own
        if now - predecessor.heard_at > window_s:
            return own
        return max(own, self._fleet_share * predecessor.history.requests)

    def _slack_fraction(self, now: float) -> float:
        if not self._leads:
            return _BYPASS_SLACK_FRACTION
        window_s = self._bounds['retry_window_s']
        leads_for = 0 if self._leads_since is None else now - self._leads_since
        if self._predecessor is None and leads_for < window_s:
            return _STARTUP_FRACTION
        return 1


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

    def is_empty(self) -> bool:
        return not self._buckets

    def drop_before(self, start: float) -> None:
        while self._buckets and self._buckets[0][0] < start:
            self._buckets.popleft()
