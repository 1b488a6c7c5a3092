"""Decides which targets of one service may receive work."""

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
    run_limit,
)
from oleanderridge.health.latency import LatencyProfile
from oleanderridge.health.target import (
    DRAINING,
    EJECTED,
    HEALTHY,
    PROBING,
    TargetRecord,
    doubled,
    failure_threshold,
    latency_threshold,
)

# A probe that nobody answers is repeated after this time.
_PROBE_REPEAT_S: Final = 1
# Health endpoints mislead: after this many failed probes traffic decides.
_PROBES_MAX: Final = 3
# Candidates are recomputed after this time at the latest. Until then a target
# can only become more usable, because every other change clears the cache.
_CACHE_S: Final = 0.02
# Hosts and paths without a report for this time no longer count.
_FORGET_S: Final = 60
# A timeout counts as a failure when its age is e^2 times likelier at a slow
# target; at a shorter age the caller's deadline was too close.
_TIMEOUT_SCORE: Final = 2
# Failures of a run that other zones than the strongest must have seen. With
# one, a stray failure elsewhere turned a zone's lost path into an ejection.
_OUTSIDE: Final = 2
# Part of the threshold that the zones besides the strongest must reach.
_SECOND_ZONE: Final = 0.25


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


def passed_over(candidate: Candidate, rng: Random) -> bool:
    """Return whether a cold target is passed over in this pick.

    A cold target competes in the part of the picks that its weight gives,
    and otherwise only receives what finds no other free target.
    """
    return candidate.weight < 1 and rng.random() >= candidate.weight


class Flight(NamedTuple):
    """A request that a target has not answered yet."""

    host: str
    zone: str
    target: str
    started: float


class Waiting:
    """Evidence of the requests that one target has not answered yet."""

    def __init__(self) -> None:
        self.score_by_zone: dict[str, float] = {}
        self.hosts: set[str] = set()

    def add(self, flight: Flight, score: float) -> None:
        """Add the evidence of one request."""
        before = self.score_by_zone.get(flight.zone, 0)
        self.score_by_zone[flight.zone] = before + score
        if score > 0:
            self.hosts.add(flight.host)


_NOTHING_WAITING: Final = Waiting()


class _Cached(NamedTuple):
    """Candidates of one host, computed at a time."""

    at: float
    candidates: tuple[Candidate, ...]


