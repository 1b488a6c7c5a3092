"""Target selection without a broker."""

from random import Random

import pytest

from oleanderridge.dispatch.independent import IndependentDispatch
from tests.conftest import build_service


@pytest.fixture
def dispatch(settings):
    dispatch = IndependentDispatch(settings, Random(1))
    dispatch.configure([build_service(6)], ('t3',), 0)
    return dispatch


def test_one_request_per_target_and_none_for_excluded_or_leaving(dispatch):
    """Guards against overload of a target when many hosts fall back."""
    tried = ('t2', 't4', 't5')
    picked = {dispatch.pick('sett-lookup', tried, 0) for _ in range(3)}
    assert picked == {'t0', 't1', None}
    dispatch.record_outcome('sett-lookup', 't0', 'ok', 50, 1)
    assert dispatch.pick('sett-lookup', tried, 1) == 't0'


def test_own_evidence_suffices(dispatch):
    """Guards against ejection that needs evidence from other hosts."""
    others = ('t0', 't2', 't4', 't5')
    for _ in range(3):
        assert dispatch.pick('sett-lookup', others, 0) == 't1'
        dispatch.record_outcome('sett-lookup', 't1', 'reset', 2, 0)
    assert dispatch.pick('sett-lookup', others, 0) is None
