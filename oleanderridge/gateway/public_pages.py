"""HTTP endpoints for readiness, resolution, metrics and state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Final

from msgspec.json import encode

from oleanderridge.dispatch.placement import Placement
from oleanderridge.gateway.gateway_metrics import GatewayMetrics
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.http1.messages import Inbound, Reply
from oleanderridge.membership.roster import READY, Roster
from oleanderridge.platform.interface import (
    READY_PATH,
    RESOLVE_PATH,
    addresses_answer,
    caller_zone,
    path_of,
)

_MAX_ADDRESSES: Final = 64
# With fewer ready hosts in its zone, a caller gets the hosts of all zones.
_MIN_ZONE_HOSTS: Final = 2
_METRICS_PATH: Final = '/metrics'
_STATE_PATH: Final = '/state'


class PublicPages:
    """Serves the endpoints of the host itself.

    Parameters
    ----------
    settings : GatewaySettings
        Caller address, whose port is the same on every host, and TTLs.
    roster : Roster
        Known hosts and their states.
    metrics : GatewayMetrics
        Exported on the metrics page.
    placement : Placement
        Its snapshot is part of the state page.
    store_age_ms : callable
        Returns the age of the local store replica in milliseconds.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        roster: Roster,
        metrics: GatewayMetrics,
        placement: Placement,
        store_age_ms: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._roster = roster
        self._metrics = metrics
        self._placement = placement
        self._store_age_ms = store_age_ms
        self._rng = Random()
        self._handler_by_path = {
            READY_PATH: self._readiness_page,
            RESOLVE_PATH: self._resolve_page,
            _METRICS_PATH: self._metrics_page,
            _STATE_PATH: self._state_page,
        }

    async def handle(self, inbound: Inbound) -> Reply:
        """Serve a request by its path."""
        handler = self._handler_by_path.get(path_of(inbound.target))
        if handler is None:
            return Reply(404, [], b'')
        return handler(inbound)

    def _readiness_page(self, _inbound: Inbound) -> Reply:
        return Reply(200 if self._roster.state == READY else 503, [], b'')

    def _resolve_page(self, inbound: Inbound) -> Reply:
        ready = self._roster.ready(_now())
        zone = caller_zone(inbound.target)
        hosts = [member.host for member in ready if member.zone == zone]
        if len(hosts) < _MIN_ZONE_HOSTS:
            hosts = [member.host for member in ready]
        if not hosts:
            return Reply(503, [], b'')
        if len(hosts) > _MAX_ADDRESSES:
            hosts = self._rng.sample(hosts, _MAX_ADDRESSES)
        port = self._settings['caller']['address'].rpartition(':')[2]
        headers, body = addresses_answer(
            [f'{host}:{port}' for host in hosts],
            min(
                self._settings['directory_ttl_s'],
                self._settings['bounds']['ttl_most_s'],
            ),
        )
        return Reply(200, list(headers), body)

    def _metrics_page(self, _inbound: Inbound) -> Reply:
        body, content_headers = self._metrics.exposition()
        headers = [
            (name.lower().encode(), value.encode())
            for name, value in content_headers.items()
        ]
        return Reply(200, headers, body)

    def _state_page(self, _inbound: Inbound) -> Reply:
        now = _now()
        body = encode(
            {
                'host': self._settings['host'],
                'leader': self._roster.leader(now),
                'alive': [member.host for member in self._roster.alive(now)],
                'store_age_ms': self._store_age_ms(),
                'targets': self._placement.snapshot(now),
            }
        )
        return Reply(200, [(b'content-type', b'application/json')], body)


def _now() -> float:
    return asyncio.get_running_loop().time()
