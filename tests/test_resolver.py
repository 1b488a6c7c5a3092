"""Selection of the hosts that callers should use."""

from random import Random

from oleanderridge.membership.state import Member
from oleanderridge.resolver.answers import resolve

_SETTINGS = {'caller': {'resolve_ttl_s': 10, 'resolve_addresses': 2}}


def _member(host, **changes):
    member = Member(
        host=host,
        zone='zone-a',
        caller_url=f'http://{host}',
        incarnation=5,
        stamp=12.9,
        heard_at=0,
        alive=True,
        leaving=False,
        watching=False,
    )
    return member._replace(**changes)


def test_minters_come_first_and_unusable_hosts_never():
    """Guards against callers sent to hosts that are silent or leaving."""
    members = (
        _member('a'),
        _member('b', leaving=True),
        _member('c', alive=False),
        _member('d'),
        _member('e', incarnation=0),
        _member('f'),
    )
    for seed in range(20):
        answer = resolve(members, ('b', 'c', 'f'), _SETTINGS, Random(seed))
        hosts = [address['host'] for address in answer.addresses]
        assert hosts[0] == 'f'
        assert len(hosts) == 2
        assert set(hosts) <= {'a', 'd', 'f'}


def test_a_key_prefix_is_never_issued_in_the_future():
    """Guards against keys that outlive the record of their host."""
    answer = resolve((_member('a'),), (), _SETTINGS, Random(1))
    assert answer.addresses[0]['key_prefix'] == 'a.5.12'
    assert answer.ttl_s == 10
