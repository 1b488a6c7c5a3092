"""Order of the request queue while requests become late or leave."""

from hypothesis import given
from hypothesis import strategies as st

from oleanderridge.dispatch.waiting_line import PendingRequest, RequestQueue
from oleanderridge.generated.fleet import Acquire

_TYPICAL_S = 0.1


def _entry(permit, priority, arrived, aim_ms, left_ms):
    request = Acquire(
        permit,
        'h',
        'z',
        's',
        'r',
        '',
        priority,
        False,
        0,
        True,
        left_ms,
        aim_ms,
        0,
        [],
    )
    return PendingRequest(request, arrived, arrived + left_ms / 1000)


def _is_late(entry, now):
    return entry.late_at(_TYPICAL_S) <= now


_ENTRIES = st.lists(
    st.tuples(
        st.integers(0, 3),
        st.floats(0, 2),
        st.integers(50, 2000),
        st.integers(50, 3000),
    ),
    max_size=25,
)


@given(_ENTRIES, st.lists(st.floats(0, 5), max_size=4), st.data())
def test_the_order_is_that_of_a_full_sort(fields, times, data):
    """Guards against starvation of a queued request."""
    queue = RequestQueue()
    waiting = {}
    for permit, (priority, arrived, aim_ms, left_ms) in enumerate(fields):
        entry = _entry(permit, priority, arrived, aim_ms, left_ms)
        waiting[permit] = entry
        queue.add(entry, entry.late_at(_TYPICAL_S))
    for now in sorted(times):
        if waiting and data.draw(st.booleans()):
            taken = data.draw(st.sampled_from(sorted(waiting)))
            assert queue.pop(taken) == waiting.pop(taken)
        expired = {each.request.permit for each in queue.pop_expired(now)}
        due = {key for key, each in waiting.items() if each.deadline < now}
        assert expired == due
        waiting = {key: waiting[key] for key in waiting.keys() - due}
        expected = sorted(
            waiting.values(),
            key=lambda each: (
                _is_late(each, now),
                each.request.priority,
                each.arrived,
                each.request.permit,
            ),
        )
        assert list(queue.in_order(now)) == expected
        assert len(queue) == len(waiting)
        assert queue.count_late(now) == sum(
            _is_late(each, now) for each in waiting.values()
        )
        assert queue.count_ahead(1) == sum(
            each.request.priority <= 1 and not _is_late(each, now)
            for each in waiting.values()
        )


def test_a_request_that_left_is_not_returned_again():
    """Guards against a grant for a request that was removed."""
    queue = RequestQueue()
    queue.add(_entry(1, 1, 0, 400, 1000), 0.3)
    assert queue.pop(1) is not None
    assert queue.pop(1) is None
    assert not list(queue.in_order(0.1))
    assert not list(queue.pop_expired(5))
    assert 1 not in queue
