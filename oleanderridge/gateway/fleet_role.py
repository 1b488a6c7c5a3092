"""The role of this host in placing requests: it leads, or asks the leader."""

from __future__ import annotations

import asyncio
import logging
from random import Random
from typing import Any, Final

from oleanderridge.dispatch.permit_client import (
    LeaderLookup,
    PermitClient,
    SendMessage,
)
from oleanderridge.dispatch.placement import Placement
from oleanderridge.gateway.fleet_sync import FleetSync
from oleanderridge.generated.fleet import Acquire, Beat, Refused, Release
from oleanderridge.generated.gateway import GatewaySettings
from oleanderridge.membership.roster import Roster
from oleanderridge.telemetry.logs import log_event

_LOGGER = logging.getLogger(__name__)

# How long a host acts as leader after the last permit request from a peer.
_LEADER_ROLE_S: Final = 2.0
# A host that has received no heartbeat for this long after its start stops
# waiting for peers and places requests on its own.
_DISCOVERY_TIMEOUT_S: Final = 0.4
# How long after its start a host checks whether the whole fleet restarted at
# the same time.
_FLEET_RESTART_WINDOW_S: Final = 4.0


class FleetRole:
    """Places requests for other hosts, and asks the leader for permits.

    Parameters
    ----------
    settings : GatewaySettings
        Complete settings.
    roster : Roster
        Known hosts.
    sync : FleetSync
        Exchanges heartbeats with them.
    send : callable
        Sends a message to a host.
    rng : Random
        Source of randomness for placements.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        roster: Roster,
        sync: FleetSync,
        send: SendMessage,
        rng: Random,
    ) -> None:
        self._host: str = settings['address']
        self._roster = roster
        self._sync = sync
        self._send = send
        self.placement = Placement(settings, rng)
        self.peers_discovered = asyncio.Event()
        self.permits = PermitClient(
            self._host,
            self.placement,
            send,
            LeaderLookup(
                self._current_leader,
                roster.mark_unresponsive,
                self.peers_discovered,
            ),
            roster.incarnation,
        )
        self._began: float = 0
        self._leader_until: float = 0
        self._connect()

    def start(self) -> None:
        """Let requests wait for peers, or for a while."""
        loop = asyncio.get_running_loop()
        self._began = loop.time()
        loop.call_later(_DISCOVERY_TIMEOUT_S, self.peers_discovered.set)

    def on_message(self, message: Any, sender: str) -> None:
        """Handle a message of another host."""
        if isinstance(message, Beat):
            followed = self._roster.is_followed_by(message.host)
            self._sync.on_beat(message)
            self.peers_discovered.set()
            if self._roster.is_followed_by(message.host) is not followed:
                self.update_fleet_fraction(_now())
            if message.states_held:
                self._free_lost_permits(message)
        elif isinstance(message, Acquire):
            self._on_permit_request(message.host)
            answer = self.placement.acquire(message, _now())
            if isinstance(answer, Refused):
                self._log_refused(message, answer)
            self._send(message.host, answer)
        elif isinstance(message, Release):
            answers = self.placement.release(message, _now())
            self.permits.deliver_replies(answers)
        else:
            self.permits.on_message(message, sender)

    def tick(self) -> None:
        """Answer queued requests and free expired slots."""
        if self.placement.leads and self._roster.leader(_now()) != self._host:
            # It is asked in place of a leader that may be back.
            self.update_fleet_fraction(_now())
        self.permits.deliver_replies(self.placement.tick(_now()))

    def is_asked_to_lead(self, now: float) -> bool:
        """Return whether a peer asked this host for a permit of late."""
        return now < self._leader_until

    def update_fleet_fraction(self, now: float) -> None:
        """Update the fraction of the fleet that this host places for."""
        leads = self._roster.leader(now) == self._host
        if leads or self.is_asked_to_lead(now):
            started_now = now - self._began < _FLEET_RESTART_WINDOW_S
            self.placement.quota.record_fleet_restart(
                common=started_now and self._roster.started_together(now)
            )
            self.placement.set_fleet_share(self._roster.followed_fraction(now))
        else:
            self.placement.set_fleet_share(
                1 / self._roster.known_host_count(now), leads=False
            )

    def _current_leader(self) -> str:
        now = _now()
        leader = self._roster.leader(now)
        if leader == self._host and not self.placement.leads:
            self.update_fleet_fraction(now)
            self._sync.announce_leading()
        return leader

    def _connect(self) -> None:
        sync, placement = self._sync, self.placement
        evidence = placement.crash_evidence
        sync.avoid = lambda: placement.doubtful_targets(_now())
        sync.on_avoid = lambda targets: placement.mark_doubtful(targets, _now())
        sync.held_permits = self.permits.held_permits
        sync.retry_uses = lambda: placement.retry_uses(_now())
        sync.on_retry_uses = lambda uses: placement.record_retry_uses(
            uses, _now()
        )
        sync.own_retry_uses = lambda: placement.own_retry_uses(_now())
        sync.on_follower_retry_uses = lambda host, uses: (
            placement.record_follower_retry_uses(host, uses, _now())
        )
        sync.crash_news = lambda: evidence.news(_now())
        sync.on_crash_news = lambda news: evidence.merge(news, _now())

    def _free_lost_permits(self, beat: Beat) -> None:
        held = beat.held if isinstance(beat.held, list) else []
        replies = self.placement.free_lost(beat.host, held, _now())
        self.permits.deliver_replies(replies)

    def _on_permit_request(self, host: str) -> None:
        now = _now()
        begins = not self.is_asked_to_lead(now)
        self._leader_until = now + _LEADER_ROLE_S
        self._roster.record_follower(host, now)
        if begins:
            self._sync.check_leader()
        if begins or self.placement.fleet_share < 1:
            self.update_fleet_fraction(now)

    def _log_refused(self, request: Acquire, answer: Refused) -> None:
        log_event(
            _LOGGER,
            'placement-refused',
            logging.INFO,
            permit=request.permit,
            asker=request.host,
            workspace=request.workspace,
            service=request.service,
            purpose=request.purpose,
            reason=answer.reason,
            retry_ms=answer.retry_ms,
            left_ms=request.left_ms,
            part=round(self.placement.fleet_share, 3),
            waiting=self.placement.queued_count(request.service),
        )


def _now() -> float:
    return asyncio.get_running_loop().time()
