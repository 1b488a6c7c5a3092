"""When a process without memory may vouch and mint."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from oleanderridge.membership.evidence import PeerRecord


class Joining(NamedTuple):
    """What the decision to join depends on; times in seconds.

    ``electorates`` are the voters of the newest list, and the voters with
    the leaving hosts, which know as much.
    """

    electorates: Collection[Collection[str]]
    host: str
    uptime_s: float
    lease_s: float
    hold_s: float
    suspect_s: float
    fleet_runs: bool


def may_join(
    joining: Joining,
    records: Mapping[str, PeerRecord],
    now: float,
) -> bool:
    """Return whether this process knows all that its name has confirmed.

    In a running fleet only joined peers count: a replaced process that has
    not joined either may lack the same confirmation. The wait is ``hold_s``
    plus ``lease_s`` there, so that the counted statements are later than any
    majority to which an earlier process of this name contributed. Peers that
    have not joined count at a fleet start, or when every other host is heard.

    Parameters
    ----------
    joining : Joining
        The hosts of the newest list, and the settings.
    records : mapping of str to PeerRecord
        Peers whose lists and bundle this host has adopted.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        True when the process may vouch and mint.
    """
    if joining.uptime_s < joining.hold_s:
        return False
    wait_s = float(0)
    if joining.fleet_runs:
        wait_s = joining.hold_s + joining.lease_s
    fresh = {
        host: record
        for host, record in records.items()
        if record.heard_at >= now - joining.suspect_s
        and record.first_acknowledged <= now - wait_s
    }
    up = {host for host in fresh if _is_up(fresh[host], joining)}
    joined = {host for host in up if _is_joined(fresh[host])}
    return all(
        _suffices(hosts, joining, up, joined) for hosts in joining.electorates
    )


def _suffices(
    hosts: Collection[str],
    joining: Joining,
    up: Collection[str],
    joined: Collection[str],
) -> bool:
    others = {host for host in hosts if host != joining.host}
    if others.issubset(up):
        return True
    needed = len(hosts) // 2 + 1
    counted = joined if joining.fleet_runs else up
    return len(others.intersection(counted)) >= needed


def _is_up(record: PeerRecord, joining: Joining) -> bool:
    latest = record.latest
    if latest is None:
        return False
    return latest['joined'] or latest['uptime_s'] > joining.hold_s


def _is_joined(record: PeerRecord) -> bool:
    return record.latest is not None and record.latest['joined']
