"""Tests of joining and leases in a small simulated fleet."""

import pytest

from oleanderridge.membership.state import Membership
from tests.simulated import host_list, settings


class Fleet:
    """Memberships that exchange heartbeats in simulated time."""

    def __init__(self, names, listed=None):
        self.now = 1000.0
        self.by_host = {}
        self.cut = set()
        self.first = host_list(1, listed or names)
        for name in names:
            self.start(name)

    def start(self, name, lists=None):
        """Start a process without earlier state under a host name."""
        member = Membership(settings(name), int(self.now * 10), self.now)
        for each in lists or [self.first]:
            member.accept_list(each, self.now)
        member.set_bundle(1, 'd1', self.now)
        self.by_host[name] = member

    def run(self, seconds):
        """Let every host send one heartbeat a second."""
        for _ in range(int(seconds)):
            self.now += 1
            for sender, member in self.by_host.items():
                for peer in member.peer_addresses():
                    self.deliver(sender, peer)

    def deliver(self, sender, peer):
        """Deliver one heartbeat, and push the list if the peer is behind."""
        if peer not in self.by_host or (sender, peer) in self.cut:
            return
        message = self.by_host[sender].heartbeat_for(peer, self.now)
        news = self.by_host[peer].on_heartbeat(message, self.now)
        if news.list_behind and (peer, sender) not in self.cut:
            push = self.by_host[sender].list_push()
            self.by_host[peer].on_list_push(push, self.now)

    def leased(self):
        """Return the hosts that hold a lease."""
        return {
            name
            for name, member in self.by_host.items()
            if member.lease_until(self.now)
        }


@pytest.mark.parametrize('size', [1, 2, 3, 5])
def test_fresh_fleet_joins_after_hold(size):
    """Guards against a fleet start that never mints, or mints too early."""
    names = [f'h{number}' for number in range(size)]
    fleet = Fleet(names)
    fleet.run(5)
    assert not fleet.leased()
    fleet.run(9)
    assert fleet.leased() == set(names)
