"""Decides which hosts watch the platform for the others."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, Protocol

from xxhash import xxh3_64_intdigest

# A host that has heard of no watcher for so many seconds watches itself.
WATCH_SILENCE_S: Final = 5


class ViewMember(Protocol):
    """The fields of ``membership.state.Member`` that the election reads."""

    @property
    def host(self) -> str:
        """Name of the host."""

    @property
    def zone(self) -> str:
        """Zone of the host."""

    @property
    def alive(self) -> bool:
        """Whether the host has been heard of lately."""

    @property
    def leaving(self) -> bool:
        """Whether the host is shutting down."""


def elect_watchers(
    members: Iterable[ViewMember], per_zone: int = 2
) -> frozenset[str]:
    """Return the hosts that watch the platform, by rendezvous hashing.

    Parameters
    ----------
    members : iterable of Member
        The view; members that are silent or leaving are passed over.
    per_zone : int
        Watchers in each zone.

    Returns
    -------
    frozenset of str
        Host names.
    """
    hosts_by_zone: dict[str, set[str]] = {}
    for member in members:
        if member.alive and not member.leaving:
            hosts_by_zone.setdefault(member.zone, set()).add(member.host)
    return frozenset(
        host
        for hosts in hosts_by_zone.values()
        for host in sorted(hosts, key=_weight)[-per_zone:]
    )


def _weight(host: str) -> tuple[int, str]:
    return xxh3_64_intdigest(f'watch {host}'.encode()), host


def should_watch(
    host: str,
    members: Iterable[ViewMember],
    now: float,
    last_watch_heard: float,
) -> bool:
    """Tell whether a host is to hold a watch at the platform.

    Parameters
    ----------
    host : str
        The host that asks.
    members : iterable of Member
        Its view, itself included.
    now : float
        Monotonic seconds.
    last_watch_heard : float
        When a member that watches was last heard, in monotonic seconds;
        when the host started, as long as none was.

    Returns
    -------
    bool
        True for elected hosts and when no watcher was heard for 5 s.
    """
    if now - last_watch_heard > WATCH_SILENCE_S:
        return True
    return host in elect_watchers(members)
