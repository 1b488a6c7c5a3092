"""Sound targets keep receiving requests while others fail under load."""

import pytest

from tests.placed_service import PlacedService

_CAPACITY_PER_TARGET = 20
# Share of the sound targets that must receive requests, set by the operators.
_MIN_SOUND_SHARE = 0.7


@pytest.mark.parametrize('seed', [1, 2])
@pytest.mark.parametrize('load', [0.3, 1.2])
@pytest.mark.parametrize('failure_latency_s', [0.005, 9.0])
def test_sound_targets_keep_getting_work(load, failure_latency_s, seed):
    """Guards against selection that narrows to a few trusted targets."""
    service = PlacedService(
        25,
        load * 25 * _CAPACITY_PER_TARGET,
        failure_latency_s=failure_latency_s,
        seed=seed,
    )
    service.run(9)
    assert service.min_share_of_sound_targets() >= _MIN_SOUND_SHARE


@pytest.mark.parametrize('targets', [2, 6])
def test_a_small_service_keeps_its_sound_targets(targets):
    """Guards against a small service whose sound target gets no requests."""
    service = PlacedService(
        targets, 0.5 * targets * _CAPACITY_PER_TARGET, failure_latency_s=9.0
    )
    service.run(20)
    assert service.min_share_of_sound_targets() >= _MIN_SOUND_SHARE


def test_failing_targets_take_few_requests_of_an_overload():
    """Guards against a fast-failing target that attracts requests.

    Its slots are always free because its failures return immediately.
    """
    service = PlacedService(
        25, 1.2 * 25 * _CAPACITY_PER_TARGET, failure_latency_s=0.005
    )
    service.run(6)
    assert service.ended['FAILED'] < 0.1 * service.ended['ANSWERED']
