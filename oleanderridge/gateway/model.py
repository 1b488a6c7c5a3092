"""Types that the parts of a gateway host share."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

SAFE: Final = 'safe'
UNSAFE: Final = 'unsafe'

READY: Final = 'ready'
DRAINING: Final = 'draining'


class Share(NamedTuple):
    """A service of a route and its part of the route's requests."""

    service: str
    weight: float


class RouteRule(NamedTuple):
    """What the operator allows for the requests of one path prefix."""

    name: str
    host: str
    prefix: str
    kind: str
    timeout_s: float
    aim_s: float
    priority: int
    max_attempts: int
    is_open: bool
    shares: tuple[Share, ...]


class Workspace(NamedTuple):
    """A workspace with its keys and its rate; a rate of 0 is unlimited."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


class RequestLimits(NamedTuple):
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """One whole version of what the operator published."""

    version: int
    source: bytes
    routes_by_host: Mapping[str, tuple[RouteRule, ...]]
    workspace_by_key: Mapping[str, Workspace]
    workspaces_by_name: Mapping[str, Workspace]
    limits: RequestLimits


class TargetRecord(NamedTuple):
    """What one target said of itself in the store.

    ``revision`` is the store's revision of the statement, ``born_ms`` the
    Unix time of the target's start in milliseconds, or 0 when unknown.
    """

    target: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_s: float
    born_ms: int
    revision: int


def priority_of(route: RouteRule, workspace: Workspace | None) -> int:
    """Return the rank of a request, 0 first.

    Parameters
    ----------
    route : RouteRule
        Its priority counts where the workspace has none.
    workspace : Workspace or None
        None on open routes without a key.

    Returns
    -------
    int
        Workspace ranks first, the route's rank within them.
    """
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def find_route(
    configuration: Configuration, host: str, path: str
) -> RouteRule | None:
    """Return the route with the longest prefix of a path.

    Parameters
    ----------
    configuration : Configuration
        Routes of a host are sorted by falling length of their prefix.
    host : str
        The host that the caller named.
    path : str
        Path without its query.

    Returns
    -------
    RouteRule or None
        None when no route of the host matches.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None
