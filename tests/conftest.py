"""Builders that several test modules share."""

import pytest

POLICY = {
    'consecutive_failures': 3,
    'latency_factor': 3.0,
    'minimum_samples': 10,
    'ejection_s': 10,
    'ejection_max_s': 300,
    'slow_start_s': 10,
    'floor': 0.6,
}


@pytest.fixture
def make_service():
    def make(targets=1, slots=2, health_path='/health', **policy):
        return {
            'name': 'sett-lookup',
            'targets': [
                {'name': f't{index}', 'url': '', 'slots': slots, 'zone': 'a'}
                for index in range(targets)
            ],
            'timeout_ms': 10000,
            'health_path': health_path,
            'health': {**POLICY, **policy},
        }

    return make


@pytest.fixture
def settings():
    return {
        'host': 'h0',
        'zone': 'a',
        'dispatch': {
            'broker_timeout_s': 0.1,
            'queue_limit_per_workspace': 4,
            'permit_margin_s': 1,
        },
    }
