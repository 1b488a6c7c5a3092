"""Signatures bind manifests, and a few hosts of each zone watch."""

from typing import NamedTuple

import pytest

from oleanderridge.config.relay import elect_watchers, should_watch
from oleanderridge.config.signing import (
    generate_keypair,
    manifest_digest,
    sign,
    verify,
)
from tests.bundle_samples import KEYS

_MANIFEST = sign(3, 'p', {'d1': b'one', 'd2': b'two'}, KEYS.secret)


@pytest.mark.parametrize(
    'change',
    [
        {'version': 4},
        {'parent': 'q'},
        {'chunks': _MANIFEST['chunks'][::-1]},
        {'chunks': _MANIFEST['chunks'][:1]},
        {'signer': generate_keypair().public},
        {'signature': '00' * 64},
        {'signature': 'no hex'},
        {'signature': ''},
    ],
)
def test_every_field_is_bound_by_the_signature(change):
    """Guards against a manifest altered between operator and host."""
    trusted = [KEYS.public, change.get('signer', '')]
    assert verify(_MANIFEST, trusted).is_ok()
    assert verify({**_MANIFEST, **change}, trusted).is_err()


def test_only_trusted_signers_count():
    """Guards against a valid signature by somebody else's key."""
    other = sign(
        3, 'p', {'d1': b'one', 'd2': b'two'}, generate_keypair().secret
    )
    assert verify(other, [KEYS.public]).is_err()
    assert manifest_digest(other) == manifest_digest(_MANIFEST)


def test_faulty_secret_is_not_quoted():
    """Guards against a secret key in an error message."""
    with pytest.raises(ValueError, match='32 bytes') as caught:
        sign(1, '', {}, KEYS.secret[:-2])
    assert KEYS.secret[:8] not in str(caught.value)


class _Member(NamedTuple):
    host: str
    zone: str
    alive: bool = True
    leaving: bool = False


_VIEW = [_Member(f'h{n}', f'z{n % 3}') for n in range(30)]


def test_two_hosts_of_each_zone_watch():
    """Guards against every host watching, or a zone without a watcher."""
    watchers = elect_watchers(_VIEW)
    zones = [member.zone for member in _VIEW if member.host in watchers]
    assert sorted(zones) == ['z0', 'z0', 'z1', 'z1', 'z2', 'z2']
    assert elect_watchers(reversed(_VIEW)) == watchers


def test_lost_watchers_are_replaced_and_others_stay():
    """Guards against a dead watcher keeping its place, and against churn."""
    watchers = elect_watchers(_VIEW)
    gone = min(watchers)
    for change in ({'alive': False}, {'leaving': True}):
        view = [
            member._replace(**change) if member.host == gone else member
            for member in _VIEW
        ]
        assert len(elect_watchers(view) - watchers) == 1
        assert watchers - elect_watchers(view) == {gone}


def test_silence_makes_a_host_watch():
    """Guards against a fleet in which nobody hears of new bundles."""
    watchers = elect_watchers(_VIEW)
    other = next(m.host for m in _VIEW if m.host not in watchers)
    assert should_watch(min(watchers), _VIEW, now=10, last_watch_heard=10)
    assert not should_watch(other, _VIEW, now=14.9, last_watch_heard=10)
    assert should_watch(other, _VIEW, now=15.1, last_watch_heard=10)
