"""Exchanges heartbeats with other hosts and synchronizes state with them."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Coroutine
from random import Random
from typing import Any, Final, NamedTuple

from result import Err

from oleanderridge.dispatch.crash_evidence import CrashNews
from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.gateway.packing import pack, unpack
from oleanderridge.gateway.peers import Datagrams, fetch_sync
from oleanderridge.gateway.store_position import StorePosition
from oleanderridge.gateway.target_sync import (
    adopt_position,
    apply_targets,
    last_removal_revision,
    targets_reply,
)
from oleanderridge.generated.fleet import (
    Beat,
    RetryUse,
    SyncReply,
    SyncRequest,
)
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.membership.roster import Roster
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# Some heartbeats also go to a seed or a random host, so that the fleet merges
# again after a network partition.
_DISCOVERY_HEARTBEAT_INTERVAL: Final = 4
# How long a host waits for the relay of its own zone before it fetches changes
# from another zone.
_RELAY_GRACE_S: Final = 0.25
# Minimum time between member list fetches from hosts other than the leader.
_MEMBERS_FETCH_INTERVAL_S: Final = 1.0
# Minimum time between heartbeats to a higher leader that leaves them
# unanswered.
_HIGHER_LEADER_INTERVAL_S: Final = 1.0
# Large documents that a host sends at a time, hosts that it fetches from at a
# time, and hosts that it offers a configuration which it has fetched.
_LARGE_DOCUMENT_BYTES: Final = 32768
_MAX_SENDING: Final = 6
_MAX_FETCHES: Final = 3
_MAX_OFFERS: Final = 3
# Maximum heartbeat interval of a host that knows no peer yet, so that it joins
# quickly.
_JOIN_HEARTBEAT_INTERVAL_S: Final = 0.08
# How long a leader has to answer when another host is asked in its place, and
# the minimum time between such checks.
_LEADER_CHECK_S: Final = 0.1
_LEADER_CHECK_COPIES: Final = 4
_LEADER_CHECK_INTERVAL_S: Final = 1.0
# How long the leader repeats its lists of doubtful targets and of retries in
# replies, before it looks at all of them again.
_ADVICE_TTL_S: Final = 0.1


_NO_NEWS: Final = CrashNews([], [])


class _KnownMembers(NamedTuple):
    """The last change of a leader's list of hosts that this host has."""

    host: str
    incarnation: int
    at: int


class _PackedConfig(NamedTuple):
    """A configuration, compressed."""

    version: int
    content: bytes


class _Advice(NamedTuple):
    """What the leader tells its followers."""

    avoid: list[str]
    retry_uses: list[RetryUse]


