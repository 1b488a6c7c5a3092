"""Tests of the random fault search: its schedules and its judge."""

import json

import pytest

from bench import chaos_judge, load
from bench.chaos_schedule import schedule
from bench.plans import WorkspacePlan

_WORKSPACE = WorkspacePlan('workspace-a', 'secret-key', 10, 5)
_SECONDS = 40
_SINCE = 100.0
_FOREVER = float('inf')


def _operation(kind, *attempts):
    operation = load.Operation(kind, _WORKSPACE)
    operation.attempts = [*attempts]
    return operation


def _attempt(kind, body=b'', started_at=_SINCE, lasted_s=1.0):
    return load.Attempt(
        kind, 'host-a', '', 0, started_at, started_at + lasted_s, 200, body
    )


def _refused(request_id):
    return _attempt('refused', json.dumps({'request_id': request_id}).encode())


def _answered(operation, text=''):
    shown = text or operation.id
    body = f'target-0 /path {shown} request-1\n'.encode()
    operation.attempts.append(_attempt('answered', body))
    return operation


def _record(operation, request_id='request-1', started_at=_SINCE, **changes):
    return {
        'operation': operation.id,
        'request_id': request_id,
        'headers': [],
        'started_at': started_at,
        'completed': True,
        **changes,
    }


def _evidence(operations, records, **changes):
    rates = {
        'workspace-a': [chaos_judge.Published(0, _FOREVER, 10, 5)],
    }
    evidence = chaos_judge.Evidence(
        operations, records, ['secret-key'], rates, {}, [], [], 1000, 1.5
    )
    return evidence._replace(**changes)


def test_schedule_depends_on_the_seed_alone():
    """Guards against schedules that a seed does not replay."""
    for seed in range(50):
        assert schedule(seed, _SECONDS) == schedule(seed, _SECONDS)
    assert schedule(1, _SECONDS) != schedule(2, _SECONDS)


def test_schedule_leaves_ended_and_paused_hosts_alone():
    """Guards against stops of a paused host, which could only time out."""
    for seed in range(200):
        away = set()
        for event in schedule(seed, _SECONDS):
            if event.action in {'kill', 'pause', 'stop'}:
                assert event.arguments[0] not in away, (seed, event)
            if event.action in {'kill', 'pause'}:
                away.add(event.arguments[0])
            if event.action in {'start', 'wake', 'replace'}:
                away.discard(event.arguments[0])
                assert len(away) < 2, (seed, event)


def test_correct_run_has_no_violation():
    """Guards against a judge that condemns a correct run."""
    operation = _answered(_operation(load.ORDER, _refused('request-0')))
    evidence = _evidence([operation], [_record(operation)])
    assert chaos_judge.judge(evidence) == []


def _doubled():
    operation = _answered(_operation(load.ORDER))
    records = [_record(operation), _record(operation, 'request-2')]
    return _evidence([operation], records)


def _never_ran():
    return _evidence([_answered(_operation(load.ORDER))], [])


def _refused_and_ran():
    operation = _answered(_operation(load.LOOKUP, _refused('request-1')))
    return _evidence([operation], [_record(operation)])


def _foreign():
    operation = _answered(_operation(load.LOOKUP), 'another')
    return _evidence([operation], [_record(operation)])


def _short():
    operation = _operation(load.CHART)
    operation.attempts = [_attempt('answered', f'a {operation.id}\n'.encode())]
    return _evidence([operation], [_record(operation)])


def _key_shown():
    operation = _answered(_operation(load.LOOKUP))
    headers = [['X-Copy', 'secret-key']]
    return _evidence([operation], [_record(operation, headers=headers)])


def _ran_when_withdrawn():
    operation = _answered(_operation(load.LOOKUP))
    withdrawn = {'workspace-a': _SINCE - 17.5}
    return _evidence([operation], [_record(operation)], withdrawn=withdrawn)


def _above_rate():
    # Sent so early that only the bound with the queue wait is exceeded.
    sent_at = _SINCE - chaos_judge.QUEUE_WAIT_S - 1
    broken = _attempt('broken', started_at=sent_at, lasted_s=0.1)
    operation = _answered(_operation(load.LOOKUP, broken))
    allowed = int(10 * chaos_judge.QUEUE_WAIT_S + 5)
    records = [
        _record(operation, f'request-{number}') for number in range(allowed + 1)
    ]
    return _evidence([operation], records)


def _above_burst():
    operation = _answered(_operation(load.LOOKUP))
    records = [_record(operation, f'request-{index}') for index in range(6)]
    return _evidence([operation], records)


def _stop_failed():
    return _evidence([], [], stops=[chaos_judge.Stop('host-a', _SINCE, 1)])


def _stop_cut():
    operation = _operation(load.LOOKUP, _attempt('broken'))
    stops = [chaos_judge.Stop('host-a', _SINCE + 0.5, 0)]
    return _evidence([operation], [], stops=stops)


def _stop_too_early():
    operation = _operation(load.LOOKUP, _attempt('unreachable'))
    stops = [chaos_judge.Stop('host-a', _SINCE - 1, 0)]
    return _evidence([operation], [], stops=stops)


@pytest.mark.parametrize(
    'broken',
    [
        _doubled,
        _never_ran,
        _refused_and_ran,
        _foreign,
        _short,
        _key_shown,
        _ran_when_withdrawn,
        _above_rate,
        _above_burst,
        _stop_failed,
        _stop_cut,
        _stop_too_early,
    ],
)
def test_each_violation_is_found(broken):
    """Guards against a judge that passes over a broken guarantee."""
    assert len(chaos_judge.judge(broken())) == 1


def test_rate_of_earlier_version_counts_until_rolled_out():
    """Guards against findings for starts while a lower rate rolls out."""
    starts = [_SINCE + number * 0.05 for number in range(400)]
    earlier = chaos_judge.Published(0, _SINCE, 20, 5)
    later = chaos_judge.Published(_SINCE, _FOREVER, 1, 5)
    findings = chaos_judge.rate_findings
    assert findings('workspace-a', starts, [later])
    assert not findings('workspace-a', starts, [earlier, later])
