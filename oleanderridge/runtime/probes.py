"""Probes ejected targets at their health endpoints before they return."""

from __future__ import annotations

import asyncio
from http import HTTPStatus

from aiohttp import ClientError, ClientSession, ClientTimeout

from oleanderridge.health.target import DRAINING
from oleanderridge.runtime.node import Node

_CHECK_S = 1
_TIMEOUT_S = 2
_STATE_HEADER = 'Target-State'


async def run_probes(node: Node) -> None:
    """Probe the ejected targets that are due, until cancelled.

    Parameters
    ----------
    node : Node
        The host; it probes for services that it brokers or that it served
        alone.
    """
    timeout = ClientTimeout(total=_TIMEOUT_S)
    async with ClientSession(timeout=timeout) as session:
        while True:
            for service in tuple(node.services_by_name):
                await _probe_service(node, session, service)
            await asyncio.sleep(_CHECK_S)


async def _probe_service(
    node: Node,
    session: ClientSession,
    service: str,
) -> None:
    for health in (
        node.broker.health(service),
        node.fallback.known_health(service),
    ):
        if health is None:
            continue
        for target in health.probes_due(node.clock()):
            succeeded = await _probe(node, session, service, target)
            health.record_probe(target, succeeded, node.clock())


async def _probe(
    node: Node,
    session: ClientSession,
    service: str,
    target: str,
) -> bool:
    url = node.url_by_target.get(target)
    if url is None:
        return False
    path = node.services_by_name[service].get('health_path', '/health')
    try:
        async with session.get(url + path) as response:
            await response.read()
            state = response.headers.get(_STATE_HEADER, '').strip().lower()
            return response.status == HTTPStatus.OK and state != DRAINING
    except (ClientError, TimeoutError):
        return False
