"""Decides which targets of one service may receive work."""

from __future__ import annotations

from collections.abc import Collection
from statistics import median
from typing import Any, Final, NamedTuple

from oleanderridge.generated.bundle import HealthPolicy, Service, Target
from oleanderridge.health.evidence import (
    FAILURES,
    FailureRun,
    LatencyAverage,
    PathEvidence,
    Report,
)

HEALTHY: Final = 'healthy'
EJECTED: Final = 'ejected'
PROBING: Final = 'probing'
DRAINING: Final = 'draining'

# A cold target starts with this part of its slots.
_COLD_WEIGHT: Final = 0.1
# A probe that nobody answers is repeated after this time.
_PROBE_REPEAT_S: Final = 1.0
# Health endpoints mislead: after this many failed probes traffic decides.
_PROBES_MAX: Final = 3
# Candidates are recomputed after this time at the latest. Until then a target
# can only become more usable, because every other change clears the cache.
_CACHE_S: Final = 0.02
_SHED_PAUSE_S: Final = 0.05
_SHED_PAUSE_MAX_S: Final = 1.6


class Candidate(NamedTuple):
    """A target that may receive work now.

    ``slots`` are the slots usable now, ``weight`` is below one while the
    target is cold, and ``forced`` marks a target that is only picked
    because the floor binds.
    """

    target: str
    slots: int
    weight: float
    latency_ms: float
    forced: bool


class TargetRecord:
    """State of one target."""

    def __init__(self, definition: Target) -> None:
        self.name = definition['name']
        self.slots = definition['slots']
        self.state = HEALTHY
        self.until: float = 0
        self.warm_from = float('-inf')
        self.ejections = 0
        self.last_ejected = float('-inf')
        self.run = FailureRun()
        self.latency = LatencyAverage()
        self.path_by_host: dict[str, PathEvidence] = {}
        self.pause_until: float = 0
        self.sheds = 0
        self.probes = 0
        self.probe_at: float = 0

    def weight(self, now: float, slow_start_s: float) -> float:
        """Return the part of the slots that a cold target may use."""
        age = now - self.warm_from
        if age >= slow_start_s:
            return 1.0
        return max(_COLD_WEIGHT, age / slow_start_s)

    def badness(self) -> tuple[int, float]:
        """Return the order in which the floor readmits targets."""
        return (self.run.length, self.latency.mean)


class _Cached(NamedTuple):
    """Candidates of one host, computed at a time."""

    at: float
    candidates: tuple[Candidate, ...]


