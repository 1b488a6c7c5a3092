"""Sound targets keep getting work while others fail and demand is high."""

import pytest

from tests.placed_service import PlacedService

_CAPACITY_PER_TARGET = 20
# The operators' share of the sound targets that must get requests.
_FLOOR_SHARE = 0.7


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', [0.3, 1.2])
@pytest.mark.parametrize('fails_s', [0.005, 9.0])
def test_sound_targets_keep_getting_work(load, fails_s, seed):
    """Guards against a choice that narrows to a few trusted targets."""
    service = PlacedService(
        25, load * 25 * _CAPACITY_PER_TARGET, fails_s=fails_s, seed=seed
    )
    service.run(9)
    assert service.least_share_of_sound() >= _FLOOR_SHARE


@pytest.mark.parametrize('targets', [2, 6])
def test_a_small_service_keeps_its_sound_targets(targets):
    """Guards against a service whose only sound target gets nothing."""
    service = PlacedService(
        targets, 0.5 * targets * _CAPACITY_PER_TARGET, fails_s=9.0
    )
    service.run(20)
    assert service.least_share_of_sound() >= _FLOOR_SHARE


def test_failing_targets_take_few_requests_of_an_overload():
    """Guards against a target that fails at once and is always free."""
    service = PlacedService(25, 1.2 * 25 * _CAPACITY_PER_TARGET, fails_s=0.005)
    service.run(6)
    assert service.ended['FAILED'] < 0.1 * service.ended['ANSWERED']
