"""Probability that a target fails its next request, from all evidence.

A target is modelled as good or bad and changes between the two at known
rates. Answers, failures and the age of what is unanswered move the
probability by their likelihood in either state.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from typing import Final

# Changes per second between the states; targets with gray failures keep a
# state for some ten seconds. The first is where each target starts; those
# that turned bad often are expected to do so again.
_TURNS_BAD_PER_S: Final = 0.025
_TURNS_GOOD_PER_S: Final = 0.08
# Seconds of watching that the starting rate counts for.
_PRIOR_S: Final = 20.0
# A phase of the bad state begins above the one and has ended below the other.
_BAD_FROM: Final = 0.7
_GOOD_BELOW: Final = 0.3

# A target that nothing is known of is more likely good.
_NEW: Final = 0.1

# A target that another host doubts.
_DOUBTED: Final = 0.7

# Likelihood of an observation in the bad state over that in the good one.
_RATIO_ANSWERED: Final = 0.28
_RATIO_ERROR: Final = 12.0
_RATIO_HUNG: Final = 40.0
# The same where the target answered another host meanwhile: the path of the
# request may be broken instead.
_RATIO_OUTRUN: Final = 8.0
_RATIO_UNREACHED: Final = 6.0
# Share of requests that a bad target leaves unanswered.
_HANGS_WHEN_BAD: Final = 0.7

_LEAST: Final = 0.01
_MOST: Final = 0.995

# Latency classes: from 2 ms, each 12% wider than the one before.
_CLASS_EDGES: Final = tuple(0.002 * 1.12**step for step in range(84))
_HALVE_AT: Final = 600.0
_REFRESH_EVERY: Final = 8
_RARE: Final = 0.006


# Age of a request in seconds, and whether another was answered meanwhile.
Unanswered = tuple[float, bool]


class LatencyRecord:
    """Recent latencies of a service's complete answers.

    Parameters
    ----------
    aim_s : float
        Time within which an answer is wanted; before anything is known,
        answers are expected in a fifth to a half of it.
    """

    def __init__(self, aim_s: float) -> None:
        # One more than the edges: the last class has no upper one.
        self._counts: list[float] = [0 for _ in _CLASS_EDGES] + [0]
        self._total: float = 0
        self._added = 0
        self._above: list[float] = []
        self._known_quantiles: dict[float, float] = {}
        for part in (0.15, 0.2, 0.25, 0.3, 0.4, 0.5):
            self.add(part * aim_s)
        self._refresh()

    def add(self, latency_s: float) -> None:
        """Count one answer; old ones lose weight."""
        self._counts[bisect_right(_CLASS_EDGES, latency_s)] += 1
        self._total += 1
        self._added += 1
        if self._total >= _HALVE_AT:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        if self._added % _REFRESH_EVERY == 0:
            self._refresh()

    def survival(self, age_s: float) -> float:
        """Return the share of answers that take longer than an age."""
        above = self._above[bisect_right(_CLASS_EDGES, age_s)]
        return max(_RARE, above)

    def quantile(self, share: float) -> float:
        """Return the latency in seconds that a share of answers is below."""
        known = self._known_quantiles.get(share)
        if known is None:
            known = self._quantile(share)
            self._known_quantiles[share] = known
        return known

    def _quantile(self, share: float) -> float:
        for place, above in enumerate(self._above):
            if above <= 1 - share:
                return _CLASS_EDGES[min(place, len(_CLASS_EDGES) - 1)]
        return _CLASS_EDGES[-1]

    def _refresh(self) -> None:
        above: float = 0
        shares = []
        for count in reversed(self._counts):
            shares.append(above / self._total)
            above += count
        self._above = list(reversed(shares))
        self._known_quantiles = {}


class Belief:
    """The probability that one target is bad.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    probability : float
        Where it starts.
    """

    def __init__(self, now: float, probability: float = _NEW) -> None:
        self._probability = probability
        self._at = now
        self._turns: float = _TURNS_BAD_PER_S * _PRIOR_S
        self._good_s = _PRIOR_S
        self._is_bad = False
        self._set_rates()

    def turns_bad_per_s(self) -> float:
        """Return how often the target turned bad, in times per second."""
        return self._turns / self._good_s

    def probability(
        self,
        now: float,
        unanswered: Sequence[Unanswered],
        latencies: LatencyRecord,
    ) -> float:
        """Return the probability, unanswered requests included.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        unanswered : sequence of Unanswered
            The requests under way.
        latencies : LatencyRecord
            How long answers of the service take.

        Returns
        -------
        float
            Between 0 and 1.
        """
        value = self._settled(now)
        if not unanswered:
            return value
        odds = value / (1 - value)
        for age_s, outrun in unanswered:
            survives = latencies.survival(age_s)
            hangs = _HANGS_WHEN_BAD + (1 - _HANGS_WHEN_BAD) * survives
            ratio = hangs / survives
            odds *= min(ratio, _RATIO_OUTRUN) if outrun else ratio
        return _bounded(odds / (1 + odds))

    def answered(self, now: float) -> None:
        """Take in a complete answer."""
        self._observe(now, _RATIO_ANSWERED)

    def failed(self, now: float) -> None:
        """Take in an answer that reports a failure or cannot be used."""
        self._observe(now, _RATIO_ERROR)

    def hung(self, now: float, *, outrun: bool = False) -> None:
        """Take in a request that got no answer in time."""
        self._observe(now, _RATIO_OUTRUN if outrun else _RATIO_HUNG)

    def doubt(self, now: float) -> None:
        """Take over that another host holds the target for bad."""
        self._move_to(max(self._settled(now), _DOUBTED), now)

    def unreached(self, now: float) -> None:
        """Take in a connection that could not be opened."""
        self._observe(now, _RATIO_UNREACHED)

    def _settled(self, now: float) -> float:
        if now <= self._at:
            return self._probability
        left = math.exp(self._rate * (self._at - now))
        return self._stationary + (self._probability - self._stationary) * left

    def _observe(self, now: float, ratio: float) -> None:
        value = self._settled(now)
        odds = value / (1 - value) * ratio
        self._move_to(_bounded(odds / (1 + odds)), now)

    def _move_to(self, probability: float, now: float) -> None:
        if not self._is_bad:
            self._good_s += max(0, now - self._at)
        self._probability = probability
        self._at = now
        if self._is_bad:
            self._is_bad = probability > _GOOD_BELOW
        elif probability > _BAD_FROM:
            self._is_bad = True
            self._turns += 1
        self._set_rates()

    def _set_rates(self) -> None:
        turns_bad = self.turns_bad_per_s()
        self._rate = turns_bad + _TURNS_GOOD_PER_S
        self._stationary = turns_bad / self._rate


def _bounded(probability: float) -> float:
    return min(_MOST, max(_LEAST, probability))
