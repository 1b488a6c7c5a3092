"""Token buckets of one host."""

from oleanderridge.admission.buckets import TokenBuckets
from tests.simulated import bundle, host_list, settings


def _single(rate=10, burst=20):
    buckets = TokenBuckets('h0', settings('h0'))
    buckets.update([host_list(1, ['h0'])], [bundle(1, rate, burst)], 0)
    return buckets


def _run(buckets, start, end):
    for second in range(start, end):
        buckets.note_lease(second, second + 4)


def test_bucket_starts_empty_and_fills_with_leased_time():
    """Guards against a burst from a new minter and from unleased time."""
    buckets = _single()
    assert buckets.take('mill', 0, 4).status == 'empty'
    _run(buckets, 1, 11)
    assert [buckets.take('mill', 10, 14).status for _ in range(21)] == [
        *['taken'] * 20,
        'empty',
    ]
    assert buckets.take('mill', 30, 0).status == 'no-lease'
