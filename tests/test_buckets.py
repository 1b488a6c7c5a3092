"""Token buckets of one host."""

from oleanderridge.admission.buckets import TokenBuckets, grant_usable
from oleanderridge.admission.shares import minters
from tests.simulated import bundle, host_list, settings


def _buckets(names=('h0',), rate=10, burst=20):
    buckets = TokenBuckets('h0', settings('h0'))
    buckets.update([host_list(1, names)], [bundle(1, rate, burst)], 0)
    return buckets


def _renew_lease(buckets, start, end):
    for second in range(start, end):
        buckets.note_lease(second, second + 4)


def _take_all(buckets, now, workspace='mill'):
    count = 0
    while buckets.take(workspace, now, now + 4).status == 'taken':
        count += 1
    return count


def _request_token(buckets, now, request_id='r1', lease_s=4):
    request = {
        'kind': 'token_request',
        'host': 'h9',
        'incarnation': 1,
        'request_id': request_id,
        'workspace': 'mill',
    }
    reply = buckets.on_token_request(request, now, lease_s and now + lease_s)
    assert reply.host == 'h9'
    return reply.message


def test_bucket_starts_empty_and_fills_to_its_capacity():
    """Guards against a burst from a host that has just become minter."""
    buckets = _buckets()
    assert buckets.take('mill', 0, 4).status == 'empty'
    _renew_lease(buckets, 1, 11)
    assert _take_all(buckets, 10) == 20
    take = buckets.take('mill', 10, 14)
    assert take.status == 'empty'
    assert 0 < take.retry_after_s <= 0.1


def test_time_without_lease_accrues_nothing():
    """Guards against accruing tokens while other hosts were minting."""
    buckets = _buckets(rate=1)
    _renew_lease(buckets, 0, 30)
    assert _take_all(buckets, 29) == 20
    buckets.note_lease(30, 31)
    buckets.note_lease(33, 0)
    buckets.note_lease(34.9, 39)
    assert _take_all(buckets, 35) == 2


def test_without_lease_nothing_is_spent_or_given():
    """Guards against spending leftover tokens after the lease has ended."""
    buckets = _buckets()
    _renew_lease(buckets, 0, 6)
    assert buckets.take('mill', 6, 0).status == 'no-lease'
    assert buckets.take('mill', 6, 6).status == 'no-lease'
    reply = _request_token(buckets, 6, lease_s=0)
    assert (reply['granted'], reply['reason']) == (False, 'no-lease')


def test_long_time_without_lease_empties_the_buckets():
    """Guards against keeping tokens while other hosts held the same share."""
    buckets = _buckets()
    _renew_lease(buckets, 0, 6)
    buckets.note_lease(16, 20)
    assert _take_all(buckets, 16) == 0


def test_granted_tokens_occupy_capacity_until_they_expire():
    """Guards against refilling capacity of grants that can still be used."""
    buckets = _buckets(rate=1000)
    _renew_lease(buckets, 0, 6)
    for number in range(20):
        assert _request_token(buckets, 5, f'r{number}')['granted']
    refused = _request_token(buckets, 5.05, 'r20')
    assert (refused['granted'], refused['reason']) == (False, 'empty')
    buckets.note_lease(5.06, 9)
    assert _take_all(buckets, 5.08) == 20


def test_repeated_request_gets_the_same_reply_and_no_second_token():
    """Guards against charging a token for each retry after a lost reply."""
    buckets = _buckets()
    _renew_lease(buckets, 0, 6)
    assert _request_token(buckets, 5) == _request_token(buckets, 5.01)
    assert _take_all(buckets, 5.01) == 19


def test_grant_is_used_within_its_time_only():
    """Guards against using a grant after its capacity was granted again."""
    own = settings('h0')
    assert grant_usable(10, 10.04, own)
    assert not grant_usable(10, 10.05, own)
    assert not grant_usable(10, 9.9, own)


