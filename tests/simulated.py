"""Builders of host lists, settings and bundles for tests."""


def settings(host, **admission):
    return {
        'host': host,
        'zone': f'z{ord(host[-1]) % 3}',
        'cell': 'default',
        'peer': {'address_overrides': {}},
        'membership': {
            'heartbeat_interval_s': 1,
            'lease_s': 4,
            'hold_s': 6,
            'suspect_s': 3,
        },
        'admission': {
            'minters_max': 6,
            'grant_expiry_s': 0.05,
            'grant_hold_s': 0.06,
            'request_timeout_s': 0.1,
            **admission,
        },
    }


def host_list(revision, names, **states):
    return {
        'revision': revision,
        'targets_leaving': [],
        'hosts': [
            {
                'host': name,
                'zone': f'z{ord(name[-1]) % 3}',
                'cell': 'default',
                'state': states.get(name, 'live'),
                'caller_url': f'http://{name}',
                'peer_address': f'{name}:1',
            }
            for name in names
        ],
    }


def bundle(version, rate, burst, name='mill'):
    return {
        'version': version,
        'parent': '',
        'services': [],
        'routes': [],
        'workspaces': [
            {'name': name, 'rate': rate, 'burst': burst, 'key_hashes': []}
        ],
    }
