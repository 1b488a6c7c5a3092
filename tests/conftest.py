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


def build_service(targets=1, **policy):
    """Return a service with targets t0, t1 and so on."""
    return {
        'name': 'sett-lookup',
        'targets': [
            {'name': f't{index}', 'url': '', 'slots': 2, 'zone': 'a'}
            for index in range(targets)
        ],
        'timeout_ms': 10000,
        'health_path': '/health',
        'health': {**POLICY, **policy},
    }


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
