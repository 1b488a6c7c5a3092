"""Hosts of the cell, as seen by one host."""

from __future__ import annotations

from math import inf
from typing import Final, NamedTuple

from oleanderridge.generated.messages import HostEntry
from oleanderridge.membership.peer_reports import PeerRecord

NO_STAMP: Final = -1


class Member(NamedTuple):
    """One host of the cell, as seen by this host; times in seconds.

    ``stamp`` is in the clock of the member, ``heard_at`` in the local clock.
    """

    host: str
    zone: str
    caller_url: str
    incarnation: int
    stamp: float
    heard_at: float
    alive: bool
    leaving: bool
    watching: bool


def member_from_entry(
    entry: HostEntry,
    record: PeerRecord | None,
    alive_since: float,
) -> Member:
    """Combine a host list entry with the reports of that host.

    Parameters
    ----------
    entry : HostEntry
        Entry of the current list.
    record : PeerRecord or None
        None when the host was never heard from.
    alive_since : float
        Monotonic seconds; a host last heard from earlier is not alive.

    Returns
    -------
    Member
        Fenced hosts are never alive.
    """
    latest = record.latest if record else None
    heard_at = record.heard_at if record else -inf
    leaving = entry['state'] != 'live'
    return Member(
        host=entry['host'],
        zone=entry['zone'],
        caller_url=entry['caller_url'],
        incarnation=record.incarnation if record else 0,
        stamp=record.stamp if record else NO_STAMP,
        heard_at=heard_at,
        alive=entry['state'] != 'fenced' and heard_at >= alive_since,
        leaving=leaving or (latest is not None and latest['leaving']),
        watching=latest is not None and latest['watching'],
    )
