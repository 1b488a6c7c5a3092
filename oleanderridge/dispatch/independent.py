"""Picks targets by a host's own knowledge, without a broker."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable
from random import Random

from oleanderridge.dispatch.definitions import Definitions
from oleanderridge.generated.bundle import Service
from oleanderridge.generated.settings import Settings
from oleanderridge.health.service import (
    Candidate,
    ServiceHealth,
    passed_over,
)


class IndependentDispatch:
    """Two-choice dispatch by the host's own in-flight counts.

    Parameters
    ----------
    settings : Settings
        Settings of this host, defaults filled in.
    rng : Random
        Chooses the two targets that are compared.
    """

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._settings = settings
        self._rng = rng
        self._definitions = Definitions()
        self._health_by_service: dict[str, ServiceHealth] = {}
        self._leaving: frozenset[str] = frozenset()
        self._in_flight: Counter[tuple[str, str]] = Counter()

    def configure(
        self,
        services: Iterable[Service],
        leaving: Collection[str],
        now: float,
    ) -> None:
        """Take over the services and the names of leaving targets."""
        self._leaving = frozenset(leaving)
        self._definitions.update(services, now)
        known = self._health_by_service
        self._health_by_service = {}
        for name, health in known.items():
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

    def pick(
        self, service: str, excluded: Collection[str], now: float
    ) -> str | None:
        """Return a target and count it as in flight, or None.

        This host sends at most one request at a time to a target, because
        other hosts fall back at the same moment.
        """
        health = self.health(service)
        if health is None:
            return None
        idle = [
            candidate
            for candidate in health.candidates(
                self._settings['host'], now, self._leaving, excluded
            )
            if not self._in_flight[(service, candidate.target)]
        ]
        if not idle:
            return None
        chosen = self._better_of_two(idle)
        self._in_flight[(service, chosen.target)] += 1
        return chosen.target

    def done(
        self,
        service: str,
        target: str,
        outcome: str,
        latency_ms: float,
        now: float,
    ) -> None:
        """Free a picked target and take in what happened."""
        if self._in_flight[(service, target)] > 0:
            self._in_flight[(service, target)] -= 1
        health = self._health_by_service.get(service)
        if health is not None:
            health.report(
                self._settings['host'],
                self._settings['zone'],
                target,
                outcome,
                latency_ms,
                now,
            )

    def _better_of_two(self, idle: list[Candidate]) -> Candidate:
        competing = [
            candidate
            for candidate in idle
            if not passed_over(candidate, self._rng)
        ]
        choices = competing or idle
        pair = self._rng.sample(choices, min(2, len(choices)))
        return min(pair, key=lambda candidate: candidate.latency_ms)
