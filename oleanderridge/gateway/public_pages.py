"""Readiness, addresses for callers, and metrics."""

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

_ADDRESSES_MAX: Final = 64
# With fewer ready hosts in a zone, callers get those of the others as well.
_NEAR_LEAST: Final = 2
_METRICS_PATH: Final = '/metrics'
_STATE_PATH: Final = '/state'


class PublicPages:
    """Answers what is asked of the host itself.

    Parameters
    ----------
    settings : GatewaySettings
        Own addresses; ports are the same on every host.
    roster : Roster
        The hosts that callers may be sent to.
    metrics : GatewayMetrics
        What the metrics page shows.
    placement : Placement
        What the state page shows.
    store_age_ms : callable
        Returns the age of the store's last word in milliseconds.
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
        self._page_by_path = {
            READY_PATH: self._ready,
            RESOLVE_PATH: self._addresses,
            _METRICS_PATH: self._exposition,
            _STATE_PATH: self._state,
        }

    async def handle(self, inbound: Inbound) -> Reply:
        """Return one page."""
        page = self._page_by_path.get(path_of(inbound.target))
        if page is None:
            return Reply(404, [], b'')
        return page(inbound)

    def _ready(self, _inbound: Inbound) -> Reply:
        return Reply(200 if self._roster.state == READY else 503, [], b'')

    def _addresses(self, inbound: Inbound) -> Reply:
        ready = self._roster.ready(_now())
        zone = caller_zone(inbound.target)
        hosts = [each.host for each in ready if each.zone == zone]
        if len(hosts) < _NEAR_LEAST:
            hosts = [each.host for each in ready]
        if not hosts:
            return Reply(503, [], b'')
        if len(hosts) > _ADDRESSES_MAX:
            hosts = self._rng.sample(hosts, _ADDRESSES_MAX)
        port = self._settings['caller']['address'].rpartition(':')[2]
        headers, body = addresses_answer(
            [f'{host}:{port}' for host in hosts],
            min(
                self._settings['directory_ttl_s'],
                self._settings['bounds']['ttl_most_s'],
            ),
        )
        return Reply(200, list(headers), body)

    def _exposition(self, _inbound: Inbound) -> Reply:
        body, described = self._metrics.exposition()
        headers = [
            (name.lower().encode(), value.encode())
            for name, value in described.items()
        ]
        return Reply(200, headers, body)

    def _state(self, _inbound: Inbound) -> Reply:
        now = _now()
        body = encode(
            {
                'host': self._settings['host'],
                'leader': self._roster.leader(now),
                'alive': [each.host for each in self._roster.alive(now)],
                'store_age_ms': self._store_age_ms(),
                'targets': self._placement.snapshot(now),
            }
        )
        return Reply(200, [(b'content-type', b'application/json')], body)


def _now() -> float:
    return asyncio.get_running_loop().time()
