"""Compares latencies with the latency distribution of the service."""

from __future__ import annotations

from itertools import accumulate, repeat
from math import log
from typing import Final

_BIN_START_MS: Final = 0.1
# Two bins per doubling, from 0.1 ms to about 100 s.
_BINS_PER_DOUBLING: Final = 2
_BIN_COUNT: Final = 40
# Total weight of the samples. Older samples decay, so that the histogram
# follows a change common to all targets within a few hundred requests.
_TOTAL_WEIGHT_MAX: Final = 500
_REBUILD_INTERVAL_SAMPLES: Final = 25
_SAMPLES_MIN: Final = 50
_PSEUDOCOUNT: Final = 0.5
_SCORE_MAX: Final = 4
# With the default threshold, two unanswered requests that occupy both slots of
# a target suffice to eject it: together they reach 16.
_IN_FLIGHT_SCORE_MAX: Final = 8
_EXTRAPOLATED_SCORE_PER_BIN: Final = 0.5


def _bin_index(latency_ms: float) -> int:
    doublings = log(max(latency_ms, _BIN_START_MS) / _BIN_START_MS, 2)
    return min(_BIN_COUNT - 1, int(doublings * _BINS_PER_DOUBLING))


def _clamped_log_ratio(stretched: float, baseline: float) -> float:
    ratio = log((stretched + _PSEUDOCOUNT) / (baseline + _PSEUDOCOUNT))
    return max(-_SCORE_MAX, min(_SCORE_MAX, ratio))


class LatencyProfile:
    """Histogram of recent latencies of all targets of a service.

    A target is slow when its latencies are likelier under the histogram
    stretched by a factor than under the histogram itself. No parametric
    distribution is assumed, so a heavy tail is not taken for a slow target.

    Parameters
    ----------
    factor : float
        Smallest latency ratio of a slow target to a healthy one.
    """

    def __init__(self, factor: float) -> None:
        doublings = log(max(factor, 1), 2)
        shift = max(1, round(doublings * _BINS_PER_DOUBLING))
        self._shift = min(_BIN_COUNT - 1, shift)
        self._counts: list[float] = list(repeat(0, _BIN_COUNT))
        self._samples = 0
        self._scores: list[float] = list(repeat(0, _BIN_COUNT))
        self._in_flight_scores: list[float] = list(repeat(0, _BIN_COUNT))

    def add(self, latency_ms: float) -> None:
        """Add a sample."""
        self._samples += 1
        self._counts[_bin_index(latency_ms)] += 1
        if self._samples % _REBUILD_INTERVAL_SAMPLES == 0:
            self._rebuild()

    def score(self, latency_ms: float) -> float:
        """Return the log likelihood ratio of one latency."""
        return self._scores[_bin_index(latency_ms)]

    def in_flight_score(self, age_ms: float) -> float:
        """Return the log likelihood ratio of an unanswered request."""
        return self._in_flight_scores[_bin_index(age_ms)]

    def _rebuild(self) -> None:
        total = sum(self._counts)
        if total > _TOTAL_WEIGHT_MAX:
            self._counts = [
                count * _TOTAL_WEIGHT_MAX / total for count in self._counts
            ]
        if self._samples < _SAMPLES_MIN:
            return
        counts = self._counts
        stretched = [*repeat(0, self._shift), *counts[: -self._shift]]
        ratios = [
            _clamped_log_ratio(shifted, baseline)
            for shifted, baseline in zip(stretched, counts, strict=True)
        ]
        self._scores = _make_monotone(ratios, _median_bin(counts))
        tails = zip(_tail_sums(stretched), _tail_sums(counts), strict=True)
        ratios = [_clamped_log_ratio(*pair) for pair in tails]
        self._in_flight_scores = _extrapolate(ratios, counts)


def _extrapolate(ratios: list[float], counts: list[float]) -> list[float]:
    """Extrapolate the scores beyond the longest latency in the histogram."""
    populated = [
        index for index, count in enumerate(counts) if count >= _PSEUDOCOUNT
    ]
    last = populated[-1]
    return [
        min(
            _IN_FLIGHT_SCORE_MAX,
            score + max(0, index - last) * _EXTRAPOLATED_SCORE_PER_BIN,
        )
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


def _make_monotone(ratios: list[float], middle: int) -> list[float]:
    """Make the scores non-decreasing with latency.

    Proceeds outwards from the median, so that empty bins at both ends get the
    score of the outermost bin that holds samples.
    """
    lower = list(accumulate(reversed(ratios[:middle]), min))
    lower.reverse()
    return lower + list(accumulate(ratios[middle:], max))
