"""Ejection and selection state of the targets of one service."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from random import Random
from statistics import median
from typing import Any, Final, NamedTuple

from oleanderridge.generated.bundle import HealthPolicy, Service
from oleanderridge.health.evidence import (
    FAILURES,
    PathEvidence,
    failure_score,
    run_length_threshold,
)
from oleanderridge.health.latency import LatencyProfile
from oleanderridge.health.target import (
    DRAINING,
    EJECTED,
    HEALTHY,
    PROBING,
    TargetHealth,
    ejection_backoff_s,
    failure_threshold,
    latency_threshold,
)

# Interval between probes of an ejected target.
_PROBE_INTERVAL_S: Final = 1
# Health endpoints can be wrong: after this many failed probes the target gets
# traffic again, whose outcomes decide.
_PROBES_MAX: Final = 3
# Candidates are recomputed after this time at the latest. Until then a target
# can only become more usable, because every other change clears the cache.
_CANDIDATE_CACHE_S: Final = 0.02
# Hosts and paths without a report for this time are dropped.
_OBSERVER_EXPIRY_S: Final = 60
# Lowest latency score (log likelihood ratio) at which a timeout counts as a
# failure; below it the caller's deadline was too short.
_TIMEOUT_SCORE_MIN: Final = 2
# Failures of a run that must come from outside the zone that observed most.
# With 1, an unrelated failure elsewhere ejected a target of which one zone had
# lost the network path.
_FAILURES_OUTSIDE_ZONE_MIN: Final = 2
# Share of the threshold that the zones except the strongest must reach.
_OTHER_ZONES_SHARE_MIN: Final = 0.25


class Candidate(NamedTuple):
    """A target that may receive work now.

    ``slots`` are the slots usable now, ``weight`` is below one during
    slow start, and ``forced`` marks a target that is available only because
    the floor readmits it.
    """

    target: str
    slots: int
    weight: float
    latency_ms: float
    forced: bool


def skips_slow_start_target(candidate: Candidate, rng: Random) -> bool:
    """Return whether a target in slow start is skipped in this selection.

    A target in slow start competes in a share of the selections equal to its
    weight. In the others it gets a request only if no other target is free.
    """
    return candidate.weight < 1 and rng.random() >= candidate.weight


class InFlightRequest(NamedTuple):
    """A request in flight to a target."""

    host: str
    zone: str
    target: str
    started: float


class InFlightEvidence:
    """Evidence of the unanswered requests of one target."""

    def __init__(self) -> None:
        self.score_by_zone: dict[str, float] = {}
        self.hosts: set[str] = set()

    def add(self, flight: InFlightRequest, score: float) -> None:
        """Add the evidence of one request."""
        previous = self.score_by_zone.get(flight.zone, 0)
        self.score_by_zone[flight.zone] = previous + score
        if score > 0:
            self.hosts.add(flight.host)


_NO_IN_FLIGHT_EVIDENCE: Final = InFlightEvidence()


class _CachedCandidates(NamedTuple):
    """Candidates of one host and when they were computed."""

    at: float
    candidates: tuple[Candidate, ...]


class _Observer(NamedTuple):
    """Zone of a reporting host and time of its last report."""

    zone: str
    last_report_at: float


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
        self._profile = LatencyProfile(self._policy['latency_factor'])
        self._by_name = {
            target['name']: TargetHealth(target, self._policy)
            for target in service['targets']
        }
        self._in_flight_by_target: dict[str, InFlightEvidence] = {}
        self._observer_by_host: dict[str, _Observer] = {}
        self._zones: frozenset[str] = frozenset()
        self._next_expiry_at: float = 0
        self._cache: dict[tuple[str, frozenset[str]], _CachedCandidates] = {}

    def update(self, service: Service, now: float) -> None:
        """Apply a changed definition; new targets begin with slow start."""
        self._cache.clear()
        changed = service['health'] != self._policy
        self._service = service
        self._policy = service['health']
        known = self._by_name
        self._by_name = {}
        for definition in service['targets']:
            record = known.get(definition['name'])
            if record is None:
                record = TargetHealth(definition, self._policy)
                record.slow_start_at = now
            record.slots = definition['slots']
            self._by_name[record.name] = record
        if changed:
            # Scores are clamped by the thresholds, so those accumulated under
            # other thresholds are not comparable.
            self._profile = LatencyProfile(self._policy['latency_factor'])
            for kept in self._by_name.values():
                kept.reset_evidence(self._policy)

    def record_outcome(
        self,
        host: str,
        zone: str,
        target: str,
        outcome: str,
        latency_ms: float,
        now: float,
    ) -> None:
        """Record the outcome of one request.

        Parameters
        ----------
        host, zone : str
            The host that observed it and its zone.
        target : str
            Name of the target; an unknown one is ignored.
        outcome : str
            As in ``PermitReturn``.
        latency_ms : float
            Time from sending to the end of the response.
        now : float
            Monotonic seconds.
        """
        record = self._by_name.get(target)
        if record is None or outcome == 'unused':
            return
        self._note_observer(host, zone, now)
        if outcome == 'draining':
            self._cache.clear()
            record.begin_draining(now, self._policy)
        elif outcome == 'shed':
            self._cache.clear()
            record.pause(now)
        elif outcome in FAILURES:
            if outcome == 'timeout':
                evidence = self._profile.in_flight_score(latency_ms)
                record.latency_scores.add(host, zone, evidence)
                if self._is_deadline_too_short(latency_ms):
                    return
            self._observe_failure(record, host, zone, now)
        else:
            self._observe_answer(record, (host, zone), latency_ms, now)

    def evaluate_in_flight(
        self, flights: Iterable[InFlightRequest], now: float
    ) -> None:
        """Evaluate all targets, including their unanswered requests.

        Otherwise a target that never answers would be detected only at its
        first timeout.
        """
        self._in_flight_by_target = {}
        for flight in flights:
            in_flight = self._in_flight_by_target.get(flight.target)
            if in_flight is None:
                in_flight = InFlightEvidence()
                self._in_flight_by_target[flight.target] = in_flight
            age_ms = (now - flight.started) * 1000
            in_flight.add(flight, self._profile.in_flight_score(age_ms))
        for name in self._in_flight_by_target:
            record = self._by_name.get(name)
            if record is not None and record.state == HEALTHY:
                self._evaluate_latency(record, now)

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
        if cached is None or not 0 <= now - cached.at < _CANDIDATE_CACHE_S:
            cached = _CachedCandidates(
                now, self._compute_candidates(host, now, leaving)
            )
            self._cache[key] = cached
        if not excluded:
            return cached.candidates
        return tuple(
            candidate
            for candidate in cached.candidates
            if candidate.target not in excluded
        )

    def probes_due(self, now: float) -> tuple[str, ...]:
        """Return the targets to probe now, each at most once per second."""
        due = []
        for record in self._by_name.values():
            self._advance_state(record, now)
            if record.awaits_probe(now):
                record.next_probe_at = now + _PROBE_INTERVAL_S
                due.append(record.name)
        return tuple(due)

    def record_probe(self, target: str, succeeded: bool, now: float) -> None:
        """Restore a target after a good probe; eject it again otherwise.

        A draining target returns with a good probe only, however many fail:
        work that it gets while it leaves may be lost.
        """
        record = self._by_name.get(target)
        if record is None or record.state not in {PROBING, DRAINING}:
            return
        if record.state == DRAINING:
            if succeeded:
                self._restore(record, now)
            return
        record.probe_count += 1
        if succeeded or record.probe_count >= _PROBES_MAX:
            self._restore(record, now)
        else:
            record.state = EJECTED
            record.state_until = now + self._policy['ejection_s']

    def snapshot(self, now: float) -> list[dict[str, Any]]:
        """Return the state of every target for the admin interface."""
        return [
            {
                'target': record.name,
                'state': record.state,
                'reason': record.reason,
                'until_s': max(0, record.state_until - now),
                'ejections': record.ejections,
                'latency_ms': record.latency.mean,
                'failure_share': record.failure_share.mean,
                'weight': record.weight(now, self._policy['slow_start_s']),
            }
            for record in self._by_name.values()
        ]

    def _note_observer(self, host: str, zone: str, now: float) -> None:
        known = self._observer_by_host.get(host)
        self._observer_by_host[host] = _Observer(zone, now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + _OBSERVER_EXPIRY_S / 4
            self._expire_observers(now - _OBSERVER_EXPIRY_S)
        elif known is None or known.zone != zone:
            self._zones |= {zone}

    def _expire_observers(self, before: float) -> None:
        self._cache.clear()
        self._observer_by_host = {
            host: observer
            for host, observer in self._observer_by_host.items()
            if observer.last_report_at >= before
        }
        self._zones = frozenset(
            observer.zone for observer in self._observer_by_host.values()
        )
        for record in self._by_name.values():
            record.path_by_host = {
                host: path
                for host, path in record.path_by_host.items()
                if max(path.last_report_at, path.avoid_until) >= before
            }

    def _observe_failure(
        self, record: TargetHealth, host: str, zone: str, now: float
    ) -> None:
        baseline = self._baseline_failure_rate(record)
        record.failure_share.add(1)
        record.run.add(host, zone)
        record.failure_scores.add(host, zone, failure_score(True, baseline))
        paths = (
            record.path_by_host.setdefault(host, PathEvidence()),
            record.path_by_zone.setdefault(zone, PathEvidence()),
        )
        for path in paths:
            path.run.add(host, zone)
            path.last_report_at = now
        if record.state == HEALTHY:
            self._evaluate_failures(record, paths, baseline, now)

    def _observe_answer(
        self,
        record: TargetHealth,
        observer: tuple[str, str],
        latency_ms: float,
        now: float,
    ) -> None:
        host, zone = observer
        baseline = self._baseline_failure_rate(record)
        record.note_accepted()
        record.failure_share.add(0)
        record.run.clear()
        record.failure_scores.add(host, zone, failure_score(False, baseline))
        for paths, name in (
            (record.path_by_host, host),
            (record.path_by_zone, zone),
        ):
            path = paths.get(name)
            if path is not None:
                path.run.clear()
                path.last_report_at = now
        record.latency.add(latency_ms)
        evidence = self._profile.score(latency_ms)
        record.latency_scores.add(host, zone, evidence)
        if record.state == HEALTHY:
            self._profile.add(latency_ms)
            if evidence > 0:
                self._evaluate_latency(record, now)

    def _is_deadline_too_short(self, latency_ms: float) -> bool:
        """Return whether a timeout is due to the caller's deadline.

        A request that is sent shortly before its deadline can time out at a
        healthy target; its age is then within the normal latencies.
        """
        return self._profile.in_flight_score(latency_ms) < _TIMEOUT_SCORE_MIN

    def _baseline_failure_rate(self, record: TargetHealth) -> float:
        shares = [
            other.failure_share.mean
            for other in self._by_name.values()
            if other is not record and other.failure_share.samples
        ]
        return median(shares) if shares else 0

    def _evaluate_failures(
        self,
        record: TargetHealth,
        paths: tuple[PathEvidence, PathEvidence],
        baseline: float,
        now: float,
    ) -> None:
        limit = run_length_threshold(
            self._policy['consecutive_failures'], baseline
        )
        run_confirmed = record.run.length >= limit and self._is_run_confirmed(
            record
        )
        threshold = failure_threshold(self._policy)
        failure_scores = record.failure_scores
        if run_confirmed or self._is_confirmed(
            failure_scores.by_zone, failure_scores.hosts(), threshold
        ):
            self._eject(record, 'failures', now)
            return
        by_host, by_zone = paths
        if by_host.run.length >= limit:
            self._avoid(by_host, now)
        several = len(by_zone.run.hosts) > 1
        if several and by_zone.run.length >= limit:
            self._avoid(by_zone, now)

    def _is_run_confirmed(self, record: TargetHealth) -> bool:
        run = record.run
        if len(run.hosts) < min(2, len(self._observer_by_host)):
            return False
        failures = self._policy['consecutive_failures']
        outside = max(1, min(_FAILURES_OUTSIDE_ZONE_MIN, failures - 1))
        return len(self._zones) < 2 or run.outside_top_zone() >= outside

    def _evaluate_latency(self, record: TargetHealth, now: float) -> None:
        threshold = latency_threshold(self._policy)
        if record.weight(now, self._policy['slow_start_s']) < 1:
            # A healthy target can be slow during slow start.
            threshold *= 2
        in_flight = self._in_flight_by_target.get(
            record.name, _NO_IN_FLIGHT_EVIDENCE
        )
        merged = record.latency_scores.merged(in_flight.score_by_zone)
        hosts = record.latency_scores.hosts() | in_flight.hosts
        if self._is_confirmed(merged, hosts, threshold):
            excess = sum(merged.values()) - self._baseline_latency_score(record)
            if excess >= threshold:
                self._eject(record, 'latency', now)

    def _baseline_latency_score(self, record: TargetHealth) -> float:
        """Return the median latency score of the other targets.

        When all targets become slow together, none of them is at fault.
        """
        scores = [
            self._latency_score(other)
            for other in self._by_name.values()
            if other is not record and other.state == HEALTHY
        ]
        return max(0, median(scores)) if scores else 0

    def _latency_score(self, record: TargetHealth) -> float:
        in_flight = self._in_flight_by_target.get(
            record.name, _NO_IN_FLIGHT_EVIDENCE
        )
        return sum(
            record.latency_scores.merged(in_flight.score_by_zone).values()
        )

    def _is_confirmed(
        self, by_zone: dict[str, float], hosts: set[str], threshold: float
    ) -> bool:
        total = sum(by_zone.values())
        if total < threshold:
            return False
        if len(hosts) < min(2, len(self._observer_by_host)):
            return False
        if len(self._zones) < 2:
            return True
        return (
            total - max(by_zone.values()) >= threshold * _OTHER_ZONES_SHARE_MIN
        )

    def _eject(self, record: TargetHealth, reason: str, now: float) -> None:
        if record.state == DRAINING:
            # An ejection would let it return without a good probe.
            return
        self._cache.clear()
        record.eject(reason, now, self._policy)

    def _avoid(self, path: PathEvidence, now: float) -> None:
        self._cache.clear()
        path.avoid_until = now + ejection_backoff_s(
            self._policy, path.avoid_count
        )
        path.avoid_count += 1
        path.run.clear()

    def _restore(self, record: TargetHealth, now: float) -> None:
        self._cache.clear()
        record.restore(now, self._policy)

    def _advance_state(self, record: TargetHealth, now: float) -> None:
        if record.state not in {EJECTED, DRAINING} or now < record.state_until:
            return
        if not self._service.get('health_path'):
            self._restore(record, now)
        elif record.state == EJECTED:
            record.state = PROBING
            record.next_probe_at = now

    def _compute_candidates(
        self, host: str, now: float, leaving: Collection[str]
    ) -> tuple[Candidate, ...]:
        observer = self._observer_by_host.get(host)
        zone = '' if observer is None else observer.zone
        available = []
        removed = []
        for record in self._by_name.values():
            self._advance_state(record, now)
            if record.name in leaving or record.state == DRAINING:
                continue
            if record.is_usable(host, zone, now):
                available.append(record)
            else:
                removed.append(record)
        forced = self._readmitted_by_floor(available, removed, now)
        return tuple(
            self._candidate(target, now, target in forced)
            for target in (*available, *forced)
        )

    def _readmitted_by_floor(
        self,
        available: list[TargetHealth],
        removed: list[TargetHealth],
        now: float,
    ) -> list[TargetHealth]:
        slow_start_s = self._policy['slow_start_s']
        configured = sum(record.slots for record in self._by_name.values())
        missing = self._policy['floor'] * configured - sum(
            record.slots * record.weight(now, slow_start_s)
            for record in available
        )
        forced = []
        for record in sorted(removed, key=TargetHealth.readmission_key):
            if missing <= 0:
                break
            forced.append(record)
            missing -= record.slots * record.weight(now, slow_start_s)
        return forced

    def _candidate(
        self, record: TargetHealth, now: float, forced: bool
    ) -> Candidate:
        weight = record.weight(now, self._policy['slow_start_s'])
        return Candidate(
            target=record.name,
            slots=max(1, round(record.slots * weight)),
            weight=weight,
            latency_ms=record.latency.mean,
            forced=forced,
        )
