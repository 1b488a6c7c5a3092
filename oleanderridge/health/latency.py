"""Compares a latency with the service's own distribution of latencies."""

from __future__ import annotations

from itertools import accumulate, repeat
from math import log
from typing import Final

_LOWEST_MS: Final = 0.1
# Two bins per doubling, from 0.1 ms to about 100 s.
_BINS_PER_DOUBLING: Final = 2
_BINS: Final = 40
# The profile forgets older samples, so that it follows a change that all
# targets share within a few hundred requests.
_MEMORY: Final = 500
_REBUILD_EVERY: Final = 25
_WARM_SAMPLES: Final = 50
_SMOOTHING: Final = 0.5
_SCORE_MAX: Final = 4
# Two requests that both slots of a target never answer suffice to eject it
# with the default threshold: together they reach 16.
_IN_FLIGHT_MAX: Final = 8
_BEYOND_PER_BIN: Final = 0.5


def _bin(latency_ms: float) -> int:
    doublings = log(max(latency_ms, _LOWEST_MS) / _LOWEST_MS, 2)
    return min(_BINS - 1, int(doublings * _BINS_PER_DOUBLING))


def _clipped_ratio(stretched: float, usual: float) -> float:
    ratio = log((stretched + _SMOOTHING) / (usual + _SMOOTHING))
    return max(-_SCORE_MAX, min(_SCORE_MAX, ratio))


class LatencyProfile:
    """Histogram of recent latencies of all targets of a service.

    A target is slow when its latencies are likelier under the histogram
    stretched by a factor than under the histogram itself. No family of
    distributions is assumed, so heavy tails do not look like slow targets.

    Parameters
    ----------
    factor : float
        How much slower a slow target is, at least.
    """

    def __init__(self, factor: float) -> None:
        doublings = log(max(factor, 1), 2)
        shift = max(1, round(doublings * _BINS_PER_DOUBLING))
        self._shift = min(_BINS - 1, shift)
        self._counts: list[float] = list(repeat(0, _BINS))
        self._samples = 0
        self._scores: list[float] = list(repeat(0, _BINS))
        self._in_flight_scores: list[float] = list(repeat(0, _BINS))

    def add(self, latency_ms: float) -> None:
        """Add a sample."""
        self._samples += 1
        self._counts[_bin(latency_ms)] += 1
        if self._samples % _REBUILD_EVERY == 0:
            self._rebuild()

    def score(self, latency_ms: float) -> float:
        """Return the evidence of one latency for a slow target."""
        return self._scores[_bin(latency_ms)]

    def in_flight_score(self, age_ms: float) -> float:
        """Return the evidence of a request without an answer so far."""
        return self._in_flight_scores[_bin(age_ms)]

    def _rebuild(self) -> None:
        total = sum(self._counts)
        if total > _MEMORY:
            self._counts = [count * _MEMORY / total for count in self._counts]
        if self._samples < _WARM_SAMPLES:
            return
        counts = self._counts
        stretched = [*repeat(0, self._shift), *counts[: -self._shift]]
        ratios = [
            _clipped_ratio(slow, usual)
            for slow, usual in zip(stretched, counts, strict=True)
        ]
        self._scores = _monotone(ratios, _median_bin(counts))
        surviving = zip(_tail_sums(stretched), _tail_sums(counts), strict=True)
        ratios = [_clipped_ratio(*pair) for pair in surviving]
        self._in_flight_scores = _extrapolated(ratios, counts)


def _extrapolated(ratios: list[float], counts: list[float]) -> list[float]:
    """Continue the evidence beyond the longest latency in the profile."""
    populated = [
        index for index, count in enumerate(counts) if count >= _SMOOTHING
    ]
    last = populated[-1]
    return [
        min(_IN_FLIGHT_MAX, score + max(0, index - last) * _BEYOND_PER_BIN)
        for index, score in enumerate(accumulate(ratios, max))
    ]


def _median_bin(counts: list[float]) -> int:
    half = sum(counts) / 2
    below = accumulate(counts)
    return next(index for index, count in enumerate(below) if count >= half)


def _tail_sums(counts: list[float]) -> list[float]:
    sums = list(accumulate(reversed(counts)))
    sums.reverse()
    return sums


def _monotone(ratios: list[float], middle: int) -> list[float]:
    """Make a longer latency never weaker evidence than a shorter one.

    Outwards from the median, so that empty bins at both ends take over the
    evidence of the last bin that holds samples.
    """
    lower = list(accumulate(reversed(ratios[:middle]), min))
    lower.reverse()
    return lower + list(accumulate(ratios[middle:], max))
