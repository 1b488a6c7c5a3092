"""When a process without memory may vouch and mint."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

from oleanderridge.membership.evidence import PeerRecord


class Joining(NamedTuple):
    """What the decision to join depends on."""

    others: Collection[str]
    voters: int
    uptime_s: float
    lease_s: float
    hold_s: float
    suspect_s: float
    fleet_runs: bool


def _is_up(record: PeerRecord, joining: Joining) -> bool:
    latest = record.latest
    if latest is None or latest['released']:
        return False
    return latest['joined'] or latest['uptime_s'] > joining.hold_s


def _is_joined(record: PeerRecord) -> bool:
    return record.latest is not None and record.latest['joined']


def _acknowledged_for(
    records: Collection[PeerRecord],
    seconds: float,
    now: float,
) -> int:
    return sum(record.first_acknowledged <= now - seconds for record in records)


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
        The other voters of the newest list, and the settings.
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
    fresh = [
        record
        for host, record in records.items()
        if host in joining.others
        and record.heard_at >= now - joining.suspect_s
        and _is_up(record, joining)
    ]
    needed = min(joining.voters // 2 + 1, len(joining.others))
    if joining.fleet_runs:
        wait_s = joining.hold_s + joining.lease_s
        if _acknowledged_for(fresh, wait_s, now) == len(joining.others):
            return True
        joined = [record for record in fresh if _is_joined(record)]
        return _acknowledged_for(joined, wait_s, now) >= needed
    return _acknowledged_for(fresh, 0, now) >= needed
