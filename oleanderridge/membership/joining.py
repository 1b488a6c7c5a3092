"""When a newly started process may support leases and mint tokens."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from oleanderridge.membership.peer_reports import PeerRecord


class JoinConditions(NamedTuple):
    """Inputs of the decision to join; times in seconds.

    ``quorum_groups`` are the voters of the newest list, and the voters
    together with the leaving hosts, which have the same knowledge.
    """

    quorum_groups: Collection[Collection[str]]
    host: str
    uptime_s: float
    lease_s: float
    hold_s: float
    suspect_s: float
    fleet_running: bool


def may_join(
    joining: JoinConditions,
    records: Mapping[str, PeerRecord],
    now: float,
) -> bool:
    """Return whether this process knows all that its host name has confirmed.

    A process keeps no state over a restart, so it must first learn from its
    peers what an earlier process of the same host has confirmed.

    In a running fleet only joined peers count: another restarted process that
    has not joined may lack the same confirmation. There the wait is ``hold_s``
    plus ``lease_s``, so that the counted reports are later than any majority
    to which an earlier process of this host contributed. Peers that have not
    joined count at the initial start of the fleet, or when every other host
    has been heard from.

    Parameters
    ----------
    joining : JoinConditions
        Host names, timing settings, and whether a fleet is already running.
    records : mapping of str to PeerRecord
        Records of the peers whose lists and bundle this host has adopted.
    now : float
        Monotonic seconds.

    Returns
    -------
    bool
        True when the process may support leases and mint tokens.
    """
    if joining.uptime_s < joining.hold_s:
        return False
    wait_s = float(0)
    if joining.fleet_running:
        wait_s = joining.hold_s + joining.lease_s
    fresh = {
        host: record
        for host, record in records.items()
        if record.heard_at >= now - joining.suspect_s
        and record.first_acknowledged <= now - wait_s
    }
    up = {host for host in fresh if _is_past_startup(fresh[host], joining)}
    joined = {host for host in up if _is_joined(fresh[host])}
    return all(
        _is_quorum(hosts, joining, up, joined)
        for hosts in joining.quorum_groups
    )


def _is_quorum(
    hosts: Collection[str],
    joining: JoinConditions,
    up: Collection[str],
    joined: Collection[str],
) -> bool:
    others = {host for host in hosts if host != joining.host}
    if others.issubset(up):
        return True
    needed = len(hosts) // 2 + 1
    counted = joined if joining.fleet_running else up
    return len(others.intersection(counted)) >= needed


def _is_past_startup(record: PeerRecord, joining: JoinConditions) -> bool:
    latest = record.latest
    if latest is None:
        return False
    return latest['joined'] or latest['uptime_s'] > joining.hold_s


def _is_joined(record: PeerRecord) -> bool:
    return record.latest is not None and record.latest['joined']
