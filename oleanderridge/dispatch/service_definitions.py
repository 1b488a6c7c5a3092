"""Service definitions of the bundle and initial health state."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from oleanderridge.generated.bundle import Service
from oleanderridge.health.service import ServiceHealth


class _Change(NamedTuple):
    """The previous definition of a service and the time of its change."""

    before: Service
    at: float


class ServiceDefinitions:
    """Service definitions by name.

    Health state is created on first use, because a host serves and brokers
    few services and the state of 22,000 targets takes 44 MB.
    """

    def __init__(self) -> None:
        self._by_name: dict[str, Service] = {}
        self._change_by_name: dict[str, _Change] = {}

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the services."""
        return iter(self._by_name)

    def get(self, name: str) -> Service | None:
        """Return the definition of a service, or None."""
        return self._by_name.get(name)

    def update(self, services: Iterable[Service], now: float) -> None:
        """Replace the definitions with the services of a bundle.

        Parameters
        ----------
        services : iterable of Service
            All services, optional fields present.
        now : float
            Monotonic seconds.
        """
        previous = self._by_name
        self._by_name = {service['name']: service for service in services}
        for name, service in self._by_name.items():
            before = previous.get(name, service)
            if before != service:
                self._change_by_name[name] = _Change(before, now)
        for removed in self._change_by_name.keys() - self._by_name.keys():
            self._change_by_name.pop(removed)

    def new_health(self, name: str) -> ServiceHealth:
        """Create the health state of a service on its first use.

        Parameters
        ----------
        name : str
            Name of a known service.

        Returns
        -------
        ServiceHealth
            Targets added by the last change count as cold since that time.

        Raises
        ------
        KeyError
            The service is unknown.
        """
        service = self._by_name[name]
        change = self._change_by_name.get(name)
        if change is None:
            return ServiceHealth(service)
        health = ServiceHealth(change.before)
        health.update(service, change.at)
        return health
