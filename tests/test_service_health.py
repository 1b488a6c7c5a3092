"""Ejection, floor, slow start, draining and restoration of targets."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.health.service import InFlightRequest, ServiceHealth
from tests.conftest import build_service

ZONES = {'h0': 'a', 'h1': 'b', 'h2': 'c', 'h3': 'a'}


def _report_successes(health, targets, rounds, start=0.0, latency_ms=50.0):
    """Report successful answers from every target on every host."""
    for number in range(rounds):
        for host, zone in ZONES.items():
            for target in targets:
                spread = latency_ms * (0.6 + 0.2 * (number % 5))
                now = start + number / 10
                health.record_outcome(host, zone, target, 'ok', spread, now)


def _report_failures(health, target, hosts, now, outcome='reset'):
    for host in hosts:
        health.record_outcome(host, ZONES[host], target, outcome, 2, now)


def _candidate_names(health, now, host='h0', leaving=(), excluded=()):
    found = health.candidates(host, now, leaving, excluded)
    return {candidate.target for candidate in found}


@pytest.fixture
def health():
    health = ServiceHealth(build_service(6))
    _report_successes(health, [f't{index}' for index in range(6)], 20)
    return health


_REPORTS = st.lists(
    st.tuples(
        st.sampled_from(sorted(ZONES)),
        st.integers(0, 5),
        st.sampled_from(
            ['ok', 'ok', 'reset', 'timeout', 'short', 'shed', 'draining']
        ),
        st.sampled_from([20.0, 60.0, 900.0, 9000.0]),
        st.sampled_from([0.001, 0.01, 0.5, 6.0]),
        st.booleans(),
    ),
    max_size=120,
)


@given(_REPORTS, st.sampled_from([0.3, 0.6, 1.0]))
def test_the_floor_holds_at_every_pick(reports, floor):
    """Guards against ejections that leave less capacity than the floor."""
    health = ServiceHealth(
        build_service(6, floor=floor, consecutive_failures=2)
    )
    now = 0.0
    for host, index, outcome, latency_ms, pause, probe in reports:
        now += pause
        health.record_outcome(
            host, ZONES[host], f't{index}', outcome, latency_ms, now
        )
        health.evaluate_in_flight(
            [InFlightRequest(host, ZONES[host], 't0', now - 3)], now
        )
        for name in health.probes_due(now):
            health.record_probe(name, probe, now)
        for observer in ZONES:
            found = health.candidates(observer, now, ('t5',), ())
            states = {item['target']: item for item in health.snapshot(now)}
            attainable = sum(
                2 * item['weight']
                for name, item in states.items()
                if item['state'] != 'draining' and name != 't5'
            )
            picked = sum(2 * states[item.target]['weight'] for item in found)
            assert picked >= min(floor * 12, attainable) - 1e-6
            assert not any(
                states[item.target]['state'] == 'draining' for item in found
            )
            assert 't5' not in {item.target for item in found}


def test_agreeing_zones_eject_and_one_zone_or_host_only_avoids(health):
    """Guards against ejecting a target because one zone lost its path to it."""
    _report_failures(health, 't1', ('h1',) * 3, 3)
    assert 't1' not in _candidate_names(health, 3, 'h1')
    assert 't1' in _candidate_names(health, 3, 'h2')
    _report_failures(health, 't2', ('h0', 'h3', 'h0'), 3)
    assert 't2' not in _candidate_names(health, 3, 'h3')
    assert 't2' in _candidate_names(health, 3, 'h1')
    _report_failures(health, 't3', ('h0', 'h1', 'h2'), 3)
    assert all('t3' not in _candidate_names(health, 3, host) for host in ZONES)


def test_a_target_that_never_answers_shows_before_its_timeout(health):
    """Guards against ejecting only at timeouts while both slots hang."""
    flights = [
        InFlightRequest('h0', 'a', 't1', 3),
        InFlightRequest('h1', 'b', 't1', 3),
    ]
    health.evaluate_in_flight(flights, 3.1)
    assert 't1' in _candidate_names(health, 3.1)
    health.evaluate_in_flight(flights, 6)
    assert 't1' not in _candidate_names(health, 6)


def test_a_slow_target_is_ejected_and_common_slowness_is_not(health):
    """Guards against missing a slow target and ejecting at common slowness."""
    everyone = [f't{index}' for index in range(6)]
    _report_successes(health, everyone, 5, 3, 400)
    assert _candidate_names(health, 4) == set(everyone)
    slow = ServiceHealth(build_service(6))
    _report_successes(slow, everyone, 20)
    _report_successes(slow, ['t1'], 5, 3, 400)
    assert _candidate_names(slow, 4) == set(everyone) - {'t1'}


def test_repeated_ejections_double_and_a_good_probe_starts_slowly(health):
    """Guards against flapping targets that return at full weight each time."""
    now = 3.0
    for expected_s in (10, 20, 40):
        _report_failures(health, 't1', ('h0', 'h1', 'h2') * 2, now)
        state = health.snapshot(now)[1]
        assert state['until_s'] == pytest.approx(expected_s)
        now += expected_s
        assert health.probes_due(now - 1) == ()
        assert health.probes_due(now) == ('t1',)
        health.record_probe('t1', True, now)
        found = {
            item.target: item for item in health.candidates('h0', now, (), ())
        }
        assert found['t1'].weight < 0.2
        assert found['t1'].slots == 1
        now += 5


def test_probes_that_always_fail_do_not_keep_a_target_out(health):
    """Guards against a health endpoint that wrongly fails a healthy target."""
    _report_failures(health, 't1', ('h0', 'h1', 'h2'), 3)
    now = 3.0
    for _ in range(3):
        now += 10
        assert health.probes_due(now) == ('t1',)
        health.record_probe('t1', False, now)
    assert 't1' in _candidate_names(health, now)


def test_draining_stops_new_work_at_once(health):
    """Guards against work for a leaving target, even below the floor."""
    for index in range(5):
        health.record_outcome('h0', 'a', f't{index}', 'draining', 50, 3)
    assert _candidate_names(health, 3) == {'t5'}
    assert _candidate_names(health, 3, leaving=('t5',)) == set()


def _probe_drained(health, now, succeeded):
    for target in health.probes_due(now):
        health.record_probe(target, succeeded, now)


def test_a_target_that_goes_on_draining_gets_no_work(health):
    """Guards against work for a target whose announcement is long ago.

    Neither failed probes nor the floor nor further failures bring it back.
    """
    for index in range(5):
        health.record_outcome('h0', 'a', f't{index}', 'draining', 50, 3)
    for now in range(4, 120):
        _probe_drained(health, now, succeeded=False)
        _report_failures(health, 't1', ('h0', 'h1', 'h2'), now)
        assert _candidate_names(health, now) == {'t5'}


def test_a_target_that_stops_draining_returns_with_a_good_probe(health):
    """Guards against a target that stays unused after it changed its mind."""
    health.record_outcome('h0', 'a', 't1', 'draining', 50, 3)
    for now in range(4, 16):
        assert 't1' not in _candidate_names(health, now)
        _probe_drained(health, now, succeeded=now > 14)
    assert 't1' in _candidate_names(health, 16)


def test_a_deadline_that_was_too_close_is_no_failure(health):
    """Guards against ejection because callers had little time left."""
    _report_failures(health, 't1', ('h0', 'h1', 'h2') * 3, 3, 'timeout')
    assert 't1' in _candidate_names(health, 3)


def test_changed_thresholds_start_without_old_evidence(health):
    """Guards against scores that were clamped by the previous thresholds."""
    _report_failures(health, 't1', ('h0', 'h1'), 3)
    health.update(build_service(6, consecutive_failures=2), 3)
    _report_failures(health, 't1', ('h2',), 3)
    assert 't1' in _candidate_names(health, 3)
    _report_failures(health, 't1', ('h0',), 3)
    assert 't1' not in _candidate_names(health, 3)
