"""Members of the cell as one host sees them."""

from __future__ import annotations

from math import inf
from typing import Final, NamedTuple

from oleanderridge.generated.messages import HostEntry
from oleanderridge.membership.evidence import PeerRecord

NO_STAMP: Final = -1


class Member(NamedTuple):
    """One host of the cell as this host sees it; times in seconds.

    ``stamp`` is on the member's clock, ``heard_at`` on ours.
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


def describe(
    entry: HostEntry,
    record: PeerRecord | None,
    alive_since: float,
) -> Member:
    """Return one host of the list with what is known about it.

    Parameters
    ----------
    entry : HostEntry
        Of the current list.
    record : PeerRecord or None
        Evidence; None when the host was never heard.
    alive_since : float
        Monotonic seconds; a host heard earlier counts as silent.

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
