"""Gossip membership of the gateway fleet, and leader and relay election.

Every host sends heartbeats (``Beat``) to the leader, to the relay of its zone
and from time to time to a seed or another host. The leader's list of live
hosts is authoritative for the fleet; a host that gets no replies from the
leader falls back to the next host in rank order.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import Final, NamedTuple
from zlib import crc32

from oleanderridge.generated.fleet import Beat, MemberEntry
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.membership.discovery import Discovery

STARTING: Final = 0
READY: Final = 1
LEAVING: Final = 2

# Heartbeat intervals without a reply after which a host is not used as the
# leader or relay.
_UNANSWERED_BEATS_MAX: Final = 3
# Heartbeat intervals for which a host counts as a follower after it last
# named this host as its leader.
_FOLLOWER_EXPIRY_BEATS: Final = 1.5
# Hosts whose start times differ by less than this restarted together, after
# a common failure.
_COMMON_START_WINDOW_MS: Final = 2500
# Heartbeat intervals by which a confirmed host outlives the leader that
# confirmed it, so that the others find the next leader meanwhile.
_CONFIRMED_GRACE_BEATS: Final = 2.5
# A host that is marked silent was last heard this long before the limit, so
# that rounding does not leave it alive.
_SILENCE_MARGIN_S: Final = 0.001


class RosterMember(NamedTuple):
    """Membership entry of a host.

    ``heard_at`` is when the host itself was last heard, here or by a host that
    said so, in seconds of the local monotonic clock.
    """

    host: str
    zone: str
    incarnation: int
    state: int
    heard_at: float
    strength: int = 0


class MemberChanges(NamedTuple):
    """What changed in the list of live hosts, for another host.

    ``at`` numbers the last change that is included. With ``whole``, ``entries``
    is the whole list and nothing is ``removed``.
    """

    entries: list[MemberEntry]
    removed: list[str]
    whole: bool
    at: int


class _RankOrder(NamedTuple):
    """The live hosts in rank order, with the checksum of their states.

    Valid until ``expires_at``, when the first of them may have become silent,
    and while the own state is ``own_state``.
    """

    members: tuple[str, ...]
    digest: int
    own_state: int
    expires_at: float


class Roster:
    """The local view of the fleet.

    Parameters
    ----------
    settings : GatewaySettings
        Address and zone of this host, and the heartbeat intervals.
    incarnation : int
        Wall clock time at the start of this process, in milliseconds.
    """

    def __init__(self, settings: GatewaySettings, incarnation: int) -> None:
        self._peers = settings['peers']
        self.host: str = settings['address']
        self.zone: str = settings['zone']
        self.incarnation = incarnation
        # The base-2 logarithm of the core count, rounded: hosts of similar
        # size rank by start time alone.
        self.strength = round(math.log2(settings['cores']))
        self.state = STARTING
        self.discovery = Discovery(self._peers, self.host)
        self._by_host: dict[str, RosterMember] = {}
        # When the leader's list last had a host. This keeps the host alive
        # here, but is not passed on: a list that is confirmed by a list would
        # never end.
        self._confirmed_at: dict[str, float] = {}
        self._last_beat_at: dict[str, float] = {}
        self._unanswered_since: dict[str, float] = {}
        self._last_followed_at: dict[str, float] = {}
        # Kept between heartbeats that change nothing: a leader gets several
        # from each host in a second, and needs the order for each of them.
        self._rank_order: _RankOrder | None = None
        # Numbered changes of the list of live hosts, to send only those that
        # another host lacks.
        self._last_change = 0
        self._change_by_host: dict[str, int] = {}
        self._identity_by_host: dict[str, tuple[int, int]] = {}

    def own_entry(self, now: float) -> RosterMember:
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
        """Record a heartbeat.

        Parameters
        ----------
        beat : Beat
            Received directly from the host that it names.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            Whether the host is new, has restarted, has changed state, or was
            silent before.
        """
        if beat.host == self.host:
            return False
        self._unanswered_since.pop(beat.host, None)
        known = self._by_host.get(beat.host)
        if known is not None and known.incarnation > beat.incarnation:
            return False
        self._last_beat_at[beat.host] = now
        if beat.leader == self.host:
            self._last_followed_at[beat.host] = now
        else:
            self._last_followed_at.pop(beat.host, None)
        self._store(
            RosterMember(
                beat.host,
                beat.zone,
                beat.incarnation,
                beat.state,
                now,
                beat.strength,
            ),
            now,
        )
        if known is None or not self._is_alive(known, now):
            return True
        return (known.incarnation, known.state) != (
            beat.incarnation,
            beat.state,
        )

    def merge(
        self, entries: Iterable[MemberEntry], now: float, *, whole: bool
    ) -> list[str]:
        """Merge the membership list of another host.

        Parameters
        ----------
        entries : iterable of MemberEntry
            The hosts that the other host considers alive.
        now : float
            Monotonic seconds.
        whole : bool
            Whether the list is complete, so that hosts missing from it are
            marked silent here, too.

        Returns
        -------
        list of str
            Hosts that were silent here and count as alive again.
        """
        entries = list(entries)
        silent_at = self._silent_at(now)
        restored = []
        if whole:
            self._mark_silent(
                self._by_host.keys() - {entry.host for entry in entries}, now
            )
        for entry in entries:
            # A host whose sign of life is old counts as known, not as alive.
            heard_at = max(now - entry.heard_ms / 1000, silent_at)
            known = self._by_host.get(entry.host)
            newer = known is None or (
                (entry.incarnation, heard_at)
                > (known.incarnation, known.heard_at)
            )
            if entry.host != self.host and newer:
                member = RosterMember(
                    entry.host,
                    entry.zone,
                    entry.incarnation,
                    entry.state,
                    heard_at,
                    entry.strength,
                )
                was_silent = known and not self._is_alive(known, now)
                if was_silent and self._is_alive(member, now):
                    restored.append(entry.host)
                self._store(member, now)
        return restored

    def refresh_alive(self, now: float) -> None:
        """Confirm all live hosts.

        Called when the leader's list has the same digest as the local one.
        """
        for host, member in self._by_host.items():
            if self._is_alive(member, now):
                self._confirmed_at[host] = now

    def record_request(self, host: str, now: float) -> None:
        """Record that a heartbeat which requires a reply was sent."""
        self._unanswered_since.setdefault(host, now)

    def has_beaten_since(self, host: str, since: float) -> bool:
        """Return whether a heartbeat of a host itself came since a time."""
        return self._last_beat_at.get(host, -math.inf) >= since

    def mark_unresponsive(self, host: str) -> None:
        """Mark a host as unresponsive after it failed to answer requests."""
        self._unanswered_since[host] = 0

    def alive(self, now: float) -> list[RosterMember]:
        """Return the live hosts, this one included, in rank order."""
        own = self.own_entry(now)
        return [
            own if host == self.host else self._by_host[host]
            for host in self._order(now).members
        ]

    def ready(self, now: float) -> list[RosterMember]:
        """Return the live hosts that accept client requests."""
        return [each for each in self.alive(now) if each.state == READY]

    def leader(self, now: float) -> str:
        """Return the host that places requests for the whole fleet."""
        return self.leader_entry(now).host

    def leader_entry(self, now: float) -> RosterMember:
        """Return the membership entry of the leader."""
        for host in self._order(now).members:
            if host == self.host:
                break
            if not self._is_unresponsive(host, now):
                return self._by_host[host]
        return self.own_entry(now)

    def is_outranked_by(self, beat: Beat, now: float) -> bool:
        """Return whether the leader named in a heartbeat outranks this host's.

        Parameters
        ----------
        beat : Beat
            Names the sender's leader, with its strength and incarnation.
        now : float
            Monotonic seconds.

        Returns
        -------
        bool
            False if the named host is this one or already its leader, ranks
            lower than a ready leader, or is known to be alive and not passed
            over because it has left heartbeats unanswered.
        """
        leader, host = self.leader_entry(now), beat.leader
        if host in (self.host, leader.host):
            return False
        known = self._by_host.get(host)
        if (
            known is not None
            and self._is_alive(known, now)
            and not self._is_unresponsive(host, now)
        ):
            return False
        other = -beat.leader_strength, beat.leader_incarnation, host
        own = -leader.strength, leader.incarnation, leader.host
        return other < own or leader.state != READY

    def relay(self, now: float) -> str:
        """Return the host that reads the store for this zone."""
        zone_members = [
            each for each in self.alive(now) if each.zone == self.zone
        ]
        for member in zone_members:
            if not self._is_unresponsive(member.host, now):
                return member.host
        return self.host

    def rank_in_zone(self, now: float) -> int:
        """Return the rank of this host in its zone, starting at 0."""
        zone_members = [
            each for each in self.alive(now) if each.zone == self.zone
        ]
        return [each.host for each in zone_members].index(self.host)

    def digest(self, now: float) -> int:
        """Return a CRC-32 checksum of the live hosts and their states."""
        return self._order(now).digest

    def entries(self, now: float) -> list[MemberEntry]:
        """Return the live hosts as wire entries for another host."""
        return [_to_entry(each, now) for each in self.alive(now)]

    def changes_since(
        self, incarnation: int, change: int, now: float
    ) -> MemberChanges:
        """Return the changes that another host lacks.

        Parameters
        ----------
        incarnation : int
            Process of this host that numbered ``change``.
        change : int
            Last change that the other host has; 0 for none.
        now : float
            Monotonic seconds.

        Returns
        -------
        MemberChanges
            The whole list if the number is of another process.
        """
        members = self.alive(now)
        if incarnation != self.incarnation or not change > 0:
            entries = [_to_entry(each, now) for each in members]
            return MemberChanges(entries, [], True, self._last_change)
        changed = {
            host for host, at in self._change_by_host.items() if at > change
        }
        entries = [
            _to_entry(each, now) for each in members if each.host in changed
        ]
        removed = changed - {entry.host for entry in entries}
        return MemberChanges(entries, sorted(removed), False, self._last_change)

    def mark_removed(self, hosts: Iterable[str], now: float) -> None:
        """Mark hosts silent that another host's list no longer has."""
        self._mark_silent(self._by_host.keys() & set(hosts), now)

    def known_host_count(self, now: float) -> int:
        """Return how many hosts may be running, including silent ones.

        Hosts that have been silent for longer than ``forget_s`` are removed.
        """
        self._remove_expired(now)
        if self._by_host:
            self.discovery.end()
        return len(self._by_host) + 1

    def followed_fraction(self, now: float) -> float:
        """Return the fraction of known hosts that follow this one, 0 to 1.

        A host that follows another leader counts for that one alone, so two
        concurrent leaders do not hand out the same rates twice.
        """
        known = self.known_host_count(now)
        if known == 1:
            return 1 / self.discovery.assumed_hosts(now)
        cutoff = now - _FOLLOWER_EXPIRY_BEATS * self._peers['beat_s']
        followers = sum(at >= cutoff for at in self._last_followed_at.values())
        follows_itself = self.leader(now) == self.host
        # It may be asked by a host that it doesn't know yet.
        return max(1, follows_itself + followers) / known

    def is_followed_by(self, host: str) -> bool:
        """Return whether a host named this one as its leader of late."""
        return host in self._last_followed_at

    def record_follower(self, host: str, now: float) -> None:
        """Record that a host sent this one a request for the leader."""
        if host in self._by_host:
            self._last_followed_at[host] = now

    def started_together(self, now: float) -> bool:
        """Return whether all live hosts started at about the same time."""
        start_times = [each.incarnation for each in self.alive(now)]
        return max(start_times) - min(start_times) < _COMMON_START_WINDOW_MS

    def peer_hosts(self) -> list[str]:
        """Return the names of all known hosts except this one."""
        return list(self._by_host)

    def _order(self, now: float) -> _RankOrder:
        order = self._rank_order
        if (
            order is None
            or now >= order.expires_at
            or order.own_state != self.state
        ):
            order = self._compute_order(now)
            self._rank_order = order
        return order

    def _compute_order(self, now: float) -> _RankOrder:
        members = [
            member
            for member in self._by_host.values()
            if self._is_alive(member, now)
        ]
        expires_at = min(map(self._silent_from, members), default=math.inf)
        members.append(self.own_entry(now))
        members.sort(key=_rank_key)
        self._number_changes(members)
        text = ','.join(
            f'{each.host}:{each.incarnation}:{each.state}'
            for each in sorted(members)
        )
        return _RankOrder(
            tuple(member.host for member in members),
            crc32(text.encode()),
            self.state,
            expires_at,
        )

    def _number_changes(self, members: list[RosterMember]) -> None:
        identity_by_host = {
            member.host: (member.incarnation, member.state)
            for member in members
        }
        changed = identity_by_host.items() ^ self._identity_by_host.items()
        if changed:
            self._last_change += 1
            for host, _ in changed:
                self._change_by_host[host] = self._last_change
            self._identity_by_host = identity_by_host

    def _store(self, member: RosterMember, now: float) -> None:
        """Replace an entry; only a new time leaves the order as it is."""
        known = self._by_host.get(member.host)
        self._by_host[member.host] = member
        if (
            known is None
            or not self._is_alive(known, now)
            or known._replace(heard_at=member.heard_at) != member
        ):
            self._rank_order = None

    def _mark_silent(self, hosts: Iterable[str], now: float) -> None:
        silent_at = self._silent_at(now)
        self._rank_order = None
        for host in hosts:
            self._confirmed_at.pop(host, None)
            member = self._by_host[host]
            last_beat_at = self._last_beat_at.get(host, silent_at)
            heard_at = min(member.heard_at, max(silent_at, last_beat_at))
            self._by_host[host] = member._replace(heard_at=heard_at)

    def _remove_expired(self, now: float) -> None:
        forget_s = self._peers['forget_s']
        for host, member in tuple(self._by_host.items()):
            last_known_at = self._confirmed_at.get(host, member.heard_at)
            if now - max(last_known_at, member.heard_at) > forget_s:
                self._rank_order = None
                del self._by_host[host]
                self._confirmed_at.pop(host, None)
                self._last_beat_at.pop(host, None)
                self._unanswered_since.pop(host, None)
                self._last_followed_at.pop(host, None)

    def _is_alive(self, member: RosterMember, now: float) -> bool:
        return now < self._silent_from(member)

    def _silent_from(self, member: RosterMember) -> float:
        """Return from when on a host counts as silent."""
        silent_s = self._peers['silent_s']
        heard_until = member.heard_at + silent_s
        confirmed_at = self._confirmed_at.get(member.host)
        if confirmed_at is None:
            return heard_until
        grace_s = _CONFIRMED_GRACE_BEATS * self._peers['beat_s']
        return max(heard_until, confirmed_at + silent_s + grace_s)

    def _silent_at(self, now: float) -> float:
        """Return when a host that counts as silent now was heard at most."""
        return now - self._peers['silent_s'] - _SILENCE_MARGIN_S

    def _is_unresponsive(self, host: str, now: float) -> bool:
        unanswered_since = self._unanswered_since.get(host)
        if unanswered_since is None or host == self.host:
            return False
        return (
            now - unanswered_since
            > _UNANSWERED_BEATS_MAX * self._peers['beat_s']
        )


def _to_entry(member: RosterMember, now: float) -> MemberEntry:
    return MemberEntry(
        member.host,
        member.zone,
        member.incarnation,
        member.state,
        int((now - member.heard_at) * 1000),
        member.strength,
    )


def _rank_key(member: RosterMember) -> tuple[bool, int, int, str]:
    # The leader places requests for the whole fleet, so larger hosts rank
    # before smaller ones.
    return (
        member.state != READY,
        -member.strength,
        member.incarnation,
        member.host,
    )
