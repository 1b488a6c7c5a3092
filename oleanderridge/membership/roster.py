"""Hosts that find each other by seeds, and which of them lead.

Every host beats to the leader, to the relay of its zone and now and then to
a seed or another host. The leader's list of live hosts is the fleet's; a
host that cannot hear the leader turns to the next in rank.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, NamedTuple
from zlib import crc32

from oleanderridge.generated.fleet import Beat, MemberEntry
from oleanderridge.generated.gateway import GatewaySettings

STARTING: Final = 0
READY: Final = 1
LEAVING: Final = 2

# A host that has asked a silent one for so many beats turns away from it.
_BEATS_UNANSWERED: Final = 3
# A host that named this one as its leader follows it for so many beats.
_BEATS_FOLLOWED: Final = 2.5
# Hosts whose starts lie so close started after a common loss.
_TOGETHER_MS: Final = 2500
# Fewest hosts that a host assumes before it has heard of any.
_HOSTS_ASSUMED: Final = 24


class RosterMember(NamedTuple):
    """One host; times are monotonic seconds of this host."""

    host: str
    zone: str
    incarnation: int
    state: int
    heard_at: float
    strength: int = 0


class Roster:
    """What this host knows of the others.

    Parameters
    ----------
    settings : GatewaySettings
        Own address and zone, and the times of beats.
    incarnation : int
        Milliseconds of the wall clock at the start of this process.
    """

    def __init__(self, settings: GatewaySettings, incarnation: int) -> None:
        self._peers = settings['peers']
        self.host: str = settings['address']
        self.zone: str = settings['zone']
        self.incarnation = incarnation
        # Doublings of the processor: equal hosts rank by their start alone.
        self.strength = round(math.log2(settings['cores']))
        self.state = STARTING
        self._by_host: dict[str, RosterMember] = {}
        self._direct_at: dict[str, float] = {}
        self._asked_at: dict[str, float] = {}
        self._followed_at: dict[str, float] = {}

    def me(self, now: float) -> RosterMember:
        """Return the entry of this host."""
        return RosterMember(
            self.host,
            self.zone,
            self.incarnation,
            self.state,
            now,
            self.strength,
        )

    def on_beat(self, beat: Beat, now: float) -> bool:
        """Take in a beat.

        Parameters
        ----------
        beat : Beat
            From the host that it names.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the host is new, changed or back.
        """
        if beat.host == self.host:
            return False
        self._asked_at.pop(beat.host, None)
        known = self._by_host.get(beat.host)
        if known is not None and known.incarnation > beat.incarnation:
            return False
        self._direct_at[beat.host] = now
        if beat.leader == self.host:
            self._followed_at[beat.host] = now
        else:
            self._followed_at.pop(beat.host, None)
        self._by_host[beat.host] = RosterMember(
            beat.host,
            beat.zone,
            beat.incarnation,
            beat.state,
            now,
            beat.strength,
        )
        if known is None or not self._is_alive(known, now):
            return True
        return (known.incarnation, known.state) != (
            beat.incarnation,
            beat.state,
        )

    def merge(
        self, entries: Iterable[MemberEntry], now: float, *, whole: bool
    ) -> None:
        """Take in what another host has heard.

        Parameters
        ----------
        entries : iterable of MemberEntry
            The hosts that are alive to it.
        now : float
            Monotonic seconds.
        whole : bool
            Whether hosts that it does not hear count as silent here, too.
        """
        entries = list(entries)
        if whole:
            self._silence(
                self._by_host.keys() - {entry.host for entry in entries}, now
            )
        for entry in entries:
            heard_at = now - entry.heard_ms / 1000
            known = self._by_host.get(entry.host)
            newer = known is None or (
                (entry.incarnation, heard_at)
                > (known.incarnation, known.heard_at)
            )
            if entry.host != self.host and newer:
                self._by_host[entry.host] = RosterMember(
                    entry.host,
                    entry.zone,
                    entry.incarnation,
                    entry.state,
                    heard_at,
                    entry.strength,
                )

    def vouch(self, now: float) -> None:
        """Renew the live hosts, as the leader's list equals this one's."""
        for host, member in tuple(self._by_host.items()):
            if self._is_alive(member, now):
                self._by_host[host] = member._replace(heard_at=now)

    def note_asked(self, host: str, now: float) -> None:
        """Note that a beat was sent that wants a reply."""
        self._asked_at.setdefault(host, now)

    def note_silent(self, host: str) -> None:
        """Note that a host left requests of this one unanswered."""
        self._asked_at[host] = 0

    def alive(self, now: float) -> list[RosterMember]:
        """Return the live hosts, this one included, in rank order."""
        members = [
            member
            for member in self._by_host.values()
            if self._is_alive(member, now)
        ]
        members.append(self.me(now))
        members.sort(key=_rank)
        return members

    def ready(self, now: float) -> list[RosterMember]:
        """Return the live hosts that take callers."""
        return [each for each in self.alive(now) if each.state == READY]

    def leader(self, now: float) -> str:
        """Return the host that places the requests of all."""
        return self.leading(now).host

    def leading(self, now: float) -> RosterMember:
        """Return the entry of the host that places the requests of all."""
        for member in self.alive(now):
            if not self._is_unanswering(member.host, now):
                return member
        return self.me(now)

    def is_outranked_by(self, beat: Beat, now: float) -> bool:
        """Return whether another's leader should lead this host, too.

        Parameters
        ----------
        beat : Beat
            Names the other's leader.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False for hosts that are known to be silent or to rank lower.
        """
        leader, host = self.leading(now), beat.leader
        if host in (self.host, leader.host):
            return False
        known = self._by_host.get(host)
        if known is not None and self._is_alive(known, now):
            return False
        if self._is_unanswering(host, now):
            return False
        other = -beat.leader_strength, beat.leader_incarnation, host
        own = -leader.strength, leader.incarnation, leader.host
        return other < own or leader.state != READY

    def relay(self, now: float) -> str:
        """Return the host of this zone that reads the store for it."""
        near = [each for each in self.alive(now) if each.zone == self.zone]
        for member in near:
            if not self._is_unanswering(member.host, now):
                return member.host
        return self.host

    def rank_in_zone(self, now: float) -> int:
        """Return the place of this host among those of its zone."""
        near = [each for each in self.alive(now) if each.zone == self.zone]
        return [each.host for each in near].index(self.host)

    def digest(self, now: float) -> int:
        """Return a check sum of the live hosts."""
        text = ','.join(
            f'{each.host}:{each.incarnation}:{each.state}'
            for each in sorted(self.alive(now))
        )
        return crc32(text.encode())

    def entries(self, now: float) -> list[MemberEntry]:
        """Return the live hosts as another host gets them."""
        return [
            MemberEntry(
                each.host,
                each.zone,
                each.incarnation,
                each.state,
                int((now - each.heard_at) * 1000),
                each.strength,
            )
            for each in self.alive(now)
        ]

    def known(self, now: float) -> int:
        """Return how many hosts may be at work, silent ones included."""
        self._forget(now)
        return len(self._by_host) + 1

    def part_of_fleet(self, now: float) -> float:
        """Return the part of the known hosts that follows this one, 0 to 1.

        Hosts that turned to another leader are that one's part, so that two
        that lead at once do not hand out the same rates twice.
        """
        known = self.known(now)
        if known == 1:
            return 1 / _HOSTS_ASSUMED
        since = now - _BEATS_FOLLOWED * self._peers['beat_s']
        followers = sum(at >= since for at in self._followed_at.values())
        return (1 + followers) / known

    def note_follower(self, host: str, now: float) -> None:
        """Note that a host asked this one as its leader."""
        if host in self._by_host:
            self._followed_at[host] = now

    def started_together(self, now: float) -> bool:
        """Return whether all known hosts started at about the same time."""
        started = [each.incarnation for each in self.alive(now)]
        return max(started) - min(started) < _TOGETHER_MS

    def others(self) -> list[str]:
        """Return every known host but this one."""
        return list(self._by_host)

    def _silence(self, hosts: Iterable[str], now: float) -> None:
        silent_at = now - self._peers['silent_s']
        for host in hosts:
            member = self._by_host[host]
            direct_at = self._direct_at.get(host, silent_at)
            heard_at = min(member.heard_at, max(silent_at, direct_at))
            self._by_host[host] = member._replace(heard_at=heard_at)

    def _forget(self, now: float) -> None:
        for host, member in tuple(self._by_host.items()):
            if now - member.heard_at > self._peers['forget_s']:
                del self._by_host[host]
                self._direct_at.pop(host, None)
                self._asked_at.pop(host, None)
                self._followed_at.pop(host, None)

    def _is_alive(self, member: RosterMember, now: float) -> bool:
        return now - member.heard_at < self._peers['silent_s']

    def _is_unanswering(self, host: str, now: float) -> bool:
        asked_at = self._asked_at.get(host)
        if asked_at is None or host == self.host:
            return False
        return now - asked_at > _BEATS_UNANSWERED * self._peers['beat_s']


def _rank(member: RosterMember) -> tuple[bool, int, int, str]:
    # One host places the requests of all, so a strong one goes first.
    return (
        member.state != READY,
        -member.strength,
        member.incarnation,
        member.host,
    )
