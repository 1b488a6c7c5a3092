"""Data types shared by the modules of a gateway host."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Final, NamedTuple

from oleanderridge.gateway.store_position import Statement, StorePosition

SAFE: Final = 'safe'
UNSAFE: Final = 'unsafe'

READY: Final = 'ready'
DRAINING: Final = 'draining'


class Share(NamedTuple):
    """A service of a route and its weight."""

    service: str
    weight: float


class RouteRule(NamedTuple):
    """Routing rule for the requests with one host and path prefix."""

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
    """A workspace with its API keys and rate limit; rate 0 means unlimited."""

    name: str
    keys: tuple[str, ...]
    priority: int | None
    rate: float
    burst: float


class RequestLimits(NamedTuple):
    """Size limits and timeouts for requests of callers."""

    header_bytes: int = 16384
    body_bytes: int = 67108864
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Configuration(NamedTuple):
    """A complete version of the published configuration."""

    version: int
    source: bytes
    routes_by_host: Mapping[str, tuple[RouteRule, ...]]
    workspace_by_key: Mapping[str, Workspace]
    workspaces_by_name: Mapping[str, Workspace]
    limits: RequestLimits


class TargetRecord(NamedTuple):
    """Registration of a target in the store.

    ``position`` is where the store has the entry, ``born_ms`` the Unix time of
    the target's start in milliseconds, or 0 if unknown, and ``sequence`` its
    count of writes since then.
    """

    target: str
    service: str
    address: str
    zone: str
    slots: int
    state: str
    cold_s: float
    born_ms: int
    position: StorePosition
    sequence: int = 0

    def statement(self) -> Statement:
        """Return what orders the registrations of the target."""
        return Statement(self.position, self.born_ms, self.sequence)


class TargetNotice(NamedTuple):
    """What a target says of itself in an answer.

    ``limit_per_s`` is the number of requests per second that it takes from all
    hosts together, infinite without a limit, None if nothing is known. For
    ``pause_s`` seconds it wants nothing from the host that got the answer.
    """

    leaving: bool = False
    limit_per_s: float | None = None
    pause_s: float = 0


NO_NOTICE: Final = TargetNotice()


def priority_of(route: RouteRule, workspace: Workspace | None) -> int:
    """Return the priority of a request; 0 is the highest.

    Parameters
    ----------
    route : RouteRule
        Its priority applies if the workspace has none.
    workspace : Workspace or None
        None for requests without a key on routes without authentication.

    Returns
    -------
    int
        Priority of the workspace if set, else that of the route.
    """
    if workspace is None or workspace.priority is None:
        return route.priority
    return workspace.priority


def find_route(
    configuration: Configuration, host: str, path: str
) -> RouteRule | None:
    """Return the route with the longest matching path prefix.

    Parameters
    ----------
    configuration : Configuration
        Routes of a host must be sorted by descending prefix length.
    host : str
        Value of the Host header, without a port.
    path : str
        Path without the query string.

    Returns
    -------
    RouteRule or None
        None if no route of the host matches.
    """
    for route in configuration.routes_by_host.get(host, ()):
        if path.startswith(route.prefix):
            return route
    return None
