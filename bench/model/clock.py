"""Virtual clock: runs callbacks in the order of their times."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from itertools import count


class EventLoop:
    """Callbacks ordered by time, then by the order of scheduling."""

    def __init__(self) -> None:
        self.now: float = 0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, time: float, callback: Callable[[], None]) -> None:
        """Run the callback at a time in seconds."""
        heappush(self._events, (time, next(self._numbers), callback))

    def after(self, delay: float, callback: Callable[[], None]) -> None:
        """Run the callback after a delay in seconds."""
        self.at(self.now + delay, callback)

    def every(self, interval: float, callback: Callable[[], None]) -> None:
        """Run the callback repeatedly."""

        def repeat() -> None:
            callback()
            self.after(interval, repeat)

        self.after(interval, repeat)

    def run(self, until: float) -> None:
        """Run all callbacks that are due before a time."""
        while self._events and self._events[0][0] < until:
            event = heappop(self._events)
            self.now = event[0]
            event[2]()
        self.now = until
