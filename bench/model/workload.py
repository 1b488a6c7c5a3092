"""Requests of workspaces, and what became of them."""

from __future__ import annotations

from collections import Counter
from typing import NamedTuple


class Workspace(NamedTuple):
    """A workspace with its rate and the multiple of it that it sends."""

    name: str
    rate: float
    burst: float
    multiple: float = 1


class Request:
    """One request of a caller at an entry host."""

    def __init__(
        self, number: int, workspace: str, origin: tuple[str, str]
    ) -> None:
        self.number = number
        self.workspace = workspace
        self.host = origin[0]
        self.zone = origin[1]
        self.arrived: float = 0
        self.deadline: float = 0
        self.inside = True
        self.attempts = 0
        self.excluded: list[str] = []


class RateMeter:
    """Token bucket that tells which requests are inside the rate."""

    def __init__(self, workspace: Workspace) -> None:
        self._workspace = workspace
        self._level = workspace.burst
        self._at: float = 0

    def inside(self, now: float) -> bool:
        """Count one request and return whether the rate covers it."""
        gained = (now - self._at) * self._workspace.rate
        self._level = min(self._workspace.burst, self._level + gained)
        self._at = now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class Tally:
    """Results of one workspace."""

    def __init__(self) -> None:
        self.sent = 0
        self.inside = 0
        self.inside_ok = 0
        self.latencies_ms: list[float] = []
        self.failures: Counter[str] = Counter()

    def add(self, request: Request, outcome: str, now: float) -> None:
        """Count the final outcome of a request."""
        self.sent += 1
        self.inside += request.inside
        if outcome == 'ok':
            self.inside_ok += request.inside
            self.latencies_ms.append((now - request.arrived) * 1000)
        else:
            self.failures[outcome] += 1

    def success_share(self) -> float:
        """Return the part of the requests inside the rate that succeeded."""
        return self.inside_ok / self.inside if self.inside else 1

    def percentile(self, share: float) -> float:
        """Return a latency percentile in milliseconds; 0 without any."""
        ordered = sorted(self.latencies_ms)
        if not ordered:
            return 0
        return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
