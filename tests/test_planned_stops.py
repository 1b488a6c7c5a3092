"""Soak of planned stops with seeded schedules; see ``planned_stops``."""

import asyncio

import pytest

from tests.planned_stops import play

_SECONDS = 18


@pytest.mark.parametrize('seed', [2, 5, 9])
def test_planned_stops_lose_and_double_nothing(seed):
    """Guards against requests that a stop, a reload or a change cuts.

    Load: callers with stale addresses, on kept and new connections, which they
    leave open; targets that hang for a while; up to two hosts stop at a time.
    """
    verdict = asyncio.run(play(seed, _SECONDS))
    assert verdict.is_clean(), verdict
    assert verdict.summary['stops'] >= 3
    assert verdict.summary['statuses']['200'] > 500
