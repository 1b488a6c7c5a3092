"""Bayesian estimate of whether a target is in a failing state.

A target is modelled as a two-state Markov process, good or bad, with known
transition rates. Each answer, failure and unanswered request multiplies the
odds of the bad state by its likelihood ratio.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Sequence
from typing import Final

# Transition rates; targets with gray failures stay in a state for some ten
# seconds. The rate from good to bad is a prior that is updated per target,
# because a target that failed often is likely to fail again.
_BAD_RATE_PRIOR_PER_S: Final = 0.025
_RECOVERY_RATE_PER_S: Final = 0.08
# Observation time to which the prior rate is equivalent.
_PRIOR_WEIGHT_S: Final = 20.0
# Hysteresis of the probability at which a bad phase is counted.
_BAD_ENTER_ABOVE: Final = 0.7
_BAD_LEAVE_BELOW: Final = 0.3

# Probability that a target without observations is bad.
_INITIAL_PROBABILITY: Final = 0.1

# Lower bound for a target that another host considers bad.
_SUSPECTED_PROBABILITY: Final = 0.7

# Likelihood of an observation in the bad state divided by that in the good
# state.
_LIKELIHOOD_RATIO_ANSWER: Final = 0.28
_LIKELIHOOD_RATIO_ERROR: Final = 12.0
_LIKELIHOOD_RATIO_TIMEOUT: Final = 40.0
# Weaker where the target answered another host meanwhile: the network path of
# the request may be broken instead.
_LIKELIHOOD_RATIO_OVERTAKEN: Final = 8.0
_LIKELIHOOD_RATIO_UNREACHABLE: Final = 6.0
# Share of requests that a bad target never answers.
_BAD_HANG_PROBABILITY: Final = 0.7

_PROBABILITY_MIN: Final = 0.01
_PROBABILITY_MAX: Final = 0.995

# Upper bounds of the histogram buckets: from 2 ms, each 12% higher.
_BUCKET_BOUNDS_S: Final = tuple(0.002 * 1.12**step for step in range(84))
_TOTAL_WEIGHT_MAX: Final = 600.0
_REFRESH_INTERVAL_SAMPLES: Final = 8
# Lower bound of the survival function.
_SURVIVAL_MIN: Final = 0.006


# Share of good answers that take longer than the request has waited, and
# whether another request was answered meanwhile.
UnansweredRequest = tuple[float, bool]


class LatencyHistogram:
    """Decaying histogram of the latencies of complete answers.

    Parameters
    ----------
    aim_s : float
        Target latency. The histogram is seeded with samples between 0.15 and
        0.5 of it.
    """

    def __init__(self, aim_s: float) -> None:
        # The additional last bucket has no upper bound.
        self._counts: list[float] = [0 for _ in _BUCKET_BOUNDS_S] + [0]
        self._total: float = 0
        self._samples = 0
        self._survival_by_bucket: list[float] = []
        self._quantile_cache: dict[float, float] = {}
        for fraction in (0.15, 0.2, 0.25, 0.3, 0.4, 0.5):
            self.add(fraction * aim_s)
        self._refresh()

    def add(self, latency_s: float) -> None:
        """Add a sample; older samples lose weight."""
        self._counts[bisect_right(_BUCKET_BOUNDS_S, latency_s)] += 1
        self._total += 1
        self._samples += 1
        if self._total >= _TOTAL_WEIGHT_MAX:
            self._counts = [count / 2 for count in self._counts]
            self._total /= 2
        if self._samples % _REFRESH_INTERVAL_SAMPLES == 0:
            self._refresh()

    def survival(self, age_s: float) -> float:
        """Return the share of answers that take longer than ``age_s``."""
        share = self._survival_by_bucket[bisect_right(_BUCKET_BOUNDS_S, age_s)]
        return max(_SURVIVAL_MIN, share)

    def quantile(self, share: float) -> float:
        """Return the latency in seconds below which a share of answers is."""
        cached = self._quantile_cache.get(share)
        if cached is None:
            cached = self._compute_quantile(share)
            self._quantile_cache[share] = cached
        return cached

    def _compute_quantile(self, share: float) -> float:
        for index, survival in enumerate(self._survival_by_bucket):
            if survival <= 1 - share:
                return _BUCKET_BOUNDS_S[min(index, len(_BUCKET_BOUNDS_S) - 1)]
        return _BUCKET_BOUNDS_S[-1]

    def _refresh(self) -> None:
        above: float = 0
        shares = []
        for count in reversed(self._counts):
            shares.append(above / self._total)
            above += count
        self._survival_by_bucket = list(reversed(shares))
        self._quantile_cache = {}


class FailureEstimate:
    """Estimates the probability that one target is in the bad state.

    Parameters
    ----------
    now : float
        Monotonic seconds.
    probability : float
        Initial value.
    """

    def __init__(
        self, now: float, probability: float = _INITIAL_PROBABILITY
    ) -> None:
        self._probability = probability
        self._updated_at = now
        self._bad_transitions: float = _BAD_RATE_PRIOR_PER_S * _PRIOR_WEIGHT_S
        self._good_time_s = _PRIOR_WEIGHT_S
        self._is_bad = False
        self._update_rates()

    def bad_rate_per_s(self) -> float:
        """Return the rate of transitions from good to bad, per second."""
        return self._bad_transitions / self._good_time_s

    def probability(
        self,
        now: float,
        unanswered: Sequence[UnansweredRequest],
    ) -> float:
        """Return the probability, given also the unanswered requests.

        Parameters
        ----------
        now : float
            Monotonic seconds.
        unanswered : sequence of UnansweredRequest
            Requests in flight at the target.

        Returns
        -------
        float
            Between 0 and 1.
        """
        value = self._predict(now)
        if not unanswered:
            return value
        odds = value / (1 - value)
        for likelihood_good, overtaken in unanswered:
            likelihood_bad = (
                _BAD_HANG_PROBABILITY
                + (1 - _BAD_HANG_PROBABILITY) * likelihood_good
            )
            ratio = likelihood_bad / likelihood_good
            odds *= (
                min(ratio, _LIKELIHOOD_RATIO_OVERTAKEN) if overtaken else ratio
            )
        return _clamped(odds / (1 + odds))

    def may_exceed(self, probability: float) -> bool:
        """Return whether the target may be bad with more than a probability.

        False is certain without unanswered requests. This is cheaper than the
        probability itself.
        """
        return max(self._probability, self._stationary) > probability

    def record_answer(self, now: float) -> None:
        """Record a complete answer."""
        self._update(now, _LIKELIHOOD_RATIO_ANSWER)

    def record_failure(self, now: float) -> None:
        """Record an answer that reports a failure or cannot be used."""
        self._update(now, _LIKELIHOOD_RATIO_ERROR)

    def record_timeout(self, now: float, *, overtaken: bool = False) -> None:
        """Record a request that timed out without an answer."""
        self._update(
            now,
            _LIKELIHOOD_RATIO_OVERTAKEN
            if overtaken
            else _LIKELIHOOD_RATIO_TIMEOUT,
        )

    def record_remote_suspicion(self, now: float) -> None:
        """Record that another host considers the target bad."""
        self._set_probability(
            max(self._predict(now), _SUSPECTED_PROBABILITY), now
        )

    def record_connect_failure(self, now: float) -> None:
        """Record a connection that could not be opened."""
        self._update(now, _LIKELIHOOD_RATIO_UNREACHABLE)

    def _predict(self, now: float) -> float:
        if now <= self._updated_at:
            return self._probability
        decay = math.exp(self._relaxation_rate * (self._updated_at - now))
        return self._stationary + (self._probability - self._stationary) * decay

    def _update(self, now: float, ratio: float) -> None:
        value = self._predict(now)
        odds = value / (1 - value) * ratio
        self._set_probability(_clamped(odds / (1 + odds)), now)

    def _set_probability(self, probability: float, now: float) -> None:
        if not self._is_bad:
            self._good_time_s += max(0, now - self._updated_at)
        self._probability = probability
        self._updated_at = now
        if self._is_bad:
            self._is_bad = probability > _BAD_LEAVE_BELOW
        elif probability > _BAD_ENTER_ABOVE:
            self._is_bad = True
            self._bad_transitions += 1
        self._update_rates()

    def _update_rates(self) -> None:
        bad_rate = self.bad_rate_per_s()
        self._relaxation_rate = bad_rate + _RECOVERY_RATE_PER_S
        self._stationary = bad_rate / self._relaxation_rate


def _clamped(probability: float) -> float:
    return min(_PROBABILITY_MAX, max(_PROBABILITY_MIN, probability))
