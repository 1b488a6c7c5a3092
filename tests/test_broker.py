"""Permits, queue bounds and deadline refusals of the broker."""

from random import Random
from typing import NamedTuple

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.dispatch.broker import Broker, broker_host
from tests.conftest import build_service


class Member(NamedTuple):
    """The fields of a member that ``broker_host`` reads."""

    host: str
    alive: bool
    leaving: bool


def _request(request_id, workspace='mill', deadline_ms=5000, excluded=()):
    return {
        'kind': 'permit_request',
        'host': 'h1',
        'incarnation': 1,
        'zone': 'a',
        'request_id': request_id,
        'service': 'sett-lookup',
        'workspace': workspace,
        'deadline_ms': deadline_ms,
        'excluded': list(excluded),
    }


def _return(grant, outcome='ok', latency_ms=50.0):
    return {
        'kind': 'permit_return',
        'host': 'h1',
        'zone': 'a',
        'permit_id': grant['permit_id'],
        'service': 'sett-lookup',
        'target': grant['target'],
        'outcome': outcome,
        'latency_ms': latency_ms,
    }


def _permits(broker, now):
    return sum(row['permits'] for row in broker.snapshot(now))


def _kinds(outgoing):
    return [item.message['kind'] for item in outgoing]


@pytest.fixture
def broker(settings):
    broker = Broker(settings, Random(1))
    broker.configure([build_service()], (), 0)
    return broker


def test_no_more_permits_than_slots_and_a_return_frees_one(broker):
    """Guards against overcommitted targets and leaked slots."""
    grants = [broker.on_request(_request(f'r{n}'), 0) for n in range(3)]
    assert [_kinds(item)[1:] for item in grants] == [
        ['permit_grant'],
        ['permit_grant'],
        [],
    ]
    freed = broker.on_return(_return(grants[0][1].message), 1)
    assert _kinds(freed) == ['permit_grant']
    assert freed[0].message['request_id'] == 'r2'


def test_a_free_slot_elsewhere_does_not_overcommit(settings):
    """Guards against a third permit on a full target while another is free."""
    broker = Broker(settings, Random(1))
    broker.configure([build_service(2)], (), 0)
    for number in range(2):
        broker.on_request(_request(f'r{number}', excluded=['t1']), 0)
    waiting = broker.on_request(_request('r2', excluded=['t1']), 0)
    assert _kinds(waiting) == ['permit_queued']


def test_a_new_target_receives_little_at_first(broker):
    """Guards against full load on a target that is still cold."""
    broker.configure([build_service(2)], (), 100)
    picked = []
    for number in range(200):
        request = _request(f'r{number}')
        grant = broker.on_request(request, 101)[1].message
        broker.on_return(_return(grant), 101)
        picked.append(grant['target'])
    assert 1 <= picked.count('t1') <= 40


def test_repeated_request_gets_the_earlier_reply(broker):
    """Guards against a repeated permit request that takes a second slot."""
    first = broker.on_request(_request('r1'), 0)[1].message
    again = broker.on_request(_request('r1'), 1)
    assert again[0].message['permit_id'] == first['permit_id']
    assert broker.snapshot(1)[0]['permits'] == 1


def test_lost_permit_expires(broker):
    """Guards against slots that a dead host holds forever."""
    for number in range(3):
        broker.on_request(_request(f'r{number}', deadline_ms=99000), 0)
    assert broker.tick(10.9) == []
    assert _kinds(broker.tick(11.1)) == ['permit_grant']


def test_queue_bound_and_deadline_refuse_before_running(broker):
    """Guards against unbounded queues and work that cannot finish."""
    grant = broker.on_request(_request('r0'), 0)[1].message
    broker.on_return(_return(grant, latency_ms=1000), 1)
    for number in range(1, 7):
        broker.on_request(_request(f'r{number}', deadline_ms=20000), 1)
    full = broker.on_request(_request('r7', deadline_ms=20000), 1)
    late = broker.on_request(_request('r8', 'loom', deadline_ms=3900), 1)
    timely = broker.on_request(_request('r9', 'loom', deadline_ms=4100), 1)
    assert full[0].message['reason'] == 'queue-full'
    assert late[0].message['reason'] == 'deadline'
    assert _kinds(timely) == ['permit_queued']


def test_hand_back_refuses_what_waits(broker):
    """Guards against requests that stay queued at a broker that has left."""
    for number in range(3):
        broker.on_request(_request(f'r{number}'), 0)
    refused = broker.refuse_all(1)
    assert [item.message['reason'] for item in refused] == ['broker-leaving']
    later = broker.on_request(_request('r9'), 1)
    assert later[0].message['reason'] == 'broker-leaving'