class _Observer(NamedTuple):
    """A host that reports, and when it was last heard."""

    zone: str
    last_at: float


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
            target['name']: TargetRecord(target, self._policy)
            for target in service['targets']
        }
        self._waiting: dict[str, Waiting] = {}
        self._observer_by_host: dict[str, _Observer] = {}
        self._zones: frozenset[str] = frozenset()
        self._forget_at: float = 0
        self._cache: dict[tuple[str, frozenset[str]], _Cached] = {}

    def update(self, service: Service, now: float) -> None:
        """Take over a changed definition; new targets start cold."""
        self._cache.clear()
        changed = service['health'] != self._policy
        self._service = service
        self._policy = service['health']
        known = self._by_name
        self._by_name = {}
        for definition in service['targets']:
            record = known.get(definition['name'])
            if record is None:
                record = TargetRecord(definition, self._policy)
                record.warm_from = now
            record.slots = definition['slots']
            self._by_name[record.name] = record
        if changed:
            # Scores are bounded by thresholds, so old ones do not compare.
            self._profile = LatencyProfile(self._policy['latency_factor'])
            for kept in self._by_name.values():
                kept.forget_evidence(self._policy)

    def report(
        self,
        host: str,
        zone: str,
        target: str,
        outcome: str,
        latency_ms: float,
        now: float,
    ) -> None:
        """Take in one observation.

        Parameters
        ----------
        host, zone : str
            Who observed it.
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
            record.state = DRAINING
            record.until = now + self._policy['ejection_s']
        elif outcome == 'shed':
            self._cache.clear()
            record.pause(now)
        elif outcome in FAILURES:
            if outcome == 'timeout':
                evidence = self._profile.in_flight_score(latency_ms)
                record.slowness.add(host, zone, evidence)
                if self._ran_out(latency_ms):
                    return
            self._observe_failure(record, host, zone, now)
        else:
            self._observe_answer(record, (host, zone), latency_ms, now)

    def review(self, flights: Iterable[Flight], now: float) -> None:
        """Judge all targets, counting requests that are still unanswered.

        A target that never answers would otherwise show nothing before its
        first timeout.
        """
        self._waiting = {}
        for flight in flights:
            waiting = self._waiting.get(flight.target)
            if waiting is None:
                waiting = Waiting()
                self._waiting[flight.target] = waiting
            age_ms = (now - flight.started) * 1000
            waiting.add(flight, self._profile.in_flight_score(age_ms))
        for name in self._waiting:
            record = self._by_name.get(name)
            if record is not None and record.state == HEALTHY:
                self._judge_slowness(record, now)

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
                'reason': record.reason,
                'until_s': max(0, record.until - now),
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
        if now >= self._forget_at:
            self._forget_at = now + _FORGET_S / 4
            self._forget_silent(now - _FORGET_S)
        elif known is None or known.zone != zone:
            self._zones |= {zone}

    def _forget_silent(self, before: float) -> None:
        self._cache.clear()
        self._observer_by_host = {
            host: observer
            for host, observer in self._observer_by_host.items()
            if observer.last_at >= before
        }
        self._zones = frozenset(
            observer.zone for observer in self._observer_by_host.values()
        )
        for record in self._by_name.values():
            record.path_by_host = {
                host: path
                for host, path in record.path_by_host.items()
                if max(path.last_at, path.avoid_until) >= before
            }

    def _observe_failure(
        self, record: TargetRecord, host: str, zone: str, now: float
    ) -> None:
        usual = self._usual_failures(record)
        record.failure_share.add(1)
        record.run.add(host, zone)
        record.failing.add(host, zone, failure_score(True, usual))
        paths = (
            record.path_by_host.setdefault(host, PathEvidence()),
            record.path_by_zone.setdefault(zone, PathEvidence()),
        )
        for path in paths:
            path.run.add(host, zone)
            path.last_at = now
        if record.state == HEALTHY:
            self._judge_failures(record, paths, usual, now)

    def _observe_answer(
        self,
        record: TargetRecord,
        observer: tuple[str, str],
        latency_ms: float,
        now: float,
    ) -> None:
        host, zone = observer
        usual = self._usual_failures(record)
        record.accepted()
        record.failure_share.add(0)
        record.run.clear()
        record.failing.add(host, zone, failure_score(False, usual))
        for paths, name in (
            (record.path_by_host, host),
            (record.path_by_zone, zone),
        ):
            path = paths.get(name)
            if path is not None:
                path.run.clear()
                path.last_at = now
        record.latency.add(latency_ms)
        evidence = self._profile.score(latency_ms)
        record.slowness.add(host, zone, evidence)
        if record.state == HEALTHY:
            self._profile.add(latency_ms)
            if evidence > 0:
                self._judge_slowness(record, now)

    def _ran_out(self, latency_ms: float) -> bool:
        """Return whether a timeout says more about the caller's deadline.

        A request that starts late in its life can run out of time at a
        healthy target; its age then is a usual one.
        """
        return self._profile.in_flight_score(latency_ms) < _TIMEOUT_SCORE

    def _usual_failures(self, record: TargetRecord) -> float:
        shares = [
            other.failure_share.mean
            for other in self._by_name.values()
            if other is not record and other.failure_share.samples
        ]
        return median(shares) if shares else 0

    def _judge_failures(
        self,
        record: TargetRecord,
        paths: tuple[PathEvidence, PathEvidence],
        usual: float,
        now: float,
    ) -> None:
        limit = run_limit(self._policy['consecutive_failures'], usual)
        agreed = record.run.length >= limit and self._seen_widely(record)
        threshold = failure_threshold(self._policy)
        failing = record.failing
        if agreed or self._agrees(failing.by_zone, failing.hosts(), threshold):
            self._eject(record, 'failures', now)
            return
        by_host, by_zone = paths
        if by_host.run.length >= limit:
            self._avoid(by_host, now)
        several = len(by_zone.run.hosts) > 1
        if several and by_zone.run.length >= limit:
            self._avoid(by_zone, now)

    def _seen_widely(self, record: TargetRecord) -> bool:
        run = record.run
        if len(run.hosts) < min(2, len(self._observer_by_host)):
            return False
        failures = self._policy['consecutive_failures']
        outside = max(1, min(_OUTSIDE, failures - 1))
        return len(self._zones) < 2 or run.outside_strongest() >= outside

    def _judge_slowness(self, record: TargetRecord, now: float) -> None:
        threshold = latency_threshold(self._policy)
        if record.weight(now, self._policy['slow_start_s']) < 1:
            # A cold target is slow for a while without a fault.
            threshold *= 2
        waiting = self._waiting.get(record.name, _NOTHING_WAITING)
        merged = record.slowness.merged(waiting.score_by_zone)
        hosts = record.slowness.hosts() | waiting.hosts
        if self._agrees(merged, hosts, threshold):
            excess = sum(merged.values()) - self._usual_slowness(record)
            if excess >= threshold:
                self._eject(record, 'latency', now)

    def _usual_slowness(self, record: TargetRecord) -> float:
        """Return the score that the other targets share.

        When all targets become slow together, no target is to blame.
        """
        scores = [
            self._slowness(other)
            for other in self._by_name.values()
            if other is not record and other.state == HEALTHY
        ]
        return max(0, median(scores)) if scores else 0

    def _slowness(self, record: TargetRecord) -> float:
        waiting = self._waiting.get(record.name, _NOTHING_WAITING)
        return sum(record.slowness.merged(waiting.score_by_zone).values())

    def _agrees(
        self, by_zone: dict[str, float], hosts: set[str], threshold: float
    ) -> bool:
        total = sum(by_zone.values())
        if total < threshold:
            return False
        if len(hosts) < min(2, len(self._observer_by_host)):
            return False
        if len(self._zones) < 2:
            return True
        return total - max(by_zone.values()) >= threshold * _SECOND_ZONE

    def _eject(self, record: TargetRecord, reason: str, now: float) -> None:
        self._cache.clear()
        record.eject(reason, now, self._policy)

    def _avoid(self, path: PathEvidence, now: float) -> None:
        self._cache.clear()
        path.avoid_until = now + doubled(self._policy, path.avoidances)
        path.avoidances += 1
        path.run.clear()

    def _restore(self, record: TargetRecord, now: float) -> None:
        self._cache.clear()
        record.restore(now, self._policy)

    def _advance(self, record: TargetRecord, now: float) -> None:
        if record.state in {EJECTED, DRAINING} and now >= record.until:
            if self._service.get('health_path'):
                record.state = PROBING
                record.probe_at = now
            else:
                self._restore(record, now)

    def _candidates(
        self, host: str, now: float, leaving: Collection[str]
    ) -> tuple[Candidate, ...]:
        observer = self._observer_by_host.get(host)
        zone = '' if observer is None else observer.zone
        available = []
        removed = []
        for record in self._by_name.values():
            self._advance(record, now)
            if record.name in leaving or record.state == DRAINING:
                continue
            if record.usable(host, zone, now):
                available.append(record)
            else:
                removed.append(record)
        forced = self._readmitted(available, removed, now)
        return tuple(
            self._candidate(usable, now, usable in forced)
            for usable in (*available, *forced)
        )

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
            missing -= record.slots * record.weight(now, slow_start_s)
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
