"""Start-time fair queuing across workspaces."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.dispatch.fair_queue import FairQueue, QueuedRequest

QUIET, LOUD, OTHER = 'quiet', 'loud', 'other'


def _queued(number, workspace):
    return QueuedRequest('h', 'a', 1, f'r{number}', workspace, 10, frozenset())


def _serve(queue):
    request = next(queue.in_order())
    queue.serve(request)
    return request


@given(
    st.lists(st.integers(0, 5), min_size=20, max_size=60),
    st.integers(1, 9),
    st.integers(1, 4),
)
def test_a_loud_workspace_delays_a_quiet_one_by_a_bounded_count(
    arrivals, loudness, weight
):
    """Guards against a flood from one workspace that delays the others.

    Before a single waiting request, each other backlogged workspace is served
    at most its weight plus one times.
    """
    queue = FairQueue()
    queue.set_weights({LOUD: weight})
    number = 0
    served_before = None
    for index, slots in enumerate(arrivals):
        for workspace, count in ((LOUD, loudness), (OTHER, 1)):
            for _ in range(count):
                number += 1
                queue.push(_queued(number, workspace))
        if index % 3 == 0 and served_before is None:
            queue.push(_queued(f'q{index}', QUIET))
            served_before = {LOUD: 0, OTHER: 0}
        for _ in range(min(slots, len(queue))):
            workspace = _serve(queue).workspace
            if workspace == QUIET:
                served_before = None
            elif served_before is not None:
                served_before[workspace] += 1
                assert served_before[LOUD] <= weight + 1, served_before
                assert served_before[OTHER] <= 2, served_before


def test_weights_divide_the_slots():
    """Guards against weights that do not affect the served shares."""
    queue = FairQueue()
    queue.set_weights({LOUD: 3})
    for number in range(80):
        queue.push(_queued(f'l{number}', LOUD))
        queue.push(_queued(f'q{number}', QUIET))
    served = [_serve(queue).workspace for _ in range(40)]
    assert served.count(LOUD) == 30


def test_an_idle_workspace_saves_up_no_credit():
    """Guards against a burst after an idle period that starves others."""
    queue = FairQueue()
    for number in range(50):
        queue.push(_queued(f'l{number}', LOUD))
    for _ in range(30):
        _serve(queue)
    for number in range(20):
        queue.push(_queued(f'q{number}', QUIET))
    served = [_serve(queue).workspace for _ in range(10)]
    assert served.count(LOUD) >= 4
