"""Tests of the forward-only state machine of a request."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.forward.state import RequestState

PHASES = ('received', 'queued', 'committed', 'answered')


@given(st.lists(st.sampled_from(PHASES)))
def test_phases_only_advance_and_commit_is_remembered(phases):
    """Guards against reporting a committed request as not run."""
    state = RequestState('r-1')
    reached_index = 0
    committed = False
    for phase in phases:
        phase_index = PHASES.index(phase)
        if phase_index < reached_index:
            with pytest.raises(ValueError, match='r-1'):
                state.advance(phase)
        else:
            state.advance(phase)
            reached_index = phase_index
            committed = committed or phase == 'committed'
        assert state.phase == PHASES[reached_index]
        assert state.may_have_run == committed


def test_unknown_phase_is_an_error():
    """Guards against accepting a misspelt phase as a state change."""
    with pytest.raises(ValueError, match='unknown phase'):
        RequestState('r-1').advance('commited')
