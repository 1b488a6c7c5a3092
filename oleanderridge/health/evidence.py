"""What hosts have observed about one target."""

from __future__ import annotations

from typing import Final, NamedTuple

FAILURES: Final = frozenset(
    ('timeout', 'reset', 'short', 'wrong', 'connect-failed', 'error')
)
LATENCY_ALPHA: Final = 0.1


class Report(NamedTuple):
    """One observation of a target by a host."""

    host: str
    zone: str
    target: str
    outcome: str
    latency_ms: float
    at: float


class LatencyAverage:
    """Exponentially weighted moving average of latencies.

    Parameters
    ----------
    alpha : float
        Weight of the newest sample, between 0 and 1.
    """

    def __init__(self, alpha: float = LATENCY_ALPHA) -> None:
        self.mean: float = 0
        self.samples = 0
        self._alpha = alpha

    def add(self, latency_ms: float) -> None:
        """Add a sample; the first samples are averaged with equal weight."""
        self.samples += 1
        weight = max(self._alpha, 1 / self.samples)
        self.mean += weight * (latency_ms - self.mean)


class FailureRun:
    """Failures without a success in between, and who saw them."""

    def __init__(self) -> None:
        self.length = 0
        self.zone_by_host: dict[str, str] = {}

    def add(self, host: str, zone: str) -> None:
        """Count one failure."""
        self.length += 1
        self.zone_by_host[host] = zone

    def clear(self) -> None:
        """Forget the run after a success."""
        self.length = 0
        self.zone_by_host.clear()


class PathEvidence:
    """What one host has observed about one target."""

    def __init__(self, zone: str) -> None:
        self.zone = zone
        self.failures = 0
        self.latency = LatencyAverage()
        self.last_at: float = 0
        self.avoid_until: float = 0
        self.avoidances = 0