def test_a_cancel_frees_queue_and_slot(broker):
    """Guards against cancelled requests that keep a slot or a queue entry."""
    broker.on_request(_request('r0'), 0)
    broker.on_request(_request('r1'), 0)
    broker.on_request(_request('r2'), 0)
    cancel = {'kind': 'permit_cancel', 'host': 'h1', 'service': 'sett-lookup'}
    assert broker.on_cancel({**cancel, 'request_id': 'r2'}, 0) == []
    broker.on_cancel({**cancel, 'request_id': 'r0'}, 0)
    assert _kinds(broker.on_request(_request('r3'), 0))[1] == 'permit_grant'


def test_a_tried_target_is_not_granted_again(broker):
    """Guards against a lost permit return that repeats a tried target."""
    grant = broker.on_request(_request('r1'), 0)[1].message
    again = broker.on_request(_request('r1', excluded=[grant['target']]), 1)
    assert again[0].message['reason'] == 'no-target'
    assert broker.snapshot(1)[0]['permits'] == 0


def test_the_broker_is_alive_and_stays_when_others_leave():
    """Guards against a dead broker and unnecessary broker changes."""
    members = [Member(f'h{index}', True, False) for index in range(9)]
    chosen = broker_host('sett-lookup', members)
    index = int(chosen[1:])
    other = members[(index + 1) % 9]
    assert broker_host('sett-lookup', set(members) - {other}) == chosen
    for change in ({'alive': False}, {'leaving': True}):
        gone = [*members]
        gone[index] = gone[index]._replace(**change)
        assert broker_host('sett-lookup', gone) != chosen
    assert broker_host('sett-lookup', []) is None


def test_a_service_slower_than_a_third_of_its_timeout_is_served(settings):
    """Guards against deadline refusals of all requests despite idle slots."""
    broker = Broker(settings, Random(1))
    service = build_service()
    broker.configure([service], (), 0)
    timeout_ms = service['timeout_ms']
    for number in range(20):
        (_queued, granted) = broker.on_request(_request(f's{number}'), 0)
        broker.on_return(_return(granted.message, latency_ms=timeout_ms / 2), 0)
    outgoing = broker.on_request(_request('next', deadline_ms=timeout_ms), 0)
    assert _kinds(outgoing) == ['permit_queued', 'permit_grant']


_STEPS = st.lists(
    st.tuples(
        st.sampled_from(['request', 'cancel', 'return', 'tick', 'configure']),
        st.integers(0, 7),
        st.sampled_from(['ok', 'reset', 'draining', 'shed', 'unused']),
        st.sampled_from([0.0, 0.05, 3.0]),
    ),
    max_size=80,
)


@given(_STEPS)
def test_permits_never_exceed_slots_whatever_arrives(steps):
    """Guards against leaked or duplicated slots when messages reorder."""
    settings = {
        'host': 'h0',
        'zone': 'a',
        'dispatch': {'queue_limit_per_workspace': 3, 'permit_margin_s': 1},
    }
    broker = Broker(settings, Random(1))
    broker.configure([build_service(3)], (), 0)
    now = 0.0
    grants = {}
    for action, number, outcome, pause in steps:
        now += pause
        request = _request(f'r{number}', f'w{number % 3}', 4000)
        outgoing = []
        if action == 'request':
            outgoing = broker.on_request(request, now)
        elif action == 'cancel':
            outgoing = broker.on_cancel(request, now)
        elif action == 'return' and f'r{number}' in grants:
            grant = grants[f'r{number}']
            outgoing = broker.on_return(_return(grant, outcome), now)
        elif action == 'tick':
            outgoing = broker.tick(now)
        elif action == 'configure':
            leaving = ('t0',) if number % 2 else ()
            outgoing = broker.configure([build_service(3)], leaving, now)
        for item in outgoing:
            if item.message['kind'] == 'permit_grant':
                grants[item.message['request_id']] = item.message
        assert _permits(broker, now) <= 6
    for _ in range(3):
        now += 20
        broker.tick(now)
    assert _permits(broker, now) == 0
    assert not any(row['queued'] for row in broker.snapshot(now))


def test_slots_of_a_silent_host_are_freed(broker):
    """Guards against slots held by a killed host until permits expire."""
    for number in range(3):
        broker.on_request({**_request(f'd{number}'), 'host': 'dead'}, 0)
    broker.on_request(_request('alive'), 0)
    outgoing = broker.drop_other_hosts(['h1'], 1)
    assert [(item.host, item.message['kind']) for item in outgoing] == [
        ('h1', 'permit_grant')
    ]
    assert _permits(broker, 1) == 1
