"""Priority queue of the requests of one service that wait for a slot."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Final, NamedTuple

from oleanderridge.gateway.outcomes import Ground
from oleanderridge.generated.fleet import Acquire

_SortKey = tuple[int, float, int]

# Greater than any permit number.
_ABOVE_ANY_PERMIT: Final = 1 << 70
# How much longer a backlog is expected to last, relative to its age.
_BACKLOG_OUTLOOK: Final = 2.0


class PendingRequest(NamedTuple):
    """A request for a slot; times are monotonic seconds.

    ``typical_s`` is the median latency of its route, ``ground`` the right by
    which it uses the rate of its workspace.
    """

    request: Acquire
    arrived: float
    deadline: float
    typical_s: float = 0
    ground: Ground = Ground.UNLIMITED

    def start_by(self) -> float:
        """Return the latest start time that can meet the deadline."""
        return self.deadline - self.typical_s

    def elapsed_s(self, now: float) -> float:
        """Return the seconds since the caller's first attempt."""
        return now - self.arrived + self.request.waited_ms / 1000

    def late_at(self, typical_s: float) -> float:
        """Return the latest start time that meets the latency target."""
        remaining_s = (self.request.aim_ms - self.request.waited_ms) / 1000
        return self.arrived + remaining_s - typical_s


class RequestQueue:
    """Queue ordered by lateness, priority and arrival.

    Requests that can still meet their latency target precede late ones.
    Adding, removing and counting find their place by binary search, so that a
    long queue does not slow the placing host.
    """

    def __init__(self) -> None:
        self._by_permit: dict[int, PendingRequest] = {}
        self._on_time: list[_SortKey] = []
        self._late: list[_SortKey] = []
        self._late_heap: list[tuple[float, int]] = []
        self._start_by_heap: list[tuple[float, int]] = []
        # Since when on-time requests have left no slot to late ones.
        self._backlog_since = math.inf

    def __len__(self) -> int:
        """Return the number of queued requests."""
        return len(self._by_permit)

    def __contains__(self, permit: int) -> bool:
        """Return whether the request of a permit is queued."""
        return permit in self._by_permit

    def add(self, entry: PendingRequest, late_at: float) -> None:
        """Add a request to the queue.

        Parameters
        ----------
        entry : PendingRequest
            The request.
        late_at : float
            Monotonic seconds from which the request counts as late.
        """
        permit = entry.request.permit
        self._by_permit[permit] = entry
        if not self._on_time:
            self._backlog_since = entry.arrived
        insort(self._on_time, _sort_key(entry))
        heappush(self._late_heap, (late_at, permit))
        heappush(self._start_by_heap, (entry.start_by(), permit))

    def pop(self, permit: int) -> PendingRequest | None:
        """Remove and return a request, or return None."""
        entry = self._by_permit.pop(permit, None)
        if entry is not None:
            sort_key = _sort_key(entry)
            self._discard_on_time(sort_key) or _discard_sorted(
                self._late, sort_key
            )
        return entry

    def pop_started(self, permit: int, now: float) -> None:
        """Remove a request that was granted a slot."""
        entry = self._by_permit[permit]
        index = bisect_left(self._late, _sort_key(entry))
        if self._late[index : index + 1] == [_sort_key(entry)]:
            self._backlog_since = now
        self.pop(permit)

    def pop_expired(self, now: float) -> Iterator[PendingRequest]:
        """Remove and yield the requests that can't meet their deadline."""
        while self._start_by_heap and self._start_by_heap[0][0] < now:
            entry = self.pop(heappop(self._start_by_heap)[1])
            if entry is not None:
                yield entry

    def is_hopeless(self, entry: PendingRequest, now: float) -> bool:
        """Return whether a late request can't expect a slot in time.

        On-time requests overtake it. If they have left no slot to late
        requests for long, they will hardly do so before its deadline.

        Parameters
        ----------
        entry : PendingRequest
            A late request, in the queue or not.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            True if it should be refused now.
        """
        backlog_s = max(0, now - self._backlog_since)
        return _BACKLOG_OUTLOOK * backlog_s > entry.start_by() - now

    def pop_hopeless(self, now: float) -> Iterator[PendingRequest]:
        """Remove and yield the late requests that can't expect a slot."""
        self._move_late(now)
        for _, _, permit in tuple(self._late):
            entry = self._by_permit[permit]
            if self.is_hopeless(entry, now):
                self.pop(permit)
                yield entry

    def in_order(self, now: float) -> Iterator[PendingRequest]:
        """Yield the requests in queue order.

        The caller may remove requests that were already yielded.
        """
        self._move_late(now)
        for _, _, permit in self._on_time + self._late:
            yield self._by_permit[permit]

    def count_ahead(self, priority: int) -> int:
        """Return how many on-time requests precede a new request."""
        return bisect_right(
            self._on_time, (priority, float('inf'), _ABOVE_ANY_PERMIT)
        )

    def count_late(self, now: float) -> int:
        """Return how many requests can no longer meet their target."""
        self._move_late(now)
        return len(self._late)

    def _move_late(self, now: float) -> None:
        while self._late_heap and self._late_heap[0][0] <= now:
            entry = self._by_permit.get(heappop(self._late_heap)[1])
            if entry is None:
                continue
            sort_key = _sort_key(entry)
            if self._discard_on_time(sort_key):
                insort(self._late, sort_key)

    def _discard_on_time(self, sort_key: _SortKey) -> bool:
        discarded = _discard_sorted(self._on_time, sort_key)
        if not self._on_time:
            self._backlog_since = math.inf
        return discarded


def _sort_key(entry: PendingRequest) -> _SortKey:
    request = entry.request
    return request.priority, entry.arrived, request.permit


def _discard_sorted(sort_keys: list[_SortKey], sort_key: _SortKey) -> bool:
    index = bisect_left(sort_keys, sort_key)
    if index < len(sort_keys) and sort_keys[index] == sort_key:
        del sort_keys[index]
        return True
    return False
