"""Fixtures shared by the gateway tests."""

from random import Random

from oleanderridge.dispatch.placement import Placement
from oleanderridge.gateway.model import (
    READY,
    Configuration,
    RequestLimits,
    TargetRecord,
    Workspace,
)
from oleanderridge.gateway.outcomes import Outcome, Purpose
from oleanderridge.gateway.settings import parse_gateway_settings
from oleanderridge.gateway.store_position import StorePosition
from oleanderridge.generated.fleet import Acquire, Release

LINES = (
    'host: front-1',
    'address: 127.0.0.1',
    'zone: z1',
    'caller: {address: "127.0.0.1:7001"}',
    'readiness: {address: "127.0.0.1:7002"}',
    'directory: {address: "127.0.0.1:7003"}',
    'peers: {port: 7004, seeds: ["127.0.0.2:9"]}',
    'store: {address: "127.0.0.1:7005"}',
    'bounds: {}',
)


def gateway_settings(*more, without=''):
    """Return complete settings, without the lines that contain ``without``."""
    lines = [line for line in LINES if not without or without not in line]
    parsed = parse_gateway_settings('\n'.join((*lines, *more)), 'g.yaml')
    return parsed.unwrap()


def at(revision, era=1):
    """Return a position of the store."""
    return StorePosition(era, revision)


def record(target, zone='z1', revision=5, era=1, **changes):
    """Return the record of a ready target of the service ``lookup``."""
    address = f'10.0.0.1:{len(target)}'
    default = TargetRecord(
        target, 'lookup', address, zone, 2, READY, 0, 1, at(revision, era)
    )
    return default._replace(**changes)


def configuration(*workspaces, version=1):
    """Return a configuration without routes."""
    return Configuration(
        version,
        b'',
        {},
        {key: each for each in workspaces for key in each.keys},
        {each.name: each for each in workspaces},
        RequestLimits(),
    )


def workspace(name='w', rate=0.0, burst=0.0):
    """Return a workspace with one key."""
    return Workspace(name, (f'key-{name}',), 1, rate, burst)


class PlacementWorld:
    """A placement with a simulated clock."""

    def __init__(self, *records, settings=None, seed=1):
        self.now = 100.0
        self.placement = Placement(settings or gateway_settings(), Random(seed))
        self.placement.set_fleet_share(1)
        self.placement.set_targets(
            {each.target: each for each in records}, self.now
        )
        self._last_permit = 0

    def acquire(self, **changes):
        """Request a slot, by default for a first idempotent attempt."""
        self._last_permit += 1
        fields = {
            'permit': self._last_permit,
            'host': '10.1.0.1',
            'zone': 'z1',
            'service': 'lookup',
            'route': 'r',
            'workspace': '',
            'priority': 1,
            'unsafe': False,
            'purpose': Purpose.FIRST,
            'may_repeat': True,
            'left_ms': 2000,
            'aim_ms': 400,
            'waited_ms': 0,
            'excluded': [],
        }
        return self.placement.acquire(Acquire(**(fields | changes)), self.now)

    def release(self, grant, outcome=Outcome.ANSWERED, after_s=0.1):
        """Advance the clock, release a grant and return the replies."""
        self.now += after_s
        message = Release(grant.permit, outcome, int(after_s * 1000), 500)
        return self.placement.release(message, self.now)
