"""Exchanges heartbeats and host lists with the peers of the cell."""

from __future__ import annotations

import asyncio
from typing import Final

from msgspec import DecodeError
from msgspec.json import decode as decode_json

from oleanderridge.generated.messages import (
    HostList,
    ListPull,
    ManifestPull,
)
from oleanderridge.runtime.node import Node
from oleanderridge.runtime.refresh import refresh_decisions
from oleanderridge.wire import Message

# At most one pull of a kind in this time, however many peers are ahead.
_PULL_INTERVAL_S: Final = 0.25


class Peering:
    """Sends heartbeats and learns lists and bundle versions from them.

    Parameters
    ----------
    node : Node
        The host.
    """

    def __init__(self, node: Node) -> None:
        self._node = node
        self._pulled_at_by_kind: dict[str, float] = {}
        self.last_watch_heard = node.started
        handlers = node.handler_by_kind
        handlers['heartbeat'] = self._on_heartbeat
        handlers['list_pull'] = self._on_list_pull
        handlers['list_push'] = self._on_list_push

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        interval_s = self._node.settings['membership']['heartbeat_interval_s']
        # Hosts that start together must not send in step.
        await asyncio.sleep(self._node.rng.uniform(0, interval_s))
        while True:
            self.beat()
            await asyncio.sleep(interval_s)

    def beat(self) -> None:
        """Send one heartbeat to each peer, or ask seeds for the list."""
        node = self._node
        now = node.clock()
        peers = node.membership.peer_addresses()
        for peer in peers:
            if peer == node.host:
                continue
            node.send(peer, node.membership.heartbeat_for(peer, now))
        if node.membership.current_list() is None:
            self._ask_seeds()

    def accept_list(self, host_list: HostList) -> bool:
        """Take over a host list when it is newer.

        Parameters
        ----------
        host_list : HostList
            A list from the platform or a peer.

        Returns
        -------
        bool
            True when it came into force.
        """
        node = self._node
        now = node.clock()
        if not node.membership.accept_list(host_list, now):
            return False
        self._list_changed(host_list)
        return True

    def accept_platform_list(self, content: bytes) -> bool:
        """Take over the platform's list when it is well-formed and newer.

        Parameters
        ----------
        content : bytes
            The JSON value at the platform.

        Returns
        -------
        bool
            True when it came into force.
        """
        try:
            host_list = decode_json(content, type=HostList)
        except DecodeError as error:
            self._node.warn('host-list-malformed', error=error)
            return False
        return self.accept_list(host_list)

    def _list_changed(self, host_list: HostList) -> None:
        node = self._node
        now = node.clock()
        lifetime_s = node.settings['forward']['key_lifetime_s']
        node.list_history.append((now, host_list))
        # The entry before the oldest one in the window states who was home
        # when the window began.
        while (
            len(node.list_history) > 1
            and node.list_history[1][0] < now - lifetime_s
        ):
            node.list_history.pop(0)
        node.connect_peers()
        refresh_decisions(node)
        node.metrics.list_revision.set({}, host_list['revision'])
        node.note(
            'host-list-accepted',
            revision=host_list['revision'],
            hosts=len(host_list['hosts']),
        )
        self.beat()

    def _ask_seeds(self) -> None:
        node = self._node
        pull = ListPull(kind='list_pull', host=node.host)
        for seed in node.settings['peer']['seeds']:
            node.transport.send(seed, pull)

    def _on_heartbeat(self, message: Message) -> None:
        node = self._node
        news = node.membership.on_heartbeat(message, node.clock())
        if message['watching']:
            self.last_watch_heard = node.clock()
        if news.list_behind:
            self._pull(
                message['host'],
                ListPull(kind='list_pull', host=node.host),
            )
        if news.bundle_behind:
            self._pull(
                message['host'],
                ManifestPull(kind='manifest_pull', host=node.host),
            )

    def _pull(self, peer: str, message: Message) -> None:
        node = self._node
        now = node.clock()
        last = self._pulled_at_by_kind.get(message['kind'], 0)
        if now - last < _PULL_INTERVAL_S:
            return
        if node.send(peer, message):
            self._pulled_at_by_kind[message['kind']] = now

    def _on_list_pull(self, message: Message) -> None:
        node = self._node
        if node.membership.current_list() is not None:
            node.send(message['host'], node.membership.list_push())

    def _on_list_push(self, message: Message) -> None:
        node = self._node
        before = node.membership.current_list()
        node.membership.on_list_push(message, node.clock())
        current = node.membership.current_list()
        if current is not None and current is not before:
            self._list_changed(current)
