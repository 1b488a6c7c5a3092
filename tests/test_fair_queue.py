"""Start-time fair queuing across workspaces."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.dispatch.fair_queue import FairQueue, Waiting

QUIET, LOUD, OTHER = 'quiet', 'loud', 'other'


def _waiting(number, workspace):
    return Waiting('h', 'a', 1, f'r{number}', workspace, 10, frozenset())


def _serve(queue):
    waiting = next(queue.in_order())
    queue.serve(waiting)
    return waiting


@given(
    st.lists(st.integers(0, 5), min_size=20, max_size=60),
    st.integers(1, 9),
    st.integers(1, 4),
)
def test_a_loud_workspace_delays_a_quiet_one_by_a_bounded_count(
    arrivals, loudness, weight
):
    """Guards against a flood that makes other workspaces wait longer.

    Bound: with one waiting request, each other backlogged workspace is
    served at most its weight plus one times before it.
    """
    queue = FairQueue()
    queue.set_weights({LOUD: weight})
    number = 0
    passed = None
    for index, served in enumerate(arrivals):
        for workspace, count in ((LOUD, loudness), (OTHER, 1)):
            for _ in range(count):
                number += 1
                queue.push(_waiting(number, workspace))
        if index % 3 == 0 and passed is None:
            queue.push(_waiting(f'q{index}', QUIET))
            passed = {LOUD: 0, OTHER: 0}
        for _ in range(min(served, len(queue))):
            workspace = _serve(queue).workspace
            if workspace == QUIET:
                passed = None
            elif passed is not None:
                passed[workspace] += 1
                assert passed[LOUD] <= weight + 1, passed
                assert passed[OTHER] <= 2, passed


def test_weights_divide_the_slots():
    """Guards against weights that do not change the served shares."""
    queue = FairQueue()
    queue.set_weights({LOUD: 3})
    for number in range(80):
        queue.push(_waiting(f'l{number}', LOUD))
        queue.push(_waiting(f'q{number}', QUIET))
    served = [_serve(queue).workspace for _ in range(40)]
    assert served.count(LOUD) == 30


def test_an_idle_workspace_saves_up_no_credit():
    """Guards against a burst after a pause that shuts others out."""
    queue = FairQueue()
    for number in range(50):
        queue.push(_waiting(f'l{number}', LOUD))
    for _ in range(30):
        _serve(queue)
    for number in range(20):
        queue.push(_waiting(f'q{number}', QUIET))
    served = [_serve(queue).workspace for _ in range(10)]
    assert served.count(LOUD) >= 4
