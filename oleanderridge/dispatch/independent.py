"""Dispatches requests without a broker, using only local information."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from random import Random

from oleanderridge.dispatch.service_definitions import ServiceDefinitions
from oleanderridge.generated.bundle import Service
from oleanderridge.generated.settings import Settings
from oleanderridge.health.service import (
    Candidate,
    ServiceHealth,
    skips_slow_start_target,
)


class IndependentDispatch:
    """Power-of-two-choices dispatch by local latency and in-flight counts.

    Parameters
    ----------
    settings : Settings
        Settings of this host, defaults filled in.
    rng : Random
        Samples the two targets that are compared.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._definitions = ServiceDefinitions()
        self._health_by_service: dict[str, ServiceHealth] = {}
        self._leaving_targets: frozenset[str] = frozenset()
        self._in_flight: Counter[tuple[str, str]] = Counter()

    def configure(
        self,
        services: Iterable[Service],
        leaving: Collection[str],
        now: float,
    ) -> None:
        """Apply the services and the names of leaving targets."""
        self._leaving_targets = frozenset(leaving)
        self._definitions.update(services, now)
        previous = self._health_by_service
        self._health_by_service = {}
        for name, health in previous.items():
            service = self._definitions.get(name)
            if service is not None:
                health.update(service, now)
                self._health_by_service[name] = health

    def health(self, service: str) -> ServiceHealth | None:
        """Return the health of a service; None for an unknown service."""
        health = self._health_by_service.get(service)
        if health is None and self._definitions.get(service) is not None:
            health = self._definitions.new_health(service)
            self._health_by_service[service] = health
        return health

    def known_health(self, service: str) -> ServiceHealth | None:
        """Return the health of a service that this host served alone."""
        return self._health_by_service.get(service)

    def pick(
        self, service: str, excluded: Collection[str], now: float
    ) -> str | None:
        """Reserve a target for a request and return it, or return None.

        A host sends at most one request at a time to each target, because
        other hosts use this fallback at the same time.
        """
        health = self.health(service)
        if health is None:
            return None
        idle = [
            candidate
            for candidate in health.candidates(
                self._settings['host'], now, self._leaving_targets, excluded
            )
            if not self._in_flight[(service, candidate.target)]
        ]
        if not idle:
            return None
        chosen = self._choose_of_two(idle)
        self._in_flight[(service, chosen.target)] += 1
        return chosen.target

    def record_outcome(
        self,
        service: str,
        target: str,
        outcome: str,
        latency_ms: float,
        now: float,
    ) -> None:
        """Free a picked target and record the outcome."""
        if self._in_flight[(service, target)] > 0:
            self._in_flight[(service, target)] -= 1
        health = self._health_by_service.get(service)
        if health is not None:
            health.record_outcome(
                self._settings['host'],
                self._settings['zone'],
                target,
                outcome,
                latency_ms,
                now,
            )

    def _choose_of_two(self, idle: list[Candidate]) -> Candidate:
        eligible = [
            candidate
            for candidate in idle
            if not skips_slow_start_target(candidate, self._rng)
        ]
        pool = eligible or idle
        sampled = self._rng.sample(pool, min(2, len(pool)))
        return min(sampled, key=lambda candidate: candidate.latency_ms)
