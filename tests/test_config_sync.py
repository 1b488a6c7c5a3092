"""How a configuration passes from host to host."""

import asyncio
import json
from random import Random

import pytest
from result import Ok

from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.gateway.fleet_sync import FleetSync
from oleanderridge.gateway.packing import pack, unpack
from oleanderridge.generated.fleet import Beat, SyncRequest
from oleanderridge.membership.roster import READY, Roster
from tests.gateway_world import gateway_settings

_SENDING = 6


class _Datagrams:
    def __init__(self):
        self.sent = []

    def send(self, host, message):
        self.sent.append((host, message))


def _document(version, routes):
    rng = Random(version)
    resources = [
        {
            'resource_type': 'routes',
            'metadata': {'name': f'r{place}'},
            'spec': {
                'host': 'h.example',
                'prefix': f'/{rng.getrandbits(80):x}/',
                'service': 'lookup',
                'type': 'safe',
                'timeout_s': 2,
                'target_latency_s': 0.4,
                'max_attempts': 2,
                'priority': 1,
            },
        }
        for place in range(routes)
    ]
    document = {'version': f'r{version}', 'resources': resources}
    return json.dumps(document).encode()


def _sync(host='127.0.0.1'):
    settings = gateway_settings()
    settings['address'] = host
    roster = Roster(settings, 1)
    roster.state = READY
    beliefs = Beliefs(lambda _configuration: None, lambda: None)
    return FleetSync(settings, roster, beliefs, _Datagrams(), Random(1))


def _request(version=0, *, packed=True):
    return SyncRequest(version, 0, 0, 0, accepts_packed=packed)


def _served(sync, request):
    async def scenario():
        return sync.answer_sync(request)

    return asyncio.run(scenario())


def test_few_hosts_get_a_large_document_at_a_time():
    """Guards against a document that all hosts get late from one."""
    sync = _sync()
    sync._beliefs.offer(_document(9, 4000), 'store')
    replies = [_served(sync, _request()) for _ in range(_SENDING + 1)]
    assert all(reply.config_packed for reply in replies[:_SENDING])
    withheld = replies[-1]
    assert (withheld.config, withheld.config_withheld) == (b'', True)
    # A host of before gets it as it is.
    assert _served(sync, _request(packed=False)).config == _document(9, 4000)
    for reply in replies[:2]:
        sync.on_sync_sent(reply)
    assert _served(sync, _request()).config_packed
    assert not _served(sync, _request(9)).config_withheld


def test_a_small_document_is_never_withheld():
    """Guards against hosts that wait for a document of a few kilobytes."""
    sync = _sync()
    sync._beliefs.offer(_document(9, 20), 'store')
    replies = [_served(sync, _request()) for _ in range(50)]
    assert all(reply.config for reply in replies)


def test_a_host_that_is_behind_does_not_count_as_up_to_date():
    """Guards against a host that no longer looks at the store itself."""
    sender, receiver = _sync(), _sync('127.0.0.2')
    sender._beliefs.offer(_document(9, 4000), 'store')

    async def scenario():
        sender._beliefs.confirm(asyncio.get_running_loop().time())
        for _ in range(_SENDING):
            sender.answer_sync(_request())
        withheld = sender.answer_sync(_request())
        await _apply(receiver, withheld)
        age_ms = receiver._beliefs.age_ms(asyncio.get_running_loop().time())
        return receiver._beliefs.version(), age_ms

    version, age_ms = asyncio.run(scenario())
    assert version == 0
    assert age_ms > 60_000


def test_a_host_that_fetched_a_configuration_offers_it_to_others():
    """Guards against a host that alone serves a whole zone."""
    sender, receiver = _sync(), _sync('127.0.0.2')
    sender._beliefs.offer(_document(9, 400), 'store')

    async def scenario():
        now = asyncio.get_running_loop().time()
        for place in range(9):
            receiver._roster.on_beat(
                Beat(
                    f'10.0.0.{place}',
                    'z1',
                    3,
                    READY,
                    0,
                    0,
                    0,
                    0,
                    0,
                    False,
                    '',
                    0,
                ),
                now,
            )
        await _apply(receiver, sender.answer_sync(_request()))
        served = receiver.answer_sync(_request())
        return receiver._datagrams.sent, served

    offers, served = asyncio.run(scenario())
    offered = [each for each in offers if not each[1].reply_wanted]
    assert len({host for host, _ in offered}) == 3
    assert all(message.config_version == 9 for _, message in offered)
    assert unpack(served.config).unwrap() == _document(9, 400)


async def _apply(sync, reply):
    with pytest.MonkeyPatch.context() as patch:

        async def fetched(_host, _port, _request):
            return Ok(reply)

        patch.setattr('oleanderridge.gateway.fleet_sync.fetch_sync', fetched)
        await sync._fetch_and_apply('127.0.0.1')


@pytest.mark.parametrize(
    'packed', [b'', b'junk', pack(b'document')[:-3], pack(bytes(1 << 27))]
)
def test_a_document_that_cannot_be_unpacked_changes_nothing(packed):
    """Guards against memory or errors for what another host sends."""
    assert unpack(packed).is_err()


@pytest.mark.parametrize('packed', [True, False])
def test_a_document_that_cannot_be_read_confirms_nothing(packed):
    """Guards against a host without the newest version that seems current."""
    sender, receiver = _sync(), _sync('127.0.0.2')

    async def scenario():
        now = asyncio.get_running_loop().time()
        sender._beliefs.confirm(now)
        reply = sender.answer_sync(_request())
        reply.config, reply.config_packed = b'{"version": 9}', packed
        await _apply(receiver, reply)
        return receiver._beliefs.age_ms(now)

    assert asyncio.run(scenario()) > 60_000
