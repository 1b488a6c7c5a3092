"""Metrics of a gateway host; labels never contain caller-supplied values."""

from __future__ import annotations

from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from oleanderridge.gateway.outcomes import Ground

_LATENCY_BUCKETS_S: Final = (
    0.025,
    0.05,
    0.1,
    0.2,
    0.3,
    0.4,
    0.6,
    0.8,
    1.2,
    2.5,
    5,
)
_LATENESS_BUCKETS_S: Final = (0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 1)


class GatewayMetrics:
    """Counters, gauges and histograms exported by a host."""

    def __init__(self) -> None:
        self._registry = Registry()
        self.requests = Counter(
            'oleanderridge_gateway_requests_total',
            'Requests by service and reason of their end.',
            registry=self._registry,
        )
        self.admitted = Counter(
            'oleanderridge_gateway_admitted_total',
            'Requests of limited workspaces by ground of their admission.',
            registry=self._registry,
        )
        self.seconds = Histogram(
            'oleanderridge_gateway_request_seconds',
            'Time from the head of a request to its answer.',
            registry=self._registry,
            buckets=list(_LATENCY_BUCKETS_S),
        )
        self.loop_lateness = Histogram(
            'oleanderridge_gateway_loop_lateness_seconds',
            'How late the event loop runs a timer.',
            registry=self._registry,
            buckets=list(_LATENESS_BUCKETS_S),
        )
        self.configuration_version = self._gauge(
            'configuration_version', 'Version in force.'
        )
        self.store_age = self._gauge(
            'store_word_age_seconds', "Age of the store's last word."
        )
        self.store_era = self._gauge(
            'store_era', 'Rises when the store returns from an older copy.'
        )
        self.store_calls = self._gauge('store_calls', 'Calls to the store.')
        self.hosts_alive = self._gauge('hosts_alive', 'Hosts that are heard.')
        self.fleet_share = self._gauge(
            'fleet_share', 'Part of each rate that this host admits.'
        )

    def on_ended(
        self, service: str, reason: str, kind: str, took_s: float
    ) -> None:
        """Record a completed request.

        Parameters
        ----------
        service : str
            Empty if no service was selected.
        reason : str
            Completion reason reported by the forwarder.
        kind : str
            Route kind, which tells whether requests may be retried.
        took_s : float
            Duration in seconds.
        """
        self.requests.inc({'service': service, 'reason': reason})
        if service:
            self.seconds.observe({'service': service, 'kind': kind}, took_s)

    def on_admitted(self, ground: Ground) -> None:
        """Record a request that uses the rate of its workspace."""
        self.admitted.inc({'ground': ground.name.lower()})

    def exposition(self) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in text format and the response headers."""
        return render(self._registry, ['text/plain'])

    def _gauge(self, name: str, description: str) -> Gauge:
        return Gauge(
            f'oleanderridge_gateway_{name}',
            description,
            registry=self._registry,
        )
