"""Evidence of hosts about the health of one target.

Scores are log likelihood ratios (natural logarithm): a score of 12 means that
the observations are e^12 times likelier if the target has the fault.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from math import ceil, log
from typing import Final

FAILURES: Final = frozenset(
    ('timeout', 'reset', 'short', 'wrong', 'connect-failed', 'error')
)
LATENCY_ALPHA: Final = 0.1
_FAILURE_ALPHA: Final = 0.05
# Lower bound for the failure rate of a healthy target. With a smaller one a
# single failure would be strong evidence.
_BASELINE_FAILURE_RATE_MIN: Final = 0.01
# Share of requests that fail at a faulty target, besides the healthy rate.
_FAULT_FAILURE_RATE: Final = 0.25
# Up to this failure rate of the other targets a run of the configured length
# is evidence; above it the threshold grows, because healthy targets have longer
# runs too.
_RUN_BASELINE_RATE_MAX: Final = 0.05


class LatencyAverage:
    """Exponentially weighted moving average.

    Parameters
    ----------
    alpha : float
        Weight of the newest sample, between 0 and 1.
    """

    def __init__(self, alpha: float = LATENCY_ALPHA) -> None:
        self.mean: float = 0
        self.samples = 0
        self._alpha = alpha

    def add(self, sample: float) -> None:
        """Add a sample; the first samples are averaged with equal weight."""
        self.samples += 1
        weight = max(self._alpha, 1 / self.samples)
        self.mean += weight * (sample - self.mean)


def failure_average() -> LatencyAverage:
    """Return a moving average for the share of failed requests."""
    return LatencyAverage(_FAILURE_ALPHA)


def failure_score(failed: bool, baseline: float) -> float:
    """Return the log likelihood ratio of one outcome for a fault.

    Parameters
    ----------
    failed : bool
        Whether the request failed.
    baseline : float
        Share of requests that fail on the service's other targets.

    Returns
    -------
    float
        Positive for a failure, negative for a success.
    """
    healthy = min(0.9, max(_BASELINE_FAILURE_RATE_MIN, baseline))
    faulty = healthy + _FAULT_FAILURE_RATE * (1 - healthy)
    if failed:
        return log(faulty / healthy)
    return log((1 - faulty) / (1 - healthy))


def run_length_threshold(consecutive_failures: int, baseline: float) -> int:
    """Return the run length that is evidence at a baseline failure rate."""
    if baseline <= _RUN_BASELINE_RATE_MAX:
        return consecutive_failures
    factor = log(_RUN_BASELINE_RATE_MAX) / log(min(0.95, baseline))
    return ceil(consecutive_failures * factor)


class FailureRun:
    """Consecutive failures, and the hosts and zones that observed them."""

    def __init__(self) -> None:
        self.length = 0
        self.hosts: set[str] = set()
        self._length_by_zone: Counter[str] = Counter()

    def add(self, host: str, zone: str) -> None:
        """Count one failure."""
        self.length += 1
        self.hosts.add(host)
        self._length_by_zone[zone] += 1

    def clear(self) -> None:
        """Reset the run after a success."""
        self.length = 0
        self.hosts.clear()
        self._length_by_zone.clear()

    def outside_top_zone(self) -> int:
        """Return the failures observed outside the zone that observed most."""
        return self.length - max(self._length_by_zone.values(), default=0)


class ZoneScores:
    """Cumulative evidence for a fault of one target, by zone.

    Evidence against the fault lowers a score only to ``-credit``, so that a
    long healthy period does not delay the detection of a new fault.

    Parameters
    ----------
    credit : float
        How far below zero a score can fall.
    limit : float
        How high a score can rise.
    """

    def __init__(self, credit: float, limit: float) -> None:
        self.by_zone: dict[str, float] = {}
        self._hosts_by_zone: dict[str, set[str]] = {}
        self._credit = credit
        self._limit = limit

    def add(self, host: str, zone: str, evidence: float) -> None:
        """Add the evidence of one observation."""
        score = self.by_zone.get(zone, -self._credit) + evidence
        self.by_zone[zone] = min(self._limit, max(-self._credit, score))
        hosts = self._hosts_by_zone.setdefault(zone, set())
        if score <= 0:
            hosts.clear()
        elif evidence > 0:
            hosts.add(host)

    def merged(self, in_flight: Mapping[str, float]) -> dict[str, float]:
        """Return the scores by zone with evidence of in-flight requests."""
        scores = dict(self.by_zone)
        for zone, score in in_flight.items():
            if score > 0:
                scores[zone] = max(0, scores.get(zone, 0)) + score
        return scores

    def hosts(self) -> set[str]:
        """Return the hosts whose evidence has raised a score above zero."""
        return set().union(*self._hosts_by_zone.values())


class PathEvidence:
    """Failures that one host or the hosts of one zone observed at a target."""

    def __init__(self) -> None:
        self.run = FailureRun()
        self.last_report_at: float = 0
        self.avoid_until: float = 0
        self.avoid_count = 0