def test_refund_never_exceeds_what_was_taken_or_the_capacity():
    """Guards against refunds that create tokens."""
    buckets = _buckets()
    _renew_lease(buckets, 0, 6)
    buckets.refund('mill', 5)
    assert _take_all(buckets, 5) == 20
    buckets.refund('mill', 5)
    assert _take_all(buckets, 5) == 1
    for _ in range(30):
        buckets.refund('mill', 5)
    assert _take_all(buckets, 5) == 20
    _renew_lease(buckets, 6, 11)
    buckets.take('mill', 10, 14)
    buckets.refund('mill', 10)
    buckets.refund('mill', 10)
    assert _take_all(buckets, 10) == 20


def test_smallest_share_holds_while_bundles_are_unsettled():
    """Guards against spending a raised or a withdrawn burst too soon."""
    buckets = _buckets()
    listed = [host_list(1, ['h0'])]
    _renew_lease(buckets, 0, 6)
    assert _take_all(buckets, 5) == 20
    _renew_lease(buckets, 6, 10)
    both = [bundle(1, 10, 20), bundle(2, 40, 8)]
    buckets.update(listed, both, 9)
    assert _take_all(buckets, 9) == 8
    _renew_lease(buckets, 9, 20)
    buckets.update(listed, both[1:], 19)
    assert buckets.snapshot(1) == [
        {'workspace': 'mill', 'level': 8, 'capacity': 8, 'rate': 40}
    ]
    buckets.update(listed, [both[1], bundle(3, 40, 80)], 19)
    buckets.update(listed, [bundle(3, 40, 80)], 19)
    assert _take_all(buckets, 19) == 8


def test_unused_bucket_counts_from_its_last_change():
    """Guards against crediting time in which the share was smaller."""
    buckets = _buckets()
    listed = [host_list(1, ['h0'])]
    _renew_lease(buckets, 0, 31)
    buckets.update(listed, [bundle(1, 10, 20), bundle(2, 10, 200)], 30)
    _renew_lease(buckets, 30, 36)
    buckets.update(listed, [bundle(2, 10, 200)], 35)
    assert _take_all(buckets, 35) == 0
    _renew_lease(buckets, 35, 38)
    assert _take_all(buckets, 37) == 20


def test_new_minter_by_the_list_starts_empty():
    """Guards against credit for time before this host was a minter."""
    names = [f'h{number}' for number in range(1, 9)]
    buckets = _buckets(names)
    _renew_lease(buckets, 0, 31)
    assert buckets.take('mill', 30, 34).status == 'not-minter'
    alone = host_list(2, ['h0'])
    buckets.update([host_list(1, names), alone], [bundle(1, 10, 20)], 30)
    assert buckets.take('mill', 30, 34).status == 'not-minter'
    buckets.update([alone], [bundle(1, 10, 20)], 30)
    assert _take_all(buckets, 30) == 0
    _renew_lease(buckets, 30, 32)
    assert _take_all(buckets, 31) == 10


def test_lost_share_is_empty_when_it_returns():
    """Guards against keeping tokens while this host was not a minter."""
    buckets = _buckets()
    _renew_lease(buckets, 0, 6)
    documents = [bundle(1, 10, 20)]
    buckets.update([host_list(2, ['h1'])], documents, 5)
    buckets.update([host_list(3, ['h0'])], documents, 5)
    assert _take_all(buckets, 5) == 0


def test_workspace_is_minted_in_its_cell_only():
    """Guards against a second full share in another cell."""
    buckets = TokenBuckets('h0', settings('h0'))
    document = bundle(1, 10, 20)
    document['workspaces'][0]['cell'] = 'north'
    buckets.update([host_list(1, ['h0'])], [document], 0)
    assert buckets.take('mill', 0, 4).status == 'not-minter'


def test_minters_are_stable_and_spread_across_zones():
    """Guards against losing all minters with one zone or one list change."""
    names = [f'h{number}' for number in range(9)]
    zone = {f'h{number}': f'z{ord(str(number)) % 3}' for number in range(9)}
    for number in range(50):
        workspace = f'w{number}'
        chosen = minters(host_list(1, names), workspace, 60, 6)
        assert len(chosen) == 6
        assert {zone[host] for host in chosen[:3]} == set(zone.values())
        fewer = minters(host_list(2, names, h4='leaving'), workspace, 60, 6)
        assert 'h4' not in fewer
        assert len(set(chosen) - set(fewer)) <= 2
        assert minters(host_list(1, names), workspace, 20, 6) == chosen[:2]
