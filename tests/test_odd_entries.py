"""Entries of another writer among those of the targets."""

import asyncio
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.json import encode as encode_json
from msgspec.msgpack import Decoder, encode

from oleanderridge.dispatch.placement import Placement
from oleanderridge.gateway.beliefs import Beliefs
from oleanderridge.gateway.fleet_sync import FleetSync
from oleanderridge.generated.fleet import SyncReply, SyncRequest
from oleanderridge.membership.roster import Roster
from oleanderridge.platform.headers import SendTerms, target_headers
from oleanderridge.platform.records import decode_configuration, decode_target
from tests.followed_store import entry, run_followed
from tests.gateway_world import at, gateway_settings

_FIELDS = {
    'service': 's',
    'address': '10.0.0.1:80',
    'zone': 'z',
    'version': 'v1',
    'slots': 2,
    'state': 'ready',
    'warmup_left_s': 0,
    'sequence': 1,
    'born': 5,
}
_DEEP = b'[' * 50_000 + b']' * 50_000


def _entry_bytes(**changes):
    return encode_json(_FIELDS | changes)


def _with_raw(name, raw):
    """Return an entry with the bytes of one field replaced."""
    fields = {**_FIELDS, name: 'RAW'}
    return encode_json(fields).replace(b'"RAW"', raw)


_ODD_ENTRIES = {
    'nested': _with_raw('zone', _DEEP),
    'nested in an unknown field': _with_raw('other', _DEEP),
    'only nested': _DEEP,
    'slots in powers': _with_raw('slots', b'1e300'),
    'slots of many digits': _with_raw('slots', b'9' * 400),
    'slots beyond all numbers': _with_raw('slots', b'1e999'),
    'too many slots': _entry_bytes(slots=1 << 40),
    'long warmup': _with_raw('warmup_left_s', b'1e308'),
    'start beyond the wire': _with_raw('born', b'9' * 30),
    'start in powers': _with_raw('born', b'1e300'),
    'negative start': _entry_bytes(born=-1),
    'sequence beyond the wire': _with_raw('sequence', b'9' * 30),
    'sequence in powers': _with_raw('sequence', b'1e300'),
    'port 0': _entry_bytes(address='10.0.0.1:0'),
    'port out of range': _entry_bytes(address='10.0.0.1:99999'),
    'port of many digits': _entry_bytes(address='10.0.0.1:' + '9' * 5000),
    'port of another script': _entry_bytes(address='10.0.0.1:\u0664\u0664'),
    'superscript port': _entry_bytes(address='10.0.0.1:8\u00b2'),
    'name for an address': _entry_bytes(address='example:80'),
    'line break in an address': _entry_bytes(address='10.0.0.1\r\n:80'),
    'service of another type': _entry_bytes(service=['s']),
    'long service': _entry_bytes(service='s' * 100_000),
    'cut off': _entry_bytes()[:-5],
    'no bytes': b'',
    'no text': b'\xff\xfe',
}
_ODD_KEYS = (
    'servers/',
    'servers/a b',
    'servers/a\r\nb: c',
    'servers/\u0664',
    'servers/' + 'i' * 190,
)


@pytest.mark.parametrize('name', _ODD_ENTRIES)
def test_an_odd_entry_names_no_target(name):
    """Guards against an entry that ends each host that reads it."""
    decoded = decode_target('servers/i', _ODD_ENTRIES[name], at(3))
    assert decoded.is_err()
    # What is logged of it is bounded.
    assert len(decoded.unwrap_err().message) < 400


@pytest.mark.parametrize('key', _ODD_KEYS[:4])
def test_an_odd_key_names_no_target(key):
    """Guards against a name that no header can hold."""
    assert decode_target(key, _entry_bytes(), at(3)).is_err()


