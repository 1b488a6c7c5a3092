"""Metrics of one host; no label takes a value from outside the bundle."""

from __future__ import annotations

from typing import Final

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_LATENCY_BUCKETS_S: Final = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1,
    2.5,
    5,
    10,
)


class Metrics:
    """The counters, gauges and histograms that a host exports.

    Workspaces are not a label: at 88,000 of them the series would not fit
    the memory budget. The administration API reports them on request.
    """

    def __init__(self) -> None:
        self.registry = Registry()
        self.requests = self._counter(
            'oleanderridge_requests_total',
            'Requests by service and outcome.',
        )
        self.refusals = self._counter(
            'oleanderridge_refusals_total',
            'Refused requests by reason.',
        )
        self.peer_messages = self._counter(
            'oleanderridge_peer_messages_total',
            'Messages by kind and direction.',
        )
        self.peer_bytes = self._counter(
            'oleanderridge_peer_bytes_total',
            'Message bytes by direction.',
        )
        self.peer_drops = self._counter(
            'oleanderridge_peer_dropped_total',
            'Messages dropped by cause.',
        )
        self.platform_calls = self._counter(
            'oleanderridge_platform_calls_total',
            'Calls to the platform by result.',
        )
        self.tokens = self._counter(
            'oleanderridge_tokens_total',
            'Token decisions by result.',
        )
        self.attempts = self._counter(
            'oleanderridge_target_attempts_total',
            'Attempts at targets by service and outcome.',
        )
        self.request_seconds = self._histogram(
            'oleanderridge_request_duration_seconds',
            'Time from request to the head of the answer.',
        )
        self.queue_seconds = self._histogram(
            'oleanderridge_permit_wait_seconds',
            'Time spent waiting for a slot.',
        )
        self.bundle_version = self._gauge(
            'oleanderridge_bundle_version',
            'Version of the accepted bundle.',
        )
        self.bundle_age = self._gauge(
            'oleanderridge_bundle_age_seconds',
            'Time since the bundle was accepted.',
        )
        self.list_revision = self._gauge(
            'oleanderridge_host_list_revision',
            'Revision of the host list in use.',
        )
        self.lease = self._gauge(
            'oleanderridge_lease_remaining_seconds',
            'Time until the minting lease lapses.',
        )
        self.ejected = self._gauge(
            'oleanderridge_ejected_targets',
            'Targets ejected by the brokers on this host, by service.',
        )
        self.loop_lag = self._gauge(
            'oleanderridge_loop_lag_seconds',
            'Delay of the event loop at the last check.',
        )
        self.live_requests = self._gauge(
            'oleanderridge_live_requests',
            'Requests being handled.',
        )

    def exposition(self, accepts: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics in a Prometheus text format.

        Parameters
        ----------
        accepts : list of str
            Values of the Accept header.

        Returns
        -------
        tuple of bytes, dict
            The body and its HTTP headers.
        """
        return render(self.registry, accepts)

    def _counter(self, name: str, doc: str) -> Counter:
        return Counter(name, doc, registry=self.registry)

    def _gauge(self, name: str, doc: str) -> Gauge:
        return Gauge(name, doc, registry=self.registry)

    def _histogram(self, name: str, doc: str) -> Histogram:
        return Histogram(
            name,
            doc,
            registry=self.registry,
            buckets=list(_LATENCY_BUCKETS_S),
        )
