"""The state machine of a request only moves forward."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.forward.state import RequestState

PHASES = ('received', 'queued', 'committed', 'answered')


@given(st.lists(st.sampled_from(PHASES)))
def test_phases_only_advance_and_commit_is_remembered(phases):
    """Guards against a committed request that is later called not run."""
    state = RequestState('r-1')
    reached = 0
    committed = False
    for phase in phases:
        wanted = PHASES.index(phase)
        if wanted < reached:
            with pytest.raises(ValueError, match='r-1'):
                state.advance(phase)
        else:
            state.advance(phase)
            reached = wanted
            committed = committed or phase == 'committed'
        assert state.phase == PHASES[reached]
        assert state.may_have_run == committed


def test_unknown_phase_is_an_error():
    """Guards against a misspelt phase that counts as progress."""
    with pytest.raises(ValueError, match='unknown phase'):
        RequestState('r-1').advance('commited')