def test_a_follower_goes_on_beside_odd_entries():
    """Guards against hosts that end or stop following, again and again."""

    async def scenario(world):
        for place, content in enumerate(_ODD_ENTRIES.values()):
            world.store.set_value(f'servers/odd-{place}', content)
        for key in _ODD_KEYS:
            world.store.set_value(key, _ODD_ENTRIES['nested'])
        world.store.set_value('servers/i-1', entry(1))
        await world.until(lambda: 'i-1' in world.table.by_id)
        # In a list, and as a change.
        for place, content in enumerate(_ODD_ENTRIES.values()):
            world.store.set_value(f'servers/late-{place}', content)
        world.store.set_value('servers/i-2', entry(2))
        await world.until(lambda: 'i-2' in world.table.by_id)
        assert set(world.table.by_id) == {'i-1', 'i-2'}

    run_followed(scenario)


_JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from(['ready', 'draining', '10.0.0.1:80', '1.2.3.4:65535']),
    lambda inner: st.lists(inner, max_size=3),
    max_leaves=4,
)


@settings(max_examples=400, deadline=None)
@given(
    st.dictionaries(st.sampled_from(sorted(_FIELDS)), _JSON, max_size=3),
    st.text(max_size=6),
)
def test_what_is_accepted_can_be_used_and_passed_on(changes, name):
    """Guards against an entry that one host can't tell the others."""
    key = f'servers/{name}'
    content = encode_json(_FIELDS | changes)
    decoded = decode_target(key, content, at(3))
    if decoded.is_err():
        return
    record = decoded.unwrap()
    target_headers([], SendTerms(record.target, None, 1))
    Placement(gateway_settings(), Random(1)).set_targets({name: record}, 100)
    beliefs = Beliefs(lambda _: None, lambda: None)
    beliefs.table.put(record)
    roster = Roster(gateway_settings(), 1)
    sync = FleetSync(gateway_settings(), roster, beliefs, None, Random(1))

    async def reply():
        return sync.answer_sync(SyncRequest(0, 0, 0, 0))

    encoded = encode(asyncio.run(reply()))
    [passed_on] = Decoder(SyncReply).decode(encoded).targets
    assert passed_on.slots == record.slots
    host, _, port = record.address.rpartition(':')
    assert host
    assert 0 < int(port) < 65536


_ROUTE = {
    'host': 'h',
    'prefix': '/',
    'service': 's',
    'type': 'safe',
    'timeout_s': 1,
    'max_attempts': 2,
    'priority': 1,
}


def _configuration_bytes(version=b'"r7"', **changes):
    fields = _ROUTE | {name: f'RAW-{name}' for name in changes}
    route = encode_json(
        {
            'resource_type': 'routes',
            'metadata': {'name': 'r'},
            'spec': fields,
        }
    )
    for name, raw in changes.items():
        route = route.replace(f'"RAW-{name}"'.encode(), raw)
    return b'{"version":%s,"resources":[%s]}' % (version, route)


@pytest.mark.parametrize(
    'source',
    [
        _configuration_bytes(other=_DEEP),
        _configuration_bytes(b'"r' + b'9' * 30 + b'"'),
        _configuration_bytes(b'"r' + b'9' * 5000 + b'"'),
        _configuration_bytes('"r\u0664"'.encode()),
        _configuration_bytes(max_attempts=b'1e999'),
        _configuration_bytes(max_attempts=b'1e300'),
        _configuration_bytes(priority=b'1e999'),
        _configuration_bytes(priority=b'9' * 30),
        _configuration_bytes(timeout_s=b'1e999'),
        _configuration_bytes(timeout_s=b'-1'),
        _DEEP,
    ],
)
def test_an_odd_configuration_leaves_the_one_in_force(source):
    """Guards against a document that ends each host that reads it."""
    taken = []
    beliefs = Beliefs(taken.append, lambda: None)
    beliefs.offer(_configuration_bytes(b'"r3"'), 'store')
    beliefs.offer(source, 'store')
    assert [each.version for each in taken] == [3]
    assert decode_configuration(source).is_err()