class FleetSync:
    """Publishes the state of this host and fetches newer state from peers.

    Parameters
    ----------
    settings : GatewaySettings
        Peers and their port.
    roster : Roster
        Known hosts.
    beliefs : Beliefs
        Configuration and targets of this host.
    datagrams : Datagrams
        Sends the heartbeats.
    rng : Random
        Selects additional hosts that get a heartbeat.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        roster: Roster,
        beliefs: Beliefs,
        datagrams: Datagrams,
        rng: Random,
    ) -> None:
        self._peers = settings['peers']
        self._return_grace_s = settings['store']['return_grace_s']
        self._roster = roster
        self._beliefs = beliefs
        self._datagrams = datagrams
        self._rng = rng
        self._heartbeat_count = 0
        self._fetches_in_progress: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        self._members_fetched_at: float = 0
        self._asked_at_by_leader: dict[str, float] = {}
        self._known_members = _KnownMembers('', 0, 0)
        self._packed = _PackedConfig(0, b'')
        self._documents_sending = 0
        self._leader = ''
        self._advice = _Advice([], [])
        self._advice_until: float = 0
        self._news = _NO_NEWS
        self._news_until: float = 0
        self._announced_version = 0
        self._leader_checked_at: float = -math.inf
        self._reaches_peers = True
        self.crash_news: Callable[[], CrashNews] = lambda: _NO_NEWS
        self.on_crash_news: Callable[[CrashNews], None] = lambda _news: None
        self.avoid: Callable[[], list[str]] = list
        self.on_avoid: Callable[[list[str]], None] = lambda _targets: None
        self.held_permits: Callable[[str], list[int]] = lambda _host: []
        self.retry_uses: Callable[[], list[RetryUse]] = list
        self.own_retry_uses: Callable[[], list[RetryUse]] = list
        self.on_follower_retry_uses: Callable[[str, list[RetryUse]], None] = (
            lambda _host, _uses: None
        )
        self.on_retry_uses: Callable[[list[RetryUse]], None] = lambda _uses: (
            None
        )

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            self.beat()
            interval_s = self._peers['beat_s'] * self._rng.uniform(0.9, 1.1)
            if not self._roster.peer_hosts():
                interval_s = min(interval_s, _JOIN_HEARTBEAT_INTERVAL_S)
            await asyncio.sleep(interval_s)

    def beat(self) -> None:
        """Send a heartbeat to the leader, the relay and a discovery host.

        The discovery host is at most one seed or random host, or all seeds
        while no peer is known. A former leader gets one more.
        """
        now = _now()
        self._heartbeat_count += 1
        leader = self._roster.leader(now)
        former = self._leader
        if leader != self._leader:
            log_event(
                _LOGGER,
                'leader-changed',
                logging.INFO,
                leader=leader,
                former=self._leader or '-',
                alive=len(self._roster.alive(now)),
                known=self._roster.known_host_count(now),
            )
            self._leader = leader
        asked = {leader, self._roster.relay(now)} - {self._roster.host}
        message = self._build_heartbeat(now, reply_wanted=True)
        for host in sorted(self._discovery_hosts() - asked):
            self._datagrams.send(host, message)
        for host in sorted(asked):
            self._roster.record_request(host, now)
            message = self._build_heartbeat(now, reply_wanted=True)
            message.states_held = True
            message.held = self.held_permits(host)
            if host == leader:
                message.retry_uses = self.own_retry_uses()
            self._datagrams.send(host, message)
        if former not in asked | {'', leader, self._roster.host}:
            # It counts this host as a follower until it hears otherwise.
            notice = self._build_heartbeat(now, reply_wanted=False)
            self._datagrams.send(former, notice)

    def announce(self) -> None:
        """Notify the live hosts of the own zone and the leader at once."""
        now = _now()
        message = self._build_heartbeat(now, reply_wanted=False)
        near = {
            member.host
            for member in self._roster.alive(now)
            if member.zone == self._roster.zone
        }
        near.add(self._roster.leader(now))
        for host in sorted(near - {self._roster.host}):
            self._datagrams.send(host, message)

    def announce_leading(self) -> None:
        """Tell all hosts that this one leads, so that they check the former."""
        notice = self._build_heartbeat(_now(), reply_wanted=False)
        for host in self._roster.peer_hosts():
            self._datagrams.send(host, notice)

    def check_leader(self) -> None:
        """Pass over the leader unless it answers at once.

        Called when others ask a host in place of the leader, so that it need
        not wait until enough heartbeats are unanswered.
        """
        now = _now()
        leader = self._roster.leader(now)
        if (
            leader == self._roster.host
            or now - self._leader_checked_at < _LEADER_CHECK_INTERVAL_S
        ):
            return
        self._leader_checked_at = now
        self._start_task(self._pass_over_silent(leader))

    async def _pass_over_silent(self, leader: str) -> None:
        asked_at = _now()
        for _ in range(_LEADER_CHECK_COPIES):
            question = self._build_heartbeat(_now(), reply_wanted=True)
            self._datagrams.send(leader, question)
            await asyncio.sleep(_LEADER_CHECK_S / _LEADER_CHECK_COPIES)
        if self._roster.has_beaten_since(leader, asked_at):
            return
        self._roster.mark_unresponsive(leader)
        if self._roster.leader(_now()) == self._roster.host:
            self.announce_leading()
        else:
            self.beat()

    def on_beat(self, beat: Beat) -> None:
        """Process a heartbeat and reply to it if requested."""
        now = _now()
        if self._roster.on_beat(beat, now):
            log_event(
                _LOGGER,
                'host-heard',
                logging.INFO,
                peer=beat.host,
                zone=beat.zone,
                state=beat.state,
                incarnation=beat.incarnation,
            )
        if beat.reply_wanted:
            reply = self._build_heartbeat(now, reply_wanted=False)
            self._datagrams.send(beat.host, reply)
        self._announced_version = max(
            self._announced_version, beat.config_version
        )
        self._take_crash_news(beat)
        if beat.leader == self._roster.host and beat.retry_uses:
            self.on_follower_retry_uses(beat.host, beat.retry_uses)
        self._contact_higher_leader(beat, now)
        claims_to_lead = beat.leader == beat.host
        if claims_to_lead and beat.host != self._roster.leader(now):
            self.check_leader()
        self._reconcile(beat, now)

    def answer_sync(self, request: SyncRequest) -> SyncReply:
        """Return the state that another host is missing."""
        now = _now()
        reply = targets_reply(
            self._beliefs.table, request, self._beliefs.age_ms(now)
        )
        reply.known_revision = self._beliefs.known_revision()
        self._add_config(reply, request)
        if request.members_digest != self._roster.digest(now):
            self._add_members(reply, request, now)
        return reply

    def on_sync_sent(self, reply: SyncReply) -> None:
        """Allow the next large document to be sent."""
        if len(reply.config) > _LARGE_DOCUMENT_BYTES:
            self._documents_sending -= 1

    def lacks_configuration(self) -> bool:
        """Return whether peers have a newer configuration out of reach.

        A host that hears the others may not be heard by them.
        """
        is_behind = self._announced_version > self._beliefs.version()
        return is_behind and not self._reaches_peers

    def _add_config(self, reply: SyncReply, request: SyncRequest) -> None:
        """Add a newer configuration to a reply.

        Few large documents are sent at a time: hosts that get theirs early
        pass it on, while all of them together would get it late.
        """
        version = self._beliefs.version()
        if request.config_version >= version:
            return
        document = self._beliefs.source()
        if request.accepts_packed is True:
            if self._packed.version != version:
                self._packed = _PackedConfig(version, pack(document))
            document = self._packed.content
            reply.config_packed = True
        if len(document) > _LARGE_DOCUMENT_BYTES:
            if reply.config_packed and self._documents_sending >= _MAX_SENDING:
                reply.config_packed = False
                reply.config_withheld = True
                return
            self._documents_sending += 1
        reply.config = document

    def _add_members(
        self, reply: SyncReply, request: SyncRequest, now: float
    ) -> None:
        changes = self._roster.changes_since(
            request.members_incarnation, request.members_since, now
        )
        reply.members = changes.entries
        reply.members_whole = changes.whole
        reply.members_removed = changes.removed
        reply.members_incarnation = self._roster.incarnation
        reply.members_at = changes.at
        reply.members_digest = self._roster.digest(now)

    def _discovery_hosts(self) -> set[str]:
        others = self._roster.peer_hosts()
        if not others:
            return self._roster.discovery.seeds()
        is_leader = self._leader == self._roster.host
        if (
            self._heartbeat_count % _DISCOVERY_HEARTBEAT_INTERVAL
            and not is_leader
        ):
            return set()
        seeds = self._roster.discovery.seeds()
        return {self._rng.choice([*seeds, self._rng.choice(others)])}

    def _build_heartbeat(self, now: float, *, reply_wanted: bool) -> Beat:
        roster = self._roster
        advice = _Advice([], [])
        news = self._current_news(now)
        leader = roster.leader_entry(now)
        if not reply_wanted and leader.host == roster.host:
            advice = self._current_advice(now)
        return Beat(
            roster.host,
            roster.zone,
            roster.incarnation,
            roster.state,
            self._beliefs.version(),
            self._beliefs.table.position.revision,
            self._beliefs.table.digest,
            roster.digest(now),
            self._beliefs.age_ms(now),
            reply_wanted,
            leader.host,
            leader.incarnation,
            advice.avoid,
            [],
            roster.strength,
            leader.strength,
            retry_uses=advice.retry_uses,
            store_era=self._beliefs.table.position.era,
            crashes=news.crashes,
            blocked=news.blocked,
            known_revision=self._beliefs.known_revision(),
            last_removal=last_removal_revision(self._beliefs.table),
            store_steady_ms=self._beliefs.steady_ms(now),
        )

    def _current_advice(self, now: float) -> _Advice:
        if now >= self._advice_until:
            self._advice = _Advice(self.avoid(), self.retry_uses())
            self._advice_until = now + _ADVICE_TTL_S
        return self._advice

    def _current_news(self, now: float) -> CrashNews:
        if now >= self._news_until:
            self._news = self.crash_news()
            self._news_until = now + _ADVICE_TTL_S
        return self._news

    def _contact_higher_leader(self, beat: Beat, now: float) -> None:
        """Contact the sender's leader if it outranks the own one.

        The leader only changes if that host replies. One that has left
        heartbeats unanswered is asked again, since a cut may have healed.
        """
        if self._roster.is_outranked_by(beat, now):
            asked_at = self._asked_at_by_leader.get(beat.leader, -math.inf)
            if now - asked_at < _HIGHER_LEADER_INTERVAL_S:
                return
            self._asked_at_by_leader[beat.leader] = now
            message = self._build_heartbeat(now, reply_wanted=True)
            self._datagrams.send(beat.leader, message)

    def _reconcile(self, beat: Beat, now: float) -> None:
        from_leader = beat.host == self._roster.leader(now)
        if from_leader and not beat.reply_wanted:
            self._take_advice(beat)
        if beat.members_digest == self._roster.digest(now):
            if from_leader:
                self._roster.refresh_alive(now)
        elif (
            from_leader
            or now - self._members_fetched_at > _MEMBERS_FETCH_INTERVAL_S
        ):
            self._members_fetched_at = now
            self._start_fetch(beat.host)
        table = self._beliefs.table
        self._beliefs.hear_of_store_age(beat.store_age_ms, now)
        if beat.store_steady_ms:
            steady_since = now - beat.store_steady_ms / 1000
            self._beliefs.hear_of_steady_store(steady_since)
        if not self._has_other_targets(beat):
            adopt_position(table, beat)
            if beat.config_version == self._beliefs.version():
                self._beliefs.confirm(now - beat.store_age_ms / 1000)
                self._advance(beat)
        if self._is_behind(beat):
            near = beat.zone == self._roster.zone
            if near or not table.by_id or not self._beliefs.version():
                self._start_fetch(beat.host)
            else:
                asyncio.get_running_loop().call_later(
                    _RELAY_GRACE_S, self._start_fetch_if_behind, beat
                )

    def _take_advice(self, beat: Beat) -> None:
        if isinstance(beat.avoid, list):
            self.on_avoid(beat.avoid)
        if isinstance(beat.retry_uses, list):
            self.on_retry_uses(beat.retry_uses)

    def _take_crash_news(self, beat: Beat) -> None:
        news = CrashNews(
            beat.crashes if isinstance(beat.crashes, list) else [],
            beat.blocked if isinstance(beat.blocked, list) else [],
        )
        if news != _NO_NEWS:
            self.on_crash_news(news)

    def _is_behind(self, beat: Beat) -> bool:
        if beat.config_version > self._beliefs.version():
            return True
        return (
            self._has_other_targets(beat)
            and _position_of(beat) >= self._beliefs.table.position
            and beat.targets_revision > 0
        )

    def _has_other_targets(self, beat: Beat) -> bool:
        table = self._beliefs.table
        known = (table.position.era, table.digest)
        return (beat.store_era, beat.targets_digest) != known

    def _start_fetch_if_behind(self, beat: Beat) -> None:
        if self._is_behind(beat):
            self._start_fetch(beat.host)

    def _start_fetch(self, host: str) -> None:
        if (
            host in self._fetches_in_progress
            or len(self._fetches_in_progress) >= _MAX_FETCHES
        ):
            return
        self._fetches_in_progress.add(host)
        self._start_task(self._fetch_once(host))

    def _start_task(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _fetch_once(self, host: str) -> None:
        try:
            await self._fetch_and_apply(host)
        finally:
            self._fetches_in_progress.discard(host)

    async def _fetch_and_apply(self, host: str) -> None:
        table = self._beliefs.table
        request = SyncRequest(
            self._beliefs.version(),
            table.position.revision if table.by_id else 0,
            table.digest,
            self._roster.digest(_now()),
            *self._members_known_from(host),
            accepts_packed=True,
            store_era=table.position.era,
        )
        fetched = await fetch_sync(host, self._peers['port'], request)
        if isinstance(fetched, Err):
            log_event(
                _LOGGER,
                'sync-failed',
                logging.WARNING,
                peer=host,
                error=fetched.err_value.detail,
                reached=fetched.err_value.reached,
            )
            self._reaches_peers = fetched.err_value.reached
            return
        self._reaches_peers = True
        reply = fetched.ok_value
        now = _now()
        self._apply_members(host, reply, now)
        before = table.digest
        self._beliefs.hear_of_store_age(reply.store_age_ms, now)
        retain_until = self._beliefs.outage_ended_at + self._return_grace_s
        apply_targets(
            table,
            reply,
            now + self._return_grace_s,
            retain_until if retain_until > now else 0,
        )
        if table.digest != before:
            self._beliefs.on_targets()
        self._apply_config(host, reply)
        # A document that could not be read leaves the version as it was.
        is_behind = reply.config_withheld or (
            bool(reply.config)
            and self._beliefs.version() == request.config_version
        )
        if not is_behind:
            self._beliefs.confirm(now - reply.store_age_ms / 1000)
            self._advance(reply)

    def _advance(self, known: Beat | SyncReply) -> None:
        """Record how far a host with the same state knows the store."""
        if known.known_revision:
            position = StorePosition(known.store_era, known.known_revision)
            self._beliefs.advance(position)

    def _apply_config(self, host: str, reply: SyncReply) -> None:
        if not reply.config:
            return
        document = bytes(reply.config)
        if reply.config_packed:
            unpacked = unpack(document)
            if isinstance(unpacked, Err):
                log_event(
                    _LOGGER,
                    'sync-failed',
                    logging.WARNING,
                    peer=host,
                    error=unpacked.err_value,
                )
                return
            document = unpacked.ok_value
        before = self._beliefs.version()
        self._beliefs.offer(document, host)
        version = self._beliefs.version()
        if version == before:
            return
        if reply.config_packed:
            self._packed = _PackedConfig(version, bytes(reply.config))
        self._offer_to_neighbours()

    def _offer_to_neighbours(self) -> None:
        """Notify some hosts of the own zone of a new configuration."""
        now = _now()
        near = [
            member.host
            for member in self._roster.alive(now)
            if member.zone == self._roster.zone
            and member.host != self._roster.host
        ]
        message = self._build_heartbeat(now, reply_wanted=False)
        for host in self._rng.sample(near, min(len(near), _MAX_OFFERS)):
            self._datagrams.send(host, message)

    def _members_known_from(self, host: str) -> tuple[int, int]:
        known = self._known_members
        return (known.incarnation, known.at) if known.host == host else (0, 0)

    def _apply_members(self, host: str, reply: SyncReply, now: float) -> None:
        roster = self._roster
        from_leader = host == roster.leader(now)
        restored: list[str] = []
        if reply.members_whole:
            if reply.members:
                restored = roster.merge(reply.members, now, whole=from_leader)
        else:
            restored = roster.merge(reply.members, now, whole=False)
            if from_leader:
                roster.mark_removed(reply.members_removed, now)
        if restored:
            log_event(
                _LOGGER,
                'hosts-restored',
                logging.INFO,
                source=host,
                from_leader=from_leader,
                hosts=','.join(restored),
            )
        if not from_leader and roster.leader(now) != self._leader:
            # The leader's own list has the hosts that this one has not.
            self.beat()
        if not from_leader or not reply.members_at:
            return
        same = roster.digest(now) == reply.members_digest
        if same:
            roster.refresh_alive(now)
        if same or reply.members_whole:
            self._known_members = _KnownMembers(
                host, reply.members_incarnation, reply.members_at
            )
        else:
            # Changes alone don't lead to the leader's list: ask for all of it.
            self._known_members = _KnownMembers('', 0, 0)


def _position_of(beat: Beat) -> StorePosition:
    return StorePosition(beat.store_era, beat.targets_revision)


def _now() -> float:
    return asyncio.get_running_loop().time()
