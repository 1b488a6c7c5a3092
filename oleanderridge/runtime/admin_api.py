"""The administration interface of one host: it reads, and it drains."""

from __future__ import annotations

import hmac
from collections.abc import Callable
from hashlib import sha256
from typing import Any, Final

from falcon import HTTPError, HTTPUnauthorized
from falcon.asgi import App, Request, Response
from msgspec.json import encode

from oleanderridge.runtime.node import Node

_OPEN_PATHS: Final = frozenset(('/live', '/ready'))
_ROWS_DEFAULT: Final = 100
_ROWS_MAX: Final = 10000


def build_admin_app(
    node: Node,
    live_requests: Callable[[], int],
    drain: Callable[[], None],
) -> App:
    """Return the ASGI application for operators.

    Parameters
    ----------
    node : Node
        The host.
    live_requests : callable
        Returns how many requests are being handled.
    drain : callable
        Starts the graceful shutdown.

    Returns
    -------
    falcon.asgi.App
        Every path but ``/live`` and ``/ready`` needs a token whose hash the
        settings name in ``admin.token_hashes``.
    """
    app = App(middleware=[_TokenCheck(node)])
    app.set_error_serializer(_write_problem)
    app.add_route('/live', _Reader(lambda _req: {'live': True}))
    app.add_route('/ready', _Readiness(node))
    app.add_route('/v1/status', _Reader(lambda _req: host_status(node)))
    app.add_route('/v1/fleet', _Reader(lambda _req: fleet_status(node)))
    app.add_route('/v1/targets', _Reader(lambda _req: target_status(node)))
    app.add_route('/v1/shares', _Reader(_make_shares(node)))
    app.add_route('/v1/drain', _Drain(drain))
    app.add_route('/metrics', _Exposition(node, live_requests))
    return app


def host_status(node: Node) -> dict[str, Any]:
    """Return what an operator sees first about a host.

    Parameters
    ----------
    node : Node
        The host.

    Returns
    -------
    dict
        Versions, lease and times in seconds.
    """
    now = node.clock()
    accepted = node.store.accepted
    current = node.membership.current_list()
    return {
        'host': node.host,
        'zone': node.settings['zone'],
        'incarnation': node.incarnation,
        'uptime_s': round(now - node.started, 3),
        'ready': node.is_ready(),
        'joined': node.membership.joined(now),
        'leaving': node.leaving,
        'lease_remaining_s': round(max(0, node.lease_until() - now), 3),
        'list_revision': current['revision'] if current else None,
        'bundle_version': accepted.version if accepted else None,
        'bundle_digest': accepted.digest if accepted else None,
        'bundle_age_s': round(now - node.bundle_accepted_at, 3),
        'bundle_conflicts': list(node.store.conflicts),
        'watching': node.membership.watching,
        'unsettled_revisions': [
            entry['revision'] for entry in node.membership.unsettled_lists(now)
        ],
        'unsettled_versions': list(node.membership.unsettled_versions(now)),
    }


def fleet_status(node: Node) -> dict[str, Any]:
    """Return the fleet as this host sees it.

    Parameters
    ----------
    node : Node
        The host.

    Returns
    -------
    dict
        One entry for each listed host of the cell.
    """
    now = node.clock()
    members = [
        {
            'host': member.host,
            'zone': member.zone,
            'incarnation': member.incarnation,
            'alive': member.alive,
            'leaving': member.leaving,
            'watching': member.watching,
            'heard_ago_s': round(max(0, now - member.heard_at), 3),
        }
        for member in node.members()
    ]
    return {'members': members}


def target_status(node: Node) -> dict[str, Any]:
    """Return the targets of the services that this host brokers.

    Parameters
    ----------
    node : Node
        The host.

    Returns
    -------
    dict
        Queues, slots and ejections with their evidence.
    """
    return {'services': node.broker.snapshot(node.clock())}


def _make_shares(node: Node) -> Callable[[Request], dict[str, Any]]:
    def shares(req: Request) -> dict[str, Any]:
        limit = req.get_param_as_int(
            'limit',
            min_value=1,
            max_value=_ROWS_MAX,
            default=_ROWS_DEFAULT,
        )
        refusals = [
            {'workspace': workspace, 'reason': reason, 'count': count}
            for (workspace, reason), count in (
                node.refusals_by_workspace.most_common(limit)
            )
        ]
        return {
            'workspaces': node.buckets.snapshot(limit),
            'refusals': refusals,
        }

    return shares


def _write_problem(_req: Request, resp: Response, error: HTTPError) -> None:
    resp.content_type = 'application/problem+json'
    resp.data = encode(
        {
            'type': 'about:blank',
            'title': error.title,
            'status': error.status_code,
            'detail': error.description,
        }
    )


class _Reader:
    """Serves what a function returns as JSON."""

    def __init__(self, read: Callable[[Request], dict[str, Any]]) -> None:
        self._read = read

    async def on_get(self, req: Request, resp: Response) -> None:
        resp.media = self._read(req)


class _Readiness:
    """Answers 200 when callers may be sent here, else 503."""

    def __init__(self, node: Node) -> None:
        self._node = node

    async def on_get(self, _req: Request, resp: Response) -> None:
        ready = self._node.is_ready()
        resp.status = 200 if ready else 503
        resp.media = {'ready': ready}


class _Drain:
    """Starts the graceful shutdown."""

    def __init__(self, drain: Callable[[], None]) -> None:
        self._drain = drain

    async def on_post(self, _req: Request, resp: Response) -> None:
        self._drain()
        resp.status = 202
        resp.media = {'leaving': True}


class _Exposition:
    """Serves the metrics; gauges are read when they are asked for."""

    def __init__(
        self,
        node: Node,
        live_requests: Callable[[], int],
    ) -> None:
        self._node = node
        self._live_requests = live_requests

    async def on_get(self, req: Request, resp: Response) -> None:
        node = self._node
        now = node.clock()
        node.metrics.bundle_age.set({}, now - node.bundle_accepted_at)
        node.metrics.loop_lag.set({}, node.loop_lag_s)
        node.metrics.live_requests.set({}, self._live_requests())
        node.metrics.lease.set({}, max(0, node.lease_until() - now))
        body, headers = node.metrics.exposition([req.accept])
        resp.set_headers(headers)
        resp.data = body


class _TokenCheck:
    """Refuses requests without a token of the administration interface."""

    def __init__(self, node: Node) -> None:
        self._hashes = node.settings['admin']['token_hashes']

    async def process_request(self, req: Request, _resp: Response) -> None:
        if req.path in _OPEN_PATHS:
            return
        token = (req.auth or '').removeprefix('Bearer ')
        digest = sha256(token.encode()).hexdigest()
        if not any(hmac.compare_digest(digest, h) for h in self._hashes):
            raise HTTPUnauthorized(
                title='administration token missing or unknown',
            )
