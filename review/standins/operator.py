"""Writes configurations as the operator does."""

from __future__ import annotations

from typing import Any

NAME = 'h.example'


def route(
    prefix: str, kind: str, service: str, timeout_s: float, **more: Any
) -> dict[str, Any]:
    """Return a route of the one host name."""
    spec = {
        'host': NAME,
        'prefix': prefix,
        'type': kind,
        'service': service,
        'timeout_s': timeout_s,
        'target_latency_s': 0.5,
        'priority': 1,
        'max_attempts': 1 if kind == 'unsafe' else 2,
    }
    return _resource('routes', f'route-{prefix.strip("/")}', spec | more)


def tenant(
    name: str, keys: list[str], rate_per_s: float = 0, burst: float = 0
) -> dict[str, Any]:
    """Return a tenant with its keys and allowance."""
    spec = {'api_keys': keys, 'rate_per_s': rate_per_s, 'burst': burst}
    return _resource('tenants', name, spec)


def configuration(
    version: int, services: list[str], entries: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a configuration for the store's key ``op/config``."""
    known = [
        _resource('services', service, {'health_path': '/health'})
        for service in services
    ]
    limits = {
        'max_header_bytes': 16384,
        'max_body_bytes': 1 << 20,
        'header_timeout_s': 3,
        'idle_timeout_s': 15,
    }
    return {
        'version': f'r{version}',
        'resources': [*known, *entries, _resource('limits', 'limits', limits)],
    }


def _resource(kind: str, name: str, spec: dict[str, Any]) -> dict[str, Any]:
    return {'resource_type': kind, 'metadata': {'name': name}, 'spec': spec}
