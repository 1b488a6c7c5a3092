"""What a host takes for an absence of the store, and what for a cut path."""

import math

import pytest

from oleanderridge.gateway.beliefs import Beliefs
from tests.gateway_world import at, record

_OUTAGE_S = 2.0


def _beliefs(heard_at=None):
    beliefs = Beliefs(lambda _configuration: None, lambda: None, _OUTAGE_S)
    if heard_at is not None:
        beliefs.confirm(heard_at)
    return beliefs


def test_a_pause_with_failed_calls_is_an_absence():
    """Guards against targets that end since they could not renew."""
    beliefs = _beliefs(100)
    beliefs.record_store_failure(102)
    beliefs.confirm(103)
    assert 102 <= beliefs.outage_ended_at <= 103


@pytest.mark.parametrize('pause_s', [0.5, 1.9])
def test_a_short_pause_is_none(pause_s):
    """Guards against removals that each hiccup of the store postpones."""
    beliefs = _beliefs(100)
    beliefs.record_store_failure(100.2)
    beliefs.confirm(100 + pause_s)
    assert beliefs.outage_ended_at == -math.inf


def test_a_pause_in_which_nobody_called_is_none():
    """Guards against a host alone that reads the store late."""
    beliefs = _beliefs(100)
    beliefs.confirm(103)
    assert beliefs.outage_ended_at == -math.inf


def test_a_call_that_began_long_before_the_return_counts_from_its_start():
    """Guards against a host in touch that keeps what left a while ago."""
    beliefs = _beliefs(100)
    beliefs.record_store_failure(101)
    beliefs.confirm(104)
    assert beliefs.outage_ended_at < 102


def test_a_host_that_was_cut_off_learns_that_others_were_not():
    """Guards against a target that a host uses on after its own cut."""
    beliefs = _beliefs(100)
    beliefs.table.put(record('a', revision=5))
    beliefs.record_store_failure(102)
    beliefs.confirm(103)
    beliefs.table.postpone_removal('a', at(7), beliefs.outage_ended_at + 2.2)
    beliefs.hear_of_steady_store(90)
    assert beliefs.outage_ended_at == -math.inf
    assert beliefs.table.lapse(103.1) == ['a']


def test_hosts_do_not_claim_answers_during_an_absence():
    """Guards against hosts that talk each other out of a true absence."""
    reader, other = _beliefs(100), _beliefs(100)
    for beliefs in (reader, other):
        beliefs.confirm(101)
        assert beliefs.steady_ms(102) == 2000
        beliefs.record_store_failure(103)
        assert beliefs.steady_ms(104) == 0
    reader.confirm(105.5)
    ended_at = reader.outage_ended_at
    # The other one has not heard yet that the store is back.
    steady_ms = other.steady_ms(105.6)
    assert steady_ms == 0
    other.hear_of_store_age(reader.age_ms(105.6), 105.6)
    assert other.outage_ended_at > 103
    reader.hear_of_steady_store(105.6 - other.steady_ms(105.6) / 1000)
    assert reader.outage_ended_at == ended_at


def test_a_host_that_knows_nothing_says_nothing_of_the_store():
    """Guards against fresh hosts that hear answers in each other's silence."""
    fresh, other = _beliefs(), _beliefs()
    fresh.hear_of_store_age(other.age_ms(100), 100)
    assert fresh.steady_ms(100) == 0
    fresh.confirm(101)
    assert fresh.steady_ms(101.5) == 500
    assert fresh.outage_ended_at == -math.inf