class ServiceHealth:
    """Evidence and ejections of the targets of one service.

    Parameters
    ----------
    service : Service
        The definition with all optional fields present.
    """

    def __init__(self, service: Service) -> None:
        self._service = service
        self._policy: HealthPolicy = service['health']
        self._by_name = {
            target['name']: TargetRecord(target)
            for target in service['targets']
        }
        self._zone_by_host: dict[str, str] = {}
        self._cache: dict[tuple[str, frozenset[str]], _Cached] = {}

    def update(self, service: Service, now: float) -> None:
        """Take over a changed definition; new targets start cold."""
        self._service = service
        self._policy = service['health']
        self._cache.clear()
        known = self._by_name
        self._by_name = {}
        for definition in service['targets']:
            record = known.get(definition['name'])
            if record is None:
                record = TargetRecord(definition)
                record.warm_from = now
            record.slots = definition['slots']
            self._by_name[record.name] = record

    def report(
        self,
        host: str,
        zone: str,
        target: str,
        outcome: str,
        latency_ms: float,
        now: float,
    ) -> None:
        """Take in one observation."""
        record = self._by_name.get(target)
        if record is None or outcome == 'unused':
            return
        self._zone_by_host[host] = zone
        report = Report(host, zone, target, outcome, latency_ms, now)
        if outcome == 'draining':
            self._cache.clear()
            record.state = DRAINING
            record.until = now + self._policy['ejection_s']
        elif outcome == 'shed':
            self._cache.clear()
            pause = min(_SHED_PAUSE_MAX_S, _SHED_PAUSE_S * 2**record.sheds)
            record.sheds = min(record.sheds + 1, 8)
            record.pause_until = now + pause
        else:
            self._observe(record, report)

    def candidates(
        self,
        host: str,
        now: float,
        leaving: Collection[str],
        excluded: Collection[str],
    ) -> tuple[Candidate, ...]:
        """Return the targets that the host may use now.

        Parameters
        ----------
        host : str
            The entry host that will send the request.
        now : float
            Monotonic seconds.
        leaving : collection of str
            Targets that receive no new work.
        excluded : collection of str
            Targets that this request has already tried.

        Returns
        -------
        tuple of Candidate
            Empty when no target may receive the request.
        """
        key = (host, frozenset(leaving))
        cached = self._cache.get(key)
        if cached is None or not 0 <= now - cached.at < _CACHE_S:
            cached = _Cached(now, self._candidates(host, now, leaving))
            self._cache[key] = cached
        if not excluded:
            return cached.candidates
        return tuple(
            candidate
            for candidate in cached.candidates
            if candidate.target not in excluded
        )

    def _candidates(
        self, host: str, now: float, leaving: Collection[str]
    ) -> tuple[Candidate, ...]:
        available = []
        removed = []
        for record in self._by_name.values():
            self._advance(record, now)
            if record.name in leaving or record.state == DRAINING:
                continue
            if self._usable(record, host, now):
                available.append(record)
            else:
                removed.append(record)
        forced = self._readmitted(available, removed, now)
        return tuple(
            self._candidate(usable, now, usable in forced)
            for usable in (*available, *forced)
        )

    def probes_due(self, now: float) -> tuple[str, ...]:
        """Return the targets to probe now; each is due once per second."""
        due = []
        for record in self._by_name.values():
            self._advance(record, now)
            if record.state == PROBING and now >= record.probe_at:
                record.probe_at = now + _PROBE_REPEAT_S
                due.append(record.name)
        return tuple(due)

    def probe_result(self, target: str, succeeded: bool, now: float) -> None:
        """Restore a target after a good probe, or wait again after a bad."""
        record = self._by_name.get(target)
        if record is None or record.state != PROBING:
            return
        record.probes += 1
        if succeeded or record.probes >= _PROBES_MAX:
            self._restore(record, now)
        else:
            record.state = EJECTED
            record.until = now + self._policy['ejection_s']

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return the state of every target for the admin interface."""
        return [
            {
                'target': record.name,
                'state': record.state,
                'until_s': max(0, record.until - now),
                'ejections': record.ejections,
                'latency_ms': record.latency.mean,
                'failures': record.run.length,
                'weight': record.weight(now, self._policy['slow_start_s']),
            }
            for record in self._by_name.values()
        ]

    def _observe(self, record: TargetRecord, report: Report) -> None:
        path = record.path_by_host.get(report.host)
        if path is None:
            path = PathEvidence(report.zone)
            record.path_by_host[report.host] = path
        path.last_at = report.at
        if report.outcome in FAILURES:
            path.failures += 1
            record.run.add(report.host, report.zone)
        else:
            path.failures = 0
            record.run.clear()
            record.sheds = 0
            path.latency.add(report.latency_ms)
            record.latency.add(report.latency_ms)
        if record.state == HEALTHY:
            self._judge(record, path, report.at)

    def _judge(
        self, record: TargetRecord, path: PathEvidence, now: float
    ) -> None:
        limit = self._policy['consecutive_failures']
        failing = record.run.length >= limit and self._agrees(record.run)
        if failing or self._slow(record):
            self._eject(record, now)
        elif path.failures >= limit:
            self._cache.clear()
            length = self._duration(path.avoidances)
            path.avoid_until = now + length
            path.avoidances += 1
            path.failures = 0

    def _agrees(self, run: FailureRun) -> bool:
        hosts = min(2, len(self._zone_by_host))
        zones = min(2, len(set(self._zone_by_host.values())))
        seen = run.zone_by_host
        return len(seen) >= hosts and len(set(seen.values())) >= zones

    def _slow(self, record: TargetRecord) -> bool:
        minimum = self._policy['minimum_samples']
        if record.latency.samples < minimum:
            return False
        means = [
            other.latency.mean
            for other in self._by_name.values()
            if other.latency.samples >= minimum
        ]
        limit = self._policy['latency_factor'] * median(means)
        return len(means) > 2 and record.latency.mean > limit

    def _duration(self, repeats: int) -> float:
        doubled = self._policy['ejection_s'] * 2 ** min(repeats, 20)
        return min(doubled, self._policy['ejection_max_s'])

    def _eject(self, record: TargetRecord, now: float) -> None:
        self._cache.clear()
        record.state = EJECTED
        record.until = now + self._duration(record.ejections)
        record.ejections += 1
        record.last_ejected = now
        record.probes = 0

    def _restore(self, record: TargetRecord, now: float) -> None:
        self._cache.clear()
        record.state = HEALTHY
        record.warm_from = now
        record.probes = 0
        record.run.clear()
        record.latency = LatencyAverage()
        record.path_by_host.clear()

    def _advance(self, record: TargetRecord, now: float) -> None:
        if record.state in {EJECTED, DRAINING} and now >= record.until:
            if self._service.get('health_path'):
                record.state = PROBING
                record.probe_at = now
            else:
                self._restore(record, now)

    def _usable(self, record: TargetRecord, host: str, now: float) -> bool:
        path = record.path_by_host.get(host)
        avoided = path is not None and now < path.avoid_until
        paused = now < record.pause_until
        return record.state == HEALTHY and not (avoided or paused)

    def _readmitted(
        self,
        available: list[TargetRecord],
        removed: list[TargetRecord],
        now: float,
    ) -> list[TargetRecord]:
        slow_start_s = self._policy['slow_start_s']
        configured = sum(record.slots for record in self._by_name.values())
        missing = self._policy['floor'] * configured - sum(
            record.slots * record.weight(now, slow_start_s)
            for record in available
        )
        forced = []
        for record in sorted(removed, key=TargetRecord.badness):
            if missing <= 0:
                break
            forced.append(record)
            missing -= record.slots
        return forced

    def _candidate(
        self, record: TargetRecord, now: float, forced: bool
    ) -> Candidate:
        weight = record.weight(now, self._policy['slow_start_s'])
        return Candidate(
            target=record.name,
            slots=max(1, round(record.slots * weight)),
            weight=weight,
            latency_ms=record.latency.mean,
            forced=forced,
        )
