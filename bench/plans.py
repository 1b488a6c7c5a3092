"""What a test fleet consists of; the data that the other modules share."""

from __future__ import annotations

from typing import Any, NamedTuple

LOOPBACK = '127.0.0.1'
LOOKUP_SERVICE = 'sett-lookup'
CHART_SERVICE = 'weave-charts'


class WorkspacePlan(NamedTuple):
    """One workspace: rate and burst in the bundle, share of the load.

    ``rate`` in requests per second, ``burst`` in requests; ``offered`` is
    the part of the rate that its callers use.
    """

    name: str
    key: str
    rate: float
    burst: int
    offered: float = 0.5


class TargetPlan(NamedTuple):
    """One target; ``options`` go to its command line."""

    name: str
    service: str
    zone: str
    options: tuple[str, ...] = ()


class FleetPlan(NamedTuple):
    """Hosts by zone, targets, workspaces and settings of every host.

    ``spares`` are hosts that have ports and links but are neither started
    nor listed. ``settings`` holds sections that are merged into the
    settings of every host, ``health`` the thresholds of every service, and
    ``echo_header`` names the header in which targets repeat request ids.
    """

    zone_by_host: dict[str, str]
    targets: tuple[TargetPlan, ...]
    workspaces: tuple[WorkspacePlan, ...]
    spares: tuple[str, ...] = ()
    proxied: bool = True
    settings: dict[str, dict[str, Any]] = {}  # noqa: RUF012 - never changed
    health: dict[str, Any] = {}  # noqa: RUF012 - never changed
    timeout_ms: int = 3000
    chart_timeout_ms: int = 60_000
    buffer_limit_bytes: int = 65_536
    echo_header: str = ''


# Short times keep scenarios short; the order lease < hold and the ratio of
# heartbeat to lease are those of the defaults.
FAST_SETTINGS: dict[str, dict[str, Any]] = {
    'caller': {'resolve_ttl_s': 1.5},
    'platform': {'timeout_s': 1, 'watch_s': 5, 'retry_s': 0.3},
    'membership': {
        'heartbeat_interval_s': 0.3,
        'lease_s': 1.5,
        'hold_s': 2,
        'suspect_s': 1,
    },
}


def workspace_plans(large_rate: float = 60) -> tuple[WorkspacePlan, ...]:
    """Return eight workspaces, two of them large.

    Parameters
    ----------
    large_rate : float
        Rate of a large workspace, in requests per second.

    Returns
    -------
    tuple of WorkspacePlan
        Plans with distinct keys.
    """
    names = [f'workspace-{letter}' for letter in 'abcdefgh']
    return tuple(
        WorkspacePlan(
            name=name,
            key=f'key-of-{name}-{index * 7919:06d}',
            rate=large_rate if index < 2 else large_rate / 4,
            burst=max(int(large_rate), 24),
        )
        for index, name in enumerate(names)
    )


def target_plans(
    lookups: int, charts: int, *options: str
) -> tuple[TargetPlan, ...]:
    """Return targets of both services, spread over three zones.

    Parameters
    ----------
    lookups : int
        Number of targets of the lookup service.
    charts : int
        Number of targets of the chart service.
    *options : str
        Command line options of every target.

    Returns
    -------
    tuple of TargetPlan
        Numbered plans, those of the lookup service first.
    """
    numbers = range(lookups + charts)
    return tuple(
        TargetPlan(
            name=f'target-{index}',
            service=LOOKUP_SERVICE if index < lookups else CHART_SERVICE,
            zone=f'zone-{index % 3}',
            options=options,
        )
        for index in numbers
    )
