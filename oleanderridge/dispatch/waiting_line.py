"""Requests of one service that wait for a slot, in the order of their turn."""

from __future__ import annotations

from bisect import bisect_left, bisect_right, insort
from collections.abc import Iterator
from heapq import heappop, heappush
from typing import Final, NamedTuple

from oleanderridge.generated.fleet import Acquire

_Place = tuple[int, float, int]

# Sorts after every permit number.
_LAST_PERMIT: Final = 1 << 70


class Waiting(NamedTuple):
    """A request that asks for a slot; times are monotonic seconds."""

    request: Acquire
    arrived: float
    deadline: float

    def spent_s(self, now: float) -> float:
        """Return the seconds since the caller's first try."""
        return now - self.arrived + self.request.waited_ms / 1000

    def late_at(self, usual_s: float) -> float:
        """Return when a usual answer would begin to miss the aim."""
        own_s = (self.request.aim_ms - self.request.waited_ms) / 1000
        return self.arrived + own_s - usual_s


class WaitingLine:
    """Those that can meet their aim by priority and age, then the others.

    Adding, taking out and counting cost the logarithm of the length, so that
    a long line does not slow the host that serves it.
    """

    def __init__(self) -> None:
        self._by_permit: dict[int, Waiting] = {}
        self._in_time: list[_Place] = []
        self._late: list[_Place] = []
        self._late_times: list[tuple[float, int]] = []
        self._deadlines: list[tuple[float, int]] = []

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._by_permit)

    def __contains__(self, permit: int) -> bool:
        """Return whether the request of a permit waits."""
        return permit in self._by_permit

    def add(self, entry: Waiting, late_at: float) -> None:
        """Let a request wait.

        Parameters
        ----------
        entry : Waiting
            The request.
        late_at : float
            Monotonic seconds from which it comes after those in time.
        """
        permit = entry.request.permit
        self._by_permit[permit] = entry
        insort(self._in_time, _place(entry))
        heappush(self._late_times, (late_at, permit))
        heappush(self._deadlines, (entry.deadline, permit))

    def pop(self, permit: int) -> Waiting | None:
        """Take out a request and return it, if it waits."""
        entry = self._by_permit.pop(permit, None)
        if entry is not None:
            place = _place(entry)
            _discard(self._in_time, place) or _discard(self._late, place)
        return entry

    def pop_expired(self, start_by: float) -> Iterator[Waiting]:
        """Take out the requests whose deadline is before a time."""
        while self._deadlines and self._deadlines[0][0] < start_by:
            entry = self.pop(heappop(self._deadlines)[1])
            if entry is not None:
                yield entry

    def in_order(self, now: float) -> Iterator[Waiting]:
        """Yield the requests in the order of their turn.

        Those that were yielded may be taken out meanwhile.
        """
        self._settle(now)
        for _, _, permit in self._in_time + self._late:
            yield self._by_permit[permit]

    def ahead(self, priority: int) -> int:
        """Return how many that can meet their aim come before a new one."""
        return bisect_right(
            self._in_time, (priority, float('inf'), _LAST_PERMIT)
        )

    def late(self, now: float) -> int:
        """Return how many can no longer meet their aim."""
        self._settle(now)
        return len(self._late)

    def _settle(self, now: float) -> None:
        while self._late_times and self._late_times[0][0] <= now:
            entry = self._by_permit.get(heappop(self._late_times)[1])
            if entry is None:
                continue
            place = _place(entry)
            if _discard(self._in_time, place):
                insort(self._late, place)


def _place(entry: Waiting) -> _Place:
    request = entry.request
    return request.priority, entry.arrived, request.permit


def _discard(places: list[_Place], place: _Place) -> bool:
    found = bisect_left(places, place)
    if found < len(places) and places[found] == place:
        del places[found]
        return True
    return False
