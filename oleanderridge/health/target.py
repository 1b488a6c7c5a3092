"""State of one target: evidence, ejection, draining and slow start."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final

from oleanderridge.generated.bundle import HealthPolicy, Target
from oleanderridge.health.evidence import (
    FailureRun,
    LatencyAverage,
    PathEvidence,
    ZoneScores,
    failure_average,
)

HEALTHY: Final = 'healthy'
EJECTED: Final = 'ejected'
PROBING: Final = 'probing'
DRAINING: Final = 'draining'

# Share of its slots with which a target begins slow start.
_SLOW_START_WEIGHT_MIN: Final = 0.1
_SHED_PAUSE_MIN_S: Final = 0.05
_SHED_PAUSE_MAX_S: Final = 1.6
_SHED_DOUBLINGS_MAX: Final = 5
# The ejection threshold is a likelihood ratio of e^1.2 = 3.3 for each
# configured sample.
_SCORE_PER_SAMPLE: Final = 1.2
_SCORE_PER_FAILURE: Final = 4
# Keeps the power of two within the range of a float.
_EJECTION_DOUBLINGS_MAX: Final = 20
# One earlier ejection stops counting for each healthy period of this many
# times the last ejection.
_EJECTION_DECAY_FACTOR: Final = 4


def latency_threshold(policy: HealthPolicy) -> float:
    """Return the latency score that ejects a target."""
    return _SCORE_PER_SAMPLE * policy['minimum_samples']


def failure_threshold(policy: HealthPolicy) -> float:
    """Return the failure score that ejects a target."""
    return _SCORE_PER_FAILURE * policy['consecutive_failures']


def ejection_backoff_s(policy: HealthPolicy, earlier_ejections: int) -> float:
    """Return the duration of the next ejection: exponential backoff."""
    duration_s = policy['ejection_s'] * 2 ** min(
        earlier_ejections, _EJECTION_DOUBLINGS_MAX
    )
    return min(duration_s, policy['ejection_max_s'])


class TargetHealth:
    """Evidence and ejection state of one target.

    Parameters
    ----------
    definition : Target
        Name and slots.
    policy : HealthPolicy
        Thresholds of the service.
    """

    def __init__(self, definition: Target, policy: HealthPolicy) -> None:
        self.name = definition['name']
        self.slots = definition['slots']
        self.state = HEALTHY
        self.state_until: float = 0
        self.slow_start_at = float('-inf')
        self.ejections = 0
        self.probe_count = 0
        self.next_probe_at: float = 0
        self.reason = ''
        self.pause_until: float = 0
        self._consecutive_sheds = 0
        self._last_ejection_s: float = 0
        self.reset_evidence(policy)

    def reset_evidence(self, policy: HealthPolicy) -> None:
        """Discard all evidence, after a restoration or changed thresholds."""
        self.run = FailureRun()
        self.failure_share = failure_average()
        self.latency = LatencyAverage()
        threshold = latency_threshold(policy)
        self.latency_scores = ZoneScores(threshold / 8, threshold)
        threshold = failure_threshold(policy)
        self.failure_scores = ZoneScores(threshold / 8, threshold)
        self.path_by_host: dict[str, PathEvidence] = {}
        self.path_by_zone: dict[str, PathEvidence] = {}

    def weight(self, now: float, slow_start_s: float) -> float:
        """Return the share of the slots available during slow start."""
        elapsed_s = now - self.slow_start_at
        if elapsed_s >= slow_start_s:
            return 1
        return max(_SLOW_START_WEIGHT_MIN, elapsed_s / slow_start_s)

    def readmission_key(self) -> tuple[int, float, float]:
        """Return the sort key by which the floor readmits targets.

        Avoided and paused targets come first, then slow ones, because a
        late answer is better than a wrong one, then failing ones.
        """
        rank = ('', 'latency', 'failures').index(self.reason)
        return (rank, self.failure_share.mean, self.latency.mean)

    def eject(self, reason: str, now: float, policy: HealthPolicy) -> None:
        """Eject the target; the duration doubles with each repetition."""
        healthy_s = now - self.slow_start_at
        if self.ejections and healthy_s < float('inf'):
            decay_s = _EJECTION_DECAY_FACTOR * self._last_ejection_s
            self.ejections -= min(self.ejections, int(healthy_s / decay_s))
        self._last_ejection_s = ejection_backoff_s(policy, self.ejections)
        self.state = EJECTED
        self.reason = reason
        self.state_until = now + self._last_ejection_s
        self.ejections += 1
        self.probe_count = 0

    def begin_draining(self, now: float, policy: HealthPolicy) -> None:
        """Stop sending, because the target announced that it is leaving."""
        self.state = DRAINING
        self.state_until = now + policy['ejection_s']
        self.next_probe_at = self.state_until

    def awaits_probe(self, now: float) -> bool:
        """Return whether a probe decides about the return of the target."""
        if self.state not in {PROBING, DRAINING}:
            return False
        return now >= self.next_probe_at

    def restore(self, now: float, policy: HealthPolicy) -> None:
        """Return the target to service in slow start, without evidence."""
        self.state = HEALTHY
        self.reason = ''
        self.slow_start_at = now
        self.probe_count = 0
        self.reset_evidence(policy)

    def pause(self, now: float) -> None:
        """Stop sending for a short backoff, because the target sheds load."""
        duration_s = min(
            _SHED_PAUSE_MAX_S, _SHED_PAUSE_MIN_S * 2**self._consecutive_sheds
        )
        self._consecutive_sheds = min(
            self._consecutive_sheds + 1, _SHED_DOUBLINGS_MAX
        )
        self.pause_until = now + duration_s

    def note_accepted(self) -> None:
        """Reset the backoff of shedding after the target accepted a request."""
        self._consecutive_sheds = 0

    def is_usable(self, host: str, zone: str, now: float) -> bool:
        """Return whether a host may use the target without readmission."""
        if self.state != HEALTHY or now < self.pause_until:
            return False
        return not (
            _is_avoided(self.path_by_host, host, now)
            or _is_avoided(self.path_by_zone, zone, now)
        )


def _is_avoided(
    paths: Mapping[str, PathEvidence], observer: str, now: float
) -> bool:
    path = paths.get(observer)
    return path is not None and now < path.avoid_until
