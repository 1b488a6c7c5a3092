"""Permits, queue bounds and deadline refusals of the broker."""

from random import Random

import pytest

from oleanderridge.dispatch.broker import Broker

_POLICY = {
    'consecutive_failures': 3,
    'latency_factor': 3.0,
    'minimum_samples': 10,
    'ejection_s': 10,
    'ejection_max_s': 300,
    'slow_start_s': 10,
    'floor': 0.6,
}


def _service(targets=1, slots=2):
    return {
        'name': 'sett-lookup',
        'targets': [
            {'name': f't{index}', 'url': '', 'slots': slots, 'zone': 'a'}
            for index in range(targets)
        ],
        'timeout_ms': 10000,
        'health': _POLICY,
    }


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


def _kinds(outgoing):
    return [item.message['kind'] for item in outgoing]


@pytest.fixture
def broker():
    settings = {
        'host': 'h0',
        'zone': 'a',
        'dispatch': {
            'broker_timeout_s': 0.1,
            'queue_limit_per_workspace': 4,
            'permit_margin_s': 1,
        },
    }
    broker = Broker(settings, Random(1))
    broker.configure([_service()], (), 0)
    return broker


def test_no_more_permits_than_slots_and_a_return_frees_one(broker):
    """Guards against overcommitted targets and slots that stay taken."""
    grants = [broker.on_request(_request(f'r{n}'), 0) for n in range(3)]
    assert [_kinds(item)[1:] for item in grants] == [
        ['permit_grant'],
        ['permit_grant'],
        [],
    ]
    freed = broker.on_return(_return(grants[0][1].message), 1)
    assert _kinds(freed) == ['permit_grant']
    assert freed[0].message['request_id'] == 'r2'


def test_repeated_request_gets_the_earlier_reply(broker):
    """Guards against a keep-alive that takes a second slot."""
    first = broker.on_request(_request('r1'), 0)[1].message
    again = broker.on_request(_request('r1'), 1)
    assert again[0].message['permit_id'] == first['permit_id']
    assert broker.snapshot(1)[0]['permits'] == 1


def test_lost_permit_expires(broker):
    """Guards against slots that a dead host keeps for ever."""
    for number in range(3):
        broker.on_request(_request(f'r{number}', deadline_ms=60000), 0)
    assert broker.tick(10.9) == []
    assert _kinds(broker.tick(11.1)) == ['permit_grant']


def test_queue_bound_and_deadline_refuse_before_running(broker):
    """Guards against unbounded queues and work that cannot finish."""
    grant = broker.on_request(_request('r0'), 0)[1].message
    broker.on_return(_return(grant, latency_ms=1000), 1)
    for number in range(1, 7):
        broker.on_request(_request(f'r{number}', deadline_ms=20000), 1)
    full = broker.on_request(_request('r7', deadline_ms=20000), 1)
    late = broker.on_request(_request('r8', 'loom', deadline_ms=1500), 1)
    assert full[0].message['reason'] == 'queue-full'
    assert late[0].message['reason'] == 'deadline'


def test_hand_back_refuses_what_waits(broker):
    """Guards against requests that wait at a broker that has left."""
    for number in range(3):
        broker.on_request(_request(f'r{number}'), 0)
    refused = broker.hand_back(1)
    assert [item.message['reason'] for item in refused] == ['broker-leaving']
    later = broker.on_request(_request('r9'), 1)
    assert later[0].message['reason'] == 'broker-leaving'
