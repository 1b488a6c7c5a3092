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

# A cold target starts with this part of its slots.
_COLD_WEIGHT: Final = 0.1
_SHED_PAUSE_S: Final = 0.05
_SHED_PAUSE_MAX_S: Final = 1.6
_SHEDS_MAX: Final = 5
# The score that ejects is e^1.2 = 3.3 to one for each configured sample.
_SCORE_PER_SAMPLE: Final = 1.2
_SCORE_PER_FAILURE: Final = 4
# Doubling stops here; it only keeps the power within the range of a float.
_DOUBLINGS_MAX: Final = 20
# A target that stayed healthy this many times as long as its last ejection
# is forgiven one earlier ejection.
_FORGIVE_AFTER: Final = 4


def latency_threshold(policy: HealthPolicy) -> float:
    """Return the latency score that ejects a target."""
    return _SCORE_PER_SAMPLE * policy['minimum_samples']


def failure_threshold(policy: HealthPolicy) -> float:
    """Return the failure score that ejects a target."""
    return _SCORE_PER_FAILURE * policy['consecutive_failures']


def doubled(policy: HealthPolicy, repeats: int) -> float:
    """Return how long the next ejection lasts after earlier ones."""
    length = policy['ejection_s'] * 2 ** min(repeats, _DOUBLINGS_MAX)
    return min(length, policy['ejection_max_s'])


class TargetRecord:
    """Everything known about one target.

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
        self.until: float = 0
        self.warm_from = float('-inf')
        self.ejections = 0
        self.probes = 0
        self.probe_at: float = 0
        self.reason = ''
        self.pause_until: float = 0
        self._sheds = 0
        self._last_ejection_s: float = 0
        self.forget_evidence(policy)

    def forget_evidence(self, policy: HealthPolicy) -> None:
        """Start without evidence, after a restoration."""
        self.run = FailureRun()
        self.failure_share = failure_average()
        self.latency = LatencyAverage()
        threshold = latency_threshold(policy)
        self.slowness = ZoneScores(threshold / 8, threshold)
        threshold = failure_threshold(policy)
        self.failing = ZoneScores(threshold / 8, threshold)
        self.path_by_host: dict[str, PathEvidence] = {}
        self.path_by_zone: dict[str, PathEvidence] = {}

    def weight(self, now: float, slow_start_s: float) -> float:
        """Return the part of the slots that a cold target may use."""
        age = now - self.warm_from
        if age >= slow_start_s:
            return 1
        return max(_COLD_WEIGHT, age / slow_start_s)

    def badness(self) -> tuple[int, float, float]:
        """Return the order in which the floor readmits targets.

        Avoided and paused targets come first, then slow ones, because a
        late answer is better than a wrong one; then failing ones.
        """
        order = ('', 'latency', 'failures').index(self.reason)
        return (order, self.failure_share.mean, self.latency.mean)

    def eject(self, reason: str, now: float, policy: HealthPolicy) -> None:
        """Take the target out for a time that doubles with repetition."""
        healthy_s = now - self.warm_from
        if self.ejections and healthy_s < float('inf'):
            unit = _FORGIVE_AFTER * self._last_ejection_s
            self.ejections -= min(self.ejections, int(healthy_s / unit))
        self._last_ejection_s = doubled(policy, self.ejections)
        self.state = EJECTED
        self.reason = reason
        self.until = now + self._last_ejection_s
        self.ejections += 1
        self.probes = 0

    def restore(self, now: float, policy: HealthPolicy) -> None:
        """Take the target back, cold and without evidence."""
        self.state = HEALTHY
        self.reason = ''
        self.warm_from = now
        self.probes = 0
        self.forget_evidence(policy)

    def pause(self, now: float) -> None:
        """Send nothing for a moment, because the target sheds load."""
        length = min(_SHED_PAUSE_MAX_S, _SHED_PAUSE_S * 2**self._sheds)
        self._sheds = min(self._sheds + 1, _SHEDS_MAX)
        self.pause_until = now + length

    def accepted(self) -> None:
        """Note that the target took a request, so it does not shed."""
        self._sheds = 0

    def usable(self, host: str, zone: str, now: float) -> bool:
        """Return whether a host may use the target without the floor."""
        if self.state != HEALTHY or now < self.pause_until:
            return False
        return not (
            _avoided(self.path_by_host, host, now)
            or _avoided(self.path_by_zone, zone, now)
        )


def _avoided(
    paths: Mapping[str, PathEvidence], observer: str, now: float
) -> bool:
    path = paths.get(observer)
    return path is not None and now < path.avoid_until
